/** State, events and effects of the manifest's spread at one instance. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ChunkRef } from './ManifestChunks.js';
import type { ConfirmDigest, SpreadMessage } from './ManifestMessages.js';
import type { PeerPlan, SpreadMember } from './ManifestPeers.js';
import type { ManifestRoot } from './ManifestRoot.js';
import type { HeldManifest } from './ManifestView.js';

/** Times and bounds of the spread. */
export interface SpreadSettings {
  /** Wait for a peer's answer before another is asked. */
  readonly peerTimeout: Millis;
  /** Peers that are asked for a chunk before the platform is. */
  readonly peerTries: number;
  /** The first watcher that is no reader waits so long for a peer that holds the revision, the next
   * twice as long, and so on: if the readers are gone, not all others read at once. */
  readonly readerTimeout: Millis;
  /** A starting instance waits so long for the platform and for the peers that it asked. */
  readonly startLimit: Millis;
  /** After so long without the revision that a peer spoke of, the start asks anew. */
  readonly startFetchLimit: Millis;
  /** A revision is put into force after so long even if no keeper has said that it holds it. */
  readonly holdLimit: Millis;
  readonly gossipPeriod: Millis;
  /** Share of gossip that may go to another domain. */
  readonly gossipFarShare: number;
  /** The poll's period is this for each instance of the fleet, so that the whole fleet's rate is flat. */
  readonly pollPeriodPerInstance: Millis;
  readonly minPollPeriod: Millis;
  /** First and last wait after a failed watch or a failed read of chunks. */
  readonly minBackoff: Millis;
  readonly maxBackoff: Millis;
  /** Period in which confirmations are sent again, in case a collector was lost. */
  readonly confirmPeriod: Millis;
  /** Bytes of chunks in one message at the most. */
  readonly maxMessageBytes: number;
}

export const DEFAULT_SPREAD_SETTINGS: SpreadSettings = {
  peerTimeout: 250,
  peerTries: 2,
  readerTimeout: 150,
  startLimit: 1000,
  startFetchLimit: 10_000,
  holdLimit: 250,
  gossipPeriod: 1000,
  gossipFarShare: 0.2,
  pollPeriodPerInstance: 250,
  minPollPeriod: 15_000,
  minBackoff: 250,
  maxBackoff: 2000,
  confirmPeriod: 20_000,
  maxMessageBytes: 256 * 1024,
};

/** How an instance knows the revision that it has in force. */
export const KnownBy = {
  /** It read that revision, or that there is none, from the platform itself. */
  Platform: 'platform',
  /** Peers told it, and it has not seen it at the platform yet. */
  Peers: 'peers',
  Nothing: 'nothing',
} as const;

export type KnownByName = (typeof KnownBy)[keyof typeof KnownBy];

/** Where chunks are asked for; `none` while a peer's word is awaited, or the platform's recovery. */
export type ChunkSource =
  | { readonly kind: 'platform' }
  | { readonly kind: 'peer'; readonly id: InstanceId }
  | { readonly kind: 'none' };

/** A higher revision that peers told of and whose root was asked for. */
export interface RootRequest {
  readonly revision: number;
  /** Peers that told of it and were not asked yet: one is asked at a time, as each gives the delta. */
  readonly announcers: readonly InstanceId[];
  readonly answerBy: Millis;
}

/** A higher revision that is being fetched. */
export interface SpreadTarget {
  readonly root: ManifestRoot;
  readonly chunks: ReadonlyMap<ChunkRef, string>;
  readonly source: ChunkSource;
  readonly triedPeers: readonly InstanceId[];
  /** When the source is given up; a read from the platform ends by itself. */
  readonly answerBy: Millis;
  readonly backoff: Millis;
}

/** A peer that asked whether a revision is held here, with the number to repeat. */
export interface PendingReply {
  readonly peer: InstanceId;
  readonly ask: number;
}

/** The asking of peers after a start. */
export interface SpreadStart {
  /** Number that answers must repeat. */
  readonly ask: number;
  readonly queriedPeers: readonly InstanceId[];
  readonly answers: ReadonlyMap<InstanceId, number>;
  /** Whether a read of the platform got no answer since the start began. */
  readonly isPlatformUnavailable: boolean;
  /**
   * Highest answer, once it is decided on; the start ends when it is held. Were it to end before, and
   * the peer with the highest die, a lower revision would be taken from another.
   */
  readonly goal: number | null;
  /** When the asking ends, or begins anew if the goal was not reached. */
  readonly endsAt: Millis;
}

export interface WatchState {
  readonly isWaiting: boolean;
  readonly retryAt: Millis;
  readonly backoff: Millis;
  readonly platformRevision: number;
}

/** A digest with the time at which it came. */
export interface SeenDigest {
  readonly digest: ConfirmDigest;
  readonly at: Millis;
}

/** Refs that a revision added, so that a peer that holds the one before is given just these. */
export interface RevisionDelta {
  /** Revision that was held before. */
  readonly after: number;
  readonly revision: number;
  readonly refs: readonly ChunkRef[];
}

