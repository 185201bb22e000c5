/**
 * Plans a failure domain whose layers are held several times, as engines come and go. Missing layers come
 * first, then ranges with few holders; a range that keeps a holder serves on meanwhile, so its copies are left
 * alone until most engines that were lost are back.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import type { GroupModel } from './PlacementGroups.js';
import { createGroupLayout, createGroupPlan, getEngineHeadroom } from './PlacementGroups.js';
import type { RangeEngine, RangeModel, RangePlan } from './PlacementRanges.js';
import {
  compareIds,
  findGaps,
  MAX_WEIGHT_SHARE,
  MAX_GAP_WEIGHT_SHARE,
  planRanges,
  partitionByMemory,
} from './PlacementRanges.js';
import { isHeldBy } from './PlacementSteps.js';

/** What may be done beside giving layers to engines that hold none. */
export interface PermittedChanges {
  /** Missing layers were waited for long enough: engines that hold others may take them. */
  readonly mayReassign: boolean;
  /** Engines that are missing do not come back: the whole domain may be cut anew where no few can mend it. */
  readonly mayRebuild: boolean;
  /** Nothing has changed for long: an engine may go from a range with many holders to one with few. */
  readonly mayBalance: boolean;
  /** A domain of one chain may be cut anew for more room. */
  readonly mayRepartition: boolean;
}

/** Layers between two boundaries of what engines hold, with those that hold them. */
interface Segment {
  readonly range: LayerRange;
  readonly holders: readonly RangeEngine[];
}

/** A range has so many holders more than another before one of them is moved there. */
const BALANCE_STEP = 2;

/**
 * What each engine should hold where `mostCopies` copies of each layer may stand; null if nothing is to be
 * done. A domain without memory for a second copy is planned as one chain.
 */
export function planCopies(
  engines: readonly RangeEngine[],
  model: GroupModel,
  mostCopies: number,
  patience: PermittedChanges,
): RangePlan | null {
  const isFresh = engines.every(({ held }) => held === null);
  if (!hasCopies(engines)) {
    // A layout is costly to find; without an engine to spare there is nothing to hold a second copy.
    const isFull = engines.every(({ held }) => held !== null);
    const layout = isFull ? null : createGroupLayout(engines, model, mostCopies);
    if (layout === null) {
      return planRanges(engines, model, isFresh || patience.mayReassign || patience.mayRepartition);
    }
    if (isFresh) {
      return createGroupPlan(layout);
    }
  }
  const plan = new Map<EngineId, LayerRange>();
  fillMissing(engines, model, patience.mayReassign, plan);
  const filled = applyPlan(engines, plan);
  if (findGaps(filled, model).length > 0) {
    return patience.mayRebuild ? cutAnew(engines, model, mostCopies) : toPlan(plan);
  }
  addHolders(filled, model, plan);
  if (plan.size === 0 && patience.mayBalance) {
    moveHolder(engines, model, plan);
  }
  return toPlan(plan);
}

/** Whether any layer is held twice. */
export function hasCopies(engines: readonly RangeEngine[]): boolean {
  return listSegments(engines).some(({ holders }) => holders.length > 1);
}

function toPlan(plan: RangePlan): RangePlan | null {
  return plan.size === 0 ? null : plan;
}

function applyPlan(engines: readonly RangeEngine[], plan: RangePlan): readonly RangeEngine[] {
  return engines.map((engine) => ({ ...engine, held: plan.get(engine.id) ?? engine.held }));
}

/** For a domain that serves nothing and cannot be mended by a few engines. */
function cutAnew(
  engines: readonly RangeEngine[],
  model: GroupModel,
  mostCopies: number,
): RangePlan | null {
  const layout = createGroupLayout(engines, model, mostCopies);
  const empty = engines.map((engine) => ({ ...engine, held: null }));
  return layout ? createGroupPlan(layout) : planRanges(empty, model, true);
}

/** Gives missing layers to engines that hold none or, if need be, to others that can spare the memory. */
function fillMissing(
  engines: readonly RangeEngine[],
  model: RangeModel,
  mayMend: boolean,
  plan: Map<EngineId, LayerRange>,
): void {
  for (const gap of findGaps(engines, model)) {
    const present = applyPlan(engines, plan);
    const spares = present.filter(({ held }) => held === null);
    const filled =
      giveToOne(spares, gap, model) ??
      giveToFew(spares, gap, model) ??
      (mayMend ? (extendOne(present, gap, model) ?? moveSurplus(present, gap, model)) : null);
    filled?.forEach((range, id) => plan.set(id, range));
  }
}

/** The smallest engine that can hold the whole range. */
function giveToOne(
  candidates: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
): RangePlan | null {
  const [best] = candidates
    .filter((engine) => canHold(engine, range, model, MAX_GAP_WEIGHT_SHARE))
    .sort((a, b) => a.memoryBytes - b.memoryBytes || compareIds(a, b));
  return best ? new Map([[best.id, range]]) : null;
}

