/**
 * Partitions one model's layers over the engines of a failure domain so that few engines are the only holder of
 * a layer. Engines of similar memory form a group, and all engines of a group hold the same layers, so any of
 * them can replace another in a chain. With one holder per layer, each engine that is lost, released or
 * restarted ends every answer of its domain, and the whole domain serves nothing for seconds.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import { findGrouping } from './PlacementGrouping.js';
import type { GroupSize } from './PlacementGrouping.js';
import type { RangeEngine, RangeModel, RangePlan } from './PlacementRanges.js';
import { MAX_WEIGHT_SHARE } from './PlacementRanges.js';
import type { CreateLayout } from './PlacementMaxCapacity.js';
import { findMaxCapacityLayout } from './PlacementMaxCapacity.js';

/** A model and the resources that its requests take. */
export interface GroupModel extends RangeModel {
  /** KV-cache bytes per token over all layers. */
  readonly kvTokenBytes: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Concurrent requests that an engine accepts as the first of a chain. */
  readonly slots: number;
  /**
   * Whether memory, and not the number of slots, limits the engines. A domain then gets the layout that runs the
   * most requests rather than the fewest groups with enough KV cache; false if omitted.
   */
  readonly isMemoryBound?: boolean;
}

/** Engines that all hold the same layers, and the number of those layers. */
export interface EngineGroup {
  readonly engines: readonly RangeEngine[];
  readonly layers: number;
}

/** The groups of a domain, which together hold all layers, in the order of the layers. */
export interface GroupLayout {
  readonly groups: readonly EngineGroup[];
  /** Concurrent requests of the usual size that fit in the group with the least headroom. */
  readonly requests: number;
  /** Concurrent requests of the usual size that fit in the group with the least KV cache while no engine is lost. */
  readonly capacity: number;
}

/**
 * Every group must have KV cache for this share of the requests that would fit beside a single copy of the
 * weights, even after it lost its largest engine. Without that headroom, the remaining holder refuses the
 * requests that the lost one was running.
 */
const HEADROOM_SHARE = 0.25;
/**
 * The same minimum as a share of `slots`. It applies in domains with little memory, where `HEADROOM_SHARE`
 * alone would leave less KV cache than ordinary load uses.
 */
const SLOT_SHARE = 0.45;
/**
 * An engine alone in its group must fit this many times the requests that other groups must fit without their
 * largest engine. Groups that have lost no engine fit nearly twice that minimum, so an engine alone that only
 * met it would be the first to fill up.
 */
const SOLE_HOLDER_FACTOR = 1.5;
/** Most groups in a layout: engines accept no more stages than this in one chain. */
const MAX_STAGES = 32;
/** Bisection steps in the search for the best headroom: enough for a precision of one in a million. */
const BISECTION_STEPS = 20;

/**
 * The layout that has the KV cache that requests need and the fewest engines alone in their group, with at most
 * `mostCopies` holders per layer; null if there is none, or if every engine would be alone in its group.
 */
export function createGroupLayout(
  engines: readonly RangeEngine[],
  model: GroupModel,
  mostCopies: number,
): GroupLayout | null {
  const sorted = sortByMemory(engines);
  const memory = sorted.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0);
  const weights = model.layers * model.layerBytes;
  const requestBytes = getRequestBytes(model);
  const singleCopyRequests = (memory - weights) / (model.layers * requestBytes);
  const neededRequests = Math.max(HEADROOM_SHARE * singleCopyRequests, SLOT_SHARE * model.slots);
  const createLayout: CreateLayout = (requests) => {
    const grouping = findShortGrouping(sorted.length, mostCopies, model.layers, (first, size) =>
      countGroupLayers(sorted.slice(first, first + size), model, requests * requestBytes),
    );
    if (!grouping || grouping.every(({ size }) => size === 1)) {
      return null;
    }
    const groups = orderGroups(balanceLayers(splitBySizes(sorted, grouping), model));
    const headroom = Math.min(...groups.map((group) => getGroupHeadroom(group, model)));
    const fullHeadroom = Math.min(...groups.map((group) => sumHeadroom(group, model)));
    return { groups, requests: headroom / requestBytes, capacity: fullHeadroom / requestBytes };
  };
  return model.isMemoryBound
    ? findMaxCapacityLayout(createLayout, neededRequests, singleCopyRequests, model.slots)
    : createLayout(neededRequests);
}

/**
 * Finds groups that fit in one chain. A domain of hundreds of engines has more groups of `mostCopies` than a chain may
 * have stages; its groups may be larger, else it would have a single chain, longer than any that engines accept.
 */
function findShortGrouping(
  engines: number,
  mostCopies: number,
  layers: number,
  countLayers: (first: number, size: number) => number,
): readonly GroupSize[] | null {
  for (let copies = mostCopies; ; copies *= 2) {
    const grouping = findGrouping(engines, copies, layers, countLayers);
    if (grouping === null || grouping.length <= MAX_STAGES) {
      return grouping;
    }
    if (copies >= engines) {
      return null;
    }
  }
}

