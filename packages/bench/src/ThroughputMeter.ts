/** Histograms and counts of what the callers of the throughput bench observe. */
import { build } from 'hdr-histogram-js';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { BenchMeter } from './ThroughputEntry.js';

/** Results of one policy at one load. */
export interface ThroughputRun {
  readonly tokens_s: number;
  readonly ttft_p95_ms: number;
  readonly tbt_p95_ms: number;
  /** Tokens per second that callers requested. */
  readonly offered_tokens_s: number;
  readonly refused: number;
  readonly failed: number;
}

/** A meter that ignores all events until it is started. */
export interface ThroughputMeter extends BenchMeter {
  start(): void;
  read(measuredMs: Millis): ThroughputRun;
}

const HISTOGRAM_UNITS_PER_MS = 10;

export function createMeter(): ThroughputMeter {
  const firstTokenTimes = build({ highestTrackableValue: 6e6 });
  const tokenGaps = build({ highestTrackableValue: 6e6 });
  let isMeasuring = false;
  let tokens = 0;
  let offered = 0;
  let refused = 0;
  let failed = 0;
  const whenMeasuring = (change: () => void) => () => {
    if (isMeasuring) {
      change();
    }
  };
  return {
    start() {
      isMeasuring = true;
    },
    onFirstToken(wait: Millis) {
      if (isMeasuring) {
        firstTokenTimes.recordValue(Math.round(wait * HISTOGRAM_UNITS_PER_MS));
      }
    },
    onTokenGap(gap: Millis) {
      if (isMeasuring) {
        tokenGaps.recordValue(Math.round(gap * HISTOGRAM_UNITS_PER_MS));
      }
    },
    onArrived(answerTokens: number) {
      offered += isMeasuring ? answerTokens : 0;
    },
    onToken: whenMeasuring(() => {
      tokens += 1;
    }),
    onRefused: whenMeasuring(() => {
      refused += 1;
    }),
    onFailed: whenMeasuring(() => {
      failed += 1;
    }),
    read: (measuredMs: Millis): ThroughputRun => ({
      tokens_s: Math.round((tokens * MILLIS_PER_SECOND) / measuredMs),
      ttft_p95_ms: firstTokenTimes.getValueAtPercentile(95) / HISTOGRAM_UNITS_PER_MS,
      tbt_p95_ms: tokenGaps.getValueAtPercentile(95) / HISTOGRAM_UNITS_PER_MS,
      offered_tokens_s: Math.round((offered * MILLIS_PER_SECOND) / measuredMs),
      refused,
      failed,
    }),
  };
}
