/**
 * Hash, slot and timestamp of a caller's idempotency key. Only a UUID version 7 or a ULID contains a
 * timestamp. It is part of the key, so it is the same in every resend.
 */
import { hash32, hash64Hex } from '@skylarksail/core/CoreHash';
import type { TeamId } from '@skylarksail/core/CoreTypes';

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/;
const ULID_TIME_DIGITS = 10;
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';

/** The parts of an idempotency key that claims use. */
export interface ClaimKey {
  readonly hash: string;
  readonly slot: number;
  /** Timestamp contained in the key, in milliseconds since 1970; null for an opaque key. */
  readonly stamp: number | null;
}

/** Computes a key's hash and slot. Both include the team, so teams cannot collide on a key. */
export function createClaimKey(team: TeamId, key: string, slots: number): ClaimKey {
  const full = `${team}\u0000${key}`;
  return { hash: hash64Hex(full), slot: hash32(full) % slots, stamp: readKeyStamp(key) };
}

/** Returns the timestamp contained in a UUID version 7 or ULID, or null for any other key. */
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
