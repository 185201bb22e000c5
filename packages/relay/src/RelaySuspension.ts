/**
 * Detects that the whole process was suspended. The monotonic clock does not count that time, so stale data looks
 * fresh; the wall clock does. A wall clock that is set forward looks the same, and costs one query.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelaySuspension {
  /** Monotonic time at which the latest suspension was detected; data from before it may be stale. */
  getResumedAt(): Millis;
}

/** Clock drift between two checks is smaller, and a shorter pause hides no change for long. */
const MIN_PAUSE: Millis = 300;

/** `wallNow` returns wall-clock time in ms. */
export function createRelaySuspension(
  timers: TimerService,
  wallNow: () => Millis,
): RelaySuspension {
  let resumedAt = -Infinity;
  let offset = wallNow() - timers.now();

  return {
    getResumedAt() {
      const now = timers.now();
      const before = offset;
      offset = wallNow() - now;
      if (offset - before > MIN_PAUSE) {
        resumedAt = now;
      }
      return resumedAt;
    },
  };
}
