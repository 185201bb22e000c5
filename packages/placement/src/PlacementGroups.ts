/**
 * Cuts one model's layers over the engines of a failure domain so that most engines can be spared. Engines of
 * like memory form a group, and all engines of a group hold the same layers: any of them can take any other's
 * place in a chain. With one holder a layer, each engine that is lost, released or restarted ends every answer
 * of its domain, which shows as seconds in which the whole domain serves nothing.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import { findGrouping } from './PlacementGrouping.js';
import type { GroupSize } from './PlacementGrouping.js';
import type { RangeEngine, RangeModel, RangePlan } from './PlacementRanges.js';
import { MAX_WEIGHT_SHARE } from './PlacementRanges.js';

/** A model, with what its requests take. */
export interface GroupModel extends RangeModel {
  /** KV cache of one token over all layers, in bytes. */
  readonly kvTokenBytes: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Requests that an engine takes at once as the first of a chain. */
  readonly slots: number;
}

/** Engines that hold the same layers. */
export interface EngineGroup {
  readonly engines: readonly RangeEngine[];
  readonly layers: number;
}

/** A whole domain cut into groups, in the order of the layers. */
export interface GroupLayout {
  readonly groups: readonly EngineGroup[];
  /** Requests of the usual size that fit at the tightest group at once, one of its engines gone. */
  readonly requests: number;
}

/**
 * Requests for which every group must keep room when one of its engines is gone, as a share of what fits
 * beside one copy of the weights. A second holder without such room refuses what the first one ran when that is lost.
 */
const ROOM_SHARE = 0.25;
/**
 * The same as a share of what a first engine takes at once, for domains with little memory: there the share above
 * would leave less room than is used at ordinary load.
 */
const SLOT_SHARE = 0.45;
/**
 * An engine that stands alone must hold so many times the requests that a group keeps room for without its
 * largest engine. Groups that have lost none hold nearly twice as many, so engines alone would be full first.
 */
const LONE_SHARE = 1.5;
/** More stages than engines accept in one chain. */
const MOST_STAGES = 32;
/** Halvings of the interval in which the best room lies: enough for one part in a million. */
const SEARCH_STEPS = 20;

/**
 * The layout that leaves the room that requests need and the fewest engines whose layers no other holds, with
 * `mostCopies` of each layer at the most; null if no engine can be spared.
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
  const singleRequests = (memory - weights) / (model.layers * requestBytes);
  const needed = Math.max(ROOM_SHARE * singleRequests, SLOT_SHARE * model.slots);
  const grouping = findGrouping(sorted.length, mostCopies, model.layers, (first, size) =>
    countLayers(sorted.slice(first, first + size), model, needed * requestBytes),
  );
  if (!grouping || grouping.length > MOST_STAGES || grouping.every(({ size }) => size === 1)) {
    return null;
  }
  const groups = orderGroups(evenOut(cutBySizes(sorted, grouping), model));
  const room = Math.min(...groups.map((group) => getGroupRoom(group, model)));
  return { groups, requests: room / requestBytes };
}

/** What each engine of a layout is to hold. */
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

/** KV cache for each of `count` layers at an engine, in bytes. */
export function getEngineHeadroom(
  { memoryBytes }: Pick<RangeEngine, 'memoryBytes'>,
  count: number,
  { layerBytes }: RangeModel,
): number {
  return memoryBytes / count - layerBytes;
}

/** KV cache that a request of the usual size takes for each layer. */
function getRequestBytes(model: GroupModel): number {
  const tokens = model.usualPromptTokens + model.usualAnswerTokens;
  return (model.kvTokenBytes * tokens) / model.layers;
}

/** Largest memory first, so that engines next to each other are alike. */
function sortByMemory(engines: readonly RangeEngine[]): readonly RangeEngine[] {
  return [...engines].sort((a, b) => b.memoryBytes - a.memoryBytes || (a.id < b.id ? -1 : 1));
}

/** Most engines first: what the first of a chain takes at once bounds what its domain runs. */
function orderGroups(groups: readonly EngineGroup[]): readonly EngineGroup[] {
  return [...groups].sort((a, b) => b.engines.length - a.engines.length);
}

function cutBySizes(
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

/** Engines of a group on which one may count; one that stands alone is counted on. */
function listLeft(engines: readonly RangeEngine[]): readonly RangeEngine[] {
  return engines.length > 1 ? sortByMemory(engines).slice(1) : engines;
}

/** Layers that a group can hold with `room` for each of them when its largest engine is gone. */
function countLayers(
  engines: readonly RangeEngine[],
  { layerBytes }: RangeModel,
  room: number,
): number {
  const left = listLeft(engines);
  const memory = left.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0);
  const least = Math.min(...engines.map(({ memoryBytes }) => memoryBytes));
  return Math.min(
    Math.floor(memory / (room * getRoomShare(engines) + left.length * layerBytes)),
    Math.floor((MAX_WEIGHT_SHARE * least) / layerBytes),
  );
}

/** The same groups with their layers shared out so that the tightest has the most room. */
function evenOut(groups: readonly EngineGroup[], model: RangeModel): readonly EngineGroup[] {
  let low = 0;
  let high = Math.max(...groups.map((group) => getGroupRoom(group, model)));
  let best = groups;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const room = (low + high) / 2;
    const found = groups.map(({ engines }) => ({
      engines,
      layers: countLayers(engines, model, room),
    }));
    if (sumLayers(found) >= model.layers) {
      best = found;
      low = room;
    } else {
      high = room;
    }
  }
  return trimLayers(best, model);
}

/** Takes layers that are too many from the tightest groups. */
function trimLayers(groups: readonly EngineGroup[], model: RangeModel): readonly EngineGroup[] {
  const trimmed = [...groups];
  for (let extra = sumLayers(groups) - model.layers; extra > 0; extra--) {
    const rooms = trimmed.map((group) => getGroupRoom(group, model));
    const at = rooms.indexOf(Math.min(...rooms));
    const tightest = trimmed[at];
    invariant(tightest, 'a layout has a tightest group');
    trimmed[at] = { ...tightest, layers: tightest.layers - 1 };
  }
  return trimmed.filter(({ layers }) => layers > 0);
}

function sumLayers(groups: readonly EngineGroup[]): number {
  return groups.reduce((sum, { layers }) => sum + layers, 0);
}

/** KV cache for each layer of a group whose largest engine is gone, in bytes. */
function getGroupRoom({ engines, layers }: EngineGroup, model: RangeModel): number {
  const left = listLeft(engines);
  const room = left.reduce((sum, engine) => sum + getEngineHeadroom(engine, layers, model), 0);
  return room / getRoomShare(engines);
}

function getRoomShare(engines: readonly RangeEngine[]): number {
  return engines.length === 1 ? LONE_SHARE : 1;
}
