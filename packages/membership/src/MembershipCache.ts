/**
 * Estimates what the engines' prefix caches hold. The owner of an engine follows its cache events and
 * gossips its most used prefixes as short hashes. Events arrive late and with gaps, so the result is a
 * probability that decays with age and is corrected by the cache hits and misses that answers report.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { GossipTableConfig } from './MembershipGossipTable.js';
import {
  createGossipTable,
  getTableEntry,
  mergeDigest,
  recordLocalValue,
  collectDigest,
} from './MembershipGossipTable.js';
import type { GossipTopic } from './MembershipTopics.js';
import { TopicNumber } from './MembershipTopics.js';

/** An engine's report that its cache gained or lost a prefix. Its numbers increase by one without gaps. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Hash of the prompt prefix; empty if the whole cache was cleared. */
  readonly prefix: string;
}

interface CachedPrefix {
  readonly uses: number;
  readonly usedAt: Millis;
}

/** The cache contents of an engine as its owner derives them from events. */
export interface CacheSketch {
  readonly lastNumber: number;
  /** From 0 to 1: halved by each gap in the event numbers, raised by each event in sequence. */
  readonly confidence: number;
  readonly prefixes: ReadonlyMap<number, CachedPrefix>;
}

const PREFIX_HASH_LIMIT = 2 ** 16;
const PUBLISHED_PREFIXES = 8;
const MAX_PREFIXES = 512;
const CONFIDENCE_GAP_FACTOR = 0.5;
const CONFIDENCE_GAIN = 0.05;
const CONFIDENCE_STEPS = 255;
/** Age at which an estimated probability has decayed to half. */
const HALF_LIFE: Millis = 90_000;
/** Weight of one answer in the moving average of how accurate an engine's digests are. */
const SAMPLE_WEIGHT = 0.1;
/** Number of engine and prefix pairs for which an instance keeps the last hit or miss. */
const MAX_SAMPLES = 4096;

/** Period at which an owner publishes the sketch of each of its engines. */
export const CACHE_PUBLISH_PERIOD: Millis = 90_000;
export const CACHE_BYTES_PER_SECOND = 150;
const CACHE_BYTES_PER_MESSAGE = 120;

const CACHE_TABLE_CONFIG: GossipTableConfig = {
  valueBytes: 0,
  maxSends: 2,
  duplicateWindow: CACHE_PUBLISH_PERIOD / 2,
  retention: 10 * 60_000,
  maxEntries: 4096,
};

export function createCacheSketch(): CacheSketch {
  return { lastNumber: 0, confidence: 1, prefixes: new Map() };
}

/** Applies one event. A repeated or older event changes nothing; a gap lowers the confidence. */
export function applyCacheEvent(sketch: CacheSketch, event: CacheEvent, now: Millis): CacheSketch {
  if (event.number <= sketch.lastNumber) {
    return sketch;
  }
  const isGap = sketch.lastNumber > 0 && event.number > sketch.lastNumber + 1;
  const confidence = isGap
    ? sketch.confidence * CONFIDENCE_GAP_FACTOR
    : Math.min(1, sketch.confidence + CONFIDENCE_GAIN);
  if (event.kind === 'cleared') {
    return { lastNumber: event.number, confidence: 1, prefixes: new Map() };
  }
  const prefixes = new Map(sketch.prefixes);
  const key = hashPrefix(event.prefix);
  if (event.kind === 'removed') {
    prefixes.delete(key);
  } else {
    prefixes.set(key, { uses: (prefixes.get(key)?.uses ?? 0) + 1, usedAt: now });
  }
  return { lastNumber: event.number, confidence, prefixes: evictPrefixes(prefixes) };
}

/** Encodes a sketch in at most 17 bytes, one character each: confidence and the most used prefixes. */
export function encodeSketch(sketch: CacheSketch): string {
  const keys = [...sketch.prefixes]
    .sort(([, a], [, b]) => b.uses - a.uses || b.usedAt - a.usedAt)
    .slice(0, PUBLISHED_PREFIXES)
    .map(([key]) => String.fromCharCode(Math.floor(key / 256), key % 256));
  return String.fromCharCode(Math.round(sketch.confidence * CONFIDENCE_STEPS)) + keys.join('');
}

/** Returns the confidence of an encoded sketch if it contains the prefix, otherwise 0. */
export function getSketchConfidence(text: string, prefix: string): number {
  const key = hashPrefix(prefix);
  for (let at = 1; at + 1 < text.length; at += 2) {
    if (text.charCodeAt(at) * 256 + text.charCodeAt(at + 1) === key) {
      return text.charCodeAt(0) / CONFIDENCE_STEPS;
    }
  }
  return 0;
}

