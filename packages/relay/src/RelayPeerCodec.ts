/**
 * Answers of peers as bytes. A configuration of some hundred kilobytes is told by two aggregators to all others of their
 * domain: sent as it is, it takes a narrow link for longer than a change may take to be in force. So large values are
 * compressed, once, whoever asks and however many instances pass them on.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack } from 'msgpackr';
import type { StoreItem } from '@skylarksail/store/StoreRange';
import type { MirrorChanges } from './RelayMirror.js';
import type { UpdateContent, WireChanges, WireItem } from './RelayPeerMessages.js';
import { readUpdateMessage, readPeerMessage } from './RelayPeerMessages.js';
import type { PeerAnswer, PeerUpdates } from './RelayPeers.js';

/**
 * How an answer is written: as every version reads it, or, for those that say they can read it, with large values
 * compressed and all that there is where changes cannot be told.
 */
export const AnswerForm = { Plain: 'plain', Deflated: 'deflated' } as const;

export type AnswerFormName = (typeof AnswerForm)[keyof typeof AnswerForm];

export interface PeerCodec {
  /** Null for a peer that is silent. */
  packPeerAnswer(answer: PeerAnswer, form: AnswerFormName): Buffer | null;
  packUpdates(news: UpdateContent, form: AnswerFormName): Buffer;
  /** Throws if the bytes make no sense. */
  readPeerUpdates(body: Buffer): PeerUpdates;
  /** Throws if the bytes make no sense. */
  readUpdates(body: Buffer): UpdateContent;
}

/** Characters. Shorter values hardly delay an answer; compressing them would only take time. */
const LEAST_COMPRESSED = 4096;
/** Repeated field names are most of a configuration: the fastest level finds them as well as the best. */
const LEVEL = 1;
/** Bytes; far more than the store takes as one value. A peer that sends more is not to use up the memory. */
const MOST_VALUE_BYTES = 16_777_216;

/** Creates a codec that remembers the compressed form of values for as long as the items are kept. */
export function createPeerCodec(): PeerCodec {
  const compressed = new WeakMap<StoreItem, Uint8Array>();

  function compress(item: StoreItem): Uint8Array {
    const known = compressed.get(item);
    const deflated = known ?? deflateRawSync(item.value, { level: LEVEL });
    compressed.set(item, deflated);
    return deflated;
  }

  function toSent(item: StoreItem, form: AnswerFormName): WireItem {
    const { key, value, revision } = item;
    return form === AnswerForm.Plain || value.length < LEAST_COMPRESSED
      ? { key, value, revision }
      : { key, revision, deflated: compress(item) };
  }

  function fromSent(sent: WireItem): StoreItem {
    if ('value' in sent) {
      return sent;
    }
    const { key, revision, deflated } = sent;
    const value = inflateRawSync(deflated, { maxOutputLength: MOST_VALUE_BYTES }).toString('utf8');
    const item = { key, value, revision };
    // Whoever passes it on need not compress it again. The bytes are copied, so that they do not keep the whole message.
    compressed.set(item, Buffer.from(deflated));
    return item;
  }

  function toSentChanges({ items, ...rest }: MirrorChanges, form: AnswerFormName): WireChanges {
    return { ...rest, items: items.map((item) => toSent(item, form)) };
  }

  function fromSentChanges({ items, ...rest }: WireChanges): MirrorChanges {
    return { ...rest, items: items.map(fromSent) };
  }

  return {
    packPeerAnswer(answer, form) {
      switch (answer.kind) {
        case 'news':
          return pack({ ...toSentChanges(answer.changes, form), age: answer.age });
        case 'deaf':
          return pack(answer.observed);
        default:
          return null;
      }
    },
    packUpdates: ({ changes, age, held, others }, form) =>
      pack({ changes: toSentChanges(changes, form), age, held, others }),
    readPeerUpdates(body) {
      const { age, ...changes } = readPeerMessage(body);
      return { age, changes: fromSentChanges(changes) };
    },
    readUpdates(body) {
      const { changes, ...rest } = readUpdateMessage(body);
      return { ...rest, changes: fromSentChanges(changes) };
    },
  };
}
