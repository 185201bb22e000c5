/** The timer service that all parts subscribe to, and its virtual form for tests and benches. */
import TinyQueue from 'tinyqueue';
import type { Millis, Unregister } from './CoreTypes.js';
import { invariant } from './CoreErrors.js';

/** Source of time. Parts never read a clock of their own. */
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

/** A timer service whose time moves only when it is told to. */
export interface VirtualTimers extends TimerService {
  /** Runs everything due up to `time`, in order of time and then of registration. */
  advanceTo(time: Millis): void;
  /** The same, letting settled promises run between timers. */
  advanceToAsync(time: Millis): Promise<void>;
  /** Number of timers that have not yet fired. */
  countPending(): number;
}

/** Creates virtual time starting at `start`. */
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
    invariant(period > 0, 'the period of an interval is positive');
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

/** Lets every promise that can settle without time or input do so. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function compareTimers(a: Timer, b: Timer): number {
  return a.at - b.at || a.order - b.order;
}
