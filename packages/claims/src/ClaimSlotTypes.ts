/** State, events, effects and settings of a slot's state machine. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreOutcome } from '@skylarksail/store/StorePort';
import type { SlotClaim, SlotHead } from './ClaimHead.js';

export interface ClaimSlotSettings {
  /** Minimum time between the starts of two batches. */
  readonly batchInterval: Millis;
  /** Minimum delay before a failed call is retried. */
  readonly retryPause: Millis;
  /** Number of claims in the open segment at which it is sealed. */
  readonly sealAt: number;
  /** Number of claims in the open segment at which new requests wait for the seal. */
  readonly openLimit: number;
  /** Number of sealed segments of similar size that are merged into one. */
  readonly mergeAt: number;
  /** Maximum number of claims in a merged segment; it must fit into one stored value. */
  readonly segmentLimit: number;
  /** Number of claims in a slot at which new keys are refused. */
  readonly claimLimit: number;
  /** Age at which the claim of a key with a timestamp may be deleted. */
  readonly retention: Millis;
  /**
   * How long an instance that lost a slot redirects requests to the new owner before it may acquire the
   * slot again.
   */
  readonly deferAfterLoss: Millis;
}

export const DEFAULT_SLOT_SETTINGS: ClaimSlotSettings = {
  batchInterval: 400,
  retryPause: 150,
  sealAt: 100,
  openLimit: 600,
  mergeAt: 8,
  segmentLimit: 6400,
  claimLimit: 150_000,
  retention: 86_400_000,
  deferAfterLoss: 500,
};

/**
 * A claim request at the slot's owner. `askId` contains the name of the requesting process, which may
 * dispatch the request at most once.
 */
export interface SlotClaimRequest {
  readonly askId: string;
  readonly keyHash: string;
  readonly fingerprint: string;
  readonly stamp: number | null;
  readonly deadline: Millis;
}

export type SlotReply =
  | { readonly kind: 'granted' }
  /** Another claim request holds the key. */
  | { readonly kind: 'taken'; readonly askId: string; readonly outcome: RunStateName | null }
  | { readonly kind: 'key-mismatch' }
  | { readonly kind: 'key-expired' }
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  /** Another instance owns the slot; `owner` may be outdated, and is empty after a stop. */
  | { readonly kind: 'not-owner'; readonly owner: string };

export const SlotPhase = {
  /** Not owned by this instance. */
  Idle: 'idle',
  /** Acquiring the slot by a swap that increments the epoch. */
  Taking: 'taking',
  /** Owned, but the sealed segments are not loaded yet, so no key is known to be free. */
  Loading: 'loading',
  Held: 'held',
} as const;

export type SlotPhaseName = (typeof SlotPhase)[keyof typeof SlotPhase];

/** A head confirmed as stored, with its revision. */
export interface KnownHead {
  readonly revision: number;
  readonly head: SlotHead;
  /** Claims of the open segment by key hash. */
  readonly open: ReadonlyMap<string, SlotClaim>;
}

/** A swap without a result: it has taken effect, may still do so, or never will. */
export interface UnconfirmedSwap {
  readonly writeId: string;
  /** Ids of the requests whose claims it would add. */
  readonly askIds: ReadonlySet<string>;
}

/** A segment that is being sealed or merged. */
export interface SegmentWork {
  readonly name: string;
  readonly claims: readonly SlotClaim[];
  /** Segments that it replaces; empty if it seals claims of the open segment. */
  readonly replaces: readonly string[];
  readonly state: 'planned' | 'writing' | 'written';
}

export interface ClaimSlotState {
  readonly slot: number;
  /** Name of this process; differs for each start of the instance. */
  readonly owner: string;
  readonly settings: ClaimSlotSettings;
  readonly phase: SlotPhaseName;
  readonly known: KnownHead | null;
  /** Sealed segments that this process has read or written, by name; each maps key hashes to claims. */
  readonly segments: ReadonlyMap<string, ReadonlyMap<string, SlotClaim>>;
  readonly waiting: readonly SlotClaimRequest[];
  /**
   * Claim requests that will never be dispatched and whose claims are still to be removed: key hashes by
   * `askId`.
   */
  readonly released: ReadonlyMap<string, string>;
  /** Run states that the next batch records in the open segment, by `askId`. */
  readonly outcomes: ReadonlyMap<string, RunStateName>;
  /** The head that the swap in flight writes; null if there is none. */
  readonly inFlightHead: SlotHead | null;
  readonly reading: boolean;
  readonly readingSegments: ReadonlySet<string>;
  readonly work: SegmentWork | null;
  /** Swaps from the known revision without a result; they may take effect at any later time. */
  readonly unconfirmedSwaps: readonly UnconfirmedSwap[];
  /** The known head may be stale and must be read again before the next swap. */
  readonly needsRead: boolean;
  readonly nextCallAt: Millis;
  readonly nextWriteNumber: number;
  /** Process that acquired the slot after this one. Requests are redirected to it until `deferUntil`. */
  readonly newOwner: string;
  readonly deferUntil: Millis;
}

export type SlotEvent =
  | { readonly kind: 'ask'; readonly ask: SlotClaimRequest }
  /** The requester will never dispatch the request, or the request provably did not run. */
  | { readonly kind: 'release'; readonly askId: string; readonly keyHash: string }
  | { readonly kind: 'settle'; readonly askId: string; readonly outcome: RunStateName }
  | { readonly kind: 'head-read'; readonly outcome: StoreOutcome<StoreEntry> }
  | { readonly kind: 'head-swapped'; readonly outcome: StoreOutcome<number> }
  | {
      readonly kind: 'segment-read';
      readonly name: string;
      readonly outcome: StoreOutcome<StoreEntry>;
    }
  | {
      readonly kind: 'segment-written';
      readonly name: string;
      readonly outcome: StoreOutcome<number>;
    }
  | { readonly kind: 'tick' };

export type SlotEffect =
  | { readonly kind: 'read-head' }
  | { readonly kind: 'swap-head'; readonly expected: number; readonly head: SlotHead }
  | { readonly kind: 'read-segment'; readonly name: string }
  | {
      readonly kind: 'write-segment';
      readonly name: string;
      readonly claims: readonly SlotClaim[];
    }
  /** The head no longer refers to the segment. */
  | { readonly kind: 'remove-segment'; readonly name: string }
  | { readonly kind: 'reply'; readonly askId: string; readonly reply: SlotReply };

export interface SlotStep {
  readonly state: ClaimSlotState;
  readonly effects: readonly SlotEffect[];
}

/** Time of a step: the monotonic clock, and the wall clock, which is used for retention only. */
export interface SlotClock {
  readonly now: Millis;
  readonly wall: number;
}
