/** Timer service on the monotonic clock of the process. */
import type { TimerService } from '@skylarksail/core/CoreTimers';

export function createSystemTimers(): TimerService {
  return {
    now: () => performance.now(),
    registerTimeout(delay, listener) {
      const timer = setTimeout(listener, Math.max(0, delay));
      return () => clearTimeout(timer);
    },
    registerInterval(period, listener) {
      const timer = setInterval(listener, period);
      return () => clearInterval(timer);
    },
  };
}
