/**
 * Adaptive silence timeout of a stream, computed from the mean and deviation of the observed gaps as in TCP's
 * retransmission timer. A hung stage is detected within a few gaps instead of after a fixed timeout.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Exponentially weighted mean and mean deviation of a duration. */
export interface Pace {
  readonly mean: Millis;
  readonly deviation: Millis;
  readonly samples: number;
}

/** Bounds of a silence timeout. */
export interface SilenceBounds {
  readonly least: Millis;
  readonly most: Millis;
}

const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 6;
const MEAN_FACTOR = 3;

/** Bounds of the silence timeouts of an attempt, by its progress. */
export interface SilenceConfig {
  /** Before the acknowledgement. */
  readonly acknowledgement: SilenceBounds;
  /** From the acknowledgement to the first token. */
  readonly firstToken: SilenceBounds;
  /** Between tokens. */
  readonly gap: SilenceBounds;
  /**
   * Number of silence timeouts to tolerate while the other streams do not show which engine is at fault. With one
   * chain per domain they never do, and the answer must continue elsewhere before its caller leaves.
   */
  readonly mostUnclear: number;
  /** A stream with a smaller mean gap than this is never moved as slow. */
  readonly leastSlowGap: Millis;
}

export const DEFAULT_SILENCE_CONFIG: SilenceConfig = {
  acknowledgement: { least: 250, most: 1500 },
  firstToken: { least: 400, most: 4000 },
  gap: { least: 120, most: 2000 },
  mostUnclear: 3,
  leastSlowGap: 20,
};

/** Creates a pace without samples from an expected mean. */
export function createPace(mean: Millis): Pace {
  return { mean, deviation: mean / 2, samples: 0 };
}

/** Adds an observed duration. */
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

/** Returns the silence after which a stream counts as hung. */
export function computeSilenceLimit(pace: Pace, bounds: SilenceBounds): Millis {
  const adaptiveLimit = Math.max(
    pace.mean * MEAN_FACTOR,
    pace.mean + pace.deviation * DEVIATION_FACTOR,
  );
  return Math.min(bounds.most, Math.max(bounds.least, adaptiveLimit));
}