/** The ranges that the engines of a layout should hold. */
export function createGroupPlan({ groups }: GroupLayout): RangePlan {
  const plan = new Map<EngineId, LayerRange>();
  let first = 0;
  for (const { engines, layers } of groups) {
    const range = { first, end: first + layers };
    engines.forEach(({ id }) => plan.set(id, range));
    first = range.end;
  }
  return plan;
}

/** Headroom of an engine that holds `count` layers: the bytes left for KV cache per layer. */
export function getEngineHeadroom(
  { memoryBytes }: Pick<RangeEngine, 'memoryBytes'>,
  count: number,
  { layerBytes }: RangeModel,
): number {
  return memoryBytes / count - layerBytes;
}

/** KV-cache bytes per layer of a request of the usual size. */
function getRequestBytes(model: GroupModel): number {
  const tokens = model.usualPromptTokens + model.usualAnswerTokens;
  return (model.kvTokenBytes * tokens) / model.layers;
}

/** Sorts by descending memory, so that adjacent engines are similar. */
function sortByMemory(engines: readonly RangeEngine[]): readonly RangeEngine[] {
  return [...engines].sort((a, b) => b.memoryBytes - a.memoryBytes || (a.id < b.id ? -1 : 1));
}

/** Sorts larger groups first: the slots of a chain's first group limit how many requests its domain runs. */
function orderGroups(groups: readonly EngineGroup[]): readonly EngineGroup[] {
  return [...groups].sort((a, b) => b.engines.length - a.engines.length);
}

function splitBySizes(
  sorted: readonly RangeEngine[],
  grouping: readonly GroupSize[],
): readonly EngineGroup[] {
  let first = 0;
  return grouping.map(({ size, layers }) => {
    const engines = sorted.slice(first, first + size);
    first += size;
    return { engines, layers };
  });
}

/** Engines left in a group after it lost its largest one; an engine alone in its group stays. */
function listSurvivors(engines: readonly RangeEngine[]): readonly RangeEngine[] {
  return engines.length > 1 ? sortByMemory(engines).slice(1) : engines;
}

/** Layers that a group can hold with at least `headroom`; see `getGroupHeadroom`. */
function countGroupLayers(
  engines: readonly RangeEngine[],
  { layerBytes }: RangeModel,
  headroom: number,
): number {
  const survivors = listSurvivors(engines);
  const memory = survivors.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0);
  const smallest = Math.min(...engines.map(({ memoryBytes }) => memoryBytes));
  return Math.min(
    Math.floor(memory / (headroom * getHeadroomFactor(engines) + survivors.length * layerBytes)),
    Math.floor((MAX_WEIGHT_SHARE * smallest) / layerBytes),
  );
}

/** Redistributes layers among the groups so that the smallest headroom of any group is maximal. */
function balanceLayers(groups: readonly EngineGroup[], model: RangeModel): readonly EngineGroup[] {
  let low = 0;
  let high = Math.max(...groups.map((group) => getGroupHeadroom(group, model)));
  let best = groups;
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const headroom = (low + high) / 2;
    const found = groups.map(({ engines }) => ({
      engines,
      layers: countGroupLayers(engines, model, headroom),
    }));
    if (sumLayers(found) >= model.layers) {
      best = found;
      low = headroom;
    } else {
      high = headroom;
    }
  }
  return trimLayers(best, model);
}

/** Removes surplus layers one by one, each from the group with the least headroom. */
function trimLayers(groups: readonly EngineGroup[], model: RangeModel): readonly EngineGroup[] {
  const trimmed = [...groups];
  for (let extra = sumLayers(groups) - model.layers; extra > 0; extra--) {
    const headrooms = trimmed.map((group) => getGroupHeadroom(group, model));
    const at = headrooms.indexOf(Math.min(...headrooms));
    const tightest = trimmed[at];
    invariant(tightest, 'a layout must have at least one group');
    trimmed[at] = { ...tightest, layers: tightest.layers - 1 };
  }
  return trimmed.filter(({ layers }) => layers > 0);
}

function sumLayers(groups: readonly EngineGroup[]): number {
  return groups.reduce((sum, { layers }) => sum + layers, 0);
}

/**
 * Headroom of a group: the sum of its engines' headrooms after it lost its largest one. For an engine alone in
 * its group, the headroom is divided by `SOLE_HOLDER_FACTOR`.
 */
function getGroupHeadroom({ engines, layers }: EngineGroup, model: RangeModel): number {
  const headroom = sumHeadroom({ engines: listSurvivors(engines), layers }, model);
  return headroom / getHeadroomFactor(engines);
}

/** Headroom of a group with all of its engines. */
function sumHeadroom({ engines, layers }: EngineGroup, model: RangeModel): number {
  return engines.reduce((sum, engine) => sum + getEngineHeadroom(engine, layers, model), 0);
}

function getHeadroomFactor(engines: readonly RangeEngine[]): number {
  return engines.length === 1 ? SOLE_HOLDER_FACTOR : 1;
}
