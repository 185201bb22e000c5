/** What the callers of the throughput bench see, in histograms. */
import { build } from 'hdr-histogram-js';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { BenchMeter } from './ThroughputEntry.js';

/** What one policy reached. */
export interface ThroughputRun {
  readonly tokens_s: number;
  readonly ttft_p95_ms: number;
  readonly tbt_p95_ms: number;
  /** Tokens a second that callers asked for. */
  readonly offered_tokens_s: number;
  readonly refused: number;
  readonly failed: number;
}

/** A meter that counts nothing before it is started. */
export interface ThroughputMeter extends BenchMeter {
  start(): void;
  read(measuredMs: Millis): ThroughputRun;
}

const HISTOGRAM_UNITS_PER_MS = 10;

export function createMeter(): ThroughputMeter {
  const firsts = build({ highestTrackableValue: 6e6 });
  const gaps = build({ highestTrackableValue: 6e6 });
  let measuring = false;
  let tokens = 0;
  let offered = 0;
  let refused = 0;
  let failed = 0;
  const count = (change: () => void) => () => {
    if (measuring) {
      change();
    }
  };
  return {
    start() {
      measuring = true;
    },
    onFirstToken(wait: Millis) {
      if (measuring) {
        firsts.recordValue(Math.round(wait * HISTOGRAM_UNITS_PER_MS));
      }
    },
    onTokenGap(gap: Millis) {
      if (measuring) {
        gaps.recordValue(Math.round(gap * HISTOGRAM_UNITS_PER_MS));
      }
    },
    onArrived(answerTokens: number) {
      offered += measuring ? answerTokens : 0;
    },
    onToken: count(() => {
      tokens += 1;
    }),
    onRefused: count(() => {
      refused += 1;
    }),
    onFailed: count(() => {
      failed += 1;
    }),
    read: (measuredMs: Millis): ThroughputRun => ({
      tokens_s: Math.round((tokens * MILLIS_PER_SECOND) / measuredMs),
      ttft_p95_ms: firsts.getValueAtPercentile(95) / HISTOGRAM_UNITS_PER_MS,
      tbt_p95_ms: gaps.getValueAtPercentile(95) / HISTOGRAM_UNITS_PER_MS,
      offered_tokens_s: Math.round((offered * MILLIS_PER_SECOND) / measuredMs),
      refused,
      failed,
    }),
  };
}
