/** Partitions a model's layers into stages: sizes new stages, and finds the stage ranges in use. */
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import { countFittingLayers, sumRates } from './PlacementGoals.js';
import type { LayoutStage, PlacementEngine, PlacementModel } from './PlacementTypes.js';

const BISECTION_STEPS = 24;

/**
 * Numbers of layers per stage that maximize the throughput of the slowest stage; null if the layers do not
 * fit. `rates` are the stages' layer tokens per second, `limits` the most layers that each can hold.
 */
export function computeStageSizes(
  layers: number,
  rates: readonly number[],
  limits: readonly number[],
): readonly number[] | null {
  const slowestRate = Math.min(...rates);
  // At half the speed at which the slowest stage could run all layers, only memory limits each stage.
  let low = slowestRate / layers / 2;
  let high = slowestRate;
  if (!(slowestRate > 0) || !canPlaceAll(layers, rates, limits, low)) {
    return null;
  }
  for (let i = 0; i < BISECTION_STEPS; i++) {
    const middle = (low + high) / 2;
    if (canPlaceAll(layers, rates, limits, middle)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  const sizes = rates.map((rate, i) => countLayersAtSpeed(rate, limits[i] ?? 0, low));
  return trimSizes(sizes, rates, layers);
}

/** Layers that a stage can hold and run at `speed` tokens per second. */
function countLayersAtSpeed(rate: number, limit: number, speed: number): number {
  return Math.min(Math.floor(rate / speed), limit);
}

/** Whether the stages, each with at least one layer, can run all layers at `speed` tokens per second. */
function canPlaceAll(
  layers: number,
  rates: readonly number[],
  limits: readonly number[],
  speed: number,
): boolean {
  let sum = 0;
  for (let i = 0; i < rates.length; i++) {
    const count = countLayersAtSpeed(rates[i] ?? 0, limits[i] ?? 0, speed);
    if (count < 1) {
      return false;
    }
    sum += count;
  }
  return sum >= layers;
}

/** Removes surplus layers one by one, each from the slowest stage that has more than one. */
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

/** One stage per group of engines, in the groups' order; null if the model does not fit. */
export function createStages(
  model: PlacementModel,
  groups: readonly (readonly PlacementEngine[])[],
): readonly LayoutStage[] | null {
  const limits = groups.map((group) =>
    group.reduce((least, engine) => Math.min(least, countFittingLayers(model, engine)), Infinity),
  );
  const sizes = computeStageSizes(model.layers, groups.map(sumRates), limits);
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

/** The best sequence of ranges found from the first layer to a boundary. */
interface PartialCover {
  /** Layers without a holder. */
  readonly missing: number;
  /** Tokens per second of the slowest range that has a holder. */
  readonly slowest: number;
  readonly sequence: readonly LayerRange[];
}

/**
 * The stage ranges in use: a sequence of ranges that engines hold or will hold, with the fewest layers
 * missing and, among equals, the fastest slowest stage. Missing layers become a range without engines.
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
  const boundaries = [
    ...new Set([0, model.layers, ...ranges.flatMap(({ range }) => [range.first, range.end])]),
  ].sort((a, b) => a - b);
  const best = new Map<number, PartialCover>([
    [0, { missing: 0, slowest: Infinity, sequence: [] }],
  ]);
  for (const boundary of boundaries) {
    const cover = best.get(boundary);
    const next = boundaries.find((point) => point > boundary);
    if (!cover || next === undefined) {
      continue;
    }
    const steps = ranges.filter(({ range }) => range.first === boundary);
    for (const { range, rate } of [...steps, { range: { first: boundary, end: next }, rate: 0 }]) {
      const missing = cover.missing + (rate === 0 ? range.end - range.first : 0);
      const slowest = rate === 0 ? cover.slowest : Math.min(cover.slowest, rate);
      const known = best.get(range.end);
      const isBetter =
        !known || missing < known.missing || (missing === known.missing && slowest > known.slowest);
      if (isBetter) {
        best.set(range.end, {
          missing,
          slowest,
          sequence: appendRange(cover.sequence, range, rate, rates),
        });
      }
    }
  }
  return best.get(model.layers)?.sequence ?? [];
}

/** Appends a range; adjacent ranges without holders are merged. */
function appendRange(
  sequence: readonly LayerRange[],
  range: LayerRange,
  rate: number,
  held: ReadonlyMap<string, unknown>,
): readonly LayerRange[] {
  const last = sequence.at(-1);
  const isLastMissing = last && !held.has(`${last.first}-${last.end}`);
  return rate === 0 && isLastMissing
    ? [...sequence.slice(0, -1), { first: last.first, end: range.end }]
    : [...sequence, range];
}
