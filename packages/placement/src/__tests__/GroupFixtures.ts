/** Engines and a model as in a fleet of three domains, for tests of layers held by several engines. */
import type { GroupModel } from '../PlacementGroups.js';
import type { RangeEngine, RangePlan } from '../PlacementRanges.js';

export const GB = 1e9;

/** A model with 140 GB of weights; a request of the usual size takes 0.92 GB of KV cache over all layers. */
export const GROUP_MODEL: GroupModel = {
  layers: 80,
  layerBytes: 1.75 * GB,
  kvTokenBytes: 918_000,
  usualPromptTokens: 800,
  usualAnswerTokens: 200,
  slots: 134,
};

/** Memory of the engines of three domains, in GB. */
export const DOMAINS: Readonly<Record<string, readonly number[]>> = {
  first: [72, 43.2, 43.2, 43.2, 21.6, 21.6, 21.6, 21.6, 21.6, 21.6, 21.6, 21.6],
  second: [72, 43.2, 43.2, 43.2, 43.2, 43.2, 43.2, 21.6, 21.6, 21.6, 21.6, 21.6],
  third: [72, 72, 43.2, 43.2, 21.6, 21.6, 21.6, 21.6, 21.6],
};

export function createGroupEngines(memory: readonly number[]): RangeEngine[] {
  return memory.map((gb, i) => ({
    id: `e${String(i).padStart(2, '0')}`,
    memoryBytes: gb * GB,
    held: null,
  }));
}

export function applyPlan(engines: readonly RangeEngine[], plan: RangePlan | null): RangeEngine[] {
  return engines.map((engine) => ({ ...engine, held: plan?.get(engine.id) ?? engine.held }));
}

/** Bytes that all holders of a layer together have left for its KV cache, for the layer with the fewest. */
export function getLeastRoom(engines: readonly RangeEngine[]): number {
  const rooms = Array.from({ length: GROUP_MODEL.layers }, (_, layer) =>
    engines.reduce((sum, { memoryBytes, held }) => {
      const holds = held !== null && held.first <= layer && layer < held.end;
      return holds ? sum + memoryBytes / (held.end - held.first) - GROUP_MODEL.layerBytes : sum;
    }, 0),
  );
  return Math.min(...rooms);
}

/** Bytes of the weights that an engine holds. */
export function getWeights({ held }: RangeEngine): number {
  return held ? (held.end - held.first) * GROUP_MODEL.layerBytes : 0;
}
