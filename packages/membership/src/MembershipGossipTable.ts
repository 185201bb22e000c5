/**
 * A table of small values that are told with their age: of two values for one key the one seen later
 * stands. No clock is compared between instances, and what is late or repeated does no harm. Each value
 * is passed on a few times by each instance; changed values go before those merely seen again.
 *
 * The table is changed in place: it is read and written with every message, and copies of it were a third
 * of the processor time of all gossip.
 */
import { hash32 } from '@skylarksail/core/CoreHash';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { WireError } from './MembershipWire.js';

/** How values of one table are spread. */
export interface GossipTableConfig {
  /** Bytes of each value; 0 for values of different length, up to 255 bytes. */
  readonly valueBytes: number;
  /** How often one instance passes a value on. */
  readonly maxSends: number;
  /** The same value seen again within this time is old news. */
  readonly duplicateWindow: Millis;
  /** Values not seen for this long are dropped. */
  readonly retention: Millis;
  readonly maxEntries: number;
}

export interface GossipTableEntry {
  readonly key: number;
  /** Its bytes, one character each: short texts are far cheaper to make and compare than arrays. */
  readonly value: string;
  /** Local time at which it was true, as near as can be told; never later than that. */
  readonly seenAt: Millis;
  /** How often we passed it on, or heard that others have it. */
  readonly sends: number;
  /** Who told us; it need not be told. */
  readonly from: InstanceId | null;
  /** Whether it differed from the value before. */
  readonly isChange: boolean;
}

export interface GossipTable {
  readonly cfg: GossipTableConfig;
  readonly entries: Map<number, GossipTableEntry>;
}

/** Two keys of a domain's 350 engines collide once in 270 domains; the load is a hint in any case. */
const KEY_BYTES = 3;
const KEY_LIMIT = 2 ** 24;
const AGE_BYTES = 1;
/** Ages are told in fine steps up to the 128th, in coarse ones beyond; always rounded up. */
const FINE_STEP: Millis = 100;
const FINE_STEPS = 128;
const COARSE_STEP: Millis = 5000;
const MAX_AGE_CODE = 255;
const KEPT_SHARE = 0.75;

/** A table's key for a name, the same on every instance. */
export function getTableKey(name: string): number {
  return hash32(name) % KEY_LIMIT;
}

export function createGossipTable(cfg: GossipTableConfig): GossipTable {
  return { cfg, entries: new Map() };
}

/** Notes a value that we saw ourselves, at `now`. */
export function recordLocalValue(table: GossipTable, name: string, value: string, now: Millis): void {
  takeEntry(table, { key: getTableKey(name), value, seenAt: now, from: null });
  limitEntries(table, now);
}

/** Takes in a digest of another instance. Throws WireError on bytes that are not one. */
export function mergeDigest(
  table: GossipTable,
  bytes: Uint8Array,
  from: InstanceId,
  now: Millis,
): void {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const { valueBytes } = table.cfg;
  let at = 0;
  while (at < view.length) {
    if (at + KEY_BYTES + AGE_BYTES >= view.length) {
      throw new WireError('digest is cut off');
    }
    const key = view.readUIntBE(at, KEY_BYTES);
    const age = decodeAge(view.readUInt8(at + KEY_BYTES));
    at += KEY_BYTES + AGE_BYTES;
    const length = valueBytes || view.readUInt8(at);
    at += valueBytes ? 0 : 1;
    if (at + length > view.length) {
      throw new WireError('digest is cut off');
    }
    const value = view.toString('latin1', at, at + length);
    takeEntry(table, { key, value, seenAt: now - age, from });
    at += length;
  }
  limitEntries(table, now);
}

/** The next digest of at most `room` bytes for `to`; each entry in it counts as passed on once more. */
export function collectDigest(
  table: GossipTable,
  room: number,
  to: InstanceId,
  now: Millis,
): Uint8Array {
  const chosen = chooseEntries(table, room, to);
  const size = chosen.reduce((sum, entry) => sum + measureEntry(table.cfg, entry), 0);
  const bytes = Buffer.alloc(size);
  let at = 0;
  for (const entry of chosen) {
    at = writeEntry(table.cfg, bytes, at, entry, now);
    table.entries.set(entry.key, { ...entry, sends: entry.sends + 1 });
  }
  return bytes;
}