/** Estimated cache contents, exchanged in gossip messages. */
export interface CacheGossip {
  readonly topic: GossipTopic;
  /** Applies a cache event of an engine that this instance owns. */
  recordEvent(engine: EngineId, event: CacheEvent, now: Millis): void;
  /** Adds the sketch of an owned engine to the next digests; to be called once per publish period. */
  publishSketch(engine: EngineId, now: Millis): void;
  /** Discards the sketch of an engine that this instance no longer owns. */
  dropSketch(engine: EngineId): void;
  /** Records whether an answer reported its request's prefix as cached. */
  recordSample(engine: EngineId, prefix: string, wasCached: boolean, now: Millis): void;
  /** Estimates the probability, 0 to 1, that the engine has the prefix in its cache. */
  getHitProbability(engine: EngineId, prefix: string, now: Millis): number;
}

interface Sample {
  readonly wasCached: boolean;
  readonly seenAt: Millis;
}

/** Creates the cache estimates of one instance, with the topic to register with membership. */
export function createCacheGossip(): CacheGossip {
  const table = createGossipTable(CACHE_TABLE_CONFIG);
  const sketches = new Map<EngineId, CacheSketch>();
  const samples = new Map<string, Sample>();
  /** Moving average, per engine, of how often a prefix in its digest was cached according to answers. */
  const digestAccuracy = new Map<EngineId, number>();

  function getDigestProbability(engine: EngineId, prefix: string, now: Millis): number {
    const entry = getTableEntry(table, engine, now);
    return entry ? getSketchConfidence(entry.value, prefix) * getAgeWeight(now - entry.seenAt) : 0;
  }

  function estimateProbability(engine: EngineId, prefix: string, now: Millis): number {
    const sample = samples.get(getSampleKey(engine, prefix));
    const digestAt = getTableEntry(table, engine, now)?.seenAt ?? -Infinity;
    if (sample && (sample.wasCached || sample.seenAt >= digestAt)) {
      // A miss counts until a newer digest arrives. A hit decays with age; if a newer digest exists, the
      // higher of the two probabilities counts.
      const sampleProbability = sample.wasCached ? getAgeWeight(now - sample.seenAt) : 0;
      return sample.seenAt >= digestAt
        ? sampleProbability
        : Math.max(sampleProbability, getWeightedDigestProbability(engine, prefix, now));
    }
    return getWeightedDigestProbability(engine, prefix, now);
  }

  function getWeightedDigestProbability(engine: EngineId, prefix: string, now: Millis): number {
    return getDigestProbability(engine, prefix, now) * (digestAccuracy.get(engine) ?? 1);
  }

  return {
    topic: {
      topic: TopicNumber.Cache,
      bytesPerSecond: CACHE_BYTES_PER_SECOND,
      bytesPerMessage: CACHE_BYTES_PER_MESSAGE,
      crossesDomains: false,
      collect: (maxBytes, to, now) => collectDigest(table, maxBytes, to, now),
      merge: (bytes, from, now) => mergeDigest(table, bytes, from, now),
    },
    recordEvent(engine, event, now) {
      sketches.set(
        engine,
        applyCacheEvent(sketches.get(engine) ?? createCacheSketch(), event, now),
      );
    },
    publishSketch(engine, now) {
      const sketch = sketches.get(engine);
      if (sketch) {
        recordLocalValue(table, engine, encodeSketch(sketch), now);
      }
    },
    dropSketch: (engine) => {
      sketches.delete(engine);
    },
    recordSample(engine, prefix, wasCached, now) {
      if (getDigestProbability(engine, prefix, now) > 0) {
        const accuracy = digestAccuracy.get(engine) ?? 1;
        digestAccuracy.set(engine, accuracy + SAMPLE_WEIGHT * (Number(wasCached) - accuracy));
      }
      const sampleKey = getSampleKey(engine, prefix);
      samples.delete(sampleKey);
      samples.set(sampleKey, { wasCached, seenAt: now });
      evictOldest(samples, MAX_SAMPLES);
    },
    getHitProbability: estimateProbability,
  };
}

function hashPrefix(prefix: string): number {
  return hash32(prefix) % PREFIX_HASH_LIMIT;
}

function getSampleKey(engine: EngineId, prefix: string): string {
  return `${engine}\u0000${prefix}`;
}

function getAgeWeight(age: Millis): number {
  return 2 ** (-Math.max(0, age) / HALF_LIFE);
}

function evictPrefixes(prefixes: Map<number, CachedPrefix>): ReadonlyMap<number, CachedPrefix> {
  if (prefixes.size <= MAX_PREFIXES) {
    return prefixes;
  }
  const kept = [...prefixes].sort(([, a], [, b]) => b.usedAt - a.usedAt);
  return new Map(kept.slice(0, MAX_PREFIXES / 2));
}

/** Relies on a Map iterating over its keys in insertion order. */
function evictOldest(samples: Map<string, Sample>, limit: number): void {
  for (const sampleKey of samples.keys()) {
    if (samples.size <= limit) {
      return;
    }
    samples.delete(sampleKey);
  }
}
