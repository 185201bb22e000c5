/**
 * Plans a failure domain in which several engines hold the same layers, as engines join and leave. Missing
 * layers are assigned first, then ranges with few holders get more. A range that still has a holder keeps
 * serving, so its lost copies are not replaced until most of the lost engines are back.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import { canHold, compareIds, findSmallestHolder } from './PlacementFit.js';
import type { GroupModel } from './PlacementGroups.js';
import { createGroupLayout, createGroupPlan, getEngineHeadroom } from './PlacementGroups.js';
import type { RangeEngine, RangeModel, RangePlan } from './PlacementRanges.js';
import {
  findGaps,
  MAX_WEIGHT_SHARE,
  planRanges,
  partitionByMemory,
  PREFERRED_GAP_WEIGHT_SHARE,
} from './PlacementRanges.js';
import { isHeldBy } from './PlacementSteps.js';

/** Changes that the planner may make beyond assigning layers to engines that hold none. */
export interface PermittedChanges {
  /** The grace period for missing layers is over: engines that hold other layers may take them. */
  readonly mayReassign: boolean;
  /**
   * The missing engines are not expected back: the whole domain may be planned from scratch if reassigning a
   * few engines cannot fill its gaps.
   */
  readonly mayRebuild: boolean;
  /** The domain has been stable for long: an engine may move from a range with many holders to one with few. */
  readonly mayBalance: boolean;
  /** The layers of a domain with a single chain may be repartitioned for more KV cache. */
  readonly mayRepartition: boolean;
}

/** Layers between two adjacent boundaries of the ranges that engines hold, with the engines that hold them. */
interface Segment {
  readonly range: LayerRange;
  readonly holders: readonly RangeEngine[];
}

/** An engine is moved to another range only if its own range has at least this many more holders. */
const MIN_HOLDER_DIFFERENCE = 2;
/**
 * An engine is moved for more KV cache only if its own range keeps this many times what the other has: each move loads weights,
 * and answers in progress wait for it.
 */
const MIN_HEADROOM_GAIN = 1.25;

/**
 * The ranges that engines should hold, with at most `mostCopies` holders per layer in a new layout; null if
 * there is nothing to change. A domain without memory for a second copy is planned as a single chain.
 */
export function planCopies(
  engines: readonly RangeEngine[],
  model: GroupModel,
  mostCopies: number,
  permitted: PermittedChanges,
): RangePlan | null {
  const isFresh = engines.every(({ held }) => held === null);
  if (!hasCopies(engines)) {
    // Computing a layout is expensive, and without a spare engine no engine could hold a second copy.
    const isFull = engines.every(({ held }) => held !== null);
    const layout = isFull ? null : createGroupLayout(engines, model, mostCopies);
    if (layout === null) {
      return planRanges(
        engines,
        model,
        isFresh || permitted.mayReassign || permitted.mayRepartition,
      );
    }
    if (isFresh) {
      return createGroupPlan(layout);
    }
  }
  const plan = new Map<EngineId, LayerRange>();
  fillGaps(engines, model, permitted.mayReassign, plan);
  const filled = applyPlan(engines, plan);
  if (findGaps(filled, model).length > 0) {
    return permitted.mayRebuild ? rebuildPlan(engines, model, mostCopies) : toNullIfEmpty(plan);
  }
  addCopies(filled, model, plan);
  if (plan.size === 0 && permitted.mayBalance) {
    rebalanceOne(engines, model, plan);
  }
  return toNullIfEmpty(plan);
}

/** Whether any layer is held by more than one engine. */
export function hasCopies(engines: readonly RangeEngine[]): boolean {
  return listSegments(engines).some(({ holders }) => holders.length > 1);
}

function toNullIfEmpty(plan: RangePlan): RangePlan | null {
  return plan.size === 0 ? null : plan;
}

function applyPlan(engines: readonly RangeEngine[], plan: RangePlan): readonly RangeEngine[] {
  return engines.map((engine) => ({ ...engine, held: plan.get(engine.id) ?? engine.held }));
}

