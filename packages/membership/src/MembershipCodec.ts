/**
 * Codec for gossip messages. A message is a msgpack array, because field names would take more
 * bytes than the values. New fields are only appended, so that two releases can decode each other's
 * messages.
 */
import { Packr } from 'msgpackr';
import type {
  DomainAge,
  GossipCommon,
  GossipMessage,
  SenderTag,
  TopicPayload,
} from './MembershipMessages.js';
import { GossipKind } from './MembershipMessages.js';
import type { HealthCode, MemberRecord } from './MembershipRecords.js';
import { Health } from './MembershipRecords.js';
import {
  readArray,
  readBytes,
  readPhase,
  readText,
  readUnsignedInteger,
  WireError,
  writePhase,
} from './MembershipWire.js';

const packr = new Packr({ useRecords: false });

const UINT32 = 2 ** 32 - 1;
const MAX_PORT = 65535;
/** Ages of domains are encoded in steps of this many milliseconds, rounded up. */
const AGE_STEP = 100;
const AGE_BYTES = 4;
const HASH_BYTES = 4;
const MESSAGE_FIELDS = 9;

/** Encodes a message; `decodeGossip` is the inverse. */
export function encodeGossip(message: GossipMessage): Uint8Array {
  const { sender } = message;
  const common = [
    message.kind,
    sender.id,
    sender.bootId,
    sender.incarnation,
    writePhase(sender.phase),
    message.updates.map(writeRecord),
    writeAges(message.ages),
    message.topics.map(({ topic, bytes }) => [topic, bytes]),
  ];
  return packr.pack([...common, writeBody(message)]);
}

/** Decodes a message; throws WireError on malformed bytes. */
export function decodeGossip(bytes: Uint8Array): GossipMessage {
  const fields = readArray(unpack(bytes), MESSAGE_FIELDS);
  const [kind, id, bootId, incarnation, phase, updates, ages, topics, body] = fields;
  const common: GossipCommon = {
    sender: readTag([id, bootId, incarnation, phase]),
    updates: readArray(updates).map(readRecord),
    ages: readAges(readBytes(ages)),
    topics: readArray(topics).map(readTopic),
  };
  return readBody(readUnsignedInteger(kind), common, readArray(body));
}

/** Unpacks msgpack bytes; malformed bytes always throw WireError and no other error. */
export function unpack(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch (err) {
    throw new WireError('bytes are not valid msgpack', { cause: err });
  }
}

function writeBody(message: GossipMessage): readonly unknown[] {
  switch (message.kind) {
    case GossipKind.Ping: {
      const { seq, self, view } = message;
      const { domain, rack, address, peerPort } = self;
      const fields = [seq, domain, rack, address.host, address.port, peerPort];
      return view ? [...fields, view.domain === domain ? 0 : view.domain, view.hash] : fields;
    }
    case GossipKind.PingRequest:
      return [message.seq, message.target];
    case GossipKind.Ack:
      return [message.seq, ...(message.who.id === message.sender.id ? [] : writeTag(message.who))];
    case GossipKind.Sync:
      return [message.domain, writeHashes(message.hashes)];
    case GossipKind.Records:
      return [writeHashes(message.wanted)];
    default:
      throw new WireError('unknown gossip message kind');
  }
}

function readBody(kind: number, common: GossipCommon, body: readonly unknown[]): GossipMessage {
  switch (kind) {
    case GossipKind.Ping:
      return readPing(common, body);
    case GossipKind.PingRequest:
      return { ...common, kind, seq: readUnsignedInteger(body[0]), target: readText(body[1]) };
    case GossipKind.Ack: {
      const who = body.length > 1 ? readTag(body.slice(1)) : common.sender;
      return { ...common, kind, seq: readUnsignedInteger(body[0]), who };
    }
    case GossipKind.Sync: {
      const hashes = readHashes(readBytes(body[1]));
      return { ...common, kind, domain: readText(body[0]), hashes };
    }
    case GossipKind.Records:
      return { ...common, kind, wanted: readHashes(readBytes(body[0])) };
    default:
      throw new WireError('unknown gossip message kind');
  }
}