export interface SpreadCounts {
  readonly droppedMessages: number;
  readonly droppedChunks: number;
  /**
   * Roots from the platform that are older than one held here, or differ from it. One now and then is a
   * slow answer; a steady rise means that the service was restored from a backup.
   */
  readonly olderRoots: number;
  /** Revisions written in a format of a later version; what is in force stays. */
  readonly unreadableRoots: number;
}

export interface SpreadState {
  readonly plan: PeerPlan;
  /** Null once the start is over. */
  readonly start: SpreadStart | null;
  /** The highest revision whose chunks are all here. */
  readonly held: HeldManifest | null;
  readonly heldSince: Millis;
  readonly inForce: HeldManifest | null;
  readonly rootRequest: RootRequest | null;
  readonly target: SpreadTarget | null;
  readonly deltas: readonly RevisionDelta[];
  /** Number that the keepers' answers about the held revision must repeat. */
  readonly keeperQueryId: number;
  /**
   * Whether a keeper has answered, after this instance held the revision, that it holds it too. An
   * earlier word would not do: the keeper may have restarted since, and learned less.
   */
  readonly isKept: boolean;
  /** Peers that want to hear once the next revision is held here. */
  readonly pendingReplies: readonly PendingReply[];
  /** Highest revision read from the platform; null before the first answer. */
  readonly platformSeen: number | null;
  readonly platformSeenAt: Millis;
  readonly watch: WatchState;
  readonly pollAt: Millis;
  readonly gossipAt: Millis;
  readonly confirmAt: Millis;
  /** As a collector: what the own domain's instances have confirmed. */
  readonly confirmed: ReadonlyMap<InstanceId, number>;
  readonly digests: ReadonlyMap<DomainId, SeenDigest>;
  readonly counts: SpreadCounts;
}

/** A read of the root: what was there, or that no answer came. */
export type RootReading =
  | {
      readonly kind: 'read';
      readonly platformRevision: number;
      readonly root: ManifestRoot | null;
    }
  | { readonly kind: 'failed' };

/** All times are the instance's own monotonic ones. */
export type SpreadEvent =
  | {
      readonly type: 'started';
      readonly at: Millis;
    }
  | {
      readonly type: 'members-changed';
      readonly at: Millis;
      readonly members: readonly SpreadMember[];
    }
  | { readonly type: 'tick'; readonly at: Millis }
  | {
      readonly type: 'root-read';
      readonly at: Millis;
      readonly via: 'watch' | 'poll';
      readonly reading: RootReading;
    }
  /** The end of a `read-chunks`; a ref that is missing could not be read. */
  | {
      readonly type: 'chunks-read';
      readonly at: Millis;
      readonly body: ChunkRef;
      readonly chunks: ReadonlyMap<ChunkRef, string>;
    }
  | {
      readonly type: 'message';
      readonly at: Millis;
      readonly from: InstanceId;
      readonly message: SpreadMessage;
    }
  /** A submission through this instance was accepted, which is as good as reading it. */
  | {
      readonly type: 'accepted';
      readonly at: Millis;
      readonly root: ManifestRoot;
      readonly chunks: ReadonlyMap<ChunkRef, string>;
    }
  /** A peer sent what is no message. */
  | { readonly type: 'garbage'; readonly at: Millis; readonly from: InstanceId }
  /** An operator asks how far a revision is in force. */
  | { readonly type: 'digest-wanted'; readonly at: Millis; readonly revision: number };

export type SpreadEffect =
  | { readonly type: 'watch-root'; readonly known: number }
  | { readonly type: 'read-root' }
  | { readonly type: 'read-chunks'; readonly body: ChunkRef; readonly refs: readonly ChunkRef[] }
  | { readonly type: 'send'; readonly to: InstanceId; readonly message: SpreadMessage }
  /** Serve new requests under this revision from now on. */
  | { readonly type: 'apply'; readonly manifest: HeldManifest };

/** What a step gives: the next state, and what is to be done outside. */
export interface SpreadStep {
  readonly state: SpreadState;
  readonly effects: readonly SpreadEffect[];
}

/** What steps draw on besides the state. */
export interface SpreadContext {
  readonly settings: SpreadSettings;
  readonly random: Random;
}

const ASK_NUMBERS = 2 ** 31 - 1;

/** A number for a question, so that answers to an earlier process of the same id do not count. */
export function drawQueryId(ctx: SpreadContext): number {
  return 1 + ctx.random.nextInt(ASK_NUMBERS);
}

/** A message that tells what is held here. */
export function createToldEffect(
  to: InstanceId,
  revision: number,
  { ask = 0, reply = 0 }: { readonly ask?: number; readonly reply?: number } = {},
): SpreadEffect {
  return { type: 'send', to, message: { type: 'told', revision, ask, reply } };
}

/** A step without effects. */
export function createStep(state: SpreadState, effects: readonly SpreadEffect[] = []): SpreadStep {
  return { state, effects };
}

/** Goes on from a step; effects add up in order. */
export function continueStep(
  step: SpreadStep,
  next: (state: SpreadState) => SpreadStep,
): SpreadStep {
  const following = next(step.state);
  return following.effects.length === 0
    ? { state: following.state, effects: step.effects }
    : { state: following.state, effects: [...step.effects, ...following.effects] };
}

/** Revision of a manifest or of none. */
export function getRevisionOf(manifest: HeldManifest | null): number {
  return manifest?.root.revision ?? 0;
}
