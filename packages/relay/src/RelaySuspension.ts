/**
 * Finds out that the whole process was suspended. Its steady clock does not count that time, so what was known before
 * looks as fresh as ever; the time of day does. A time of day that is set forward looks the same, and costs a question.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelaySuspension {
  /** When the latest suspension was found to be over, on the steady clock; nothing learned before is known to hold. */
  getResumedAt(): Millis;
}

/** Clocks drift apart by less between two looks, and a pause of this length hides no change for long. */
const LEAST_PAUSE: Millis = 300;

/** `wallNow` gives the time of day in ms. */
export function createRelaySuspension(
  timers: TimerService,
  wallNow: () => Millis,
): RelaySuspension {
  let end = -Infinity;
  let offset = wallNow() - timers.now();

  return {
    getResumedAt() {
      const now = timers.now();
      const before = offset;
      offset = wallNow() - now;
      if (offset - before > LEAST_PAUSE) {
        end = now;
      }
      return end;
    },
  };
}