function readPing(common: GossipCommon, body: readonly unknown[]): GossipMessage {
  const [seq, domainField, rack, host, port, peerPort, viewDomain, viewHash] = body;
  const domain = readText(domainField);
  const self: MemberRecord = {
    ...common.sender,
    domain,
    rack: readText(rack),
    address: { host: readText(host), port: readUnsignedInteger(port, MAX_PORT) },
    peerPort: readUnsignedInteger(peerPort, MAX_PORT),
    health: Health.Ok,
  };
  const view =
    viewDomain === undefined
      ? null
      : {
          domain: viewDomain === 0 ? domain : readText(viewDomain),
          hash: readUnsignedInteger(viewHash, UINT32),
        };
  return { ...common, kind: GossipKind.Ping, seq: readUnsignedInteger(seq), self, view };
}

function writeTag(tag: SenderTag): readonly unknown[] {
  return [tag.id, tag.bootId, tag.incarnation, writePhase(tag.phase)];
}

function readTag(fields: readonly unknown[]): SenderTag {
  const [id, bootId, incarnation, phase] = fields;
  return {
    id: readText(id),
    bootId: readUnsignedInteger(bootId, UINT32),
    incarnation: readUnsignedInteger(incarnation),
    phase: readPhase(phase),
  };
}

function writeRecord(record: MemberRecord): readonly unknown[] {
  const { id, domain, rack, address, peerPort, bootId, incarnation, phase, health } = record;
  const status = health * 2 + writePhase(phase);
  return [id, domain, rack, address.host, address.port, peerPort, bootId, incarnation, status];
}

function readRecord(value: unknown): MemberRecord {
  const [id, domain, rack, host, port, peerPort, bootId, incarnation, statusField] = readArray(
    value,
    9,
  );
  const status = readUnsignedInteger(statusField, Health.Left * 2 + 1);
  return {
    ...readTag([id, bootId, incarnation, status % 2]),
    domain: readText(domain),
    rack: readText(rack),
    address: { host: readText(host), port: readUnsignedInteger(port, MAX_PORT) },
    peerPort: readUnsignedInteger(peerPort, MAX_PORT),
    health: Math.floor(status / 2) as HealthCode,
  };
}

function readTopic(value: unknown): TopicPayload {
  const [topic, bytes] = readArray(value, 2);
  return { topic: readUnsignedInteger(topic, 255), bytes: readBytes(bytes) };
}

/**
 * Encodes each age as three bytes of the domain's hash and one byte of age. The age is rounded up,
 * so that no hop makes it smaller than it is.
 */
function writeAges(ages: readonly DomainAge[]): Uint8Array {
  const bytes = Buffer.alloc(ages.length * AGE_BYTES);
  ages.forEach(({ domainHash, age }, i) => {
    bytes.writeUIntBE(domainHash, i * AGE_BYTES, 3);
    bytes.writeUInt8(Math.min(255, Math.ceil(age / AGE_STEP)), i * AGE_BYTES + 3);
  });
  return bytes;
}

function readAges(bytes: Uint8Array): readonly DomainAge[] {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const ages: DomainAge[] = [];
  for (let offset = 0; offset + AGE_BYTES <= view.length; offset += AGE_BYTES) {
    ages.push({
      domainHash: view.readUIntBE(offset, 3),
      age: view.readUInt8(offset + 3) * AGE_STEP,
    });
  }
  return ages;
}

function writeHashes(hashes: readonly number[]): Uint8Array {
  const bytes = Buffer.alloc(hashes.length * HASH_BYTES);
  hashes.forEach((hash, i) => bytes.writeUInt32BE(hash, i * HASH_BYTES));
  return bytes;
}

function readHashes(bytes: Uint8Array): readonly number[] {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const hashes: number[] = [];
  for (let offset = 0; offset + HASH_BYTES <= view.length; offset += HASH_BYTES) {
    hashes.push(view.readUInt32BE(offset));
  }
  return hashes;
}
