/**
 * Takes engines from the layers that they hold to those that they should hold, in steps that keep a chain
 * whole. Layers that are given up take nothing new and wait for the answers that pass through them, eight
 * seconds under load: a domain cut anew in one stroke served nothing for so long.
 */
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import type { RangeEngine, RangeModel } from './PlacementRanges.js';
import { findGaps, MAX_WEIGHT_SHARE } from './PlacementRanges.js';

/**
 * What an engine should be ordered to hold next on its way to `goal`; null if it is to wait for others.
 * Layers that nobody else holds are kept until somebody does, beside the new ones if there is memory for
 * both. In a domain that is broken anyway an engine without that memory goes straight to its goal.
 */
export function planStep(
  engine: RangeEngine,
  goal: LayerRange,
  others: readonly RangeEngine[],
  model: RangeModel,
): LayerRange | null {
  const { held } = engine;
  if (held === null || isSameRange(held, goal)) {
    return held === null ? goal : null;
  }
  const lost = subtract(held, goal);
  if (lost.every((range) => isHeldBy(others, range))) {
    return goal;
  }
  const both: LayerRange = {
    first: Math.min(held.first, goal.first),
    end: Math.max(held.end, goal.end),
  };
  const isTouching = held.first <= goal.end && goal.first <= held.end;
  if (
    isTouching &&
    (both.end - both.first) * model.layerBytes <= MAX_WEIGHT_SHARE * engine.memoryBytes
  ) {
    return isSameRange(both, held) ? null : both;
  }
  const isWhole = findGaps([engine, ...others], model).length === 0;
  return isWhole ? null : goal;
}

/** Whether two ranges are the same. */
export function isSameRange(a: LayerRange | null, b: LayerRange): boolean {
  return a !== null && a.first === b.first && a.end === b.end;
}

/** The parts of `range` outside `other`. */
function subtract(range: LayerRange, other: LayerRange): readonly LayerRange[] {
  const before = { first: range.first, end: Math.min(range.end, other.first) };
  const after = { first: Math.max(range.first, other.end), end: range.end };
  return [before, after].filter(({ first, end }) => first < end);
}

/** Whether these engines together hold every layer of a range. */
export function isHeldBy(engines: readonly RangeEngine[], { first, end }: LayerRange): boolean {
  for (let layer = first; layer < end; layer++) {
    if (!engines.some(({ held }) => held !== null && held.first <= layer && layer < held.end)) {
      return false;
    }
  }
  return true;
}
