/**
 * What follows when an attempt of a model request has failed: another one, a wait for the retry budget, or the end.
 * An outage that engines are lost in must not be multiplied by those who wait it out, and a caller who can be
 * served elsewhere must not wait for what this instance has no repeat left for.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
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

type AskRetry = Extract<RequestEffect, { kind: 'ask-retry' }>;

/** The request as its retries see it. */
export interface RetriedRun {
  readonly spec: RequestSpec;
  readonly getMachine: () => RequestMachine;
  readonly send: (event: RequestEvent) => void;
  readonly giveUp: (reason: GiveUpReasonName) => void;
  readonly log: (decision: DecisionName, reason: string) => void;
}

export interface RunRetries {
  /** Decides what follows a failed attempt. */
  ask(effect: AskRetry): void;
  /** Asks others for a repeat while the present attempt goes on. */
  borrowRetry(onLent: () => void): void;
  /** Engines that failed in the attempt before. */
  getFailedEngines(): readonly EngineId[];
  /** The request has ended. */
  stop(): void;
}

export function createRunRetries(shared: RouterShared, run: RetriedRun): RunRetries {
  const { deps } = shared;
  const { timers } = deps;
  const { spec, getMachine, send, giveUp, log } = run;
  let lastFailed: readonly EngineId[] = [];

  function ask(effect: AskRetry): void {
    const delay = effect.mode === 'recover' ? 0 : computeRetryDelay(deps.random, effect);
    lastFailed = effect.failed;
    const breakTime = getBreakTime(shared, spec, getMachine());
    const leavesAt =
      effect.mode === 'retry' ? (getFirstTokenDeadline(getMachine()) ?? Infinity) : Infinity;
    if (timers.now() + delay >= Math.min(spec.deadline, breakTime, leavesAt)) {
      giveUp(breakTime < spec.deadline ? GiveUpReason.Standstill : GiveUpReason.DeadlineNear);
      send({ kind: 'retry-refused', retryAfter: effect.retryAfter });
    } else if (isBudgeted(effect.mode) && !takeRepeat()) {
      askForBudget(effect, delay);
    } else {
      goOn(effect, delay);
    }
  }

  /** A caller without a part of its answer can go elsewhere, and takes nothing that one with a part waits for. */
  function takeRepeat(): boolean {
    const isBegun = getMachine().tokenCount > 0;
    const isOwed = [...shared.begunWaits.values()].includes(spec.model);
    return (isBegun || !isOwed) && takeFromBudget(shared, spec.model);
  }

  function goOn({ mode, failed }: AskRetry, delay: Millis): void {
    stop();
    if (mode === 'recover') {
      log('recover', failed.join(','));
      shared.recovery.push({ id: spec.id, waitingSince: getMachine().progressAt });
      shared.startQueuedRecoveries();
    } else {
      log('retry', mode);
      timers.registerTimeout(delay, () => send({ kind: 'retry-granted', failed }));
    }
  }

  /** Looking for a chain once more reaches no engine by itself. */
  function isBudgeted(mode: RetryMode): boolean {
    return mode === 'retry' || (mode === 'recover' && deps.cfg.isRecoveryBudgeted);
  }

  /** Others of the fleet may have repeats left, and answer within some milliseconds. */
  function requestRepeat(done: (isGranted: boolean) => void): void {
    const request = deps.requestRetries ?? ((_name, tell) => tell(false));
    request(spec.model, (isGranted) => shared.post(() => done(isGranted)));
  }

  function borrow(onLent: () => void): void {
    requestRepeat((isGranted) => {
      if (isGranted && hasBudget(shared, spec.model)) {
        onLent();
      }
    });
  }

  function askForBudget(effect: AskRetry, delay: Millis): void {
    const { attempt } = getMachine();
    requestRepeat((isGranted) => {
      if (!isPausing(attempt)) {
        return;
      }
      if (isGranted && takeRepeat()) {
        goOn(effect, delay);
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
   * A caller that has part of its answer waits for the rest. Any other is told at once: its next try takes nothing
   * from the budget and reaches another instance, and a wait here most often ends in a refusal all the same.
   */
  function waitForBudget(effect: AskRetry): void {
    const { attempt, tokenCount } = getMachine();
    if (tokenCount === 0) {
      send({ kind: 'budget-spent', retryAfter: computeCallerRetryDelay(deps.random) });
      return;
    }
    log('wait', 'retry budget');
    shared.begunWaits.set(spec.id, spec.model);
    timers.registerTimeout(computeBudgetRecheckDelay(deps.random), () =>
      shared.post(() => {
        if (isPausing(attempt)) {
          ask(effect);
        }
      }),
    );
  }

  function stop(): void {
    shared.begunWaits.delete(spec.id);
  }

  return { ask, borrowRetry: borrow, getFailedEngines: () => lastFailed, stop };
}
