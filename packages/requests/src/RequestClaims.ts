/** What the outcome of a claim means for the request that asked, and how its end is recorded. */
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimOutcome, ClaimRecord } from './RequestPorts.js';
import type { ProblemKindName, RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';

/** What to do after a claim was answered. */
export type ClaimDecision =
  | { readonly kind: 'run'; readonly token: string }
  /** Give the caller the answer that the earlier request got. */
  | { readonly kind: 'replay'; readonly answer: string }
  /** The earlier request runs: ask again, or tell the caller if its time is nearly up. */
  | { readonly kind: 'wait'; readonly problem: RequestProblem }
  | { readonly kind: 'refuse'; readonly problem: RequestProblem };

/** Wait before a caller, or we for it, ask again for work that runs. */
export const RUNNING_RETRY_DELAY: Millis = 500;

/** Maps an outcome to what the caller is told. Each says no more than is proven. */
export function decideClaim(outcome: ClaimOutcome): ClaimDecision {
  switch (outcome.kind) {
    case 'granted':
      return { kind: 'run', token: outcome.token };
    case 'running':
      return {
        kind: 'wait',
        problem: {
          kind: ProblemKind.AlreadyRunning,
          run: RunState.Unknown,
          retryAfter: RUNNING_RETRY_DELAY,
          instance: outcome.instance,
        },
      };
    case 'ended':
      return decideEnded(outcome.record);
    case 'key-mismatch':
      return refuse(ProblemKind.KeyMismatch, RunState.NotRun, null);
    case 'key-expired':
      // A request may have run under the key when it was younger; this one has not, but the caller
      // asks about the key.
      return refuse(ProblemKind.KeyExpired, RunState.Unknown, null);
    case 'unavailable':
      return refuse(ProblemKind.ClaimUnavailable, RunState.NotRun, outcome.retryAfter);
    default:
      return failUnreachable(outcome);
  }
}

function decideEnded(record: ClaimRecord): ClaimDecision {
  if (record.answer !== null) {
    return { kind: 'replay', answer: record.answer };
  }
  switch (record.run) {
    case RunState.Ran:
      return refuse(ProblemKind.AnswerGone, RunState.Ran, null);
    case RunState.Unknown:
      return refuse(ProblemKind.OutcomeUnknown, RunState.Unknown, null);
    default:
      return refuse(ProblemKind.ClaimUnavailable, RunState.NotRun, RUNNING_RETRY_DELAY);
  }
}

function refuse(
  kind: ProblemKindName,
  run: RequestProblem['run'],
  retryAfter: Millis | null,
): ClaimDecision {
  return { kind: 'refuse', problem: { kind, run, retryAfter, instance: null } };
}
