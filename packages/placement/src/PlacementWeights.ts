/**
 * Limits a domain's loads to its part of the weight store's rate. The store serves all domains; each uses
 * an equal part, so that domains that cannot reach each other never exceed the rate together.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { MoveReasonName } from './PlacementTypes.js';
import { MoveReason } from './PlacementTypes.js';

export interface WeightRates {
  /** Rate of the store for all domains together. */
  readonly bytesPerSecond: number;
  /** Unused bytes accumulate for at most this long. */
  readonly burst: Millis;
}

export const DEFAULT_WEIGHT_RATES: WeightRates = { bytesPerSecond: 4e9, burst: 60_000 };

/** A move other than a restore starts only while the bucket holds this share of the burst. */
const RESERVED_SHARE = 0.5;

/** Token bucket of bytes that may be loaded; negative after a load larger than its content. */
export interface WeightBucket {
  readonly bytes: number;
  readonly filledAt: Millis;
}

/** The bucket after a request to load, and whether the load may start. */
export interface WeightDraw {
  readonly bucket: WeightBucket;
  readonly isGranted: boolean;
}

/** Creates the bucket of a new lease holder: empty, since the previous holder may have spent all. */
export function createWeightBucket(now: Millis): WeightBucket {
  return { bytes: 0, filledAt: now };
}

/**
 * Takes a load from the bucket. A load may overdraw it, as one larger than the burst could never start
 * otherwise; the next then waits until the bucket has refilled above zero. Only restore moves may start
 * while the bucket holds less than half of the burst.
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
  const reserve = load.reason === MoveReason.Restore ? 0 : capacity * RESERVED_SHARE;
  const isGranted = load.bytes === 0 || (bytes > 0 && bytes >= reserve);
  return { bucket: { bytes: isGranted ? bytes - load.bytes : bytes, filledAt: now }, isGranted };
}
