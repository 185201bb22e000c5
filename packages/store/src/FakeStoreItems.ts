/**
 * State of the fake store: values with revisions, leases and change listeners. It has no clock of its
 * own; callers pass the current time to each lease operation.
 */
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreLease, StoreOutcome } from './StorePort.js';

/** Largest value that the service accepts, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;

interface HeldLease {
  readonly holder: string;
  readonly fencing: number;
  readonly expiresAt: Millis;
}

type ChangeListener = (entry: StoreEntry) => void;

const MISSING_ENTRY: StoreEntry = { revision: 0, value: '' };

export interface FakeStoreItems {
  read(key: string): StoreEntry;
  swap(key: string, expected: number, value: string): StoreOutcome<number>;
  remove(key: string, expected: number): StoreOutcome<number>;
  list(prefix: string): readonly string[];
  registerChange(key: string, listener: ChangeListener): Unregister;
  acquire(key: string, holder: string, ttl: Millis, now: Millis): StoreOutcome<StoreLease>;
  renew(lease: StoreLease, now: Millis): StoreOutcome<StoreLease>;
  release(lease: StoreLease, now: Millis): StoreOutcome<null>;
  /** Total size of all values, in bytes. */
  countBytes(): number;
}

/**
 * Creates an empty store. As in some services, the revision of a key that is removed and created again
 * restarts at 1, so that tests expose code that relies on revisions never repeating.
 */
export function createFakeStoreItems(): FakeStoreItems {
  const entries = new Map<string, StoreEntry>();
  const leases = new Map<string, HeldLease>();
  const listeners = new Map<string, Set<ChangeListener>>();
  let lastFencing = 0;

  function read(key: string): StoreEntry {
    return entries.get(key) ?? MISSING_ENTRY;
  }

  function notify(key: string): void {
    const entry = read(key);
    [...(listeners.get(key) ?? [])].forEach((listener) => listener(entry));
  }

  function findActiveLease(key: string, now: Millis): HeldLease | undefined {
    const lease = leases.get(key);
    return lease && lease.expiresAt > now ? lease : undefined;
  }

  function isHeldBy(lease: StoreLease, now: Millis): boolean {
    const held = findActiveLease(lease.key, now);
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
      const keyListeners = listeners.get(key) ?? new Set<ChangeListener>();
      keyListeners.add(listener);
      listeners.set(key, keyListeners);
      return () => {
        keyListeners.delete(listener);
      };
    },
    acquire(key, holder, ttl, now) {
      const held = findActiveLease(key, now);
      if (held && held.holder !== holder) {
        return { kind: 'refused', reason: { kind: 'held', holder: held.holder } };
      }
      lastFencing += 1;
      leases.set(key, { holder, fencing: lastFencing, expiresAt: now + ttl });
      return { kind: 'done', value: { key, holder, fencing: lastFencing, ttl } };
    },
    renew(lease, now) {
      if (!isHeldBy(lease, now)) {
        return { kind: 'refused', reason: { kind: 'lapsed' } };
      }
      leases.set(lease.key, {
        holder: lease.holder,
        fencing: lease.fencing,
        expiresAt: now + lease.ttl,
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
