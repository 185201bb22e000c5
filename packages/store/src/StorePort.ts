/**
 * Port to the platform: its configuration service (get, compare-and-swap, leases, long-poll watches) and
 * its instance list, which may be stale. Adapters and fakes implement it.
 * It does not cover the weight store: placement only uses that store's transfer rate.
 */
import type { InstanceRoleName, LifeStateName } from '@skylarksail/core/CoreConstants';
import type { DomainId, HostPort, Millis } from '@skylarksail/core/CoreTypes';

/**
 * Number of the history that the service answered from; absent where the service names none. It rises by one each time
 * the service comes back from a copy, which loses the latest changes and gives their revisions out again.
 */
export type StoreEra = number;

/**
 * Outcome of a call. `refused`: the call has no effect; the service or the local client rejected it.
 * `unknown`: no answer came; the call may have taken effect, may still take effect, or never will.
 */
export type StoreOutcome<T> =
  | {
      readonly kind: 'done';
      readonly value: T;
      /** Time from the first to the last byte of a long answer; its content is older by this much. */
      readonly arrivalTime?: Millis;
      readonly era?: StoreEra;
    }
  | { readonly kind: 'refused'; readonly reason: StoreRefusal; readonly era?: StoreEra }
  | { readonly kind: 'unknown' };

/** Why the service or the local client refused a call. */
export type StoreRefusal =
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'held'; readonly holder: string }
  | { readonly kind: 'lapsed' }
  /** The requested history is no longer kept. */
  | { readonly kind: 'compacted' }
  | { readonly kind: 'rate-limited'; readonly retryAfter: Millis }
  | { readonly kind: 'over-budget'; readonly retryAfter: Millis }
  /** Not sent: the local circuit breaker is open because the service does not answer. */
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'invalid'; readonly detail: string };

/** A stored value. Revision 0 means that the key does not exist. */
export interface StoreEntry {
  readonly revision: number;
  readonly value: string;
}

/** A lease as it was granted; it may have lapsed since. */
export interface StoreLease {
  readonly key: string;
  readonly holder: string;
  /** Fencing number; increases with every new holder, and the service never reuses one. */
  readonly fencing: number;
  readonly ttl: Millis;
}

/** An entry of the platform's instance list, which lags behind the actual state. */
export interface InstanceRecord {
  readonly id: string;
  readonly role: InstanceRoleName;
  readonly domain: DomainId;
  readonly rack: string;
  readonly address: HostPort;
  /** Port for traffic between router instances; 0 for backend servers. */
  readonly peerPort: number;
  readonly state: LifeStateName;
}

export interface CallOptions {
  readonly timeout: Millis;
}

export interface StorePort {
  get(key: string, options: CallOptions): Promise<StoreOutcome<StoreEntry>>;
  /** Writes `value` if the key's revision is `expected`; 0 creates the key. Returns the new revision. */
  swap(
    key: string,
    expected: number,
    value: string,
    options: CallOptions,
  ): Promise<StoreOutcome<number>>;
  /** Removes a key if its revision is `expected`. */
  remove(key: string, expected: number, options: CallOptions): Promise<StoreOutcome<number>>;
  /** Lists the keys with a prefix, sorted; for garbage collection only. */
  list(prefix: string, options: CallOptions): Promise<StoreOutcome<readonly string[]>>;
  /** Waits until the key's revision differs from `known`, or for the timeout; returns the current entry. */
  watch(key: string, known: number, options: CallOptions): Promise<StoreOutcome<StoreEntry>>;
  /** Grants the lease. Its own holder gets it again under a new fencing number, which ends the lease that it had. */
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