/** The range shared out to as few engines as can hold it. */
function giveToFew(
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
 * The engine beside a gap that keeps the most room when it takes the gap's layers too. It gives none up, so
 * nothing has to wait for answers to end.
 */
function extendOne(
  engines: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
): RangePlan | null {
  const options = engines.flatMap((engine) => {
    const { held } = engine;
    if (held === null || (held.end !== gap.first && held.first !== gap.end)) {
      return [];
    }
    const range = { first: Math.min(held.first, gap.first), end: Math.max(held.end, gap.end) };
    return canHold(engine, range, model, MAX_GAP_WEIGHT_SHARE) ? [{ engine, range }] : [];
  });
  const [best] = options.sort(
    (a, b) => getRoom(b.engine, b.range, model) - getRoom(a.engine, a.range, model),
  );
  return best ? new Map([[best.engine.id, best.range]]) : null;
}

/** The range given to engines whose own layers others hold too, each from another range. */
function moveSurplus(
  engines: readonly RangeEngine[],
  range: LayerRange,
  model: RangeModel,
): RangePlan | null {
  const movable: RangeEngine[] = [];
  let left = engines;
  for (const engine of engines) {
    const others = left.filter((other) => other !== engine);
    if (engine.held && isHeldBy(others, engine.held)) {
      movable.push(engine);
      left = others;
    }
  }
  return giveToOne(movable, range, model) ?? giveToFew(movable, range, model);
}

/** Gives each engine without layers those whose holders would miss it most. */
function addHolders(
  engines: readonly RangeEngine[],
  model: RangeModel,
  plan: Map<EngineId, LayerRange>,
): void {
  let present = engines;
  for (const spare of engines.filter(({ held }) => held === null)) {
    const segments = listSegments(present).filter(({ range }) =>
      canHold(spare, range, model, MAX_WEIGHT_SHARE),
    );
    const [thinnest] = segments.sort((a, b) => compareSegments(a, b, model));
    if (thinnest) {
      plan.set(spare.id, thinnest.range);
      present = applyPlan(present, plan);
    }
  }
}

/** Moves one engine from a range with many holders to one with few. */
function moveHolder(
  engines: readonly RangeEngine[],
  model: RangeModel,
  plan: Map<EngineId, LayerRange>,
): void {
  const segments = [...listSegments(engines)].sort((a, b) => compareSegments(a, b, model));
  for (const { range, holders } of segments) {
    const least = holders.length + BALANCE_STEP;
    const donor = engines.find(
      (engine) =>
        engine.held !== null &&
        countHolders(segments, engine.held) >= least &&
        canHold(engine, range, model, MAX_WEIGHT_SHARE),
    );
    if (donor) {
      plan.set(donor.id, range);
      return;
    }
  }
}

/** Holders of the part of a range that has the fewest. */
function countHolders(segments: readonly Segment[], { first, end }: LayerRange): number {
  const counts = segments
    .filter(({ range }) => range.first < end && first < range.end)
    .map(({ holders }) => holders.length);
  return Math.min(...counts);
}

/** The layers that are held, cut at each boundary of an engine's range. */
function listSegments(engines: readonly RangeEngine[]): readonly Segment[] {
  const held = engines.flatMap(({ held: range }) => (range ? [range.first, range.end] : []));
  const bounds = [...new Set(held)].sort((a, b) => a - b);
  return bounds.slice(1).flatMap((end, i) => {
    const first = bounds[i];
    invariant(first !== undefined, 'a segment has two bounds');
    const range = { first, end };
    const holders = engines.filter((engine) => engine.held && isWithin(range, engine.held));
    return holders.length > 0 ? [{ range, holders }] : [];
  });
}

/** First the segment that would be left with the least room if it lost a holder. */
function compareSegments(a: Segment, b: Segment, model: RangeModel): number {
  const [roomsA, roomsB] = [listRooms(a, model), listRooms(b, model)];
  return (
    sum(roomsA.slice(1)) - sum(roomsB.slice(1)) ||
    sum(roomsA) - sum(roomsB) ||
    a.range.first - b.range.first
  );
}

/** KV cache for each layer at a segment's holders, the largest first. */
function listRooms({ holders }: Segment, model: RangeModel): readonly number[] {
  return holders
    .flatMap((engine) => (engine.held ? [getRoom(engine, engine.held, model)] : []))
    .sort((a, b) => b - a);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getRoom(engine: RangeEngine, { first, end }: LayerRange, model: RangeModel): number {
  return getEngineHeadroom(engine, end - first, model);
}

function canHold(
  { memoryBytes }: RangeEngine,
  { first, end }: LayerRange,
  { layerBytes }: RangeModel,
  share: number,
): boolean {
  return (end - first) * layerBytes <= share * memoryBytes;
}

function isWithin(inner: LayerRange, outer: LayerRange): boolean {
  return outer.first <= inner.first && inner.end <= outer.end;
}
