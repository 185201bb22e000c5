/** Claims the key of a request before anything of it is sent, and records how the request ended. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { Millis, RequestId, TeamId } from '@skylarksail/core/CoreTypes';
import { decideClaim, RUNNING_RETRY_DELAY } from './RequestClaims.js';
import type { ClaimOutcome, ClaimRecord } from './RequestPorts.js';
import type { RequestProblem } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';

/** Whose key is claimed, and for what content. */
export interface KeyedWork {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly key: string;
  readonly fingerprint: string;
  readonly deadline: Millis;
}

/** Hears of the claim: exactly one of the three, once, unless the hold was ended before. */
export interface ClaimListener {
  readonly onGranted: () => void;
  readonly onReplayed: (answer: string) => void;
  readonly onRefused: (problem: RequestProblem) => void;
}

/** A claim that was asked for. Ended once, by `settle` or `end`. */
export interface ClaimHandle {
  settle(record: ClaimRecord): void;
  /** The request ended without an answer; a claim of work that never ran is given back. */
  end(run: RunStateName): void;
}

/** Asks for the key, again while an earlier request with it is running. */
export function claimKey(
  shared: RouterShared,
  work: KeyedWork,
  listener: ClaimListener,
): ClaimHandle {
  const { claims, timers } = shared.deps;
  let token: string | null = null;
  let isEnded = false;

  function ask(): void {
    const timeLeft = work.deadline - timers.now();
    const { team, key, fingerprint, id: request } = work;
    claims
      .claim({ team, key, fingerprint, request, timeLeft })
      // Nothing was sent, whatever became of the claim.
      .catch((): ClaimOutcome => ({ kind: 'unavailable', retryAfter: RUNNING_RETRY_DELAY }))
      .then((outcome) => shared.post(() => take(outcome)));
  }

  function take(outcome: ClaimOutcome): void {
    if (isEnded) {
      if (outcome.kind === 'granted') {
        // The request was given up while its claim was under way. A claim that nobody holds would
        // tell a resend "unknown" of work that never ran.
        claims.release(outcome.token);
      }
      return;
    }
    const decision = decideClaim(outcome);
    switch (decision.kind) {
      case 'run':
        token = decision.token;
        listener.onGranted();
        break;
      case 'replay':
        listener.onReplayed(decision.answer);
        break;
      case 'wait':
        if (work.deadline - timers.now() > 2 * RUNNING_RETRY_DELAY) {
          timers.registerTimeout(RUNNING_RETRY_DELAY, () => {
            if (!isEnded) {
              ask();
            }
          });
        } else {
          listener.onRefused(decision.problem);
        }
        break;
      case 'refuse':
        listener.onRefused(decision.problem);
        break;
      default:
        failUnreachable(decision);
    }
  }

  function settle(record: ClaimRecord): void {
    if (token !== null && !isEnded) {
      claims.settle(token, record);
    }
    isEnded = true;
  }

  ask();
  return {
    settle,
    end(run) {
      if (run !== RunState.NotRun) {
        settle({ run, answer: null });
        return;
      }
      if (token !== null && !isEnded) {
        claims.release(token);
      }
      isEnded = true;
    },
  };
}
