/**
 * How long a stream may be silent. Mean and deviation of the observed gaps give the limit, as in the
 * retransmission timer of TCP, so that a hung stage shows within a few gaps and not after a timeout.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Running mean and mean deviation of a time. */
export interface Pace {
  readonly mean: Millis;
  readonly deviation: Millis;
  readonly samples: number;
}

/** Bounds of a silence limit. */
export interface SilenceBounds {
  readonly least: Millis;
  readonly most: Millis;
}

const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 6;
const MEANS = 3;

/** Limits of the gap between tokens. */
export const GAP_BOUNDS: SilenceBounds = { least: 120, most: 2000 };
/** Limits of the time to the first token of an attempt. */
export const FIRST_TOKEN_BOUNDS: SilenceBounds = { least: 400, most: 4000 };
/** Limits of the time to the acknowledgement. */
export const ACKNOWLEDGEMENT_BOUNDS: SilenceBounds = { least: 250, most: 1500 };

/** A pace before the first sample, guessed from `mean`. */
export function createPace(mean: Millis): Pace {
  return { mean, deviation: mean / 2, samples: 0 };
}

/** Takes in one observed time. */
export function addSample(pace: Pace, sample: Millis): Pace {
  if (pace.samples === 0) {
    return { mean: sample, deviation: sample / 2, samples: 1 };
  }
  const error = sample - pace.mean;
  return {
    mean: pace.mean + MEAN_WEIGHT * error,
    deviation: pace.deviation + DEVIATION_WEIGHT * (Math.abs(error) - pace.deviation),
    samples: pace.samples + 1,
  };
}

/** Silence after which a stream counts as stuck. */
export function computeSilenceLimit(pace: Pace, bounds: SilenceBounds): Millis {
  const usual = Math.max(pace.mean * MEANS, pace.mean + pace.deviation * DEVIATIONS);
  return Math.min(bounds.most, Math.max(bounds.least, usual));
}
