/**
 * Small values of other parts that all instances should know: what an engine holds, poison suspects, the
 * revision of the manifest that each instance has in force. Keyed by a text, told with their age.
 */
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { Packr } from 'msgpackr';
import type { GossipTableConfig } from './MembershipGossipTable.js';
import { createGossipTable, getTableEntry, mergeDigest, recordLocalValue, collectDigest } from './MembershipGossipTable.js';
import { unpack } from './MembershipCodec.js';
import type { GossipTopic, TopicCode } from './MembershipTopics.js';
import { MembershipError } from './MembershipErrors.js';

/** A value that does not fit into a digest. */
export const DigestSizeError = MembershipError.subclass('DigestSizeError');

export interface DigestOptions {
  readonly topic: TopicCode;
  readonly bytesPerSecond: number;
  readonly bytesPerMessage: number;
  readonly crossesDomains: boolean;
  /** How often one instance passes a value on. */
  readonly maxSends?: number;
  /** Values not recorded again for this long are forgotten. */
  readonly retention: Millis;
  readonly maxEntries?: number;
}

/** A value with the local time at which it was recorded, as near as can be told. */
export interface SeenDigest<Value> {
  readonly value: Value;
  readonly seenAt: Millis;
}

/** Values of one kind, the same on all instances after a while. The latest recorded stands. */
export interface DigestGossip<Value> {
  readonly topic: GossipTopic;
  /** Records a value; at most 200 bytes once packed. Record it again now and then to keep it. */
  record(key: string, value: Value, now: Millis): void;
  get(key: string, now: Millis): SeenDigest<Value> | null;
  /** All values that are not forgotten; keys are known by their hash only. */
  getAll(now: Millis): readonly SeenDigest<Value>[];
  /** Tells of values that came from other instances. */
  registerListener(listener: () => void): Unregister;
}

const MAX_VALUE_BYTES = 200;
const DEFAULT_MAX_SENDS = 6;
const DEFAULT_MAX_ENTRIES = 4096;
const SAME_WITHIN: Millis = 15_000;

const packr = new Packr({ useRecords: false });

/** Creates a digest with its topic, to be registered with membership. */
export function createDigestGossip<Value>(options: DigestOptions): DigestGossip<Value> {
  const cfg: GossipTableConfig = {
    valueBytes: 0,
    maxSends: options.maxSends ?? DEFAULT_MAX_SENDS,
    duplicateWindow: SAME_WITHIN,
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
      collect: (room, to, now) => collectDigest(table, room, to, now),
      merge(bytes, from, now) {
        mergeDigest(table, bytes, from, now);
        listeners.forEach((listener) => listener());
      },
    },
    record(key, value, now) {
      const bytes = packr.pack(value);
      if (bytes.length > MAX_VALUE_BYTES) {
        throw new DigestSizeError(`a digest of ${bytes.length} bytes is over ${MAX_VALUE_BYTES}`);
      }
      recordLocalValue(table, key, bytes.toString('latin1'), now);
    },
    get(key, now) {
      const entry = getTableEntry(table, key);
      return entry && now - entry.seenAt < cfg.retention
        ? { value: readValue<Value>(entry.value), seenAt: entry.seenAt }
        : null;
    },
    getAll: (now) =>
      [...table.entries.values()]
        .filter(({ seenAt }) => now - seenAt < cfg.retention)
        .map(({ value, seenAt }) => ({ value: readValue<Value>(value), seenAt })),
    registerListener(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}

function readValue<Value>(text: string): Value {
  return unpack(Buffer.from(text, 'latin1')) as Value;
}
