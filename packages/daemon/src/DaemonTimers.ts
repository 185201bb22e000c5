/** Timers on the monotonic clock of the process, and turns of its event loop. */
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

/** Calls `work` at the end of the present turn of the event loop, or of the next one if called at the end of a turn. */
export function afterTurn(work: () => void): void {
  setImmediate(work);
}

/**
 * Calls `work` once the event loop has read all input that waits now. What belongs to one connection may take two turns: the
 * first reads a request, and only the second the close that came right behind it.
 */
export function afterReading(work: () => void): void {
  afterTurn(() => afterTurn(work));
}
