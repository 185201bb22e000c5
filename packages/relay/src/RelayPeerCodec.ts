/**
 * Encodes answers to peers. Two aggregators send a configuration of some hundred kilobytes to all others of their
 * domain. Uncompressed, it would occupy a narrow link for longer than a change may take to be in force. So large
 * values are compressed once, for all receivers and for all instances that pass them on.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack } from 'msgpackr';
import type { StoreItem } from '@skylarksail/store/StoreRange';
import type { MirrorChanges } from './RelayMirror.js';
import type { UpdateContent, WireChanges, WireItem } from './RelayPeerMessages.js';
import { readRevision, splitRevision } from './RelayPeerRevisions.js';
import { readUpdateMessage, readPeerMessage } from './RelayPeerMessages.js';
import type { PeerAnswer, PeerUpdates } from './RelayPeers.js';

/**
 * Form of an answer: plain, which every version reads, or, for peers that accept it, with large values compressed and
 * with a snapshot where changes are missing.
 */
export const AnswerForm = { Plain: 'plain', Deflated: 'deflated' } as const;

export type AnswerFormName = (typeof AnswerForm)[keyof typeof AnswerForm];

export interface PeerCodec {
  /** Null for an answer of kind `silent`. */
  packPeerAnswer(answer: PeerAnswer, form: AnswerFormName): Buffer | null;
  packUpdates(news: UpdateContent, form: AnswerFormName): Buffer;
  /** Throws if the bytes are not a valid message. */
  readPeerUpdates(body: Buffer): PeerUpdates;
  /** Throws if the bytes are not a valid message. */
  readUpdates(body: Buffer): UpdateContent;
}

/** Length in characters. Shorter values hardly delay an answer, and compressing them would only take time. */
const MIN_COMPRESSED_LENGTH = 4096;
/** A configuration consists mostly of repeated field names, which the fastest level compresses as well as the best. */
const COMPRESSION_LEVEL = 1;
/** Far more than the store accepts as one value. The limit keeps a faulty peer from exhausting memory. */
const MAX_VALUE_BYTES = 16_777_216;

/** Creates a codec that caches the compressed form of values for as long as the items exist. */
export function createPeerCodec(): PeerCodec {
  const compressedValues = new WeakMap<StoreItem, Uint8Array>();

  function compress(item: StoreItem): Uint8Array {
    const known = compressedValues.get(item);
    const deflated = known ?? deflateRawSync(item.value, { level: COMPRESSION_LEVEL });
    compressedValues.set(item, deflated);
    return deflated;
  }

  function encodeItem(item: StoreItem, form: AnswerFormName): WireItem {
    const { key, value } = item;
    const revision = splitRevision(item.revision);
    return form === AnswerForm.Plain || value.length < MIN_COMPRESSED_LENGTH
      ? { key, value, ...revision }
      : { key, ...revision, deflated: compress(item) };
  }

  function decodeItem(wireItem: WireItem): StoreItem {
    const { key } = wireItem;
    const revision = readRevision(wireItem);
    if ('value' in wireItem) {
      return { key, value: wireItem.value, revision };
    }
    const { deflated } = wireItem;
    const value = inflateRawSync(deflated, { maxOutputLength: MAX_VALUE_BYTES }).toString('utf8');
    const item = { key, value, revision };
    // Cached for passing the value on. The copy lets the rest of the message be garbage-collected.
    compressedValues.set(item, Buffer.from(deflated));
    return item;
  }

  function encodeChanges(changes: MirrorChanges, form: AnswerFormName): WireChanges {
    return {
      isWhole: changes.isWhole,
      items: changes.items.map((item) => encodeItem(item, form)),
      removed: changes.removed.map(({ key, revision }) => ({ key, ...splitRevision(revision) })),
      ...splitRevision(changes.revision),
    };
  }

  function decodeChanges(changes: WireChanges): MirrorChanges {
    return {
      isWhole: changes.isWhole,
      items: changes.items.map(decodeItem),
      removed: changes.removed.map((removal) => ({
        key: removal.key,
        revision: readRevision(removal),
      })),
      revision: readRevision(changes),
    };
  }

  return {
    packPeerAnswer(answer, form) {
      switch (answer.kind) {
        case 'news':
          return pack({ ...encodeChanges(answer.changes, form), age: answer.age });
        case 'deaf':
          return pack(answer.observed);
        default:
          return null;
      }
    },
    packUpdates: ({ changes, age, held, others, rooms }, form) =>
      pack({
        changes: encodeChanges(changes, form),
        age,
        held,
        others,
        ...(rooms ? { rooms } : {}),
      }),
    readPeerUpdates(body) {
      const { age, ...changes } = readPeerMessage(body);
      return { age, changes: decodeChanges(changes) };
    },
    readUpdates(body) {
      const { changes, ...rest } = readUpdateMessage(body);
      return { ...rest, changes: decodeChanges(changes) };
    },
  };
}
