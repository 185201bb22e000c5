/**
 * A domain's part of the weight store's rate. The store serves all domains; each spends an equal part of
 * its own, so that domains that cannot reach each other never ask for more than there is together.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { MoveReasonName } from './PlacementTypes.js';
import { MoveReason } from './PlacementTypes.js';

export interface WeightRates {
  /** What the store gives to all domains together. */
  readonly bytesPerSecond: number;
  /** Unused bytes are saved up for this long. */
  readonly burst: Millis;
}

export const DEFAULT_WEIGHT_RATES: WeightRates = { bytesPerSecond: 4e9, burst: 60_000 };

/** Part of the burst that only restoring may use. */
const RESERVED_SHARE = 0.5;

/** Bytes that may be asked for; below zero while a load larger than the rest is paid off. */
export interface WeightBucket {
  readonly bytes: number;
  readonly filledAt: Millis;
}

export interface WeightDraw {
  readonly bucket: WeightBucket;
  readonly isGranted: boolean;
}

/** A bucket of a holder that has just begun: empty, since the holder before may have spent all. */
export function createWeightBucket(now: Millis): WeightBucket {
  return { bytes: 0, filledAt: now };
}

/**
 * Takes a load from the bucket. One may overdraw it, or a load larger than the burst could never start;
 * the next then waits until it is paid off. All but restoring leaves half of the burst untouched.
 */
export function drawWeights(
  bucket: WeightBucket,
  { bytesPerSecond, burst }: WeightRates,
  domains: number,
  load: { readonly bytes: number; readonly reason: MoveReasonName },
  now: Millis,
): WeightDraw {
  const rate = bytesPerSecond / Math.max(1, domains) / MILLIS_PER_SECOND;
  const capacity = rate * burst;
  const bytes = Math.min(capacity, bucket.bytes + (now - bucket.filledAt) * rate);
  const needed = load.reason === MoveReason.Restore ? 0 : capacity * RESERVED_SHARE;
  const isGranted = load.bytes === 0 || (bytes > 0 && bytes >= needed);
  return { bucket: { bytes: isGranted ? bytes - load.bytes : bytes, filledAt: now }, isGranted };
}
