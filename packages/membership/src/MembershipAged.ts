/**
 * A table of small values that are told with their age: of two values for one key the one seen later
 * stands. No clock is compared between instances, and what is late or repeated does no harm. Each value
 * is passed on a few times by each instance; changed values go before those merely seen again.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import { WireError } from './MembershipWire.js';

/** How values of one table are spread. */
export interface AgedConfig {
  /** Bytes of each value; 0 for values of different length, up to 255 bytes. */
  readonly valueBytes: number;
  /** How often one instance passes a value on. */
  readonly maxSends: number;
  /** The same value seen again within this time is old news. */
  readonly sameWithin: Millis;
  /** Values not seen for this long are dropped. */
  readonly forgetAfter: Millis;
  readonly maxEntries: number;
}

export interface AgedEntry {
  readonly key: number;
  readonly value: Uint8Array;
  /** Local time at which it was true, as near as can be told; never later than that. */
  readonly seenAt: Millis;
  readonly sends: number;
  /** Whether it differed from the value before. */
  readonly isChange: boolean;
}

export interface AgedTable {
  readonly cfg: AgedConfig;
  readonly entries: ReadonlyMap<number, AgedEntry>;
}

const KEY_BYTES = 4;
const AGE_BYTES = 1;
/** Ages are told in fine steps up to the 128th, in coarse ones beyond; always rounded up. */
const FINE_STEP: Millis = 100;
const FINE_STEPS = 128;
const COARSE_STEP: Millis = 5000;
const MAX_AGE_CODE = 255;

export function createAgedTable(cfg: AgedConfig): AgedTable {
  return { cfg, entries: new Map() };
}

/** Notes a value that we saw ourselves, at `now`. */
export function recordAged(
  table: AgedTable,
  key: number,
  value: Uint8Array,
  now: Millis,
): AgedTable {
  const entries = new Map(table.entries);
  takeEntry(table.cfg, entries, key, value, now);
  return limitEntries({ ...table, entries }, now);
}

/** Takes in a digest of another instance. Throws WireError on bytes that are not one. */
export function mergeAged(table: AgedTable, bytes: Uint8Array, now: Millis): AgedTable {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const entries = new Map(table.entries);
  let at = 0;
  while (at < view.length) {
    if (at + KEY_BYTES + AGE_BYTES >= view.length) {
      throw new WireError('digest is cut off');
    }
    const key = view.readUInt32BE(at);
    const age = decodeAge(view.readUInt8(at + KEY_BYTES));
    at += KEY_BYTES + AGE_BYTES;
    const length = table.cfg.valueBytes || view.readUInt8(at);
    at += table.cfg.valueBytes ? 0 : 1;
    if (at + length > view.length) {
      throw new WireError('digest is cut off');
    }
    // A copy, so that the message that the bytes came in need not be kept.
    takeEntry(table.cfg, entries, key, Uint8Array.from(view.subarray(at, at + length)), now - age);
    at += length;
  }
  return limitEntries({ ...table, entries }, now);
}

export interface TakenDigest {
  readonly table: AgedTable;
  readonly bytes: Uint8Array;
}

/** The next digest of at most `room` bytes; each entry in it counts as passed on once more. */
export function takeDigest(table: AgedTable, room: number, now: Millis): TakenDigest {
  const chosen = chooseEntries(table, room);
  if (chosen.length === 0) {
    return { table, bytes: new Uint8Array(0) };
  }
  const bytes = Buffer.alloc(
    chosen.reduce((sum, entry) => sum + measureEntry(table.cfg, entry), 0),
  );
  const entries = new Map(table.entries);
  let at = 0;
  for (const entry of chosen) {
    at = writeEntry(table.cfg, bytes, at, entry, now);
    entries.set(entry.key, { ...entry, sends: entry.sends + 1 });
  }
  return { table: { ...table, entries }, bytes };
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

function takeEntry(
  cfg: AgedConfig,
  entries: Map<number, AgedEntry>,
  key: number,
  value: Uint8Array,
  seenAt: Millis,
): void {
  const known = entries.get(key);
  if (known && known.seenAt >= seenAt) {
    return;
  }
  const isSame = known !== undefined && Buffer.compare(known.value, value) === 0;
  if (known && isSame && seenAt - known.seenAt < cfg.sameWithin) {
    // Rounded ages make one sighting look a little newer by one path than by another. Taken as a new
    // sighting it would be passed on for ever.
    entries.set(key, { ...known, seenAt });
    return;
  }
  entries.set(key, { key, value, seenAt, sends: 0, isChange: !isSame });
}

function chooseEntries(table: AgedTable, room: number): readonly AgedEntry[] {
  const { cfg } = table;
  const waiting: AgedEntry[] = [];
  for (const entry of table.entries.values()) {
    if (entry.sends < cfg.maxSends) {
      waiting.push(entry);
    }
  }
  waiting.sort(compareUrgency);
  const chosen: AgedEntry[] = [];
  let used = 0;
  for (const entry of waiting) {
    used += measureEntry(cfg, entry);
    if (used > room) {
      break;
    }
    chosen.push(entry);
  }
  return chosen;
}

function compareUrgency(a: AgedEntry, b: AgedEntry): number {
  return a.sends - b.sends || Number(b.isChange) - Number(a.isChange) || b.seenAt - a.seenAt;
}

function measureEntry(cfg: AgedConfig, entry: AgedEntry): number {
  return KEY_BYTES + AGE_BYTES + (cfg.valueBytes || 1 + entry.value.length);
}

function writeEntry(
  cfg: AgedConfig,
  bytes: Buffer,
  start: number,
  entry: AgedEntry,
  now: Millis,
): number {
  let at = bytes.writeUInt32BE(entry.key, start);
  at = bytes.writeUInt8(encodeAge(now - entry.seenAt), at);
  if (!cfg.valueBytes) {
    at = bytes.writeUInt8(entry.value.length, at);
  }
  bytes.set(entry.value, at);
  return at + entry.value.length;
}

/** Drops what was not seen for long, and the oldest beyond the bound. */
function limitEntries(table: AgedTable, now: Millis): AgedTable {
  const { cfg, entries } = table;
  if (entries.size <= cfg.maxEntries) {
    return table;
  }
  const kept = [...entries.values()]
    .filter((entry) => now - entry.seenAt < cfg.forgetAfter)
    .sort((a, b) => b.seenAt - a.seenAt)
    .slice(0, cfg.maxEntries);
  return { cfg, entries: new Map(kept.map((entry) => [entry.key, entry])) };
}
