/** State, events and effects of the state machine that distributes the manifest, for one instance. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ChunkRef } from './ManifestChunks.js';
import type { ConfirmDigest, SpreadMessage } from './ManifestMessages.js';
import type { PeerPlan, SpreadMember } from './ManifestPeers.js';
import type { ManifestRoot } from './ManifestRoot.js';
import type { HeldManifest } from './ManifestView.js';

/** Timeouts, periods and limits of manifest distribution. */
export interface SpreadSettings {
  /** Time to wait for a peer's answer before trying another source. */
  readonly peerTimeout: Millis;
  /** Number of peers to try before fetching from the platform. */
  readonly peerTries: number;
  /**
   * Time that a watcher of reader rank 1 waits for a peer that holds a new revision before it reads
   * from the platform itself; rank 2 waits twice as long, and so on. The remaining watchers then do not
   * all read at once if the readers have failed.
   */
  readonly readerTimeout: Millis;
  /** Time that a starting instance waits for the platform and for the peers it queried. */
  readonly startLimit: Millis;
  /** Time to fetch the revision chosen at the start; after it, the peers are queried again. */
  readonly startFetchLimit: Millis;
  /** Time after which a held revision comes into force even if no keeper has confirmed holding it. */
  readonly holdLimit: Millis;
  readonly gossipPeriod: Millis;
  /** Probability that a gossip message goes to a random peer of any domain instead of the own one. */
  readonly gossipFarShare: number;
  /** Multiplied by the number of instances, so that the poll rate of the whole fleet is constant. */
  readonly pollPeriodPerInstance: Millis;
  readonly minPollPeriod: Millis;
  /** First and longest delay of the backoff after a failed watch or a failed read of chunks. */
  readonly minBackoff: Millis;
  readonly maxBackoff: Millis;
  /** Period at which confirmations are resent, in case a collector has failed. */
  readonly confirmPeriod: Millis;
  /** Maximum bytes of chunks in one message; a single chunk that exceeds it is sent alone. */
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

/** Where an instance learned the revision that it has in force. */
export const KnownBy = {
  /** The platform returned this revision or a later one, or none is in force and the platform has none. */
  Platform: 'platform',
  /** Peers sent the revision, and the instance has not yet read it from the platform. */
  Peers: 'peers',
  Nothing: 'nothing',
} as const;

export type KnownByName = (typeof KnownBy)[keyof typeof KnownBy];

/**
 * Where chunks are requested from. `none` while waiting for a peer to announce the revision, or during
 * the backoff after the platform could not supply chunks.
 */
export type ChunkSource =
  | { readonly kind: 'platform' }
  | { readonly kind: 'peer'; readonly id: InstanceId }
  | { readonly kind: 'none' };

/** A request to peers for the root of a higher revision that they announced. */
export interface RootRequest {
  readonly revision: number;
  /**
   * Peers that announced the revision and have not been asked yet. Only one is asked at a time, because each
   * answer carries the whole delta.
   */
  readonly announcers: readonly InstanceId[];
  readonly answerBy: Millis;
}

/** The higher revision that is being fetched. */
export interface SpreadTarget {
  readonly root: ManifestRoot;
  readonly chunks: ReadonlyMap<ChunkRef, string>;
  readonly source: ChunkSource;
  readonly triedPeers: readonly InstanceId[];
  /** Deadline of the current source; infinite for the platform, whose reads have their own timeouts. */
  readonly answerBy: Millis;
  readonly backoff: Millis;
}

/** A peer that queried a revision that this instance does not hold yet, with the id of the query. */
export interface PendingReply {
  readonly peer: InstanceId;
  readonly ask: number;
}

/** The query to peers after a start. */
export interface SpreadStart {
  /** Query id that answers must repeat. */
  readonly ask: number;
  readonly queriedPeers: readonly InstanceId[];
  readonly answers: ReadonlyMap<InstanceId, number>;
  /** Whether a read of the root from the platform has failed since the start began. */
  readonly isPlatformUnavailable: boolean;
  /**
   * Highest revision among the answers, once chosen; the start ends when it is held. If the start
   * ended earlier and the peer with that revision failed, a lower one could come into force from
   * another peer.
   */
  readonly goal: number | null;
  /** Deadline for the answers and then for reaching the goal; a missed goal starts a new query. */
  readonly endsAt: Millis;
}

export interface WatchState {
  readonly isWaiting: boolean;
  readonly retryAt: Millis;
  readonly backoff: Millis;
  /** Revision that the platform's service last returned for the root's key; not that of the manifest. */
  readonly platformRevision: number;
}

/** A digest with the time at which it was received. */
export interface SeenDigest {
  readonly digest: ConfirmDigest;
  readonly at: Millis;
}

/** Chunks that a revision added: a peer that holds the revision before it is sent only these. */
export interface RevisionDelta {
  /** Revision that the delta applies to: the one held before. */
  readonly after: number;
  readonly revision: number;
  readonly refs: readonly ChunkRef[];
}

export interface SpreadCounts {
  readonly droppedMessages: number;
  readonly droppedChunks: number;
  /**
   * Roots read from the platform that are older than the highest seen, or differ from the held root of
   * the same revision. A single one can be a delayed answer; a steady rise means that the service was
   * restored from a backup.
   */
  readonly olderRoots: number;
  /** Revisions in a format of a later version; the revision in force is kept. */
  readonly unreadableRoots: number;
}

export interface SpreadState {
  readonly plan: PeerPlan;
  /** Null once the start is over. */
  readonly start: SpreadStart | null;
  /** The highest revision whose chunks are all held by this instance. */
  readonly held: HeldManifest | null;
  readonly heldSince: Millis;
  readonly inForce: HeldManifest | null;
  readonly rootRequest: RootRequest | null;
  readonly target: SpreadTarget | null;
  readonly deltas: readonly RevisionDelta[];
  /** Query id that the keepers' answers about the held revision must repeat. */
  readonly keeperQueryId: number;
  /**
   * Whether a keeper has answered that it holds this revision, in reply to a query sent after this
   * instance held it. An earlier answer does not count: the keeper may have restarted since and hold
   * a lower revision.
   */
  readonly isKept: boolean;
  /** Peers to answer as soon as the next revision is held here. */
  readonly pendingReplies: readonly PendingReply[];
  /** Highest revision read from the platform; null before the first answer. */
  readonly platformSeen: number | null;
  readonly platformSeenAt: Millis;
  readonly watch: WatchState;
  readonly pollAt: Millis;
  readonly gossipAt: Millis;
  readonly confirmAt: Millis;
  /** For a collector: the revision that each instance of its domain has confirmed. */
  readonly confirmed: ReadonlyMap<InstanceId, number>;
  readonly digests: ReadonlyMap<DomainId, SeenDigest>;
  readonly counts: SpreadCounts;
}

/** Result of reading the root; `failed` if there was no answer or it could not be parsed. */
export type RootReading =
  | {
      readonly kind: 'read';
      readonly platformRevision: number;
      readonly root: ManifestRoot | null;
    }
  | { readonly kind: 'failed' };

/** Inputs of the state machine. All times are on the instance's own monotonic clock. */
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
  /** Result of a `read-chunks` effect; a ref that is missing could not be read. */
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
  /** A submission through this instance was accepted: equivalent to reading its root. */
  | {
      readonly type: 'accepted';
      readonly at: Millis;
      readonly root: ManifestRoot;
      readonly chunks: ReadonlyMap<ChunkRef, string>;
    }
  /** A peer sent something that is not a valid message. */
  | { readonly type: 'garbage'; readonly at: Millis; readonly from: InstanceId }
  /** An operator queries how many instances have a revision in force. */
  | { readonly type: 'digest-wanted'; readonly at: Millis; readonly revision: number };

export type SpreadEffect =
  | { readonly type: 'watch-root'; readonly known: number }
  | { readonly type: 'read-root' }
  | { readonly type: 'read-chunks'; readonly body: ChunkRef; readonly refs: readonly ChunkRef[] }
  | { readonly type: 'send'; readonly to: InstanceId; readonly message: SpreadMessage }
  /** Use this revision for new requests from now on. */
  | { readonly type: 'apply'; readonly manifest: HeldManifest };

/** Result of a step: the next state and the effects for the caller to run. */
export interface SpreadStep {
  readonly state: SpreadState;
  readonly effects: readonly SpreadEffect[];
}

/** Inputs of a step besides the state and the event. */
export interface SpreadContext {
  readonly settings: SpreadSettings;
  readonly random: Random;
}

const MAX_QUERY_ID = 2 ** 31 - 1;

/** Draws a random query id; answers to an earlier process of this instance do not match it. */
export function drawQueryId(ctx: SpreadContext): number {
  return 1 + ctx.random.nextInt(MAX_QUERY_ID);
}

/**
 * Creates the effect that sends the held revision to a peer. A nonzero `ask` requests an answer; `reply`
 * repeats the query id of the peer.
 */
export function createToldEffect(
  to: InstanceId,
  revision: number,
  { ask = 0, reply = 0 }: { readonly ask?: number; readonly reply?: number } = {},
): SpreadEffect {
  return { type: 'send', to, message: { type: 'told', revision, ask, reply } };
}

export function createStep(state: SpreadState, effects: readonly SpreadEffect[] = []): SpreadStep {
  return { state, effects };
}

/** Applies `next` to the state of a step and appends its effects to those of the step. */
export function continueStep(
  step: SpreadStep,
  next: (state: SpreadState) => SpreadStep,
): SpreadStep {
  const following = next(step.state);
  return following.effects.length === 0
    ? { state: following.state, effects: step.effects }
    : { state: following.state, effects: [...step.effects, ...following.effects] };
}

/** Revision of a manifest, 0 for none. */
export function getRevisionOf(manifest: HeldManifest | null): number {
  return manifest?.root.revision ?? 0;
}
