/**
 * Detects that the whole process was suspended. The wall clock counts that time, but the monotonic clock does not, so
 * stale data appears fresh. A wall clock that is set forward is taken for a suspension too, which costs one query.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelaySuspension {
  /** Monotonic time at which the latest suspension was detected; data from before it may be stale. */
  getResumedAt(): Millis;
}

/**
 * Shortest pause that counts as a suspension: clock drift between two checks is smaller, and a shorter pause hides no
 * change for long.
 */
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
