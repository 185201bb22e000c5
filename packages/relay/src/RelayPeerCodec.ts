/**
 * Answers of peers as bytes. A configuration of some hundred kilobytes is told by two aggregators to all others of their
 * domain: sent as it is, it takes a narrow link for longer than a change may take to be in force. So large values are
 * compressed, once, whoever asks and however many instances pass them on.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack } from 'msgpackr';
import type { StoreItem } from '@skylarksail/store/StoreRange';
import type { MirrorChanges } from './RelayMirror.js';
import type { NewsContent, SentChanges, SentItem } from './RelayPeerMessages.js';
import { readNewsMessage, readPeerMessage } from './RelayPeerMessages.js';
import type { PeerNews } from './RelayPeers.js';

export interface PeerCodec {
  packPeerNews(news: PeerNews): Buffer;
  packNews(news: NewsContent): Buffer;
  /** Throws if the bytes make no sense. */
  readPeerNews(body: Buffer): PeerNews;
  /** Throws if the bytes make no sense. */
  readNews(body: Buffer): NewsContent;
}

/** Characters; shorter values take less than a packet each and are not worth the time. */
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

  function toSent(item: StoreItem): SentItem {
    const { key, value, revision } = item;
    return value.length < LEAST_COMPRESSED
      ? { key, value, revision }
      : { key, revision, deflated: compress(item) };
  }

  function fromSent(sent: SentItem): StoreItem {
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

  function toSentChanges({ items, ...rest }: MirrorChanges): SentChanges {
    return { ...rest, items: items.map(toSent) };
  }

  function fromSentChanges({ items, ...rest }: SentChanges): MirrorChanges {
    return { ...rest, items: items.map(fromSent) };
  }

  return {
    packPeerNews: ({ changes, age }) => pack({ changes: toSentChanges(changes), age }),
    packNews: ({ changes, ...rest }) => pack({ ...rest, changes: toSentChanges(changes) }),
    readPeerNews(body) {
      const { changes, ...rest } = readPeerMessage(body);
      return { ...rest, changes: fromSentChanges(changes) };
    },
    readNews(body) {
      const { changes, ...rest } = readNewsMessage(body);
      return { ...rest, changes: fromSentChanges(changes) };
    },
  };
}
