/** Watches the running attempt of a model request and reacts when it is silent or slow. */
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { AttemptRunner } from './AttemptRunner.js';
import type { GiveUpReasonName, RequestEvent } from './RequestMessages.js';
import { GiveUpReason } from './RequestMessages.js';
import type { RequestMachine } from './RequestState.js';
import { getFirstTokenDeadline } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import type { DecisionName } from './RouterTypes.js';
import type { FailoverBlockerName } from './RunFailover.js';
import { FailoverBlocker } from './RunFailover.js';
import { decideMove } from './RunMove.js';
import type { RunRetries } from './RunRetries.js';
import { decideSilence, SILENCE_FAILURE } from './RunSilence.js';

/** Parts of the request that its watch uses. */
export interface WatchContext {
  readonly spec: RequestSpec;
  readonly getMachine: () => RequestMachine;
  readonly attempts: AttemptRunner;
  readonly retries: RunRetries;
  readonly send: (event: RequestEvent) => void;
  readonly giveUp: (reason: GiveUpReasonName) => void;
  readonly log: (decision: DecisionName, reason: string) => void;
}

export interface RunWatch {
  /** Schedules a check of the attempt after `delay`; replaces any earlier one. */
  scheduleCheck(delay: Millis): void;
  /** Reacts to an attempt that has been silent for too long. */
  handleSilence(): void;
  /** Moves the answer to other engines if it is slow and the move is worth its cost. */
  checkSlow(usualGap: Millis): void;
  stop(): void;
}

export function createRunWatch(shared: RouterShared, run: WatchContext): RunWatch {
  const { deps } = shared;
  const { timers } = deps;
  const { spec, getMachine, attempts, retries, send, giveUp, log } = run;
  let cancelCheck: Unregister = () => undefined;
  let slowSince: Millis | null = null;
  /** The last attempt for which a `hold` was logged, which says that it stays with its silent engines. */
  let heldAttempt = 0;

  function scheduleTick(delay: Millis): void {
    const dueAt = timers.now() + delay;
    cancelCheck();
    cancelCheck = timers.registerTimeout(delay, () => send({ kind: 'tick', dueAt }));
  }

  function sendSilence(suspects: readonly EngineId[], isSlow: boolean): void {
    const { attempt } = getMachine();
    send({ kind: 'failure', attempt, failure: SILENCE_FAILURE, suspects, isSlow });
  }

  /**
   * Reports engines that keep the answer but may be dead, so that health checks start and new requests avoid a single
   * suspect.
   */
  function reportSilentEngines(suspects: readonly EngineId[]): void {
    const [engine] = suspects;
    if (engine !== undefined && suspects.length === 1) {
      shared.progress.noteLost(engine, false, timers.now());
    }
    deps.onSilent?.(suspects);
  }

  function logHold(blocker: FailoverBlockerName | 'memory'): void {
    const { attempt } = getMachine();
    if (attempt !== heldAttempt) {
      heldAttempt = attempt;
      log('hold', `silence ${blocker}`);
    }
  }

  function hasChainWithout(
    engines: readonly EngineId[],
    firstEngines: readonly EngineId[] | null,
  ): boolean {
    const machine = getMachine();
    const { chain: broken, avoid } = machine;
    const beginBy = getFirstTokenDeadline(machine);
    const avoided = [...avoid, ...engines];
    return attempts.canChoose({ broken, failed: engines, avoid: avoided, beginBy, firstEngines });
  }

  return {
    scheduleCheck: scheduleTick,
    handleSilence() {
      const decision = decideSilence(shared, spec, getMachine(), hasChainWithout);
      switch (decision.kind) {
        case 'failed':
          sendSilence(decision.suspects, false);
          break;
        case 'borne':
          send({ kind: 'silence-borne' });
          break;
        case 'look-again':
          logHold(decision.blocker);
          reportSilentEngines(decision.suspects);
          send({ kind: 'look-again', delay: decision.delay });
          if (decision.blocker === FailoverBlocker.Budget) {
            retries.borrowRetry(() => send({ kind: 'look-again', delay: 0 }));
          }
          break;
        case 'queued':
          // Health checks show whether an engine is lost. The engines are not avoided, as all are short of memory.
          logHold('memory');
          deps.onSilent?.(decision.suspects);
          send({ kind: 'look-again', delay: decision.delay });
          break;
        case 'given-up':
          giveUp(GiveUpReason.Standstill);
          send({ kind: 'stood-still' });
          break;
        default:
          failUnreachable(decision);
      }
    },
    checkSlow(usualGap) {
      const move = decideMove(shared, spec, getMachine(), usualGap, slowSince, hasChainWithout);
      slowSince = move.engine === null ? move.slowSince : null;
      if (move.engine !== null) {
        sendSilence([move.engine], true);
      }
    },
    stop: () => cancelCheck(),
  };
}
