/** Coalesces calls that come close together. */
import type { TimerService } from '@skylarksail/core/CoreTimers';

/**
 * Runs `work` once after the current task, however often the returned function is called until then. One answer of the
 * store may contain dozens of servers, each of which requests a recomputation of all engines' facts.
 */
export function coalesce(timers: TimerService, work: () => void): () => void {
  let isScheduled = false;
  return () => {
    if (!isScheduled) {
      isScheduled = true;
      timers.registerTimeout(0, () => {
        isScheduled = false;
        work();
      });
    }
  };
}
