/**
 * Load of the engines of a domain. The owner of an engine, the instance whose duty it is, polls it and
 * records the reported load. Other instances receive the load in digests of six bytes per engine, quantized
 * and with its age.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import type { EngineLoad } from '@skylarksail/core/CoreEngine';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { GossipTableConfig, GossipTable } from './MembershipGossipTable.js';
import {
  createGossipTable,
  getTableEntry,
  mergeDigest,
  recordLocalValue,
  collectDigest,
} from './MembershipGossipTable.js';
import type { GossipTopic } from './MembershipTopics.js';
import { TopicNumber } from './MembershipTopics.js';

/** Period at which an owner polls each of its engines; docs/design/load-knowledge.md gives the reasons. */
export const LOAD_POLL_PERIOD: Millis = 3000;
/** Average rate at which each instance may send load digests. */
export const LOAD_BYTES_PER_SECOND = 1000;
const LOAD_BYTES_PER_MESSAGE = 420;

export const LOAD_TABLE_CONFIG: GossipTableConfig = {
  valueBytes: 2,
  maxSends: 2,
  duplicateWindow: LOAD_POLL_PERIOD / 2,
  retention: 120_000,
  maxEntries: 4096,
};

/** An engine's load as digests encode it: counts are exact to about a tenth of their value. */
export interface QuantizedLoad {
  readonly running: number;
  readonly queued: number;
  /** Share of the KV cache in use, 0 to 1, in 16 levels. */
  readonly kvUsed: number;
  readonly state: LifeStateName;
  /** Estimated local time at which the engine reported it. */
  readonly seenAt: Millis;
}

export type LoadTable = GossipTable;

const RUNNING_SCALE = 8;
const RUNNING_MAX = 63;
const QUEUED_SCALE = 4;
const QUEUED_MAX = 31;
const KV_MAX = 15;

export function createLoadTable(cfg: Partial<GossipTableConfig> = {}): LoadTable {
  return createGossipTable({ ...LOAD_TABLE_CONFIG, ...cfg });
}

/** Records the load that an engine polled by this instance has just reported. */
export function recordLoad(table: LoadTable, load: EngineLoad, now: Millis): void {
  recordLocalValue(table, load.engine, encodeLoad(load), now);
}

/** Returns the known load of an engine, or null if there is none or it has expired. */
export function getLoad(table: LoadTable, engine: EngineId, now: Millis): QuantizedLoad | null {
  const entry = getTableEntry(table, engine, now);
  return entry ? { ...decodeLoad(entry.value), seenAt: entry.seenAt } : null;
}

/** Returns the known loads of the given engines; engines without a known load are left out. */
export function getLoads(
  table: LoadTable,
  engines: readonly EngineId[],
  now: Millis,
): ReadonlyMap<EngineId, QuantizedLoad> {
  const loads = new Map<EngineId, QuantizedLoad>();
  for (const engine of engines) {
    const load = getLoad(table, engine, now);
    if (load) {
      loads.set(engine, load);
    }
  }
  return loads;
}

/**
 * Packs a load into 16 bits, as two characters: running and queued on a logarithmic scale in 6 and 5 bits,
 * KV cache use on a linear scale in 4 bits, and 1 bit for whether the engine is leaving.
 */
export function encodeLoad(
  load: Pick<EngineLoad, 'running' | 'queued' | 'kvUsed' | 'state'>,
): string {
  const running = encodeCount(load.running, RUNNING_SCALE, RUNNING_MAX);
  const queued = encodeCount(load.queued, QUEUED_SCALE, QUEUED_MAX);
  const kv = Math.round(Math.min(1, Math.max(0, load.kvUsed)) * KV_MAX);
  const leaving = load.state === LifeState.Leaving ? 1 : 0;
  const packed = running * 1024 + queued * 32 + kv * 2 + leaving;
  return String.fromCharCode(Math.floor(packed / 256), packed % 256);
}

export function decodeLoad(value: string): Omit<QuantizedLoad, 'seenAt'> {
  const packed = value.charCodeAt(0) * 256 + value.charCodeAt(1);
  return {
    running: decodeCount(Math.floor(packed / 1024), RUNNING_SCALE),
    queued: decodeCount(Math.floor(packed / 32) % 32, QUEUED_SCALE),
    kvUsed: (Math.floor(packed / 2) % 16) / KV_MAX,
    state: packed % 2 === 1 ? LifeState.Leaving : LifeState.Live,
  };
}

function encodeCount(count: number, scale: number, max: number): number {
  return Math.min(max, Math.round(scale * Math.log2(1 + Math.max(0, count))));
}

function decodeCount(code: number, scale: number): number {
  return Math.round(2 ** (code / scale) - 1);
}

/** Engine loads, exchanged in gossip messages. */
export interface LoadGossip {
  readonly topic: GossipTopic;
  recordLoad(load: EngineLoad, now: Millis): void;
  getLoad(engine: EngineId, now: Millis): QuantizedLoad | null;
  getLoads(engines: readonly EngineId[], now: Millis): ReadonlyMap<EngineId, QuantizedLoad>;
}

export interface LoadGossipOptions {
  readonly bytesPerSecond?: number;
  readonly cfg?: Partial<GossipTableConfig>;
}

/** Creates the load table of one instance, with the topic to register with membership. */
export function createLoadGossip(options: LoadGossipOptions = {}): LoadGossip {
  const table = createLoadTable(options.cfg);
  return {
    topic: {
      topic: TopicNumber.Load,
      bytesPerSecond: options.bytesPerSecond ?? LOAD_BYTES_PER_SECOND,
      bytesPerMessage: LOAD_BYTES_PER_MESSAGE,
      crossesDomains: false,
      collect: (maxBytes, to, now) => collectDigest(table, maxBytes, to, now),
      merge: (bytes, from, now) => mergeDigest(table, bytes, from, now),
    },
    recordLoad: (load, now) => recordLoad(table, load, now),
    getLoad: (engine, now) => getLoad(table, engine, now),
    getLoads: (engines, now) => getLoads(table, engines, now),
  };
}
