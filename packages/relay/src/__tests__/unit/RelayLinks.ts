/** Rate-limited links between instances and a store in virtual time, for tests of the store sync. */
import { LARGE_RESPONSE_LIMITS } from '@skylarksail/core/CoreResponseTimeout';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreChanges, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';

/** Rate of a link in bytes per millisecond, in each direction. */
export type LinkRate = number;

export interface FakeLinks {
  /**
   * Transfers an answer between two places. Resolves to false if no time is left in which it may begin, or if it does
   * not finish within the limit for a whole answer; the rest is then not sent.
   */
  transfer(
    from: string,
    to: string,
    bytes: number,
    limits: { readonly timeLeft: Millis; readonly whole: Millis },
  ): Promise<boolean>;
  /** Bytes that a place has sent, whether or not they arrived in time. */
  countSent(from: string): number;
}

interface Transfer {
  readonly from: string;
  readonly to: string;
  readonly remainingBytes: number;
  readonly deadline: Millis;
  readonly end: (hasArrived: boolean) => void;
}

/** Simulation step, in which rates are constant. */
const TICK_INTERVAL: Millis = 5;
/** Overhead of an item beyond its key and value, and of a message without items. */
const OVERHEAD_BYTES = 120;
/** The store encodes values as base64. */
const BASE64_OVERHEAD = 4 / 3;

/** Creates links whose rate is shared evenly by their transfers. */
export function createFakeLinks(
  timers: TimerService,
  getRate: (place: string) => LinkRate,
): FakeLinks {
  let transfers: Transfer[] = [];
  const sent = new Map<string, number>();

  function countBy(pick: (transfer: Transfer) => string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    transfers.forEach((transfer) => {
      counts.set(pick(transfer), (counts.get(pick(transfer)) ?? 0) + 1);
    });
    return counts;
  }

  function tick(): void {
    const up = countBy(({ from }) => from);
    const down = countBy(({ to }) => to);
    transfers = transfers.map((transfer) => {
      const { from, to, remainingBytes } = transfer;
      const rate = Math.min(getRate(from) / (up.get(from) ?? 1), getRate(to) / (down.get(to) ?? 1));
      const moved = Math.min(remainingBytes, rate * TICK_INTERVAL);
      sent.set(from, (sent.get(from) ?? 0) + moved);
      return { ...transfer, remainingBytes: remainingBytes - moved };
    });
    const ended = transfers.filter(
      ({ remainingBytes, deadline }) => remainingBytes <= 0 || timers.now() >= deadline,
    );
    transfers = transfers.filter(
      ({ remainingBytes, deadline }) => remainingBytes > 0 && timers.now() < deadline,
    );
    ended.forEach(({ remainingBytes, end }) => end(remainingBytes <= 0));
    if (transfers.length > 0) {
      timers.registerTimeout(TICK_INTERVAL, tick);
    }
  }

  return {
    transfer: (from, to, bytes, { timeLeft, whole }) =>
      new Promise((end) => {
        if (transfers.length === 0) {
          timers.registerTimeout(TICK_INTERVAL, tick);
        }
        transfers.push({
          from,
          to,
          remainingBytes: bytes,
          deadline: timers.now() + (timeLeft > 0 ? whole : 0),
          end,
        });
      }),
    countSent: (from) => sent.get(from) ?? 0,
  };
}

function countItemBytes(items: readonly StoreItem[]): number {
  return items.reduce(
    (sum, { key, value }) => sum + key.length + value.length + OVERHEAD_BYTES,
    OVERHEAD_BYTES,
  );
}

function countStoreBytes(items: readonly StoreItem[]): number {
  return BASE64_OVERHEAD * countItemBytes(items);
}

function countChangeBytes(changes: StoreChanges): number {
  const events = changes.kind === 'events' ? changes.events : [];
  return countStoreBytes(events.flatMap((event) => (event.kind === 'written' ? event.item : [])));
}

/** Connection of one instance to the store: each answer takes time on the link and may arrive too late. */
export function createLinkedPort(
  links: FakeLinks,
  timers: TimerService,
  self: string,
  store: StoreRangePort,
): StoreRangePort {
  async function limitRate<T>(
    timeout: Millis,
    work: Promise<StoreOutcome<T>>,
    countBytes: (value: T) => number,
  ): Promise<StoreOutcome<T>> {
    const until = timers.now() + timeout;
    const outcome = await work;
    const bytes = outcome.kind === 'done' ? countBytes(outcome.value) : OVERHEAD_BYTES;
    const begunAt = timers.now();
    const hasArrived = await links.transfer('store', self, bytes, {
      timeLeft: until - begunAt,
      whole: LARGE_RESPONSE_LIMITS.whole,
    });
    if (!hasArrived) {
      return { kind: 'unknown' };
    }
    return outcome.kind === 'done' ? { ...outcome, arrivalTime: timers.now() - begunAt } : outcome;
  }

  return {
    ...store,
    readRange: (prefix, after, options) =>
      limitRate(options.timeout, store.readRange(prefix, after, options), ({ items }) =>
        countStoreBytes(items),
      ),
    watchRange: (prefix, since, wait, options) =>
      limitRate(options.timeout, store.watchRange(prefix, since, wait, options), countChangeBytes),
  };
}
