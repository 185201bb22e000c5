/**
 * Replicates small values of other packages to all instances: the holding of an engine, suspected poison
 * requests, the manifest revision that each instance has in force. Values have string keys and are gossiped
 * with their age.
 */
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { Packr } from 'msgpackr';
import type { GossipTableConfig } from './MembershipGossipTable.js';
import {
  createGossipTable,
  getTableEntry,
  isExpired,
  mergeDigest,
  recordLocalValue,
  collectDigest,
} from './MembershipGossipTable.js';
import { unpack } from './MembershipCodec.js';
import type { GossipTopic, TopicCode } from './MembershipTopics.js';
import { MembershipError } from './MembershipErrors.js';

/** Thrown for a value that is too large for a digest. */
export const DigestSizeError = MembershipError.subclass('DigestSizeError');

export interface DigestOptions {
  readonly topic: TopicCode;
  readonly bytesPerSecond: number;
  readonly bytesPerMessage: number;
  readonly crossesDomains: boolean;
  /** How many times one instance sends a value. */
  readonly maxSends?: number;
  /** A value expires if it is not recorded again for this long. */
  readonly retention: Millis;
  readonly maxEntries?: number;
}

/** A value with the estimated local time at which it was recorded. */
export interface SeenDigest<Value> {
  readonly value: Value;
  readonly seenAt: Millis;
}

/** Values of one kind, eventually consistent across instances. The value recorded last wins. */
export interface DigestGossip<Value> {
  readonly topic: GossipTopic;
  /** Records a value of at most 200 bytes when packed. It expires unless it is recorded again. */
  record(key: string, value: Value, now: Millis): void;
  get(key: string, now: Millis): SeenDigest<Value> | null;
  /** Returns all values that have not expired, without their keys: only hashes of the keys are stored. */
  getAll(now: Millis): readonly SeenDigest<Value>[];
  /** Calls the listener after each digest received from another instance. */
  registerListener(listener: () => void): Unregister;
}

const MAX_VALUE_BYTES = 200;
/** High, since few messages cross domains and some are lost; an instance that is missed gets no value later. */
const DEFAULT_MAX_SENDS = 24;
const DEFAULT_MAX_ENTRIES = 4096;
const DUPLICATE_WINDOW: Millis = 15_000;

const packr = new Packr({ useRecords: false });

/** Creates an empty set of values, with the topic to register with membership. */
export function createDigestGossip<Value>(options: DigestOptions): DigestGossip<Value> {
  const cfg: GossipTableConfig = {
    valueBytes: 0,
    maxSends: options.maxSends ?? DEFAULT_MAX_SENDS,
    duplicateWindow: DUPLICATE_WINDOW,
    retention: options.retention,
    maxEntries: options.maxEntries ?? DEFAULT_MAX_ENTRIES,
  };
  const listeners = new Set<() => void>();
  const table = createGossipTable(cfg);
  return {
    topic: {
      topic: options.topic,
      bytesPerSecond: options.bytesPerSecond,
      bytesPerMessage: options.bytesPerMessage,
      crossesDomains: options.crossesDomains,
      collect: (maxBytes, to, now) => collectDigest(table, maxBytes, to, now),
      merge(bytes, from, now) {
        mergeDigest(table, bytes, from, now);
        listeners.forEach((listener) => listener());
      },
    },
    record(key, value, now) {
      const bytes = packr.pack(value);
      if (bytes.length > MAX_VALUE_BYTES) {
        throw new DigestSizeError(
          `a value of ${bytes.length} bytes exceeds the limit of ${MAX_VALUE_BYTES}`,
        );
      }
      recordLocalValue(table, key, bytes.toString('latin1'), now);
    },
    get(key, now) {
      const entry = getTableEntry(table, key, now);
      return entry ? { value: decodeValue<Value>(entry.value), seenAt: entry.seenAt } : null;
    },
    getAll: (now) =>
      [...table.entries.values()]
        .filter((entry) => !isExpired(cfg, entry, now))
        .map(({ value, seenAt }) => ({ value: decodeValue<Value>(value), seenAt })),
    registerListener(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}

function decodeValue<Value>(text: string): Value {
  return unpack(Buffer.from(text, 'latin1')) as Value;
}
