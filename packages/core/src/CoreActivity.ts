/** An interval that runs only while there is work for it. */
import type { TimerService } from './CoreTimers.js';
import type { Millis, Unregister } from './CoreTypes.js';

export interface ActiveInterval {
  /** Starts the interval unless it runs. */
  start(): void;
  stop(): void;
}

/**
 * Calls `work` every `period` ms from `start` on, until it says that nothing is left to do. An instance at rest
 * is not woken for it: timers that only looked whether there was work were three in four of its wake-ups.
 */
export function createActiveInterval(
  timers: TimerService,
  period: Millis,
  work: () => boolean,
): ActiveInterval {
  let undo: Unregister | null = null;

  function stop(): void {
    undo?.();
    undo = null;
  }

  return {
    start() {
      undo ??= timers.registerInterval(period, () => {
        if (!work()) {
          stop();
        }
      });
    },
    stop,
  };
}
