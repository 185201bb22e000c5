/**
 * The port to the platform: its configuration service (get, compare-and-swap, lease, long watch) and its
 * lagging instance list. Adapters and fakes implement it.
 * The weight store is not behind it: placement reckons with its rate alone.
 */
import type { InstanceRoleName, LifeStateName } from '@skylarksail/core/CoreConstants';
import type { DomainId, HostPort, Millis } from '@skylarksail/core/CoreTypes';

/**
 * What came of a call. `refused`: the service answered and took no effect. `unknown`: no answer came;
 * the effect may have happened, may yet happen, or never will.
 */
export type StoreOutcome<T> =
  | {
      readonly kind: 'done';
      readonly value: T;
      /** Time from the first byte of a long answer to its last: what it tells is so much older. */
      readonly arrivalTime?: Millis;
    }
  | { readonly kind: 'refused'; readonly reason: StoreRefusal }
  | { readonly kind: 'unknown' };

/** Why the service, or our own budget, refused a call. */
export type StoreRefusal =
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'held'; readonly holder: string }
  | { readonly kind: 'lapsed' }
  /** The history that was asked for is no longer kept. */
  | { readonly kind: 'compacted' }
  | { readonly kind: 'rate-limited'; readonly retryAfter: Millis }
  | { readonly kind: 'over-budget'; readonly retryAfter: Millis }
  /** Held back by our own client while the service does not answer; nothing was sent. */
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'invalid'; readonly detail: string };

/** A stored value. Revision 0 stands for a key that does not exist. */
export interface StoreEntry {
  readonly revision: number;
  readonly value: string;
}

/** A lease that we hold, as far as we know. */
export interface StoreLease {
  readonly key: string;
  readonly holder: string;
  /** Rises with every new holder; the service never gives a number twice. */
  readonly fencing: number;
  readonly ttl: Millis;
}

/** A line of the platform's instance list, which lags behind what is true. */
export interface InstanceRecord {
  readonly id: string;
  readonly role: InstanceRoleName;
  readonly domain: DomainId;
  readonly rack: string;
  readonly address: HostPort;
  /** Port for our own instances to talk to each other; 0 for backend servers. */
  readonly peerPort: number;
  readonly state: LifeStateName;
}

/** How long a call may take. */
export interface CallOptions {
  readonly timeout: Millis;
}

export interface StorePort {
  get(key: string, options: CallOptions): Promise<StoreOutcome<StoreEntry>>;
  /** Writes `value` if the key's revision is `expected`; 0 creates it. Gives the new revision. */
  swap(
    key: string,
    expected: number,
    value: string,
    options: CallOptions,
  ): Promise<StoreOutcome<number>>;
  /** Removes a key if its revision is `expected`. */
  remove(key: string, expected: number, options: CallOptions): Promise<StoreOutcome<number>>;
  /** Keys with a prefix, in order; for the collection of garbage only. */
  list(prefix: string, options: CallOptions): Promise<StoreOutcome<readonly string[]>>;
  /** Waits until the key's revision differs from `known`; gives the entry, changed or not. */
  watch(key: string, known: number, options: CallOptions): Promise<StoreOutcome<StoreEntry>>;
  acquireLease(
    key: string,
    holder: string,
    ttl: Millis,
    options: CallOptions,
  ): Promise<StoreOutcome<StoreLease>>;
  renewLease(lease: StoreLease, options: CallOptions): Promise<StoreOutcome<StoreLease>>;
  releaseLease(lease: StoreLease, options: CallOptions): Promise<StoreOutcome<null>>;
  listInstances(options: CallOptions): Promise<StoreOutcome<readonly InstanceRecord[]>>;
}
