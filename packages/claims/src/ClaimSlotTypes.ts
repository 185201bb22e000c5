/** State, events and effects of a slot's state machine. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreOutcome } from '@skylarksail/store/StorePort';
import type { SlotClaim, SlotHead } from './ClaimHead.js';

export interface ClaimSlotSettings {
  /** Least time from the start of one batch to the next. */
  readonly batchInterval: Millis;
  /** Pause before a call is repeated that had no answer. */
  readonly retryPause: Millis;
  /** Claims in the open segment at which it is sealed. */
  readonly sealAt: number;
  /** Claims in the open segment beyond which asks wait for the seal. */
  readonly openLimit: number;
  /** Sealed segments of about one size that are merged into one. */
  readonly mergeAt: number;
  /** Claims in a segment that is not merged any more; it must fit into one value. */
  readonly segmentLimit: number;
  /** Claims of a slot beyond which new keys are refused. */
  readonly claimLimit: number;
  /** Age at which the claim of a key that carries its time may be let go. */
  readonly retention: Millis;
  /** How long an instance that lost a slot sends asks to the new owner before it takes it again. */
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

/** An ask as the slot's owner sees it. `askId` names the asker and may dispatch at most once. */
export interface SlotClaimRequest {
  readonly askId: string;
  readonly keyHash: string;
  readonly fingerprint: string;
  readonly stamp: number | null;
  readonly deadline: Millis;
}

export type SlotReply =
  | { readonly kind: 'granted' }
  /** Another ask has the key. */
  | { readonly kind: 'taken'; readonly askId: string; readonly outcome: RunStateName | null }
  | { readonly kind: 'key-mismatch' }
  | { readonly kind: 'key-expired' }
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  /** The slot is another instance's, as far as is known. */
  | { readonly kind: 'not-owner'; readonly owner: string };

export const SlotPhase = {
  /** Not ours. */
  Idle: 'idle',
  /** Making it ours by a swap that raises the epoch. */
  Taking: 'taking',
  /** Ours, but the sealed segments are not read yet, so no key can be said to be free. */
  Loading: 'loading',
  Held: 'held',
} as const;

export type SlotPhaseName = (typeof SlotPhase)[keyof typeof SlotPhase];

/** The head that is known to have been stored, with the revision at which it was. */
export interface KnownHead {
  readonly revision: number;
  readonly head: SlotHead;
  /** Claims of the open segment by key. */
  readonly open: ReadonlyMap<string, SlotClaim>;
}

/** A swap without an answer: it took effect, may take effect yet, or never will. */
export interface UnconfirmedSwap {
  readonly writeId: string;
  /** Asks whose claims it would put in. */
  readonly askIds: ReadonlySet<string>;
}

/** A segment on its way to being sealed or merged. */
export interface SegmentWork {
  readonly name: string;
  readonly claims: readonly SlotClaim[];
  /** Segments that it takes the place of; none if it seals claims of the open segment. */
  readonly replaces: readonly string[];
  readonly state: 'planned' | 'writing' | 'written';
}

export interface ClaimSlotState {
  readonly slot: number;
  /** This process, unique to one start of it. */
  readonly owner: string;
  readonly settings: ClaimSlotSettings;
  readonly phase: SlotPhaseName;
  readonly known: KnownHead | null;
  /** Sealed segments that were read or written here, by name. */
  readonly segments: ReadonlyMap<string, ReadonlyMap<string, SlotClaim>>;
  readonly waiting: readonly SlotClaimRequest[];
  /** Asks that will never be dispatched, with their keys; their claims are still to be taken out. */
  readonly released: ReadonlyMap<string, string>;
  /** Outcomes to be marked in the open segment with the next batch. */
  readonly outcomes: ReadonlyMap<string, RunStateName>;
  /** The head of the swap that is under way, if one is. */
  readonly inFlightHead: SlotHead | null;
  readonly reading: boolean;
  readonly readingSegments: ReadonlySet<string>;
  readonly work: SegmentWork | null;
  /** Swaps from the known revision that had no answer: they may land at any later time. */
  readonly unconfirmedSwaps: readonly UnconfirmedSwap[];
  /** The known head may be out of date and must be read before the next swap. */
  readonly needsRead: boolean;
  readonly nextCallAt: Millis;
  readonly nextWriteNumber: number;
  /** Who took the slot from us, and until when asks are sent there. */
  readonly newOwner: string;
  readonly deferUntil: Millis;
}

export type SlotEvent =
  | { readonly kind: 'ask'; readonly ask: SlotClaimRequest }
  /** The asker will never dispatch it, or it is proven that nothing ran. */
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
  /** Nothing names the segment any more. */
  | { readonly kind: 'remove-segment'; readonly name: string }
  | { readonly kind: 'reply'; readonly askId: string; readonly reply: SlotReply };

export interface SlotStep {
  readonly state: ClaimSlotState;
  readonly effects: readonly SlotEffect[];
}

/** Time of a step: the monotonic clock, and the wall clock for retention only. */
export interface SlotClock {
  readonly now: Millis;
  readonly wall: number;
}
