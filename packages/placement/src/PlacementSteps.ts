/**
 * Moves engines from the layers that they hold to those that they should hold, in steps that keep the
 * chain whole. Layers that an engine gives up take no new requests while the answers in progress drain,
 * eight seconds under load; a domain that moved all its boundaries at once served nothing for that long.
 */
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import type { RangeEngine, RangeModel } from './PlacementRanges.js';
import { findGaps, MAX_WEIGHT_SHARE } from './PlacementRanges.js';

/**
 * The layers that an engine should be ordered to hold next on its way to `goal`; null if it has reached
 * the goal or must wait for other engines. Layers that no other engine holds are kept until one does,
 * together with the new ones if memory allows. If the chain is broken anyway, an engine without memory
 * for both goes straight to its goal.
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
  const lost = subtractRange(held, goal);
  if (lost.every((range) => isHeldBy(others, range))) {
    return goal;
  }
  const union: LayerRange = {
    first: Math.min(held.first, goal.first),
    end: Math.max(held.end, goal.end),
  };
  const isContiguous = held.first <= goal.end && goal.first <= held.end;
  if (
    isContiguous &&
    (union.end - union.first) * model.layerBytes <= MAX_WEIGHT_SHARE * engine.memoryBytes
  ) {
    return isSameRange(union, held) ? null : union;
  }
  const isCovered = findGaps([engine, ...others], model).length === 0;
  return isCovered ? null : goal;
}

export function isSameRange(a: LayerRange | null, b: LayerRange): boolean {
  return a !== null && a.first === b.first && a.end === b.end;
}

/** The parts of `range` outside `other`. */
function subtractRange(range: LayerRange, other: LayerRange): readonly LayerRange[] {
  const before = { first: range.first, end: Math.min(range.end, other.first) };
  const after = { first: Math.max(range.first, other.end), end: range.end };
  return [before, after].filter(({ first, end }) => first < end);
}

/**
 * Whether these engines together hold every layer of a range. Goes from engine to engine rather than from layer to layer: a
 * range that another writer registered may be of any length.
 */
export function isHeldBy(engines: readonly RangeEngine[], { first, end }: LayerRange): boolean {
  let layer = first;
  for (let next = first; layer < end; layer = next) {
    next = findHeldEnd(engines, layer);
    if (next === layer) {
      return false;
    }
  }
  return true;
}

/** End of the longest range that has a layer; the layer itself if none has. */
function findHeldEnd(engines: readonly RangeEngine[], layer: number): number {
  const ends = engines.map(({ held }) =>
    held !== null && held.first <= layer && layer < held.end ? held.end : layer,
  );
  return Math.max(layer, ...ends);
}
