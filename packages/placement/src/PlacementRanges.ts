/**
 * Partitions one model's layers over the engines of a failure domain where memory is the bottleneck: every
 * engine gets layers in proportion to its memory, so that the remaining KV cache fits the same number of requests
 * on each. Each domain has a single chain. If it breaks, the other domains serve its requests until the gap is
 * filled, which is cheap because prefill takes only some tens of milliseconds.
 */
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import { compareIds, findSmallestHolder } from './PlacementFit.js';

/** An engine with the properties that this planner reads. */
export interface RangeEngine {
  readonly id: EngineId;
  readonly memoryBytes: number;
  /** Layers that the engine holds or was ordered to hold; null if none. */
  readonly held: LayerRange | null;
}

export interface RangeModel {
  readonly layers: number;
  readonly layerBytes: number;
}

/** The range that each engine should hold; engines without an entry keep theirs. */
export type RangePlan = ReadonlyMap<EngineId, LayerRange>;

/** Maximum share of an engine's memory for weights; it needs the rest as KV cache to serve requests. */
export const MAX_WEIGHT_SHARE = 0.85;
/** A gap is filled by an engine with a larger share than this only if there is no other way: it serves few requests. */
export const PREFERRED_GAP_WEIGHT_SHARE = 0.8;
/**
 * Factor by which the smallest headroom (KV-cache bytes per layer) of any engine must grow for a domain without
 * gaps to be repartitioned. Chains through layers that are being given up are refused until the answers there
 * have ended, eight seconds under load. That costs more than doubling the headroom gains.
 */
const REPARTITION_GAIN = 2.5;
/**
 * A gap is filled by repartitioning only the engines around it if their smallest headroom is at least this share
 * of what repartitioning the whole domain would give. All domains share the weight store: ten gaps filled by
 * repartitioning whole domains took some thirty loads and five seconds without service instead of two.
 */
const WINDOW_HEADROOM_SHARE = 0.7;
/**
 * The same share for extending the two engines next to a gap. It is lower because they give up no layers; layers
 * that are given up wait for the answers that pass through them, five seconds where answers are long.
 */
const EXTENSION_HEADROOM_SHARE = 0.5;

/**
 * Plans a domain that has missing layers or a poor partition; null if nothing needs to change or nothing can.
 * Engines that hold layers get others only with `mayRepartition`: a lost engine is often back within seconds,
 * and then takes its layers again without a change to any other engine.
 */
export function planRanges(
  engines: readonly RangeEngine[],
  model: RangeModel,
  mayRepartition: boolean,
): RangePlan | null {
  const sorted = sortByRange(engines);
  const isWhole = findGaps(sorted, model).length === 0;
  const filled = isWhole ? null : fillGapsFromSpares(sorted, model);
  if (filled !== null || !mayRepartition) {
    return filled;
  }
  const whole: LayerRange = { first: 0, end: model.layers };
  const fresh = partitionByMemory(insertSpares(sorted, model), whole, model);
  if (fresh === null) {
    return null;
  }
  const headroom = getPlanHeadroom(engines, fresh, model);
  if (!isWhole) {
    return fillGapsFromNeighbours(sorted, model, headroom) ?? fresh;
  }
  return headroom > REPARTITION_GAIN * getCurrentHeadroom(sorted, model) ? fresh : null;
}

/** Adjacent engines of a chain, and the range of layers to distribute among them. */
interface Window {
  readonly engines: readonly RangeEngine[];
  readonly range: LayerRange;
}

/**
 * Assigns each gap's layers to as few engines around it as keep enough headroom, compared with `headroom`, the
 * smallest after repartitioning the whole domain. Null if that is impossible, or if the ranges around a gap are
 * not contiguous.
 */
