/**
 * Validation of decoded values. An invalid value throws WireError, and the caller drops the whole
 * message.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { MembershipError } from './MembershipErrors.js';

/** Received bytes are malformed. */
export const WireError = MembershipError.subclass('WireError');

const MAX_TEXT_LENGTH = 256;
const MAX_ITEMS = 4096;

export function readArray(value: unknown, minLength = 0): readonly unknown[] {
  if (!Array.isArray(value) || value.length < minLength || value.length > MAX_ITEMS) {
    throw new WireError('expected an array of valid length');
  }
  return value;
}

export function readText(value: unknown): string {
  if (typeof value !== 'string' || value.length > MAX_TEXT_LENGTH) {
    throw new WireError('expected a string of valid length');
  }
  return value;
}

/** Reads an integer from 0 to `limit` inclusive. */
export function readUnsignedInteger(value: unknown, limit = Number.MAX_SAFE_INTEGER): number {
  if (typeof value !== 'number' || !Number.isInteger(value) || value < 0 || value > limit) {
    throw new WireError('expected an integer in range');
  }
  return value;
}

export function readBytes(value: unknown): Uint8Array {
  if (!(value instanceof Uint8Array)) {
    throw new WireError('expected a byte array');
  }
  return value;
}

export function readPhase(value: unknown): LifeStateName {
  return readUnsignedInteger(value, 1) === 1 ? LifeState.Leaving : LifeState.Live;
}

export function writePhase(phase: LifeStateName): number {
  return phase === LifeState.Leaving ? 1 : 0;
}
