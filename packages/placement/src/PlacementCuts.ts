/** How a model's layers are cut into stages: sizes for engines that are given, and cuts in use. */
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import { countFittingLayers, sumRates } from './PlacementGoals.js';
import type { LayoutStage, PlacementEngine, PlacementModel } from './PlacementTypes.js';

const SEARCH_STEPS = 24;

/** Sizes of stages that make the slowest as fast as can be; null if the layers do not fit. */
export function computeSizes(
  layers: number,
  rates: readonly number[],
  limits: readonly number[],
): readonly number[] | null {
  const slowest = Math.min(...rates);
  // At half of the slowest rate for all layers, each stage could hold as many as fit.
  let low = slowest / layers / 2;
  let high = slowest;
  if (!(slowest > 0) || !isEnough(layers, rates, limits, low)) {
    return null;
  }
  for (let i = 0; i < SEARCH_STEPS; i++) {
    const middle = (low + high) / 2;
    if (isEnough(layers, rates, limits, middle)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  const sizes = rates.map((rate, i) => countLayers(rate, limits[i] ?? 0, low));
  return trimSizes(sizes, rates, layers);
}

/** Layers that a stage can do at a speed. */
function countLayers(rate: number, limit: number, speed: number): number {
  return Math.min(Math.floor(rate / speed), limit);
}

/** Whether stages that each hold some layers can do all of them at a speed. */
function isEnough(
  layers: number,
  rates: readonly number[],
  limits: readonly number[],
  speed: number,
): boolean {
  let sum = 0;
  for (let i = 0; i < rates.length; i++) {
    const count = countLayers(rates[i] ?? 0, limits[i] ?? 0, speed);
    if (count < 1) {
      return false;
    }
    sum += count;
  }
  return sum >= layers;
}

/** Takes layers that are too many from the stages that are slowest with them. */
function trimSizes(
  sizes: readonly number[],
  rates: readonly number[],
  layers: number,
): readonly number[] | null {
  const trimmed = [...sizes];
  let surplus = sizes.reduce((sum, n) => sum + n, 0) - layers;
  while (surplus > 0) {
    let slowest = -1;
    trimmed.forEach((size, i) => {
      const isSlower =
        slowest < 0 || (rates[i] ?? 0) / size < (rates[slowest] ?? 0) / (trimmed[slowest] ?? 1);
      if (size > 1 && isSlower) {
        slowest = i;
      }
    });
    if (slowest < 0) {
      return null;
    }
    trimmed[slowest] = (trimmed[slowest] ?? 0) - 1;
    surplus -= 1;
  }
  return trimmed;
}

/** Stages for groups of engines, in the groups' order; null if the model does not fit. */
export function createStages(
  model: PlacementModel,
  groups: readonly (readonly PlacementEngine[])[],
): readonly LayoutStage[] | null {
  const limits = groups.map((group) =>
    group.reduce((least, engine) => Math.min(least, countFittingLayers(model, engine)), Infinity),
  );
  const sizes = computeSizes(model.layers, groups.map(sumRates), limits);
  if (!sizes) {
    return null;
  }
  let first = 0;
  return groups.map((engines, i) => {
    const layers = { first, end: first + (sizes[i] ?? 0) };
    first = layers.end;
    return { layers, engines };
  });
}

interface Way {
  readonly missing: number;
  readonly slowest: number;
  readonly cuts: readonly LayerRange[];
}

/**
 * The cuts in use: ranges that engines hold or will hold, joined so that the fewest layers are missing
 * and the slowest stage is the fastest. What is missing becomes a stage without engines.
 */
export function findStageRanges(
  model: PlacementModel,
  held: readonly PlacementEngine[],
): readonly LayerRange[] {
  const rates = new Map<string, { range: LayerRange; rate: number }>();
  for (const engine of held) {
    const range = engine.expected?.layers;
    if (range && range.end <= model.layers) {
      const key = `${range.first}-${range.end}`;
      const rate = (rates.get(key)?.rate ?? 0) + sumRates([engine]) / (range.end - range.first);
      rates.set(key, { range, rate });
    }
  }
  const ranges = [...rates.values()];
  const points = [
    ...new Set([0, model.layers, ...ranges.flatMap(({ range }) => [range.first, range.end])]),
  ].sort((a, b) => a - b);
  const best = new Map<number, Way>([[0, { missing: 0, slowest: Infinity, cuts: [] }]]);
  for (const at of points) {
    const way = best.get(at);
    const next = points.find((point) => point > at);
    if (!way || next === undefined) {
      continue;
    }
    const steps = ranges.filter(({ range }) => range.first === at);
    for (const { range, rate } of [...steps, { range: { first: at, end: next }, rate: 0 }]) {
      const missing = way.missing + (rate === 0 ? range.end - range.first : 0);
      const slowest = rate === 0 ? way.slowest : Math.min(way.slowest, rate);
      const known = best.get(range.end);
      const isBetter =
        !known || missing < known.missing || (missing === known.missing && slowest > known.slowest);
      if (isBetter) {
        best.set(range.end, { missing, slowest, cuts: joinMissing(way.cuts, range, rate, rates) });
      }
    }
  }
  return best.get(model.layers)?.cuts ?? [];
}

/** Adds a range; missing ones that follow each other become one. */
function joinMissing(
  cuts: readonly LayerRange[],
  range: LayerRange,
  rate: number,
  held: ReadonlyMap<string, unknown>,
): readonly LayerRange[] {
  const last = cuts.at(-1);
  const isLastMissing = last && !held.has(`${last.first}-${last.end}`);
  return rate === 0 && isLastMissing
    ? [...cuts.slice(0, -1), { first: last.first, end: range.end }]
    : [...cuts, range];
}
