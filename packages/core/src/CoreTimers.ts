/** The timer service that all components use, and its virtual-time implementation for tests and benchmarks. */
import TinyQueue from 'tinyqueue';
import type { Millis, Unregister } from './CoreTypes.js';
import { invariant } from './CoreErrors.js';

/** Clock and timers. Components use only this and never read a system clock directly. */
export interface TimerService {
  /** Monotonic time in milliseconds. */
  now(): Millis;
  /** Calls `listener` once, `delay` milliseconds from now. */
  registerTimeout(delay: Millis, listener: () => void): Unregister;
  /** Calls `listener` every `period` milliseconds, first after one period. */
  registerInterval(period: Millis, listener: () => void): Unregister;
}

interface Timer {
  readonly at: Millis;
  readonly order: number;
  readonly listener: () => void;
  cancelled: boolean;
}

/** A timer service whose time changes only through `advanceTo` and `advanceToAsync`. */
export interface VirtualTimers extends TimerService {
  /** Fires all timers due up to `time`, ordered by due time and then by registration. */
  advanceTo(time: Millis): void;
  /** Like `advanceTo`, but runs pending promise callbacks between timers. */
  advanceToAsync(time: Millis): Promise<void>;
  /** Number of timers that are neither fired nor cancelled. */
  countPending(): number;
}

/** Creates virtual timers whose time starts at `start`. */
export function createVirtualTimers(start: Millis = 0): VirtualTimers {
  let now = start;
  let nextOrder = 0;
  const queue = new TinyQueue<Timer>([], compareTimers);

  function registerTimeout(delay: Millis, listener: () => void): Unregister {
    const timer: Timer = {
      at: now + Math.max(0, delay),
      order: nextOrder,
      listener,
      cancelled: false,
    };
    nextOrder += 1;
    queue.push(timer);
    return () => {
      timer.cancelled = true;
    };
  }

  function registerInterval(period: Millis, listener: () => void): Unregister {
    invariant(period > 0, 'the period of an interval must be positive');
    let stopped = false;
    let cancel = registerTimeout(period, function fire() {
      cancel = registerTimeout(period, fire);
      if (!stopped) {
        listener();
      }
    });
    return () => {
      stopped = true;
      cancel();
    };
  }

  function fireNext(limit: Millis): boolean {
    while (queue.peek()?.cancelled) {
      queue.pop();
    }
    const timer = queue.peek();
    if (!timer || timer.at > limit) {
      return false;
    }
    queue.pop();
    now = timer.at;
    timer.listener();
    return true;
  }

  return {
    now: () => now,
    registerTimeout,
    registerInterval,
    countPending: () => queue.data.filter((timer) => !timer.cancelled).length,
    advanceTo(time) {
      while (fireNext(time));
      now = Math.max(now, time);
    },
    async advanceToAsync(time) {
      await settlePromises();
      while (fireNext(time)) {
        await settlePromises();
      }
      now = Math.max(now, time);
    },
  };
}

/** Waits until every promise that does not depend on timers or I/O has settled. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function compareTimers(a: Timer, b: Timer): number {
  return a.at - b.at || a.order - b.order;
}
