/**
 * The store's interface for following many keys: reads of a range in pages, watches of a range, and
 * writes under conditions. Adapters and fakes implement it.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { CallOptions, StoreOutcome } from './StorePort.js';

/** A key as it was last written. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** What happened to a key. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** A page of a range. Several pages are not a snapshot: each is as of its own revision. */
export interface StorePage {
  readonly items: readonly StoreItem[];
  /** Key after which the next page begins; null at the last one. */
  readonly next: string | null;
  /** Revision of the whole store at which the page was read. */
  readonly revision: number;
}

/** What a watch brought. `compacted`: the history asked for is no longer kept. */
export type StoreChanges =
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: number }
  | { readonly kind: 'compacted' };

/** What must hold for a write to take effect: the key is at this revision, 0 if it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

export interface StoreWrite {
  readonly key: string;
  readonly value: string;
  /** Number of the lease with which the key goes; 0 for none. */
  readonly lease: number;
}

/**
 * The timeout of a call is the time in which its answer is to begin. One that goes on arriving is not given up, however
 * large it is for the link.
 */
export interface StoreRangePort {
  readRange(
    prefix: string,
    after: string | null,
    options: CallOptions,
  ): Promise<StoreOutcome<StorePage>>;
  /** Answers once something has changed after `revision`, or with no event once `wait` has passed. */
  watchRange(
    prefix: string,
    revision: number,
    wait: Millis,
    options: CallOptions,
  ): Promise<StoreOutcome<StoreChanges>>;
  /** All or nothing; gives the new revision. */
  write(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
    removals: readonly string[],
    options: CallOptions,
  ): Promise<StoreOutcome<number>>;
  /** Gives the number of a new lease. */
  grantLease(ttl: Millis, options: CallOptions): Promise<StoreOutcome<number>>;
  /** Refused as `lapsed` if the lease has ended. */
  renewLease(lease: number, options: CallOptions): Promise<StoreOutcome<null>>;
  revokeLease(lease: number, options: CallOptions): Promise<StoreOutcome<null>>;
}
