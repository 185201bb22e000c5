/**
 * In-memory range store with leases, as the relay's store offers them. It keeps the record of every lease and of every
 * binding of a key, so that a soak can tell what a stopped process left behind. It can come back from a copy: what was
 * written since is lost, revisions and lease ids are given out again, and the era rises by one.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** How a lease ended; `lost` with the history of its era. */
export const LeaseEnd = { Revoked: 'revoked', Lapsed: 'lapsed', Lost: 'lost' } as const;
export type LeaseEndName = (typeof LeaseEnd)[keyof typeof LeaseEnd];

/** A lease with its life so far; `owner` is the process that asked for it. */
export interface LeaseRecord {
  readonly id: number;
  /** Number of this record, unlike the id never given out again; a lease that a copy brings back has a new one. */
  readonly grant: number;
  readonly owner: string;
  readonly ttl: Millis;
  readonly grantedAt: Millis;
  readonly renewedAt: readonly Millis[];
  readonly endedAt: Millis | null;
  readonly end: LeaseEndName | null;
}

/** The time for which a key had one value under one lease; `removedAt` is null while it has. */
export interface KeyRecord {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
  /** Record of the lease; 0 for none. */
  readonly grant: number;
  readonly setAt: Millis;
  readonly removedAt: Millis | null;
}

export interface RangeItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

export interface RangeTombstone {
  readonly key: string;
  readonly revision: number;
  readonly tombstone: true;
}

export type RangeEvent = RangeItem | RangeTombstone;

export interface RangeWrite {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

export type RangeWriteResult =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'no-lease' };

/** Contents of the store at one time. */
export interface RangeCopy {
  readonly items: ReadonlyMap<string, RangeItem>;
  readonly events: readonly RangeEvent[];
  readonly leases: readonly LeaseRecord[];
  readonly revision: number;
  readonly lastLease: number;
}

export interface StandInRangeStore {
  getRevision(): number;
  /** Number of the history; 1 until the first return from a copy. */
  getEra(): number;
  takeCopy(): RangeCopy;
  /** Comes back from a copy; its live leases have their whole time again. */
  returnFrom(copy: RangeCopy): void;
  listItems(prefix: string): readonly RangeItem[];
  listEvents(prefix: string, after: number): readonly RangeEvent[];
  /** Applies all or nothing; `expected` maps keys to revisions, 0 for a key that must not exist. */
  write(
    expected: readonly { readonly key: string; readonly revision: number }[],
    writes: readonly RangeWrite[],
    removals: readonly string[],
  ): RangeWriteResult;
  grant(owner: string, ttl: Millis): number;
  /** Whether the lease was live and is renewed. */
  renew(lease: number): boolean;
  /** Whether the lease was live and is ended. */
  revoke(lease: number): boolean;
  /** Ends the leases whose time is over. */
  expireLeases(): void;
  /** Postpones the lapse of all live leases, as after an outage in which leases pause. */
  postponeLapses(time: Millis): void;
  /** Calls `listener` after each change of a key. */
  registerListener(listener: () => void): () => void;
  listLeases(): readonly LeaseRecord[];
  listKeys(): readonly KeyRecord[];
}

type MutableLease = { -readonly [K in keyof LeaseRecord]: LeaseRecord[K] } & {
  renewedAt: Millis[];
  lapsesAt: Millis;
};
type MutableKey = { -readonly [K in keyof KeyRecord]: KeyRecord[K] };

