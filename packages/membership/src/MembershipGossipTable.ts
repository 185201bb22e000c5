/**
 * A table of small values that instances gossip together with their age: for each key, the value observed
 * last wins. Ages are relative, so clocks are not compared between instances, and late or repeated digests
 * do no harm. Each instance sends a value a limited number of times; changed values take precedence over
 * values that were observed again unchanged.
 *
 * The table is mutated in place: it is read and written with every message, and copying it took a third of
 * the CPU time of all gossip.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { WireError } from './MembershipWire.js';

export interface GossipTableConfig {
  /** Size of each value; 0 for values of variable length, up to 255 bytes. */
  readonly valueBytes: number;
  /** How many times one instance sends a value. */
  readonly maxSends: number;
  /** The same value observed again within this time is a duplicate and is not sent anew. */
  readonly duplicateWindow: Millis;
  /** Age at which a value expires. */
  readonly retention: Millis;
  readonly maxEntries: number;
}

export interface GossipTableEntry {
  readonly key: number;
  /** Its bytes, one character each: short strings are far cheaper to create and compare than arrays. */
  readonly value: string;
  /** Estimated local time of the observation; the rounding of ages only makes it earlier. */
  readonly seenAt: Millis;
  /** How many times this instance sent the value, or received the same observation again. */
  readonly sends: number;
  /** The instance that sent the value, to which it is not sent back; null if observed locally. */
  readonly from: InstanceId | null;
  /** Whether it differs from the previous value of the key. */
  readonly isChange: boolean;
}

export interface GossipTable {
  readonly cfg: GossipTableConfig;
  readonly entries: Map<number, GossipTableEntry>;
}

/**
 * With 350 engines in a domain, two of their keys collide in one of 270 domains. That is acceptable, as
 * the load is only a hint.
 */
const KEY_BYTES = 3;
const KEY_LIMIT = 2 ** 24;
const AGE_BYTES = 1;
/** Ages are encoded in fine steps below the 128th and in coarse steps from there on, always rounded up. */
const FINE_STEP: Millis = 100;
const FINE_STEPS = 128;
const COARSE_STEP: Millis = 5000;
const MAX_AGE_CODE = 255;
const KEPT_SHARE = 0.75;

/** Hashes a name to its key in a table, the same on every instance. */
export function getTableKey(name: string): number {
  return hash32(name) % KEY_LIMIT;
}

export function createGossipTable(cfg: GossipTableConfig): GossipTable {
  return { cfg, entries: new Map() };
}

/** Records a value that this instance observed itself at `now`. */
export function recordLocalValue(
  table: GossipTable,
  name: string,
  value: string,
  now: Millis,
): void {
  mergeEntry(table, { key: getTableKey(name), value, seenAt: now, from: null });
  evictEntries(table, now);
}

/**
 * Merges a digest of another instance. Throws WireError, with nothing merged, if the bytes are not a valid
 * digest.
 */
export function mergeDigest(
  table: GossipTable,
  bytes: Uint8Array,
  from: InstanceId,
  now: Millis,
): void {
  const observations = decodeDigest(table.cfg, bytes, from, now);
  observations.forEach((observed) => mergeEntry(table, observed));
  evictEntries(table, now);
}

function decodeDigest(
  { valueBytes }: GossipTableConfig,
  bytes: Uint8Array,
  from: InstanceId,
  now: Millis,
): readonly Observation[] {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const observations: Observation[] = [];
  let offset = 0;
  while (offset < view.length) {
    if (offset + KEY_BYTES + AGE_BYTES >= view.length) {
      throw new WireError('digest is truncated');
    }
    const key = view.readUIntBE(offset, KEY_BYTES);
    const age = decodeAge(view.readUInt8(offset + KEY_BYTES));
    offset += KEY_BYTES + AGE_BYTES;
    const length = valueBytes || view.readUInt8(offset);
    offset += valueBytes ? 0 : 1;
    if (offset + length > view.length) {
      throw new WireError('digest is truncated');
    }
    const value = view.toString('latin1', offset, offset + length);
    observations.push({ key, value, seenAt: now - age, from });
    offset += length;
  }
  return observations;
}

/** Encodes the next digest of at most `maxBytes` for `to`, and counts each entry in it as sent once more. */
export function collectDigest(
  table: GossipTable,
  maxBytes: number,
  to: InstanceId,
  now: Millis,
): Uint8Array {
  const chosen = selectEntries(table, maxBytes, to, now);
  const size = chosen.reduce((sum, entry) => sum + getEntrySize(table.cfg, entry), 0);
  const bytes = Buffer.alloc(size);
  let offset = 0;
  for (const entry of chosen) {
    offset = writeEntry(table.cfg, bytes, offset, entry, now);
    table.entries.set(entry.key, { ...entry, sends: entry.sends + 1 });
  }
  return bytes;
}

