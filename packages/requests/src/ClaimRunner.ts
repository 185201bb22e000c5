/** Claims a request's idempotency key before anything is sent, and records how the request ended. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { Millis, RequestId, TeamId } from '@skylarksail/core/CoreTypes';
import { decideClaim, RUNNING_RETRY_DELAY } from './RequestClaims.js';
import type { ClaimOutcome, ClaimRecord } from './RequestPorts.js';
import type { RequestProblem } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';

/** A request with an idempotency key, and the fingerprint of its content. */
export interface KeyedRequest {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly key: string;
  readonly fingerprint: string;
  readonly deadline: Millis;
}

/** Receives the outcome of a claim: exactly one call, or none if the claim was ended first. */
export interface ClaimListener {
  readonly onGranted: () => void;
  readonly onReplayed: (answer: string) => void;
  readonly onRefused: (problem: RequestProblem) => void;
}

/** A claim in progress or granted. Only the first call of `settle` or `end` has an effect. */
export interface ClaimHandle {
  settle(record: ClaimRecord): void;
  /** Ends the claim of a request without an answer; a claim for work that never ran is released. */
  end(run: RunStateName): void;
}

/** Claims the key, and retries while an earlier request with the same key is running. */
export function claimKey(
  shared: RouterShared,
  work: KeyedRequest,
  listener: ClaimListener,
): ClaimHandle {
  const { claims, timers } = shared.deps;
  let token: string | null = null;
  let isEnded = false;

  function sendClaim(): void {
    const timeLeft = work.deadline - timers.now();
    const { team, key, fingerprint, id: request } = work;
    claims
      .claim({ team, key, fingerprint, request, timeLeft })
      // Nothing was sent to an engine, so `unavailable` is correct even if the claim was recorded.
      .catch((): ClaimOutcome => ({ kind: 'unavailable', retryAfter: RUNNING_RETRY_DELAY }))
      .then((outcome) => shared.post(() => onOutcome(outcome)));
  }

  function onOutcome(outcome: ClaimOutcome): void {
    if (isEnded) {
      if (outcome.kind === 'granted') {
        // The request ended while its claim was in progress. An orphaned claim would make a resend
        // fail with an unknown outcome although nothing ran.
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
              sendClaim();
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

  sendClaim();
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
