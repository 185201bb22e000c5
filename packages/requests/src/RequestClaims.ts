/** Decides from the outcome of a claim how the claiming request proceeds. */
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimOutcome, ClaimRecord } from './RequestPorts.js';
import type { ProblemKindName, RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';

/** How the request proceeds after its claim. */
export type ClaimDecision =
  | { readonly kind: 'run'; readonly token: string }
  /** Return the recorded answer of the earlier request. */
  | { readonly kind: 'replay'; readonly answer: string }
  /** The earlier request is running: claim again, or return the problem if the deadline is near. */
  | { readonly kind: 'wait'; readonly problem: RequestProblem }
  | { readonly kind: 'refuse'; readonly problem: RequestProblem };

/** Delay before a key whose earlier request is running is claimed again, here or by the caller. */
export const RUNNING_RETRY_DELAY: Millis = 500;

/** Maps the outcome of a claim to a decision. A problem reports only a run state that is proven. */
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
      // This request has not run, but an earlier one with the same key may have run before the key
      // expired; the reported run state covers all requests with the key.
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