/** Creates an empty store; `now` gives milliseconds. */
export function createStandInRangeStore(now: () => Millis): StandInRangeStore {
  const items = new Map<string, RangeItem>();
  const events: RangeEvent[] = [];
  const leases = new Map<number, MutableLease>();
  const leaseRecords: MutableLease[] = [];
  const keyRecords: MutableKey[] = [];
  const openRecords = new Map<string, MutableKey>();
  const listeners = new Set<() => void>();
  let revision = 1;
  let era = 1;
  let lastLease = 0;

  function findLiveLease(id: number): MutableLease | null {
    const lease = leases.get(id);
    return lease && lease.endedAt === null && now() < lease.lapsesAt ? lease : null;
  }

  function closeRecord(key: string): void {
    const record = openRecords.get(key);
    if (record) {
      record.removedAt = now();
      openRecords.delete(key);
    }
  }

  function setItem({ key, value, lease }: RangeWrite): void {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    events.push(item);
    openRecord({ key, value, lease });
  }

  function openRecord({ key, value, lease }: RangeWrite): void {
    closeRecord(key);
    const grant = leases.get(lease)?.grant ?? 0;
    const record = { key, value, lease, grant, setAt: now(), removedAt: null };
    keyRecords.push(record);
    openRecords.set(key, record);
  }

  function addLease(lease: MutableLease): void {
    leases.set(lease.id, lease);
    leaseRecords.push(lease);
  }

  function removeItem(key: string): void {
    if (items.delete(key)) {
      events.push({ key, revision, tombstone: true });
      closeRecord(key);
    }
  }

  function notify(): void {
    [...listeners].forEach((listener) => listener());
  }

  function endLease(lease: MutableLease, end: LeaseEndName): void {
    Object.assign(lease, { endedAt: now(), end });
    const bound = [...items.values()].filter((item) => item.lease === lease.id);
    if (bound.length > 0) {
      revision += 1;
      bound.forEach(({ key }) => removeItem(key));
      notify();
    }
  }

  function expireLeases(): void {
    [...leases.values()]
      .filter(({ endedAt, lapsesAt }) => endedAt === null && now() >= lapsesAt)
      .forEach((lease) => endLease(lease, LeaseEnd.Lapsed));
  }

  function loseAll(): void {
    [...openRecords.keys()].forEach(closeRecord);
    [...leases.values()]
      .filter(({ endedAt }) => endedAt === null)
      .forEach((lease) => Object.assign(lease, { endedAt: now(), end: LeaseEnd.Lost }));
    items.clear();
    leases.clear();
  }

  function returnFrom(copy: RangeCopy): void {
    loseAll();
    era += 1;
    ({ revision, lastLease } = copy);
    events.splice(0, events.length, ...copy.events);
    copy.leases.forEach((lease) =>
      addLease({
        ...lease,
        grant: leaseRecords.length + 1,
        renewedAt: [],
        lapsesAt: now() + lease.ttl,
      }),
    );
    copy.items.forEach((item) => {
      items.set(item.key, item);
      openRecord(item);
    });
    notify();
  }

  return {
    getRevision: () => revision,
    getEra: () => era,
    takeCopy: () => ({
      items: new Map(items),
      events: [...events],
      leases: [...leases.values()]
        .filter(({ endedAt }) => endedAt === null)
        .map((lease) => ({ ...lease })),
      revision,
      lastLease,
    }),
    returnFrom,
    listItems: (prefix) =>
      [...items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    listEvents: (prefix, after) =>
      events.filter((event) => event.revision > after && event.key.startsWith(prefix)),
    write(expected, writes, removals) {
      if (writes.some(({ lease }) => lease !== 0 && findLiveLease(lease) === null)) {
        return { kind: 'no-lease' };
      }
      if (expected.some((one) => (items.get(one.key)?.revision ?? 0) !== one.revision)) {
        return { kind: 'conflict' };
      }
      revision += 1;
      writes.forEach(setItem);
      removals.forEach(removeItem);
      notify();
      return { kind: 'written', revision };
    },
    grant(owner, ttl) {
      lastLease += 1;
      const id = lastLease;
      addLease({
        id,
        grant: leaseRecords.length + 1,
        owner,
        ttl,
        grantedAt: now(),
        renewedAt: [],
        lapsesAt: now() + ttl,
        endedAt: null,
        end: null,
      });
      return id;
    },
    renew(id) {
      const lease = findLiveLease(id);
      if (lease) {
        lease.renewedAt.push(now());
        lease.lapsesAt = now() + lease.ttl;
      }
      return lease !== null;
    },
    revoke(id) {
      const lease = findLiveLease(id);
      if (lease) {
        endLease(lease, LeaseEnd.Revoked);
      }
      return lease !== null;
    },
    expireLeases,
    postponeLapses(time) {
      leases.forEach((lease) => Object.assign(lease, { lapsesAt: lease.lapsesAt + time }));
    },
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listLeases: () => leaseRecords,
    listKeys: () => keyRecords,
  };
}
