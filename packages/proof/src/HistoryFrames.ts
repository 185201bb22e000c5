/** Calls from an instance to engines whose frames get lost, repeated, late, out of order or garbled. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { EngineCallListener, OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { HistoryFaultName } from './HistoryPlan.js';
import { HistoryFaultKind } from './HistoryPlan.js';

export interface FrameOptions {
  readonly open: OpenEngineCall;
  readonly timers: TimerService;
  readonly random: Random;
  /** Faults of this instance's frames now. */
  readonly hasFault: (kind: HistoryFaultName) => boolean;
  /** Whether nothing passes between the instance and the engine now. */
  readonly isCut: (engine: string) => boolean;
  readonly onFrame: (request: string, attempt: number, index: number) => void;
}

const LATE_BY: Millis = 300;
const FAULT_SHARE = 0.2;

/** Opens calls whose frames suffer the faults of the moment. */
export function createFaultyCalls(options: FrameOptions): OpenEngineCall {
  const { timers, random, hasFault, isCut, onFrame } = options;

  return (call, listener) => {
    const first = call.chain.stages[0]?.engine ?? '';
    let held: readonly [number, string] | null = null;
    let isOver = false;
    let cancel: () => void = () => undefined;

    /** Carries a frame, late or not at all; a frame under way outlives the call that it belongs to. */
    function carry(arrive: () => void): void {
      if (isCut(first)) {
        return;
      }
      if (hasFault(HistoryFaultKind.FramesLate)) {
        timers.registerTimeout(LATE_BY, arrive);
      } else {
        arrive();
      }
    }

    function draw(kind: HistoryFaultName): boolean {
      return hasFault(kind) && random.nextFloat() < FAULT_SHARE;
    }

    function giveToken(index: number, token: string): void {
      carry(() => {
        onFrame(call.request, call.attempt, index);
        listener.onToken(index, token);
      });
    }

    function flush(): void {
      if (held) {
        giveToken(...held);
        held = null;
      }
    }

    function end(arrive: () => void): void {
      if (!isOver) {
        isOver = true;
        flush();
        carry(arrive);
      }
    }

    const wrapped: EngineCallListener = {
      onAcknowledged(acknowledgement) {
        const isWrong = draw(HistoryFaultKind.WrongAcknowledgement);
        const stages = isWrong ? acknowledgement.stages.slice(1) : acknowledgement.stages;
        carry(() => listener.onAcknowledged({ ...acknowledgement, stages }));
      },
      onToken(index, token) {
        if (isOver || draw(HistoryFaultKind.FramesLost)) {
          return;
        }
        if (draw(HistoryFaultKind.FramesGarbage)) {
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
        if (!held && draw(HistoryFaultKind.FramesReordered)) {
          held = [index, token];
          return;
        }
        giveToken(index, token);
        flush();
        if (draw(HistoryFaultKind.FramesRepeated)) {
          giveToken(index, token);
        }
      },
      onEnd: (reason, count) => end(() => listener.onEnd(reason, count)),
      onFailure: (failure) => end(() => listener.onFailure(failure)),
    };
    if (!isCut(first)) {
      cancel = options.open(call, wrapped);
    }
    return () => {
      if (!isCut(first)) {
        cancel();
      }
    };
  };
}
