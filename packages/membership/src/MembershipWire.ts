/** Checked reading of decoded values: any surprise throws WireError, and the message is dropped whole. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { MembershipError } from './MembershipErrors.js';

/** Bytes that do not decode to what they should. */
export const WireError = MembershipError.subclass('WireError');

const MAX_TEXT = 256;
const MAX_ITEMS = 4096;

export function readArray(value: unknown, minLength = 0): readonly unknown[] {
  if (!Array.isArray(value) || value.length < minLength || value.length > MAX_ITEMS) {
    throw new WireError('not an array of a fit length');
  }
  return value;
}

export function readText(value: unknown): string {
  if (typeof value !== 'string' || value.length > MAX_TEXT) {
    throw new WireError('not a short text');
  }
  return value;
}

/** A whole number from 0 up to `limit`, included. */
export function readUnsignedInteger(value: unknown, limit = Number.MAX_SAFE_INTEGER): number {
  if (typeof value !== 'number' || !Number.isInteger(value) || value < 0 || value > limit) {
    throw new WireError('not a whole number in range');
  }
  return value;
}

export function readBytes(value: unknown): Uint8Array {
  if (!(value instanceof Uint8Array)) {
    throw new WireError('not bytes');
  }
  return value;
}

export function readPhase(value: unknown): LifeStateName {
  return readUnsignedInteger(value, 1) === 1 ? LifeState.Leaving : LifeState.Live;
}

export function writePhase(phase: LifeStateName): number {
  return phase === LifeState.Leaving ? 1 : 0;
}
