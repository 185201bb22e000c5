/**
 * Holds the requests that were read until work on them begins: no more in a turn of the event loop than leave time to read
 * what came since, new requests and closes of callers. While an instance is behind it begins the newest first: the callers
 * of the oldest are about to leave, and in order of arrival it would be late for all.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { AfterTurn, LoopWatch } from './RelayLoopWatch.js';

export interface RelayArrivalsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly loop: Pick<LoopWatch, 'runCurrent'>;
  readonly afterTurn: AfterTurn;
}

/** A request that was read. */
export interface Arrival {
  /** Time at which its caller sent it, or a little earlier. */
  readonly sentAt: Millis;
  /** Time until which it may be held. */
  readonly holdUntil: Millis;
  begin(): void;
  /** It was held until then: it is better served by an instance that is not behind. */
  refuse(): void;
}

export interface RelayArrivals {
  /** Begins or refuses a request later; the returned function takes it back. */
  add(arrival: Arrival): Unregister;
  /** Number of requests that wait. */
  countWaiting(): number;
}

/**
 * Time in one turn of the event loop after which the rest of the requests waits for the next. Only one connection is
 * accepted in a turn, so long turns keep new callers waiting.
 */
const SLICE: Millis = 10;
/** Age of the oldest request from which the newest goes first. */
const LATE_AGE: Millis = 150;

export function createRelayArrivals(options: RelayArrivalsOptions): RelayArrivals {
  const { timers, loop, afterTurn } = options;
  const waiting = new Set<Arrival>();
  let isScheduled = false;

  function refuseOverdue(): void {
    const now = timers.now();
    [...waiting]
      .filter(({ holdUntil }) => holdUntil < now)
      .forEach((arrival) => {
        waiting.delete(arrival);
        arrival.refuse();
      });
  }

  /** Requests in the order in which they begin. */
  function listInOrder(): readonly Arrival[] {
    const oldestFirst = [...waiting].sort((a, b) => a.sentAt - b.sentAt);
    const [oldest] = oldestFirst;
    const isLate = oldest !== undefined && timers.now() - oldest.sentAt > LATE_AGE;
    return isLate ? oldestFirst.reverse() : oldestFirst;
  }

  function drain(): void {
    const startedAt = timers.now();
    refuseOverdue();
    for (const arrival of listInOrder()) {
      if (timers.now() - startedAt >= SLICE) {
        break;
      }
      // One that began before it may have ended it.
      if (waiting.delete(arrival)) {
        loop.runCurrent(arrival.begin);
      }
    }
    schedule();
  }

  /** Leaves the rest of this turn to the reading of what belongs to the same connections. */
  function schedule(): void {
    if (waiting.size === 0 || isScheduled) {
      return;
    }
    isScheduled = true;
    afterTurn(() => {
      isScheduled = false;
      drain();
    });
  }

  return {
    add(arrival) {
      waiting.add(arrival);
      schedule();
      return () => waiting.delete(arrival);
    },
    countWaiting: () => waiting.size,
  };
}