/** Returns the entry of a name, or null if there is none or it has expired. */
export function getTableEntry(
  table: GossipTable,
  name: string,
  now: Millis,
): GossipTableEntry | null {
  const entry = table.entries.get(getTableKey(name));
  return entry && !isExpired(table.cfg, entry, now) ? entry : null;
}

/** Whether an entry has reached the age at which it is neither read nor sent any more. */
export function isExpired(
  { retention }: GossipTableConfig,
  { seenAt }: GossipTableEntry,
  now: Millis,
): boolean {
  return now - seenAt >= retention;
}

/** Encodes an age in one byte, rounded up so that no hop makes a value appear younger than it is. */
export function encodeAge(age: Millis): number {
  const fine = Math.ceil(Math.max(0, age) / FINE_STEP);
  if (fine < FINE_STEPS) {
    return fine;
  }
  const coarse = Math.ceil((age - FINE_STEP * (FINE_STEPS - 1)) / COARSE_STEP);
  return Math.min(MAX_AGE_CODE, FINE_STEPS - 1 + coarse);
}

export function decodeAge(code: number): Millis {
  const fine = Math.min(code, FINE_STEPS - 1);
  return fine * FINE_STEP + (code - fine) * COARSE_STEP;
}

type Observation = Pick<GossipTableEntry, 'key' | 'value' | 'seenAt' | 'from'>;

function mergeEntry({ cfg, entries }: GossipTable, observed: Observation): void {
  const known = entries.get(observed.key);
  if (!known) {
    entries.set(observed.key, { ...observed, sends: 0, isChange: true });
    return;
  }
  const isSame = known.value === observed.value;
  if (isSame && Math.abs(observed.seenAt - known.seenAt) < cfg.duplicateWindow) {
    // The same observation by another path, which may look slightly newer because ages are rounded. If it
    // were treated as new, instances would resend it to each other forever. It counts as a send instead,
    // because other instances already have the value.
    const seenAt = Math.max(known.seenAt, observed.seenAt);
    entries.set(observed.key, { ...known, seenAt, sends: known.sends + 1 });
    return;
  }
  if (observed.seenAt > known.seenAt) {
    // Deleted first, so that the map iterates in the order in which values arrived.
    entries.delete(observed.key);
    entries.set(observed.key, { ...observed, sends: 0, isChange: !isSame });
  }
}

function selectEntries(
  table: GossipTable,
  maxBytes: number,
  to: InstanceId,
  now: Millis,
): readonly GossipTableEntry[] {
  const { cfg } = table;
  const chosen: GossipTableEntry[] = [];
  let used = 0;
  for (const group of groupByPriority(table, to, now)) {
    // Iterates backwards: the entries that arrived last are the newest.
    for (let i = group.length - 1; i >= 0; i--) {
      const entry = group[i] as GossipTableEntry;
      used += getEntrySize(cfg, entry);
      if (used > maxBytes) {
        return chosen;
      }
      chosen.push(entry);
    }
  }
  return chosen;
}

/** Groups the entries still to be sent: fewest sends first, and changed values before unchanged ones. */
function groupByPriority(
  { cfg, entries }: GossipTable,
  to: InstanceId,
  now: Millis,
): readonly GossipTableEntry[][] {
  const groups = Array.from({ length: 2 * cfg.maxSends }, (): GossipTableEntry[] => []);
  for (const entry of entries.values()) {
    if (entry.sends < cfg.maxSends && entry.from !== to && !isExpired(cfg, entry, now)) {
      groups[2 * entry.sends + (entry.isChange ? 0 : 1)]?.push(entry);
    }
  }
  return groups;
}

function getEntrySize(cfg: GossipTableConfig, entry: GossipTableEntry): number {
  return KEY_BYTES + AGE_BYTES + (cfg.valueBytes || 1 + entry.value.length);
}

function writeEntry(
  cfg: GossipTableConfig,
  bytes: Buffer,
  start: number,
  entry: GossipTableEntry,
  now: Millis,
): number {
  let offset = bytes.writeUIntBE(entry.key, start, KEY_BYTES);
  offset = bytes.writeUInt8(encodeAge(now - entry.seenAt), offset);
  if (!cfg.valueBytes) {
    offset = bytes.writeUInt8(entry.value.length, offset);
  }
  return offset + bytes.write(entry.value, offset, 'latin1');
}

/** Once the table exceeds its maximum size, drops the expired and the oldest entries. */
function evictEntries({ cfg, entries }: GossipTable, now: Millis): void {
  if (entries.size <= cfg.maxEntries) {
    return;
  }
  const ordered = [...entries.values()].sort((a, b) => b.seenAt - a.seenAt);
  ordered.forEach((entry, i) => {
    // Frees a quarter of the table at once, so that it is not sorted again for each new entry.
    if (i >= cfg.maxEntries * KEPT_SHARE || isExpired(cfg, entry, now)) {
      entries.delete(entry.key);
    }
  });
}
