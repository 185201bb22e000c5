/**
 * Decides what follows a failed attempt of a model request: a retry, a wait for the retry budget, or the end.
 * Waiting requests must not amplify an outage in which engines are lost, and a caller that can be served elsewhere
 * must not wait here when this instance has no retry left.
 */
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  GiveUpReasonName,
  RequestEffect,
  RequestEvent,
  RetryMode,
} from './RequestMessages.js';
import { GiveUpReason, RequestPhase } from './RequestMessages.js';
import type { RequestMachine } from './RequestState.js';
import { getFirstTokenDeadline } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { hasBudget, takeFromBudget } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import { getBreakTime } from './RunBreak.js';
import {
  computeBudgetRecheckDelay,
  computeRetryDelay,
  computeCallerRetryDelay,
} from './RunBackoff.js';
import { END_EVIDENCE_PERIOD, END_EVIDENCE_TIMEOUT, listFirstEngines } from './RunEnds.js';

type AskRetry = Extract<RequestEffect, { kind: 'ask-retry' }>;

/** Parts of the request that its retries use. */
export interface RetryContext {
  readonly spec: RequestSpec;
  readonly getMachine: () => RequestMachine;
  readonly send: (event: RequestEvent) => void;
  readonly giveUp: (reason: GiveUpReasonName) => void;
  readonly log: (decision: DecisionName, reason: string) => void;
}

export interface RunRetries {
  /** Decides what follows a failed attempt. */
  ask(effect: AskRetry): void;
  /** Asks other instances for a retry while the present attempt continues; calls `onLent` if one is granted. */
  borrowRetry(onLent: () => void): void;
  /** Engines that failed in the previous attempt. */
  getFailedEngines(): readonly EngineId[];
  /** Stops waiting for the next attempt. */
  stop(): void;
}

export function createRunRetries(shared: RouterShared, run: RetryContext): RunRetries {
  const { deps } = shared;
  const { timers } = deps;
  const { spec, getMachine, send, giveUp, log } = run;
  let lastFailed: readonly EngineId[] = [];
  let cancelTimer: Unregister = () => undefined;

  /** Schedules the next step; only one is ever pending. */
  function schedule(delay: Millis, step: () => void): void {
    cancelTimer();
    cancelTimer = timers.registerTimeout(delay, step);
  }

  /** Schedules another decision, unless the request has an attempt by then. */
  function askLater(delay: Millis, askAgain: () => void): void {
    const { attempt } = getMachine();
    schedule(delay, () =>
      shared.post(() => {
        if (isPausing(attempt)) {
          askAgain();
        }
      }),
    );
  }

  /**
   * Decides what follows a failed attempt. If the request has run on as many engines as it may, it waits for evidence
   * about those whose streams broke: one that ended gives its place back, and one that lives may be used again.
   */
  function ask(effect: AskRetry, waitedSince: Millis = timers.now()): void {
    if (listFirstEngines(shared, getMachine())?.length !== 0) {
      askWithEngineLeft(effect);
    } else if (timers.now() - waitedSince >= END_EVIDENCE_TIMEOUT) {
      giveUp(GiveUpReason.AttemptsSpent);
      send({ kind: 'retry-refused', retryAfter: effect.retryAfter });
    } else {
      askLater(END_EVIDENCE_PERIOD, () => ask(effect, waitedSince));
    }
  }

  function askWithEngineLeft(effect: AskRetry): void {
    const delay = effect.mode === 'recover' ? 0 : computeRetryDelay(deps.random, effect);
    lastFailed = effect.failed;
    const breakTime = getBreakTime(shared, spec, getMachine());
    const beginBy =
      effect.mode === 'retry' ? (getFirstTokenDeadline(getMachine()) ?? Infinity) : Infinity;
    if (timers.now() + delay >= Math.min(spec.deadline, breakTime, beginBy)) {
      giveUp(breakTime < spec.deadline ? GiveUpReason.Standstill : GiveUpReason.DeadlineNear);
      send({ kind: 'retry-refused', retryAfter: effect.retryAfter });
    } else if (isBudgeted(effect.mode) && !takeRetry()) {
      askForBudget(effect, delay);
    } else {
      proceed(effect, delay);
    }
  }

  /** A caller without a partial answer can go elsewhere, so it takes no retry that a begun answer waits for. */
  function takeRetry(): boolean {
    const isBegun = getMachine().tokenCount > 0;
    const hasBegunWaiters = [...shared.begunWaits.values()].includes(spec.model);
    return (isBegun || !hasBegunWaiters) && takeFromBudget(shared, spec.model);
  }

  function proceed({ mode, failed }: AskRetry, delay: Millis): void {
    shared.begunWaits.delete(spec.id);
    if (mode === 'recover') {
      log('recover', failed.join(','));
      shared.recovery.push({ id: spec.id, waitingSince: getMachine().progressAt });
      shared.startQueuedRecoveries();
    } else {
      log('retry', mode);
      schedule(delay, () => send({ kind: 'retry-granted', failed }));
    }
  }

  /** Another search for a chain reaches no engine by itself, so it takes nothing from the budget. */
  function isBudgeted(mode: RetryMode): boolean {
    return mode === 'retry' || (mode === 'recover' && deps.cfg.isRecoveryBudgeted);
  }

  /** Other instances may have retries left; they answer within a few milliseconds. */
  function requestFleetRetry(done: (isGranted: boolean) => void): void {
    const request = deps.requestRetries ?? ((_name, answer) => answer(false));
    request(spec.model, (isGranted) => shared.post(() => done(isGranted)));
  }

  function borrowFromFleet(onLent: () => void): void {
    requestFleetRetry((isGranted) => {
      if (isGranted && hasBudget(shared, spec.model)) {
        onLent();
      }
    });
  }

  function askForBudget(effect: AskRetry, delay: Millis): void {
    const { attempt } = getMachine();
    requestFleetRetry((isGranted) => {
      if (!isPausing(attempt)) {
        return;
      }
      if (isGranted && takeRetry()) {
        proceed(effect, delay);
      } else {
        waitForBudget(effect);
      }
    });
  }

  function isPausing(attempt: number): boolean {
    const machine = getMachine();
    return machine.phase === RequestPhase.Pausing && machine.attempt === attempt;
  }

  /**
   * A caller with a partial answer waits for the rest. Any other gets a refusal at once: its next attempt takes
   * nothing from the budget here and reaches another instance, while a wait usually ends in a refusal anyway.
   */
  function waitForBudget(effect: AskRetry): void {
    if (getMachine().tokenCount === 0) {
      send({ kind: 'budget-spent', retryAfter: computeCallerRetryDelay(deps.random) });
      return;
    }
    log('wait', 'retry budget');
    shared.begunWaits.set(spec.id, spec.model);
    askLater(computeBudgetRecheckDelay(deps.random), () => ask(effect));
  }

  function stop(): void {
    cancelTimer();
    shared.begunWaits.delete(spec.id);
  }

  return {
    ask: (effect) => ask(effect),
    borrowRetry: borrowFromFleet,
    getFailedEngines: () => lastFailed,
    stop,
  };
}