/** Plans a domain from scratch. Used if it has no chain and reassigning a few engines cannot fill its gaps. */
function rebuildPlan(
  engines: readonly RangeEngine[],
  model: GroupModel,
  mostCopies: number,
): RangePlan | null {
  const layout = createGroupLayout(engines, model, mostCopies);
  const empty = engines.map((engine) => ({ ...engine, held: null }));
  return layout ? createGroupPlan(layout) : planRanges(empty, model, true);
}

/**
 * Assigns missing layers to engines that keep enough KV cache, and then what is left to others that can hold it, so
 * that a gap with several ways doesn't take the engine that is the only way for another one.
 */
function fillGaps(
  engines: readonly RangeEngine[],
  model: RangeModel,
  mayReassign: boolean,
  plan: Map<EngineId, LayerRange>,
): void {
  for (const share of [PREFERRED_GAP_WEIGHT_SHARE, MAX_WEIGHT_SHARE]) {
    for (const gap of findGaps(applyPlan(engines, plan), model)) {
      const filled = fillGap(applyPlan(engines, plan), gap, model, share, mayReassign);
      filled?.forEach((range, id) => plan.set(id, range));
    }
  }
}

/**
 * Assigns missing layers to spare engines or, if permitted, to engines that hold other layers: a neighbour of
 * the gap, or engines whose own layers others hold too. One engine takes them only within `share` of its memory.
 */
function fillGap(
  engines: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  share: number,
  mayReassign: boolean,
): RangePlan | null {
  const spares = engines.filter(({ held }) => held === null);
  const filled = assignToOne(spares, gap, model, share) ?? splitAcrossFewest(spares, gap, model);
  if (filled !== null || !mayReassign) {
    return filled;
  }
  return (
    extendNeighbour(engines, gap, model, share) ?? reassignRedundant(engines, gap, model, share)
  );
}

/** Assigns the whole range to the smallest engine that can hold it. */
function assignToOne(
  candidates: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
  share: number,
): RangePlan | null {
  const best = findSmallestHolder(candidates, range, model, share);
  return best ? new Map([[best.id, range]]) : null;
}

/** Splits the range across the fewest engines that can hold it, largest first. */
function splitAcrossFewest(
  candidates: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
): RangePlan | null {
  const largest = [...candidates].sort((a, b) => b.memoryBytes - a.memoryBytes || compareIds(a, b));
  for (let count = 2; count <= largest.length; count++) {
    const plan = partitionByMemory(largest.slice(0, count), range, model);
    if (plan) {
      return plan;
    }
  }
  return null;
}

/**
 * Extends one engine next to a gap by the gap's layers: the one that is left with the most KV cache per
 * layer. It gives up no layers, so it does not have to wait for answers in progress to end.
 */
function extendNeighbour(
  engines: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  share: number,
): RangePlan | null {
  const options = engines.flatMap((engine) => {
    const { held } = engine;
    if (held === null || (held.end !== gap.first && held.first !== gap.end)) {
      return [];
    }
    const range = { first: Math.min(held.first, gap.first), end: Math.max(held.end, gap.end) };
    return canHold(engine, range, model, share) ? [{ engine, range }] : [];
  });
  const [best] = options.sort(
    (a, b) =>
      getRangeHeadroom(b.engine, b.range, model) - getRangeHeadroom(a.engine, a.range, model),
  );
  return best ? new Map([[best.engine.id, best.range]]) : null;
}

/** Assigns the range to redundant engines: even if all of them move, the others still hold their layers. */
function reassignRedundant(
  engines: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
  share: number,
): RangePlan | null {
  const movable: RangeEngine[] = [];
  let remaining = engines;
  for (const engine of engines) {
    const others = remaining.filter((other) => other !== engine);
    if (engine.held && isHeldBy(others, engine.held)) {
      movable.push(engine);
      remaining = others;
    }
  }
  return assignToOne(movable, range, model, share) ?? splitAcrossFewest(movable, range, model);
}

/** Assigns each spare engine to the segment it can hold that has the least KV cache to spare. */
function addCopies(
  engines: readonly RangeEngine[],
  model: RangeModel,
  plan: Map<EngineId, LayerRange>,
): void {
  let present = engines;
  for (const spare of engines.filter(({ held }) => held === null)) {
    const segments = listSegments(present).filter(({ range }) =>
      canHold(spare, range, model, MAX_WEIGHT_SHARE),
    );
    const [weakest] = segments.sort((a, b) => compareSegments(a, b, model));
    if (weakest) {
      plan.set(spare.id, weakest.range);
      present = applyPlan(present, plan);
    }
  }
}

