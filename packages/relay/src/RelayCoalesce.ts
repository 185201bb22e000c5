/** Gathers calls that come together into one. */
import type { TimerService } from '@skylarksail/core/CoreTimers';

/**
 * Runs `work` once, as soon as what runs now has ended, however often it is asked for until then. One answer of
 * the store may tell of dozens of servers, each of which asks for all engines' facts anew.
 */
export function coalesce(timers: TimerService, work: () => void): () => void {
  let isDue = false;
  return () => {
    if (!isDue) {
      isDue = true;
      timers.registerTimeout(0, () => {
        isDue = false;
        work();
      });
    }
  };
}
