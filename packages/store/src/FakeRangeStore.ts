/** A store of keys in memory behind StoreRangePort, with the faults that a real one has. For tests. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from './StorePort.js';
import type { StoreEvent, StoreItem, StoreRangePort } from './StoreRange.js';

export interface FakeRangeStore extends StoreRangePort {
  /** Writes past all conditions, as the operator and the servers do. */
  put(key: string, value: string): void;
  remove(key: string): void;
  get(key: string): string | null;
  /** While down, no call is answered. */
  setAvailable(isUp: boolean): void;
  /** Forgets what happened so far; watches from before are told so. */
  compact(): void;
  countCalls(): number;
}

interface Lease {
  readonly ttl: Millis;
  until: Millis;
}

const PAGE = 10;

export function createFakeRangeStore(timers: TimerService): FakeRangeStore {
  const items = new Map<string, StoreItem & { readonly lease: number }>();
  const leases = new Map<number, Lease>();
  let log: StoreEvent[] = [];
  let revision = 1;
  let compactedAt = 0;
  let isUp = true;
  let calls = 0;
  /** Watches that wait for something to happen. */
  const waiting = new Set<() => void>();

  function wakeWatches(): void {
    [...waiting].forEach((wake) => wake());
  }

  /** Resolves with the next change, and at the latest when the first lease ends or the wait is over. */
  function waitForChange(until: Millis): Promise<void> {
    const firstEnd = Math.min(until, ...[...leases.values()].map((lease) => lease.until));
    return new Promise((resolve) => {
      const undo = timers.registerTimeout(Math.max(0, firstEnd - timers.now()), wake);
      function wake(): void {
        undo();
        waiting.delete(wake);
        resolve();
      }
      waiting.add(wake);
    });
  }

  function put(key: string, value: string, lease = 0): void {
    revision += 1;
    const item = { key, value, revision, lease };
    items.set(key, item);
    log.push({ kind: 'written', item });
    wakeWatches();
  }

  function remove(key: string): void {
    if (items.delete(key)) {
      revision += 1;
      log.push({ kind: 'removed', key, revision });
      wakeWatches();
    }
  }

  function expireLeases(): void {
    for (const [id, { until }] of leases) {
      if (timers.now() >= until) {
        endLease(id);
      }
    }
  }

  function endLease(id: number): void {
    leases.delete(id);
    [...items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => remove(key));
  }

  function answer<T>(work: () => StoreOutcome<T>): Promise<StoreOutcome<T>> {
    calls += 1;
    expireLeases();
    return Promise.resolve(isUp ? work() : { kind: 'unknown' });
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
      wakeWatches();
    },
    compact() {
      compactedAt = revision;
      log = [];
      wakeWatches();
    },
    countCalls: () => calls,
    readRange: (prefix, after) =>
      answer(() => {
        const found = [...items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > (after ?? ''))
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const page = found.slice(0, PAGE);
        const next = found.length > PAGE ? (page.at(-1)?.key ?? null) : null;
        return { kind: 'done', value: { items: page, next, revision } };
      }),
    async watchRange(prefix, from, wait) {
      calls += 1;
      const endsAt = timers.now() + wait;
      for (;;) {
        expireLeases();
        if (!isUp) {
          return { kind: 'unknown' };
        }
        if (from < compactedAt) {
          return { kind: 'done', value: { kind: 'compacted' } };
        }
        const events = log.filter(
          (event) => getRevision(event) > from && getKey(event).startsWith(prefix),
        );
        if (events.length > 0 || timers.now() >= endsAt) {
          return { kind: 'done', value: { kind: 'events', events, revision } };
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
        const id = leases.size + revision * 1000;
        leases.set(id, { ttl, until: timers.now() + ttl });
        return { kind: 'done', value: id };
      }),
    renewLease: (id) =>
      answer(() => {
        const lease = leases.get(id);
        if (!lease) {
          return { kind: 'refused', reason: { kind: 'lapsed' } };
        }
        lease.until = timers.now() + lease.ttl;
        return { kind: 'done', value: null };
      }),
    revokeLease: (id) =>
      answer(() => {
        endLease(id);
        return { kind: 'done', value: null };
      }),
  };
}
