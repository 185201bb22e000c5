/**
 * In-memory StoreRangePort for tests, with outages, lease expiry, compaction and returns from a copy as in the real store.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from './StorePort.js';
import type { StoreEvent, StoreItem, StoreRangePort } from './StoreRange.js';

export interface FakeRangeStore extends StoreRangePort {
  /** Writes unconditionally, as the operator and the backend servers do. */
  put(key: string, value: string): void;
  remove(key: string): void;
  get(key: string): string | null;
  /** While unavailable, every call resolves as `unknown`. */
  setAvailable(isUp: boolean): void;
  /** Discards the event history; watches from an older revision get `compacted`. */
  compact(): void;
  /** Copies the contents, the revision and the leases, to come back from later. */
  takeCopy(): FakeStoreCopy;
  /**
   * Comes back from a copy: revisions and lease ids that were given out since are given out again, waiting watches are
   * cut, and the era rises by one.
   */
  returnFrom(copy: FakeStoreCopy): void;
  countCalls(): number;
}

/** Contents of the store at one time. */
export interface FakeStoreCopy {
  readonly items: ReadonlyMap<string, FakeItem>;
  readonly leases: ReadonlyMap<number, Lease>;
  readonly log: readonly StoreEvent[];
  readonly revision: number;
  readonly lastLease: number;
}

type FakeItem = StoreItem & { readonly lease: number };

export interface FakeRangeStoreOptions {
  /** Whether each answer names the store's era; defaults to false. */
  readonly namesEra?: boolean;
}

interface Lease {
  readonly ttl: Millis;
  expiresAt: Millis;
}

const PAGE_SIZE = 10;

export function createFakeRangeStore(
  timers: TimerService,
  { namesEra = false }: FakeRangeStoreOptions = {},
): FakeRangeStore {
  let items = new Map<string, FakeItem>();
  let leases = new Map<number, Lease>();
  let era = 1;
  let log: StoreEvent[] = [];
  let revision = 1;
  let compactedRevision = 0;
  let isUp = true;
  let calls = 0;
  let lastLease = 0;
  /** Callbacks of pending watches; each is called on the next change. */
  const waiting = new Set<() => void>();

  function notifyWatches(): void {
    [...waiting].forEach((notify) => notify());
  }

  /** Resolves at the next change, when the first lease expires, or at `until`, whichever is first. */
  function waitForChange(until: Millis): Promise<void> {
    const resolveAt = Math.min(until, ...[...leases.values()].map((lease) => lease.expiresAt));
    return new Promise((resolve) => {
      const cancelTimeout = timers.registerTimeout(Math.max(0, resolveAt - timers.now()), finish);
      function finish(): void {
        cancelTimeout();
        waiting.delete(finish);
        resolve();
      }
      waiting.add(finish);
    });
  }

  function put(key: string, value: string, lease = 0): void {
    revision += 1;
    const item = { key, value, revision, lease };
    items.set(key, item);
    log.push({ kind: 'written', item });
    notifyWatches();
  }

  function remove(key: string): void {
    if (items.delete(key)) {
      revision += 1;
      log.push({ kind: 'removed', key, revision });
      notifyWatches();
    }
  }

  function expireLeases(): void {
    for (const [id, { expiresAt }] of leases) {
      if (timers.now() >= expiresAt) {
        endLease(id);
      }
    }
  }

  function endLease(id: number): void {
    leases.delete(id);
    [...items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => remove(key));
  }

  function answer<T>(operation: () => StoreOutcome<T>): Promise<StoreOutcome<T>> {
    calls += 1;
    expireLeases();
    return Promise.resolve(isUp ? nameEra(operation()) : { kind: 'unknown' });
  }

  function nameEra<T>(outcome: StoreOutcome<T>): StoreOutcome<T> {
    return namesEra && outcome.kind !== 'unknown' ? { ...outcome, era } : outcome;
  }

  function copyLeases(from: ReadonlyMap<number, Lease>): Map<number, Lease> {
    return new Map([...from].map(([id, lease]) => [id, { ...lease }]));
  }

  function getRevision(event: StoreEvent): number {
    return event.kind === 'written' ? event.item.revision : event.revision;
  }

  function getKey(event: StoreEvent): string {
    return event.kind === 'written' ? event.item.key : event.key;
  }

  return {
    put,
    remove,
    get: (key) => items.get(key)?.value ?? null,
    setAvailable(next) {
      isUp = next;
      notifyWatches();
    },
    compact() {
      compactedRevision = revision;
      log = [];
      notifyWatches();
    },
    takeCopy: () => ({
      items: new Map(items),
      leases: copyLeases(leases),
      log: [...log],
      revision,
      lastLease,
    }),
    returnFrom(copy) {
      items = new Map(copy.items);
      leases = copyLeases(copy.leases);
      log = [...copy.log];
      ({ revision, lastLease } = copy);
      era += 1;
      notifyWatches();
    },
    countCalls: () => calls,
    readRange: (prefix, after) =>
      answer(() => {
        const found = [...items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > (after ?? ''))
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const page = found.slice(0, PAGE_SIZE);
        const next = found.length > PAGE_SIZE ? (page.at(-1)?.key ?? null) : null;
        return { kind: 'done', value: { items: page, next, revision } };
      }),
    async watchRange(prefix, from, wait) {
      calls += 1;
      const endsAt = timers.now() + wait;
      const askedEra = era;
      for (;;) {
        expireLeases();
        if (!isUp || era !== askedEra) {
          return { kind: 'unknown' };
        }
        if (from < compactedRevision || from > revision) {
          return nameEra({ kind: 'done', value: { kind: 'compacted' } });
        }
        const events = log.filter(
          (event) => getRevision(event) > from && getKey(event).startsWith(prefix),
        );
        if (events.length > 0 || timers.now() >= endsAt) {
          return nameEra({ kind: 'done', value: { kind: 'events', events, revision } });
        }
        await waitForChange(endsAt);
      }
    },
    write: (conditions, writes, removals) =>
      answer(() => {
        const isMet = conditions.every(
          ({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected,
        );
        if (!isMet) {
          return { kind: 'refused', reason: { kind: 'conflict', revision } };
        }
        if (writes.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
          return { kind: 'refused', reason: { kind: 'lapsed' } };
        }
        writes.forEach(({ key, value, lease }) => put(key, value, lease));
        removals.forEach(remove);
        return { kind: 'done', value: revision };
      }),
    grantLease: (ttl) =>
      answer(() => {
        lastLease += 1;
        leases.set(lastLease, { ttl, expiresAt: timers.now() + ttl });
        return { kind: 'done', value: lastLease };
      }),
    renewLease: (id) =>
      answer(() => {
        const lease = leases.get(id);
        if (!lease) {
          return { kind: 'refused', reason: { kind: 'lapsed' } };
        }
        lease.expiresAt = timers.now() + lease.ttl;
        return { kind: 'done', value: null };
      }),
    revokeLease: (id) =>
      answer(() => {
        endLease(id);
        return { kind: 'done', value: null };
      }),
  };
}