function fillGapsFromNeighbours(
  sorted: readonly RangeEngine[],
  model: RangeModel,
  headroom: number,
): RangePlan | null {
  let holders = sorted.filter(({ held }) => held !== null);
  const plan = new Map<EngineId, LayerRange>();
  for (const gap of findGaps(holders, model)) {
    const changed =
      extendNeighbours(holders, gap, model, EXTENSION_HEADROOM_SHARE * headroom) ??
      repartitionAroundGap(holders, gap, model, WINDOW_HEADROOM_SHARE * headroom);
    if (changed === null) {
      return null;
    }
    changed.forEach((range, id) => plan.set(id, range));
    holders = holders.map((engine) => ({ ...engine, held: plan.get(engine.id) ?? engine.held }));
  }
  return findGaps(holders, model).length === 0 ? plan : null;
}

/** Splits a gap between the engine before it and the one after it; neither gives up a layer. */
function extendNeighbours(
  holders: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  minHeadroom: number,
): RangePlan | null {
  const window = selectWindow(holders, gap, 1);
  const [before, after] = window?.engines ?? [];
  if (!window || !before || !after) {
    return null;
  }
  let best: RangePlan | null = null;
  let bestHeadroom = minHeadroom;
  for (let split = gap.first; split <= gap.end; split++) {
    const plan = new Map([
      [before.id, { first: window.range.first, end: split }],
      [after.id, { first: split, end: window.range.end }],
    ]);
    const headroom = getPlanHeadroom(window.engines, plan, model);
    if (headroom >= bestHeadroom) {
      best = plan;
      bestHeadroom = headroom;
    }
  }
  return best;
}

/** Repartitions the smallest window around a gap whose engines keep at least `minHeadroom`; null if none does. */
function repartitionAroundGap(
  holders: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  minHeadroom: number,
): RangePlan | null {
  for (let reach = 1; reach <= holders.length; reach++) {
    const window = selectWindow(holders, gap, reach);
    const plan = window && partitionByMemory(window.engines, window.range, model);
    if (window && plan && getPlanHeadroom(window.engines, plan, model) >= minHeadroom) {
      return plan;
    }
  }
  return null;
}

/** Up to `reach` engines on each side of a gap and all of their layers; null if their ranges are not contiguous. */
function selectWindow(
  holders: readonly RangeEngine[],
  gap: LayerRange,
  reach: number,
): Window | null {
  const before = holders.filter(({ held }) => held !== null && held.end <= gap.first);
  const after = holders.filter(({ held }) => held !== null && held.first >= gap.end);
  const engines = [...before.slice(-reach), ...after.slice(0, reach)];
  const first = Math.min(gap.first, ...engines.map(({ held }) => held?.first ?? gap.first));
  const end = Math.max(gap.end, ...engines.map(({ held }) => held?.end ?? gap.end));
  const layers = engines.reduce((sum, { held }) => sum + (held ? held.end - held.first : 0), 0);
  const isInOrder = before.length + after.length === holders.length;
  const isContiguous = layers + (gap.end - gap.first) === end - first;
  return isInOrder && isContiguous ? { engines, range: { first, end } } : null;
}

/** Ranges of layers that no engine holds. */
export function findGaps(
  engines: readonly RangeEngine[],
  { layers }: Pick<RangeModel, 'layers'>,
): readonly LayerRange[] {
  const gaps: LayerRange[] = [];
  let covered = 0;
  for (const { held } of sortByRange(engines)) {
    if (held && held.first > covered) {
      gaps.push({ first: covered, end: held.first });
    }
    covered = Math.max(covered, held?.end ?? 0);
  }
  if (covered < layers) {
    gaps.push({ first: covered, end: layers });
  }
  return gaps;
}

function sortByRange(engines: readonly RangeEngine[]): readonly RangeEngine[] {
  const key = ({ held }: RangeEngine): number => held?.first ?? Infinity;
  return [...engines].sort((a, b) => {
    const [x, y] = [key(a), key(b)];
    return x === y ? compareIds(a, b) : x - y;
  });
}

