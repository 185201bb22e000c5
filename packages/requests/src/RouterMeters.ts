/** Measurements of each model at this instance: time to first token, gap between tokens, answer length. */
import type { Millis, ModelId } from '@skylarksail/core/CoreTypes';
import type { SilenceLimits } from './RequestMessages.js';
import type { Pace, SilenceConfig } from './RequestPace.js';
import { addSample, computeSilenceLimit, createPace } from './RequestPace.js';

interface ModelMeters {
  readonly acknowledgement: Pace;
  /** Time to the first token per unit of prefill work. */
  readonly firstPerUnit: Pace;
  readonly gap: Pace;
  /** Mean answer length as a share of `maxTokens`. */
  readonly lengthShare: number;
}

/** Measurements by model. */
export interface RouterMeters {
  noteAcknowledgement(model: ModelId, time: Millis): void;
  noteFirstToken(model: ModelId, contextTokens: number, time: Millis): void;
  noteGap(model: ModelId, gap: Millis): void;
  noteLength(model: ModelId, tokens: number, maxTokens: number): void;
  getSilenceLimits(model: ModelId, contextTokens: number): SilenceLimits;
  /** Expected duration of a request once it runs; 0 until one was measured. */
  estimateDuration(model: ModelId, contextTokens: number, maxTokens: number): Millis;
  /** Expected time to the first token of an attempt that prefills `contextTokens`. */
  estimateFirstToken(model: ModelId, contextTokens: number): Millis;
  /** Expected length of an answer, in tokens. */
  estimateLength(model: ModelId, maxTokens: number): number;
}

/** Fixed prefill work, independent of the length of the prompt, in tokens. */
const PREFILL_BASE = 256;
const INITIAL_METERS: ModelMeters = {
  acknowledgement: createPace(100),
  firstPerUnit: createPace(1),
  gap: createPace(40),
  lengthShare: 1,
};
const LENGTH_WEIGHT = 0.05;

export function createRouterMeters(
  silence: SilenceConfig,
  initialLengthShare: number,
): RouterMeters {
  const models = new Map<ModelId, ModelMeters>();

  function getMeters(model: ModelId): ModelMeters {
    return models.get(model) ?? { ...INITIAL_METERS, lengthShare: initialLengthShare };
  }

  function update(model: ModelId, part: Partial<ModelMeters>): void {
    models.set(model, { ...getMeters(model), ...part });
  }

  function estimateFirstToken(model: ModelId, contextTokens: number): Millis {
    return getMeters(model).firstPerUnit.mean * (PREFILL_BASE + contextTokens);
  }

  function estimateLength(model: ModelId, maxTokens: number): number {
    return getMeters(model).lengthShare * maxTokens;
  }

  return {
    noteAcknowledgement(model, time) {
      update(model, { acknowledgement: addSample(getMeters(model).acknowledgement, time) });
    },
    noteFirstToken(model, contextTokens, time) {
      const perUnit = time / (PREFILL_BASE + contextTokens);
      update(model, { firstPerUnit: addSample(getMeters(model).firstPerUnit, perUnit) });
    },
    noteGap(model, gap) {
      const { acknowledgement, firstPerUnit, gap: pace, lengthShare } = getMeters(model);
      // Runs once per token: naming the fields is cheaper than the two spreads of `update`.
      models.set(model, {
        acknowledgement,
        firstPerUnit,
        gap: addSample(pace, gap),
        lengthShare,
      });
    },
    noteLength(model, tokens, maxTokens) {
      const { lengthShare } = getMeters(model);
      const observedShare = tokens / Math.max(1, maxTokens);
      update(model, { lengthShare: lengthShare + LENGTH_WEIGHT * (observedShare - lengthShare) });
    },
    getSilenceLimits(model, contextTokens) {
      const { acknowledgement, firstPerUnit, gap } = getMeters(model);
      const units = PREFILL_BASE + contextTokens;
      const first: Pace = {
        mean: firstPerUnit.mean * units,
        deviation: firstPerUnit.deviation * units,
        samples: firstPerUnit.samples,
      };
      return {
        acknowledgement: computeSilenceLimit(acknowledgement, silence.acknowledgement),
        firstToken: computeSilenceLimit(first, silence.firstToken),
        gap: gap.mean,
        gapBounds: silence.gap,
      };
    },
    estimateDuration(model, contextTokens, maxTokens) {
      const { firstPerUnit, gap } = getMeters(model);
      if (firstPerUnit.samples === 0 || gap.samples === 0) {
        return 0;
      }
      return estimateFirstToken(model, contextTokens) + gap.mean * estimateLength(model, maxTokens);
    },
    estimateFirstToken,
    estimateLength,
  };
}
