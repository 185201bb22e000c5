/**
 * What the fake platform keeps: values with revisions, leases, and watches that wait. No time of its
 * own passes here; each call names the time at which it takes effect.
 */
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreLease, StoreOutcome } from './StorePort.js';

/** Largest value that the service holds, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;

interface HeldLease {
  readonly holder: string;
  readonly fencing: number;
  readonly lapsesAt: Millis;
}

type ChangeListener = (entry: StoreEntry) => void;

const NO_ENTRY: StoreEntry = { revision: 0, value: '' };

/** Values and leases of the fake platform. */
export interface FakeStoreItems {
  read(key: string): StoreEntry;
  swap(key: string, expected: number, value: string): StoreOutcome<number>;
  remove(key: string, expected: number): StoreOutcome<number>;
  list(prefix: string): readonly string[];
  registerChange(key: string, listener: ChangeListener): Unregister;
  acquire(key: string, holder: string, ttl: Millis, now: Millis): StoreOutcome<StoreLease>;
  renew(lease: StoreLease, now: Millis): StoreOutcome<StoreLease>;
  release(lease: StoreLease, now: Millis): StoreOutcome<null>;
  /** Bytes of all values. */
  countBytes(): number;
}

/**
 * Creates an empty store. Revisions start again at 1 when a removed key is created anew, as some
 * services do: a user who relies on revisions that never repeat is found out here.
 */
export function createFakeStoreItems(): FakeStoreItems {
  const entries = new Map<string, StoreEntry>();
  const leases = new Map<string, HeldLease>();
  const listeners = new Map<string, Set<ChangeListener>>();
  let lastFencing = 0;

  function read(key: string): StoreEntry {
    return entries.get(key) ?? NO_ENTRY;
  }

  function notify(key: string): void {
    const entry = read(key);
    [...(listeners.get(key) ?? [])].forEach((listener) => listener(entry));
  }

  function findLease(key: string, now: Millis): HeldLease | undefined {
    const lease = leases.get(key);
    return lease && lease.lapsesAt > now ? lease : undefined;
  }

  function isHeldBy(lease: StoreLease, now: Millis): boolean {
    const held = findLease(lease.key, now);
    return held?.holder === lease.holder && held.fencing === lease.fencing;
  }

  return {
    read,
    swap(key, expected, value) {
      const { revision } = read(key);
      if (revision !== expected) {
        return { kind: 'refused', reason: { kind: 'conflict', revision } };
      }
      if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
        return { kind: 'refused', reason: { kind: 'too-large' } };
      }
      entries.set(key, { revision: revision + 1, value });
      notify(key);
      return { kind: 'done', value: revision + 1 };
    },
    remove(key, expected) {
      const { revision } = read(key);
      if (revision !== expected) {
        return { kind: 'refused', reason: { kind: 'conflict', revision } };
      }
      entries.delete(key);
      notify(key);
      return { kind: 'done', value: 0 };
    },
    list: (prefix) => [...entries.keys()].filter((key) => key.startsWith(prefix)).sort(),
    registerChange(key, listener) {
      const ofKey = listeners.get(key) ?? new Set<ChangeListener>();
      ofKey.add(listener);
      listeners.set(key, ofKey);
      return () => {
        ofKey.delete(listener);
      };
    },
    acquire(key, holder, ttl, now) {
      const held = findLease(key, now);
      if (held && held.holder !== holder) {
        return { kind: 'refused', reason: { kind: 'held', holder: held.holder } };
      }
      lastFencing += 1;
      leases.set(key, { holder, fencing: lastFencing, lapsesAt: now + ttl });
      return { kind: 'done', value: { key, holder, fencing: lastFencing, ttl } };
    },
    renew(lease, now) {
      if (!isHeldBy(lease, now)) {
        return { kind: 'refused', reason: { kind: 'lapsed' } };
      }
      leases.set(lease.key, {
        holder: lease.holder,
        fencing: lease.fencing,
        lapsesAt: now + lease.ttl,
      });
      return { kind: 'done', value: lease };
    },
    release(lease, now) {
      if (!isHeldBy(lease, now)) {
        return { kind: 'refused', reason: { kind: 'lapsed' } };
      }
      leases.delete(lease.key);
      return { kind: 'done', value: null };
    },
    countBytes: () =>
      [...entries.values()].reduce((sum, entry) => sum + Buffer.byteLength(entry.value), 0),
  };
}
