/**
 * A chain: the engines that a request's tokens pass through, covering each of a model's layers once and in
 * order. Only `createChain` can create one, so a chain with a gap or an overlap cannot exist.
 */
import type { AdapterId, EngineId, LayerRange, ModelId, Result, VersionId } from './CoreTypes.js';
import { createFailed, createOk } from './CoreTypes.js';

declare const chainBrand: unique symbol;

/** The layers that one engine runs in a chain. */
export interface Stage {
  readonly engine: EngineId;
  readonly layers: LayerRange;
}

/** One version of a model with at most one adapter; all stages of a chain run the same variant. */
export interface ModelVariant {
  readonly model: ModelId;
  readonly version: VersionId;
  readonly adapter: AdapterId | null;
}

export interface Chain {
  readonly [chainBrand]: true;
  readonly variant: ModelVariant;
  readonly stages: readonly Stage[];
}

/** Why stages do not form a chain, and the layer at which this was found. */
export interface ChainFault {
  readonly kind: 'empty' | 'gap' | 'overlap' | 'short' | 'long' | 'empty-stage' | 'repeated-engine';
  readonly layer: number;
}

/**
 * Creates a chain if the stages cover the layers from 0 to `layerCount`, exclusive, once and in order, and
 * each stage is on a different engine.
 */
export function createChain(
  variant: ModelVariant,
  layerCount: number,
  stages: readonly Stage[],
): Result<Chain, ChainFault> {
  if (stages.length === 0) {
    return createFailed({ kind: 'empty', layer: 0 });
  }
  let covered = 0;
  const engines = new Set<EngineId>();
  for (const stage of stages) {
    const { first, end } = stage.layers;
    if (first > covered) {
      return createFailed({ kind: 'gap', layer: covered });
    }
    if (first < covered) {
      return createFailed({ kind: 'overlap', layer: first });
    }
    if (end <= first) {
      return createFailed({ kind: 'empty-stage', layer: first });
    }
    if (engines.has(stage.engine)) {
      return createFailed({ kind: 'repeated-engine', layer: first });
    }
    engines.add(stage.engine);
    covered = end;
  }
  if (covered !== layerCount) {
    return createFailed({ kind: covered < layerCount ? 'short' : 'long', layer: covered });
  }
  return createOk({ variant, stages: [...stages] } as unknown as Chain);
}

/** Whether an engine's acknowledgement names the same variant and stages as the chain sent to it. */
export function isSameChain(
  a: Pick<Chain, 'variant' | 'stages'>,
  b: Pick<Chain, 'variant' | 'stages'>,
): boolean {
  return (
    a.variant.model === b.variant.model &&
    a.variant.version === b.variant.version &&
    a.variant.adapter === b.variant.adapter &&
    a.stages.length === b.stages.length &&
    a.stages.every((stage, i) => {
      const other = b.stages[i];
      return (
        other !== undefined &&
        stage.engine === other.engine &&
        stage.layers.first === other.layers.first &&
        stage.layers.end === other.layers.end
      );
    })
  );
}

/** Formats a chain for logs: `engine[first-end) > …`. */
export function formatChain(chain: Pick<Chain, 'stages'>): string {
  return chain.stages
    .map(({ engine, layers }) => `${engine}[${layers.first}-${layers.end})`)
    .join(' > ');
}
