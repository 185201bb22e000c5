/**
 * What a slot stores in the platform's store. The head is one value: epoch, owner, the claims of the
 * open segment, and references to the sealed segments. A sealed segment is an immutable value; its name
 * contains the epoch, so only the owner of that epoch can write it.
 */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { ClaimError } from './ClaimErrors.js';

/** A claim on a key. Only the claim request with the id `askId` may be dispatched. */
export interface SlotClaim {
  readonly keyHash: string;
  readonly fingerprint: string;
  /** Timestamp contained in the key; null if there is none, and then the claim never expires. */
  readonly stamp: number | null;
  readonly askId: string;
  /** Final run state, if it was known before the segment was sealed. */
  readonly outcome: RunStateName | null;
}

/** The head's reference to a sealed segment. */
export interface SegmentRef {
  readonly name: string;
  readonly count: number;
  /** Newest timestamp of a key in the segment; null if its keys contain none. */
  readonly newest: number | null;
}

export interface SlotHead {
  /** Incremented by each new owner. */
  readonly epoch: number;
  readonly owner: string;
  /** Unique to one write; reading it back proves that the write took effect. */
  readonly writeId: string;
  /** Keys with an earlier timestamp are refused, since their claims may have been deleted. */
  readonly floor: number;
  readonly segments: readonly SegmentRef[];
  /** Ids of claim requests in sealed segments whose claims were released. */
  readonly withdrawn: readonly string[];
  readonly claims: readonly SlotClaim[];
}

/** Head of a slot that has never been used. */
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

/** Decodes a head. The empty value means that the slot has not been stored yet. */
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
 * Returns the decoded value, or null if `decode` throws. A value that was corrupted from outside must
 * not crash the process: every later owner of the slot would crash in the same way.
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
    throw new ClaimError('stored claim slot value is not valid JSON', { cause: err });
  }
}
