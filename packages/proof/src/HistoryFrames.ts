/** Calls from an instance to engines whose frames are lost, repeated, delayed, reordered or corrupted. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { EngineCallListener, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { HistoryFaultName } from './HistoryPlan.js';
import { HistoryFaultKind } from './HistoryPlan.js';

export interface FaultyCallOptions {
  readonly open: OpenEngineCall;
  readonly timers: TimerService;
  readonly random: Random;
  /** Whether a fault of this kind currently affects the instance's frames. */
  readonly hasFault: (kind: HistoryFaultName) => boolean;
  /** Whether the instance currently cannot reach the engine. */
  readonly isCut: (engine: string) => boolean;
  readonly onFrame: (request: string, attempt: number, index: number) => void;
}

const FRAME_DELAY: Millis = 300;
const FAULT_PROBABILITY = 0.2;

/** Wraps calls to engines and applies the currently active faults to their frames. */
export function createFaultyCalls(options: FaultyCallOptions): OpenEngineCall {
  const { timers, random, hasFault, isCut, onFrame } = options;

  return (call, listener) => {
    const firstEngine = call.chain.stages[0]?.engine ?? '';
    let held: readonly [number, string] | null = null;
    let hasEnded = false;
    let cancel: () => void = () => undefined;

    /**
     * Delivers a frame at once, or late, or drops it if the engine is cut off. A delayed frame is
     * delivered even after its call ended.
     */
    function deliver(onArrival: () => void): void {
      if (isCut(firstEngine)) {
        return;
      }
      if (hasFault(HistoryFaultKind.FramesLate)) {
        timers.registerTimeout(FRAME_DELAY, onArrival);
      } else {
        onArrival();
      }
    }

    function shouldInject(kind: HistoryFaultName): boolean {
      return hasFault(kind) && random.nextFloat() < FAULT_PROBABILITY;
    }

    function deliverToken(index: number, token: string): void {
      deliver(() => {
        onFrame(call.request, call.attempt, index);
        listener.onToken(index, token);
      });
    }

    function flushHeldToken(): void {
      if (held) {
        deliverToken(...held);
        held = null;
      }
    }

    function end(onArrival: () => void): void {
      if (!hasEnded) {
        hasEnded = true;
        flushHeldToken();
        deliver(onArrival);
      }
    }

    const faultyListener: EngineCallListener = {
      onAcknowledged(acknowledgement) {
        const isWrong = shouldInject(HistoryFaultKind.WrongAcknowledgement);
        const stages = isWrong ? acknowledgement.stages.slice(1) : acknowledgement.stages;
        deliver(() => listener.onAcknowledged({ ...acknowledgement, stages }));
      },
      onToken(index, token) {
        if (hasEnded || shouldInject(HistoryFaultKind.FramesLost)) {
          return;
        }
        if (shouldInject(HistoryFaultKind.FramesGarbage)) {
          end(() =>
            listener.onFailure({
              place: FailurePlace.Garbage,
              engine: null,
              status: null,
              retryAfter: null,
              provenNotRun: false,
            }),
          );
          cancel();
          return;
        }
        if (!held && shouldInject(HistoryFaultKind.FramesReordered)) {
          held = [index, token];
          return;
        }
        deliverToken(index, token);
        flushHeldToken();
        if (shouldInject(HistoryFaultKind.FramesRepeated)) {
          deliverToken(index, token);
        }
      },
      onEnd: (reason, count) => end(() => listener.onEnd(reason, count)),
      onFailure: (failure) => end(() => listener.onFailure(failure)),
    };
    if (!isCut(firstEngine)) {
      cancel = options.open(call, faultyListener);
    }
    return () => {
      if (!isCut(firstEngine)) {
        cancel();
      }
    };
  };
}