/** Assigns each gap to a spare engine of its own; null if some gap fits on none of those left. */
function fillGapsFromSpares(sorted: readonly RangeEngine[], model: RangeModel): RangePlan | null {
  const spares = sorted.filter(({ held }) => held === null);
  const plan = new Map<EngineId, LayerRange>();
  for (const gap of findGaps(sorted, model)) {
    const unused = spares.filter(({ id }) => !plan.has(id));
    const spare =
      findSmallestHolder(unused, gap, model, PREFERRED_GAP_WEIGHT_SHARE) ??
      findSmallestHolder(unused, gap, model, MAX_WEIGHT_SHARE);
    if (!spare) {
      return null;
    }
    plan.set(spare.id, gap);
  }
  return plan;
}

/** The engines in chain order: holders by their layers, with spare engines inserted at the gaps in turn. */
function insertSpares(sorted: readonly RangeEngine[], model: RangeModel): readonly RangeEngine[] {
  const spares = sorted.filter(({ held }) => held === null);
  const order = sorted.filter(({ held }) => held !== null);
  const gaps = findGaps(order, model);
  spares.forEach((spare, i) => {
    const gap = gaps[i % Math.max(1, gaps.length)];
    const at = order.findIndex(
      ({ held }) => gap !== undefined && held !== null && held.first >= gap.end,
    );
    order.splice(at < 0 ? order.length : at, 0, spare);
  });
  return order;
}

/** Splits a range of layers over the engines, in the given order and by memory; null if they cannot hold it. */
export function partitionByMemory(
  order: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
): RangePlan | null {
  const layers = range.end - range.first;
  const most = order.map(({ memoryBytes }) =>
    Math.floor((MAX_WEIGHT_SHARE * memoryBytes) / model.layerBytes),
  );
  const total = order.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0);
  if (most.reduce((sum, count) => sum + count, 0) < layers) {
    return null;
  }
  const exactShares = order.map(({ memoryBytes }) => (layers * memoryBytes) / total);
  const counts = exactShares.map((exactShare, i) => Math.min(most[i] ?? 0, Math.floor(exactShare)));
  let remaining = layers - counts.reduce((sum, count) => sum + count, 0);
  while (remaining > 0) {
    const next = findMostHeadroom(order, counts, most, model);
    counts[next] = (counts[next] ?? 0) + 1;
    remaining -= 1;
  }
  const plan = new Map<EngineId, LayerRange>();
  let { first } = range;
  order.forEach(({ id }, i) => {
    const end = first + (counts[i] ?? 0);
    if (end > first) {
      plan.set(id, { first, end });
    }
    first = end;
  });
  return plan;
}

/** Index of the engine that has the most headroom after it takes one more layer. */
function findMostHeadroom(
  order: readonly RangeEngine[],
  counts: readonly number[],
  most: readonly number[],
  model: RangeModel,
): number {
  let best = -1;
  let bestHeadroom = -Infinity;
  order.forEach(({ memoryBytes }, i) => {
    const count = (counts[i] ?? 0) + 1;
    const headroom = getHeadroom(memoryBytes, count, model);
    if (count <= (most[i] ?? 0) && headroom > bestHeadroom) {
      best = i;
      bestHeadroom = headroom;
    }
  });
  return best;
}

/** Headroom of an engine that holds `count` layers: the bytes left for KV cache per layer. */
function getHeadroom(memoryBytes: number, count: number, { layerBytes }: RangeModel): number {
  return memoryBytes / count - layerBytes;
}

/** The smallest headroom of the engines in a plan. */
function getPlanHeadroom(
  engines: readonly RangeEngine[],
  plan: RangePlan,
  model: RangeModel,
): number {
  const headrooms = engines.flatMap(({ id, memoryBytes }) => {
    const range = plan.get(id);
    return range ? [getHeadroom(memoryBytes, range.end - range.first, model)] : [];
  });
  return Math.min(...headrooms);
}

/** The smallest headroom of the engines with the layers that they hold now. */
function getCurrentHeadroom(holders: readonly RangeEngine[], model: RangeModel): number {
  const headrooms = holders.flatMap(({ memoryBytes, held }) =>
    held ? [getHeadroom(memoryBytes, held.end - held.first, model)] : [],
  );
  return Math.min(...headrooms);
}
