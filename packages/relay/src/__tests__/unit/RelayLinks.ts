/** Links of a limited rate between instances and a store, in virtual time, for tests of what instances know. */
import { LARGE_ANSWER } from '@skylarksail/core/CoreArrival';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreChanges, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';

/** Bytes a millisecond of a link, in each direction. */
export type LinkRate = number;

export interface FakeLinks {
  /**
   * Carries an answer between two places. False if there is no time left in which it may begin, or if it does not end
   * within the time that a whole answer may take; then the rest is not sent.
   */
  transfer(
    from: string,
    to: string,
    bytes: number,
    limits: { readonly timeLeft: Millis; readonly whole: Millis },
  ): Promise<boolean>;
  /** Bytes that a place has sent, arrived in time or not. */
  countSent(from: string): number;
}

interface Transfer {
  readonly from: string;
  readonly to: string;
  readonly rest: number;
  readonly until: Millis;
  readonly end: (isThere: boolean) => void;
}

/** Time in which rates are taken as constant. */
const TICK: Millis = 5;
/** What an item, or a message without any, takes beside its key and value. */
const OVERHEAD_BYTES = 120;
/** The store sends values as base64. */
const BASE64 = 4 / 3;

/** Creates links that what passes through them shares evenly. */
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
      const { from, to, rest } = transfer;
      const rate = Math.min(getRate(from) / (up.get(from) ?? 1), getRate(to) / (down.get(to) ?? 1));
      const moved = Math.min(rest, rate * TICK);
      sent.set(from, (sent.get(from) ?? 0) + moved);
      return { ...transfer, rest: rest - moved };
    });
    const ended = transfers.filter(({ rest, until }) => rest <= 0 || timers.now() >= until);
    transfers = transfers.filter(({ rest, until }) => rest > 0 && timers.now() < until);
    ended.forEach(({ rest, end }) => end(rest <= 0));
    if (transfers.length > 0) {
      timers.registerTimeout(TICK, tick);
    }
  }

  return {
    transfer: (from, to, bytes, { timeLeft, whole }) =>
      new Promise((end) => {
        if (transfers.length === 0) {
          timers.registerTimeout(TICK, tick);
        }
        transfers.push({
          from,
          to,
          rest: bytes,
          until: timers.now() + (timeLeft > 0 ? whole : 0),
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
  return BASE64 * countItemBytes(items);
}

function countChangeBytes(changes: StoreChanges): number {
  const events = changes.kind === 'events' ? changes.events : [];
  return countStoreBytes(events.flatMap((event) => (event.kind === 'written' ? event.item : [])));
}

/** The way of one instance to the store: every answer takes its time on the link, and may be too late. */
export function createLinkedPort(
  links: FakeLinks,
  timers: TimerService,
  self: string,
  store: StoreRangePort,
): StoreRangePort {
  async function bound<T>(
    timeout: Millis,
    work: Promise<StoreOutcome<T>>,
    countBytes: (value: T) => number,
  ): Promise<StoreOutcome<T>> {
    const until = timers.now() + timeout;
    const outcome = await work;
    const bytes = outcome.kind === 'done' ? countBytes(outcome.value) : OVERHEAD_BYTES;
    const begunAt = timers.now();
    const isThere = await links.transfer('store', self, bytes, {
      timeLeft: until - begunAt,
      whole: LARGE_ANSWER.whole,
    });
    if (!isThere) {
      return { kind: 'unknown' };
    }
    return outcome.kind === 'done' ? { ...outcome, arrivalTime: timers.now() - begunAt } : outcome;
  }

  return {
    ...store,
    readRange: (prefix, after, options) =>
      bound(options.timeout, store.readRange(prefix, after, options), ({ items }) =>
        countStoreBytes(items),
      ),
    watchRange: (prefix, since, wait, options) =>
      bound(options.timeout, store.watchRange(prefix, since, wait, options), countChangeBytes),
  };
}
