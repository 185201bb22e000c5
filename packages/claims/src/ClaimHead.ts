/**
 * What a slot keeps in the platform's service. The head is one value: epoch, owner, the claims of the
 * open segment, and the names of the sealed segments. A sealed segment is a value that never changes
 * under a name that only one epoch's owner can write.
 */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { ClaimError } from './ClaimErrors.js';

/** A claim: the key's hash, and the one ask that may dispatch it. */
export interface SlotClaim {
  readonly keyHash: string;
  readonly fingerprint: string;
  /** Time that the key carries; null if it has none, and then the claim is kept for good. */
  readonly stamp: number | null;
  readonly askId: string;
  /** How it ended, if that was known before the segment was sealed. */
  readonly outcome: RunStateName | null;
}

/** A sealed segment as the head names it. */
export interface SegmentRef {
  readonly name: string;
  readonly count: number;
  /** Newest time that a key in it carries; null if its keys carry none. */
  readonly newest: number | null;
}

export interface SlotHead {
  /** Rises with every owner. */
  readonly epoch: number;
  readonly owner: string;
  /** Unique to one write; finding it proves that the write took effect. */
  readonly writeId: string;
  /** Keys that carry a time before this are refused; claims of such keys may be gone. */
  readonly floor: number;
  readonly segments: readonly SegmentRef[];
  /** Asks in sealed segments whose claims were given back. */
  readonly withdrawn: readonly string[];
  readonly claims: readonly SlotClaim[];
}

/** Head of a slot that nobody has used. */
export const EMPTY_HEAD: SlotHead = {
  epoch: 0,
  owner: '',
  writeId: '',
  floor: 0,
  segments: [],
  withdrawn: [],
  claims: [],
};

type ClaimRow = [string, string, number, string, RunStateName | 0];

export function encodeClaims(claims: readonly SlotClaim[]): string {
  return JSON.stringify(claims.map(createRow));
}

export function decodeClaims(value: string): readonly SlotClaim[] {
  return (parse(value) as ClaimRow[]).map(readRow);
}

export function encodeHead(head: SlotHead): string {
  return JSON.stringify({
    e: head.epoch,
    o: head.owner,
    w: head.writeId,
    f: head.floor,
    s: head.segments.map(({ name, count, newest }) => [name, count, newest ?? 0]),
    x: head.withdrawn,
    c: head.claims.map(createRow),
  });
}

/** Reads a head; the empty value stands for a slot that does not exist yet. */
export function decodeHead(value: string): SlotHead {
  if (value === '') {
    return EMPTY_HEAD;
  }
  const raw = parse(value) as {
    e: number;
    o: string;
    w: string;
    f: number;
    s: [string, number, number][];
    x: string[];
    c: ClaimRow[];
  };
  return {
    epoch: raw.e,
    owner: raw.o,
    writeId: raw.w,
    floor: raw.f,
    segments: raw.s.map(([name, count, newest]) => ({ name, count, newest: newest || null })),
    withdrawn: raw.x,
    claims: raw.c.map(readRow),
  };
}

function createRow(claim: SlotClaim): ClaimRow {
  return [claim.keyHash, claim.fingerprint, claim.stamp ?? 0, claim.askId, claim.outcome ?? 0];
}

function readRow([keyHash, fingerprint, stamp, askId, outcome]: ClaimRow): SlotClaim {
  return { keyHash, fingerprint, stamp: stamp || null, askId, outcome: outcome || null };
}

/**
 * What `decode` reads, or null if the value is not of its shape. A value that somebody else spoiled
 * must not end the process: each next owner of the slot would end in the same way.
 */
export function tryDecode<T>(decode: (value: string) => T, value: string): T | null {
  try {
    return decode(value);
  } catch {
    return null;
  }
}

function parse(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch (err) {
    throw new ClaimError('a slot holds a value that is no JSON', { cause: err });
  }
}
