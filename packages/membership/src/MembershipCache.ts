/**
 * What the engines' prefix caches probably hold. The owner of an engine follows its cache events and
 * spreads its most used prefixes as short hashes; events come late and with gaps, so all of it is an
 * expectation that fades with age and is put right by what answers show.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { GossipTableConfig } from './MembershipGossipTable.js';
import { createGossipTable, getTableEntry, mergeDigest, recordLocalValue, collectDigest } from './MembershipGossipTable.js';
import type { GossipTopic } from './MembershipTopics.js';
import { TopicNumber } from './MembershipTopics.js';

/** An engine's word that its cache gained or lost a prefix. Numbers rise by one without gaps. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Hash of the prompt prefix; empty if all was cleared. */
  readonly prefix: string;
}

interface CachedPrefix {
  readonly uses: number;
  readonly usedAt: Millis;
}

/** What the owner of an engine knows of its cache. */
export interface CacheSketch {
  readonly lastNumber: number;
  /** 0 to 1: halved by each gap, and won back by events that follow each other. */
  readonly confidence: number;
  readonly prefixes: ReadonlyMap<number, CachedPrefix>;
}

const PREFIX_LIMIT = 2 ** 16;
const SPREAD_PREFIXES = 8;
const MAX_PREFIXES = 512;
const GAP_FACTOR = 0.5;
const GAIN = 0.05;
const CONFIDENCE_STEPS = 255;
/** Age at which an expectation is worth half. */
const HALF_LIFE: Millis = 90_000;
/** Weight of one answer in what we think of an engine's digests. */
const SAMPLE_WEIGHT = 0.1;
/** Prefixes seen in answers that an instance remembers. */
const MAX_SAMPLES = 4096;

/** How often an owner spreads the sketch of each of its engines. */
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

/** Takes in one event. A repeated or older one changes nothing; a gap costs confidence. */
export function applyCacheEvent(sketch: CacheSketch, event: CacheEvent, now: Millis): CacheSketch {
  if (event.number <= sketch.lastNumber) {
    return sketch;
  }
  const isGap = sketch.lastNumber > 0 && event.number > sketch.lastNumber + 1;
  const confidence = isGap ? sketch.confidence * GAP_FACTOR : Math.min(1, sketch.confidence + GAIN);
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
  return { lastNumber: event.number, confidence, prefixes: limitPrefixes(prefixes) };
}

/** The sketch in at most 17 bytes, one character each: confidence and the most used prefixes. */
export function encodeSketch(sketch: CacheSketch): string {
  const keys = [...sketch.prefixes]
    .sort(([, a], [, b]) => b.uses - a.uses || b.usedAt - a.usedAt)
    .slice(0, SPREAD_PREFIXES)
    .map(([key]) => String.fromCharCode(Math.floor(key / 256), key % 256));
  return String.fromCharCode(Math.round(sketch.confidence * CONFIDENCE_STEPS)) + keys.join('');
}

/** The confidence with which an encoded sketch says that it has a prefix; 0 if it does not. */
export function getSketchConfidence(text: string, prefix: string): number {
  const key = hashPrefix(prefix);
  for (let at = 1; at + 1 < text.length; at += 2) {
    if (text.charCodeAt(at) * 256 + text.charCodeAt(at + 1) === key) {
      return text.charCodeAt(0) / CONFIDENCE_STEPS;
    }
  }
  return 0;
}

/** Cache knowledge that rides on membership. */
export interface CacheGossip {
  readonly topic: GossipTopic;
  /** An event of an engine that we own. */
  recordEvent(engine: EngineId, event: CacheEvent, now: Millis): void;
  /** Puts our sketch of an engine into the next digests; once every CACHE_SPREAD_PERIOD. */
  publishSketch(engine: EngineId, now: Millis): void;
  /** We no longer own the engine. */
  dropSketch(engine: EngineId): void;
  /** What an answer showed of the prefix that it was asked with. */
  recordSample(engine: EngineId, prefix: string, wasCached: boolean, now: Millis): void;
  /** Chance, 0 to 1, that the engine holds the prefix. An expectation, never a fact. */
  getHitProbability(engine: EngineId, prefix: string, now: Millis): number;
}

interface Sample {
  readonly wasCached: boolean;
  readonly seenAt: Millis;
}

/** Creates what one instance knows of caches, with its topic, to be registered with membership. */
export function createCacheGossip(): CacheGossip {
  const table = createGossipTable(CACHE_TABLE_CONFIG);
  const sketches = new Map<EngineId, CacheSketch>();
  const samples = new Map<string, Sample>();
  /** How often the digests of an engine were right, as answers showed. */
  const trust = new Map<EngineId, number>();

  function getDigestChance(engine: EngineId, prefix: string, now: Millis): number {
    const entry = getTableEntry(table, engine);
    return entry ? getSketchConfidence(entry.value, prefix) * fade(now - entry.seenAt) : 0;
  }

  function getChance(engine: EngineId, prefix: string, now: Millis): number {
    const sample = samples.get(nameSample(engine, prefix));
    const digestAt = getTableEntry(table, engine)?.seenAt ?? -Infinity;
    if (sample && (sample.wasCached || sample.seenAt >= digestAt)) {
      // A miss stands until a later digest; a hit is the better word as long as it is not old.
      const own = sample.wasCached ? fade(now - sample.seenAt) : 0;
      return sample.seenAt >= digestAt ? own : Math.max(own, getTrusted(engine, prefix, now));
    }
    return getTrusted(engine, prefix, now);
  }

  function getTrusted(engine: EngineId, prefix: string, now: Millis): number {
    return getDigestChance(engine, prefix, now) * (trust.get(engine) ?? 1);
  }

  return {
    topic: {
      topic: TopicNumber.Cache,
      bytesPerSecond: CACHE_BYTES_PER_SECOND,
      bytesPerMessage: CACHE_BYTES_PER_MESSAGE,
      crossesDomains: false,
      collect: (room, to, now) => collectDigest(table, room, to, now),
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
      if (getDigestChance(engine, prefix, now) > 0) {
        const before = trust.get(engine) ?? 1;
        trust.set(engine, before + SAMPLE_WEIGHT * (Number(wasCached) - before));
      }
      const name = nameSample(engine, prefix);
      samples.delete(name);
      samples.set(name, { wasCached, seenAt: now });
      dropOldest(samples, MAX_SAMPLES);
    },
    getHitProbability: getChance,
  };
}

function hashPrefix(prefix: string): number {
  return hash32(prefix) % PREFIX_LIMIT;
}

function nameSample(engine: EngineId, prefix: string): string {
  return `${engine}\u0000${prefix}`;
}

function fade(age: Millis): number {
  return 2 ** (-Math.max(0, age) / HALF_LIFE);
}

function limitPrefixes(prefixes: Map<number, CachedPrefix>): ReadonlyMap<number, CachedPrefix> {
  if (prefixes.size <= MAX_PREFIXES) {
    return prefixes;
  }
  const kept = [...prefixes].sort(([, a], [, b]) => b.usedAt - a.usedAt);
  return new Map(kept.slice(0, MAX_PREFIXES / 2));
}

/** A Map gives its keys in the order in which they were set. */
function dropOldest(samples: Map<string, Sample>, limit: number): void {
  for (const name of samples.keys()) {
    if (samples.size <= limit) {
      return;
    }
    samples.delete(name);
  }
}