/**
 * Moves at most one engine, from a range with many holders to one with few or, where memory limits the engines, with
 * less KV cache. Many small engines may have less of it than a few that hold fewer layers.
 */
function rebalanceOne(
  engines: readonly RangeEngine[],
  model: GroupModel,
  plan: Map<EngineId, LayerRange>,
): void {
  const segments = [...listSegments(engines)].sort((a, b) => compareSegments(a, b, model));
  for (const { range, holders } of segments) {
    const minHolders = holders.length + MIN_HOLDER_DIFFERENCE;
    const donor = engines.find(
      (engine) =>
        engine.held !== null &&
        (model.isMemoryBound
          ? keepsMoreHeadroom(engines, engine, { range, holders }, model)
          : countHolders(segments, engine.held) >= minHolders) &&
        canHold(engine, range, model, MAX_WEIGHT_SHARE),
    );
    if (donor) {
      plan.set(donor.id, range);
      return;
    }
  }
}

/** Whether the layers that `donor` holds would keep, without it, clearly more KV cache than the weakest segment has. */
function keepsMoreHeadroom(
  engines: readonly RangeEngine[],
  donor: RangeEngine,
  weakest: Segment,
  model: RangeModel,
): boolean {
  const { held } = donor;
  if (held === null) {
    return false;
  }
  const others = engines.filter((engine) => engine !== donor);
  const remaining = listSegments(others).filter(
    ({ range }) => range.first < held.end && held.first < range.end,
  );
  const least = Math.min(...remaining.map((segment) => getSurvivingHeadroom(segment, model)));
  return isHeldBy(others, held) && least > MIN_HEADROOM_GAIN * getSurvivingHeadroom(weakest, model);
}

/** KV-cache bytes per layer after the loss of the holder with the most; 0 with a single holder. */
function getSurvivingHeadroom(segment: Segment, model: RangeModel): number {
  return sum(listHeadrooms(segment, model).slice(1));
}

/** Number of holders of the least-held segment within a range. */
function countHolders(segments: readonly Segment[], { first, end }: LayerRange): number {
  const counts = segments
    .filter(({ range }) => range.first < end && first < range.end)
    .map(({ holders }) => holders.length);
  return Math.min(...counts);
}

/** The layers that engines hold, split at each boundary of an engine's range. */
function listSegments(engines: readonly RangeEngine[]): readonly Segment[] {
  const held = engines.flatMap(({ held: range }) => (range ? [range.first, range.end] : []));
  const bounds = [...new Set(held)].sort((a, b) => a - b);
  return bounds.slice(1).flatMap((end, i) => {
    const first = bounds[i];
    invariant(first !== undefined, 'a segment must have two bounds');
    const range = { first, end };
    const holders = engines.filter((engine) => engine.held && isWithin(range, engine.held));
    return holders.length > 0 ? [{ range, holders }] : [];
  });
}

/** Sorts segments by the KV cache that would be left per layer after the loss of the holder with the most. */
function compareSegments(a: Segment, b: Segment, model: RangeModel): number {
  const [headroomsA, headroomsB] = [listHeadrooms(a, model), listHeadrooms(b, model)];
  return (
    sum(headroomsA.slice(1)) - sum(headroomsB.slice(1)) ||
    sum(headroomsA) - sum(headroomsB) ||
    a.range.first - b.range.first
  );
}

/** KV-cache bytes per layer at each of a segment's holders, largest first. */
function listHeadrooms({ holders }: Segment, model: RangeModel): readonly number[] {
  return holders
    .flatMap((engine) => (engine.held ? [getRangeHeadroom(engine, engine.held, model)] : []))
    .sort((a, b) => b - a);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getRangeHeadroom(
  engine: RangeEngine,
  { first, end }: LayerRange,
  model: RangeModel,
): number {
  return getEngineHeadroom(engine, end - first, model);
}

function isWithin(inner: LayerRange, outer: LayerRange): boolean {
  return outer.first <= inner.first && inner.end <= outer.end;
}
