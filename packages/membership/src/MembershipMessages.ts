/** The messages of membership, as one instance means them; MembershipCodec turns them into bytes. */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { MemberRecord } from './MembershipRecords.js';

/** Kinds of gossip message. The numbers are on the wire and are never given a new meaning. */
export const GossipKind = {
  Ping: 1,
  PingRequest: 2,
  Ack: 3,
  /** A whole view, as hashes, to be compared. */
  Sync: 4,
  /** Records that the other side lacks. */
  Records: 5,
} as const;

export type GossipKindCode = (typeof GossipKind)[keyof typeof GossipKind];

/** What each message says of its sender. */
export interface SenderTag {
  readonly id: InstanceId;
  readonly bootId: number;
  readonly incarnation: number;
  readonly phase: LifeStateName;
}

/** How long ago another domain was heard of. */
export interface DomainAge {
  readonly domainHash: number;
  readonly age: Millis;
}

/** What rides on every message. */
export interface GossipCommon {
  readonly sender: SenderTag;
  readonly updates: readonly MemberRecord[];
  readonly ages: readonly DomainAge[];
  /** Payloads of topics, by number of the topic. */
  readonly topics: readonly TopicPayload[];
}

export interface TopicPayload {
  readonly topic: number;
  readonly bytes: Uint8Array;
}

/** A domain's view in four bytes. */
export interface ViewHash {
  readonly domain: DomainId;
  readonly hash: number;
}

export interface PingMessage extends GossipCommon {
  readonly kind: typeof GossipKind.Ping;
  readonly seq: number;
  /** The sender's own record, so that a stranger can answer. */
  readonly self: MemberRecord;
  readonly view: ViewHash | null;
}

export interface PingRequestMessage extends GossipCommon {
  readonly kind: typeof GossipKind.PingRequest;
  readonly seq: number;
  readonly target: InstanceId;
}

export interface AckMessage extends GossipCommon {
  readonly kind: typeof GossipKind.Ack;
  readonly seq: number;
  /** Whose answer this is: the sender's, or the one of the member that the sender probed for us. */
  readonly who: SenderTag;
}

export interface SyncMessage extends GossipCommon {
  readonly kind: typeof GossipKind.Sync;
  readonly domain: DomainId;
  readonly hashes: readonly number[];
}

export interface RecordsMessage extends GossipCommon {
  readonly kind: typeof GossipKind.Records;
  /** Hashes of records that the sender lacks. */
  readonly wanted: readonly number[];
}

export type GossipMessage =
  PingMessage | PingRequestMessage | AckMessage | SyncMessage | RecordsMessage;
