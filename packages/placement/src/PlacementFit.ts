/** Which engines have the memory for a range of layers. */
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import type { RangeEngine, RangeModel } from './PlacementRanges.js';

/** The smallest engine that can hold a range with at most `share` of its memory; null if none can. */
export function findSmallestHolder(
  candidates: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
  share: number,
): RangeEngine | null {
  const [smallest = null] = candidates
    .filter((engine) => canHold(engine, range, model, share))
    .sort((a, b) => a.memoryBytes - b.memoryBytes || compareIds(a, b));
  return smallest;
}

/** Whether the weights of a range take at most `share` of an engine's memory. */
export function canHold(
  { memoryBytes }: RangeEngine,
  { first, end }: LayerRange,
  { layerBytes }: RangeModel,
  share: number,
): boolean {
  return (end - first) * layerBytes <= share * memoryBytes;
}

/** Compares engines by ID to break ties deterministically. */
export function compareIds(a: RangeEngine, b: RangeEngine): number {
  return a.id < b.id ? -1 : 1;
}
