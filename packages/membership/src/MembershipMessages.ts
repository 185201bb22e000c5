/** Decoded gossip messages; MembershipCodec converts them to and from bytes. */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { MemberRecord } from './MembershipRecords.js';

/**
 * Kinds of gossip message. The numbers are part of the wire format; a number is never reused for
 * another kind.
 */
export const GossipKind = {
  Ping: 1,
  PingRequest: 2,
  Ack: 3,
  /** The hashes of a domain's view, which the receiver compares with its own. */
  Sync: 4,
  /** Records that the receiver lacks, and a request for records that the sender lacks. */
  Records: 5,
} as const;

export type GossipKindCode = (typeof GossipKind)[keyof typeof GossipKind];

/** Sender's identity and status, carried by each message. */
export interface SenderTag {
  readonly id: InstanceId;
  readonly bootId: number;
  readonly incarnation: number;
  readonly phase: LifeStateName;
}

/** Time since a domain was last seen. */
export interface DomainAge {
  readonly domainHash: number;
  readonly age: Millis;
}

/** Fields of every message; updates, ages and topics are piggybacked on it. */
export interface GossipCommon {
  readonly sender: SenderTag;
  readonly updates: readonly MemberRecord[];
  readonly ages: readonly DomainAge[];
  readonly topics: readonly TopicPayload[];
}

/** Payload of one gossip topic. */
export interface TopicPayload {
  /** Number of the topic. */
  readonly topic: number;
  readonly bytes: Uint8Array;
}

/** 32-bit hash of the view of a domain. */
export interface ViewHash {
  readonly domain: DomainId;
  readonly hash: number;
}

export interface PingMessage extends GossipCommon {
  readonly kind: typeof GossipKind.Ping;
  readonly seq: number;
  /** The sender's own record, so that a receiver that does not know the sender can answer. */
  readonly self: MemberRecord;
  /** Hash of the sender's view of one domain; the receiver may start a sync if its own differs. */
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
  /**
   * The member that answered: the sender, or the member that the sender probed for the receiver.
   */
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
