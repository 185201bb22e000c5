/**
 * Leases of the stand-in platform: one holder for each key, with a fencing number that grows with each grant. It keeps
 * a record of each grant, so that a soak can tell what a stopped daemon left behind.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** How a grant ended: by its holder, by its holder's next grant, or as its time was over. */
export const GrantEnd = { Released: 'released', Replaced: 'replaced', Lapsed: 'lapsed' } as const;
export type GrantEndName = (typeof GrantEnd)[keyof typeof GrantEnd];

/** A grant of a lease with its life so far; times in milliseconds since 1970. */
export interface GrantRecord {
  readonly key: string;
  readonly holder: string;
  readonly fencing: number;
  readonly ttlMs: Millis;
  readonly grantedAt: Millis;
  readonly expiresAt: Millis;
  /** Null while the lease is held. */
  readonly endedAt: Millis | null;
  readonly end: GrantEndName | null;
}

export interface StandInLeases {
  /** Returns the lease that is held, or null. */
  read(key: string): GrantRecord | null;
  /** Grants the lease unless another one holds it; its own holder gets it under a new fencing number. */
  acquire(key: string, holder: string, ttlMs: Millis): GrantRecord | null;
  /** Renews the lease; null if it is not held under this fencing number. */
  renew(key: string, holder: string, fencing: number): GrantRecord | null;
  /** Ends the lease; false if it is not held under this fencing number. */
  release(key: string, holder: string, fencing: number): boolean;
  /** Returns all grants in order. */
  listRecords(): readonly GrantRecord[];
}

type MutableGrant = { -readonly [K in keyof GrantRecord]: GrantRecord[K] };

/** Creates a table without leases; `now` gives milliseconds since 1970. */
export function createStandInLeases(now: () => Millis): StandInLeases {
  const records: MutableGrant[] = [];
  const newest = new Map<string, MutableGrant>();

  function find(key: string): MutableGrant | null {
    const grant = newest.get(key);
    if (!grant || grant.endedAt !== null) {
      return null;
    }
    if (grant.expiresAt <= now()) {
      end(grant, GrantEnd.Lapsed, grant.expiresAt);
      return null;
    }
    return grant;
  }

  function findOwn(key: string, holder: string, fencing: number): MutableGrant | null {
    const grant = find(key);
    return grant?.holder === holder && grant.fencing === fencing ? grant : null;
  }

  function end(grant: MutableGrant, how: GrantEndName, endedAt: Millis): void {
    Object.assign(grant, { end: how, endedAt });
  }

  return {
    read: find,
    acquire(key, holder, ttlMs) {
      const current = find(key);
      if (current && current.holder !== holder) {
        return null;
      }
      if (current) {
        end(current, GrantEnd.Replaced, now());
      }
      const grant = {
        key,
        holder,
        fencing: (newest.get(key)?.fencing ?? 0) + 1,
        ttlMs,
        grantedAt: now(),
        expiresAt: now() + ttlMs,
        endedAt: null,
        end: null,
      };
      records.push(grant);
      newest.set(key, grant);
      return grant;
    },
    renew(key, holder, fencing) {
      const grant = findOwn(key, holder, fencing);
      if (grant) {
        grant.expiresAt = now() + grant.ttlMs;
      }
      return grant;
    },
    release(key, holder, fencing) {
      const grant = findOwn(key, holder, fencing);
      if (grant) {
        end(grant, GrantEnd.Released, now());
      }
      return grant !== null;
    },
    listRecords() {
      newest.forEach((_, key) => find(key));
      return records;
    },
  };
}