/** What is known of a name. */
export function getTableEntry(table: GossipTable, name: string): GossipTableEntry | null {
  return table.entries.get(getTableKey(name)) ?? null;
}

/** An age as a byte, rounded up so that no hop makes a value younger. */
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

type Sighting = Pick<GossipTableEntry, 'key' | 'value' | 'seenAt' | 'from'>;

function takeEntry({ cfg, entries }: GossipTable, seen: Sighting): void {
  const known = entries.get(seen.key);
  if (!known) {
    entries.set(seen.key, { ...seen, sends: 0, isChange: true });
    return;
  }
  const isSame = known.value === seen.value;
  if (isSame && Math.abs(seen.seenAt - known.seenAt) < cfg.duplicateWindow) {
    // The same sighting by another path, though rounded ages may make it look a little newer. Taken as
    // a new one it would be passed on for ever; as it is, it shows that others have it already.
    const seenAt = Math.max(known.seenAt, seen.seenAt);
    entries.set(seen.key, { ...known, seenAt, sends: known.sends + 1 });
    return;
  }
  if (seen.seenAt > known.seenAt) {
    // Taken out first, so that the order of the table is that in which the values came.
    entries.delete(seen.key);
    entries.set(seen.key, { ...seen, sends: 0, isChange: !isSame });
  }
}

function chooseEntries(table: GossipTable, room: number, to: InstanceId): readonly GossipTableEntry[] {
  const { cfg } = table;
  const chosen: GossipTableEntry[] = [];
  let used = 0;
  for (const group of groupWaiting(table, to)) {
    // From the end: what came last is the freshest.
    for (let i = group.length - 1; i >= 0; i--) {
      const entry = group[i] as GossipTableEntry;
      used += measureEntry(cfg, entry);
      if (used > room) {
        return chosen;
      }
      chosen.push(entry);
    }
  }
  return chosen;
}

/** Entries to be passed on, the most urgent group first: seldom sent, then changed. */
function groupWaiting({ cfg, entries }: GossipTable, to: InstanceId): readonly GossipTableEntry[][] {
  const groups = Array.from({ length: 2 * cfg.maxSends }, (): GossipTableEntry[] => []);
  for (const entry of entries.values()) {
    if (entry.sends < cfg.maxSends && entry.from !== to) {
      groups[2 * entry.sends + (entry.isChange ? 0 : 1)]?.push(entry);
    }
  }
  return groups;
}

function measureEntry(cfg: GossipTableConfig, entry: GossipTableEntry): number {
  return KEY_BYTES + AGE_BYTES + (cfg.valueBytes || 1 + entry.value.length);
}

function writeEntry(
  cfg: GossipTableConfig,
  bytes: Buffer,
  start: number,
  entry: GossipTableEntry,
  now: Millis,
): number {
  let at = bytes.writeUIntBE(entry.key, start, KEY_BYTES);
  at = bytes.writeUInt8(encodeAge(now - entry.seenAt), at);
  if (!cfg.valueBytes) {
    at = bytes.writeUInt8(entry.value.length, at);
  }
  return at + bytes.write(entry.value, at, 'latin1');
}

/** Drops what was not seen for long, and the oldest beyond the bound. */
function limitEntries({ cfg, entries }: GossipTable, now: Millis): void {
  if (entries.size <= cfg.maxEntries) {
    return;
  }
  const ordered = [...entries.values()].sort((a, b) => b.seenAt - a.seenAt);
  ordered.forEach((entry, i) => {
    // A quarter is freed at once, so that the sorting is not done for each new entry.
    if (i >= cfg.maxEntries * KEPT_SHARE || now - entry.seenAt >= cfg.retention) {
      entries.delete(entry.key);
    }
  });
}
