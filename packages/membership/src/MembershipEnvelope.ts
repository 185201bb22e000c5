/**
 * The one envelope in which instances send each other anything: gossip, calls, replies and notices. The
 * carrier needs to know no more than bytes and the instance that they are for.
 */
import type { InstanceId } from '@skylarksail/core/CoreTypes';
import { Packr } from 'msgpackr';
import { readArray, readText, readUnsignedInteger, WireError } from './MembershipWire.js';

/** Kinds of envelope. The numbers are on the wire and are never given a new meaning. */
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
  /** Bytes of gossip, or the fields of a call, a reply or a notice. */
  readonly payload: unknown;
}

// Records are defined inside each message. Definitions shared between messages would save some bytes,
// but after one lost or reordered message, or between two releases, values would land in wrong fields.
const packr = new Packr({ useRecords: true });

/** An envelope as bytes. */
export function encodeEnvelope(envelope: PeerEnvelope): Uint8Array {
  return packr.pack([envelope.kind, envelope.from, envelope.payload]);
}

/** Reads an envelope; throws WireError on anything that is not one. */
export function decodeEnvelope(bytes: Uint8Array): PeerEnvelope {
  const [kind, from, payload] = readArray(unpackEnvelope(bytes), 3);
  const kindCode = readUnsignedInteger(kind, EnvelopeKind.Notice);
  if (kindCode === 0) {
    throw new WireError('unknown kind of envelope');
  }
  return { kind: kindCode as EnvelopeKindCode, from: readText(from), payload };
}

function unpackEnvelope(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch (err) {
    throw new WireError('bytes that do not decode', { cause: err });
  }
}
