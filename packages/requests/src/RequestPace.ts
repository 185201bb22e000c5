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

/** Bounds of the silence that an attempt is allowed, by how far it got. */
export interface SilenceConfig {
  /** Until the acknowledgement. */
  readonly acknowledgement: SilenceBounds;
  /** From there to the first token. */
  readonly firstToken: SilenceBounds;
  /** Between tokens. */
  readonly gap: SilenceBounds;
  /**
   * Silences that are borne where the other streams do not tell which engine is to blame. With one chain
   * a domain they never do, and an answer must go on elsewhere before its caller leaves.
   */
  readonly mostUnclear: number;
  /** A stream whose tokens come faster than this is never moved for being slow. */
  readonly leastSlowGap: Millis;
}

export const DEFAULT_SILENCE_CONFIG: SilenceConfig = {
  acknowledgement: { least: 250, most: 1500 },
  firstToken: { least: 400, most: 4000 },
  gap: { least: 120, most: 2000 },
  mostUnclear: 3,
  leastSlowGap: 20,
};

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
