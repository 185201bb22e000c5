/**
 * A caller's key: its hash, its slot, and the time that it carries if it is of a form that has one
 * (UUID version 7 or ULID). That time is part of the key, so it never changes between resends.
 */
import { hash32, hash64Hex } from '@skylarksail/core/CoreHash';
import type { TeamId } from '@skylarksail/core/CoreTypes';

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/;
const ULID_TIME_DIGITS = 10;
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';

/** What the claims know a key by. */
export interface ClaimKey {
  readonly hash: string;
  readonly slot: number;
  /** Milliseconds since 1970 that the key carries; null for an opaque key. */
  readonly stamp: number | null;
}

/** Finds a key's slot and hash; teams do not share keys. */
export function createClaimKey(team: TeamId, key: string, slots: number): ClaimKey {
  const full = `${team}\u0000${key}`;
  return { hash: hash64Hex(full), slot: hash32(full) % slots, stamp: readKeyStamp(key) };
}

/** The time that a key carries, or null. */
export function readKeyStamp(key: string): number | null {
  const uuid = UUID_V7.exec(key);
  if (uuid) {
    return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16);
  }
  if (ULID.test(key)) {
    return [...key.slice(0, ULID_TIME_DIGITS)].reduce(
      (sum, digit) => sum * ULID_ALPHABET.length + ULID_ALPHABET.indexOf(digit),
      0,
    );
  }
  return null;
}
