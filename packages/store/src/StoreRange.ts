/**
 * Port to the store for ranges of keys: paged reads, long-poll watches, conditional transactions and
 * leases. Adapters and fakes implement it.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { CallOptions, StoreOutcome } from './StorePort.js';

/** A key with its latest value; `revision` is that of its last write, with its era behind `createHistoryPort`. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** A change of a key. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** A page of a range. Several pages are not a consistent snapshot: each is read at its own revision. */
export interface StorePage {
  readonly items: readonly StoreItem[];
  /** Key after which the next page begins; null on the last page. */
  readonly next: string | null;
  /** Revision of the whole store at which the page was read. */
  readonly revision: number;
}

/** Result of a watch. `compacted`: the requested history is no longer kept. */
export type StoreChanges =
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: number }
  | { readonly kind: 'compacted' };

/** Precondition of a write: the key is at this revision, 0 if it must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

export interface StoreWrite {
  readonly key: string;
  readonly value: string;
  /** Id of the lease whose end removes the key; 0 for none. */
  readonly lease: number;
}

/**
 * The timeout of a call limits the time until its answer begins. An answer that keeps arriving is not
 * aborted, however long it takes on a slow link.
 */
export interface StoreRangePort {
  readRange(
    prefix: string,
    after: string | null,
    options: CallOptions,
  ): Promise<StoreOutcome<StorePage>>;
  /** Resolves when there are changes after `revision`, or without events once `wait` has passed. */
  watchRange(
    prefix: string,
    revision: number,
    wait: Millis,
    options: CallOptions,
  ): Promise<StoreOutcome<StoreChanges>>;
  /** Applies all writes and removals atomically, or none; returns the new revision. */
  write(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
    removals: readonly string[],
    options: CallOptions,
  ): Promise<StoreOutcome<number>>;
  /** Returns the id of a new lease. */
  grantLease(ttl: Millis, options: CallOptions): Promise<StoreOutcome<number>>;
  /** Renews the lease for its full TTL; refused as `lapsed` if the lease has ended. */
  renewLease(lease: number, options: CallOptions): Promise<StoreOutcome<null>>;
  revokeLease(lease: number, options: CallOptions): Promise<StoreOutcome<null>>;
}
