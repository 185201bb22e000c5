/**
 * Envelope of every message between instances: gossip, calls, replies and notices. The transport
 * handles only its bytes and the receiving instance.
 */
import type { InstanceId } from '@skylarksail/core/CoreTypes';
import { Packr } from 'msgpackr';
import { readArray, readText, readUnsignedInteger, WireError } from './MembershipWire.js';

/**
 * Kinds of envelope. The numbers are part of the wire format; a number is never reused for another
 * kind.
 */
export const EnvelopeKind = {
  Gossip: 1,
  Call: 2,
  Reply: 3,
  Notice: 4,
} as const;

export type EnvelopeKindCode = (typeof EnvelopeKind)[keyof typeof EnvelopeKind];

export interface PeerEnvelope {
  readonly from: InstanceId;
  readonly kind: EnvelopeKindCode;
  /** Encoded gossip, or the fields of a call, a reply or a notice. */
  readonly payload: unknown;
}

// Each message contains its own msgpackr record definitions. Sharing definitions between messages
// would save some bytes, but after a lost or reordered message, or between two releases, values
// would decode into the wrong fields.
const packr = new Packr({ useRecords: true });

export function encodeEnvelope(envelope: PeerEnvelope): Uint8Array {
  return packr.pack([envelope.kind, envelope.from, envelope.payload]);
}

/** Decodes an envelope; throws WireError on malformed bytes. */
export function decodeEnvelope(bytes: Uint8Array): PeerEnvelope {
  const [kind, from, payload] = readArray(unpackEnvelope(bytes), 3);
  const kindCode = readUnsignedInteger(kind, EnvelopeKind.Notice);
  if (kindCode === 0) {
    throw new WireError('unknown envelope kind');
  }
  return { kind: kindCode as EnvelopeKindCode, from: readText(from), payload };
}

function unpackEnvelope(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch (err) {
    throw new WireError('bytes are not valid msgpack', { cause: err });
  }
}
