/**
 * Ports that send nothing for a caller while its close may wait unread. All work for callers and peers begins here, also what
 * waited for a slot, a retry or an answer of another instance: in a late turn of the event loop, the event that lets it begin
 * is often read before the close of the caller's connection.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall, OpenServiceCall } from '@skylarksail/requests/RequestPorts';
import type { LoopWatch } from './RelayLoopWatch.js';
import type { BackendPorts } from './RelayPorts.js';

export interface CaughtUpPortsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly loop: Pick<LoopWatch, 'whenRead'>;
}

export function createCaughtUpPorts(
  own: BackendPorts,
  { timers, loop }: CaughtUpPortsOptions,
): BackendPorts {
  /** Opens a call with the time that is left then; one without any is left to its end, which is due. */
  function openLater(timeLeft: Millis, open: (timeLeft: Millis) => Unregister): Unregister {
    const startedAt = timers.now();
    let cancel: Unregister = () => undefined;
    const cancelWait = loop.whenRead(() => {
      const left = timeLeft - (timers.now() - startedAt);
      if (left > 0) {
        cancel = open(left);
      }
    });
    return () => {
      cancelWait();
      cancel();
    };
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    listener.onConnection?.(false);
    return openLater(call.timeLeft, (timeLeft) =>
      own.openEngineCall({ ...call, timeLeft }, listener),
    );
  };

  const openServiceCall: OpenServiceCall = (call, listener) => {
    listener.onConnection?.(false);
    return openLater(call.timeLeft, (timeLeft) =>
      own.openServiceCall({ ...call, timeLeft }, listener),
    );
  };

  return { ...own, openEngineCall, openServiceCall };
}
