/** Reports closed connections in a few log lines: a client that is closed again and again must not fill the log. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { CloseReasonName } from './ConnectionLimits.js';

/** Connections that were closed for one reason. */
export interface CloseReport {
  readonly reason: CloseReasonName;
  readonly count: number;
  /** Bytes that they held, all together. */
  readonly heldBytes: number;
}

export interface CloseReporter {
  /** Notes one; the first is reported at once, those that follow together after a while. */
  note(reason: CloseReasonName, heldBytes: number): void;
  readonly stop: Unregister;
}

const REPORT_PERIOD: Millis = 1000;

export function createCloseReporter(
  timers: TimerService,
  report: (closed: CloseReport) => void,
): CloseReporter {
  const collected = new Map<CloseReasonName, CloseReport>();
  const cancels = new Map<CloseReasonName, Unregister>();

  function reportCollected(reason: CloseReasonName): void {
    cancels.delete(reason);
    const closed = collected.get(reason);
    if (closed !== undefined) {
      collected.delete(reason);
      startPeriod(reason);
      report(closed);
    }
  }

  function startPeriod(reason: CloseReasonName): void {
    cancels.set(
      reason,
      timers.registerTimeout(REPORT_PERIOD, () => reportCollected(reason)),
    );
  }

  return {
    note(reason, heldBytes) {
      if (!cancels.has(reason)) {
        startPeriod(reason);
        report({ reason, count: 1, heldBytes });
        return;
      }
      const { count = 0, heldBytes: before = 0 } = collected.get(reason) ?? {};
      collected.set(reason, { reason, count: count + 1, heldBytes: before + heldBytes });
    },
    stop() {
      cancels.forEach((cancel) => cancel());
      cancels.clear();
    },
  };
}
