/**
 * Cuts one model's layers over the engines of a failure domain where memory binds: every engine gets
 * layers in proportion to its memory, so that the KV cache that is left holds as many requests at each.
 * One chain a domain stands; a domain that loses an engine is served by the others until it is mended,
 * which is cheap as prompts are read in some tens of milliseconds.
 */
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';

/** An engine as this planner sees it. */
export interface RangeEngine {
  readonly id: EngineId;
  readonly memoryBytes: number;
  /** Layers that it holds or was ordered to hold; null if none. */
  readonly held: LayerRange | null;
}

export interface RangeModel {
  readonly layers: number;
  readonly layerBytes: number;
}

/** What each engine should hold; an engine that is not in it keeps what it has. */
export type RangePlan = ReadonlyMap<EngineId, LayerRange>;

/** Weights may take this part of an engine's memory: without KV cache it could serve no request. */
export const MAX_WEIGHT_SHARE = 0.85;
/** A mended gap may leave an engine with so little KV cache, as a part of its memory, for a while. */
export const MAX_GAP_WEIGHT_SHARE = 0.8;
/**
 * How much more KV cache the tightest engine must get for a whole domain to be cut anew. Chains through
 * layers that are being given up are refused until the answers there have ended, eight seconds under load,
 * which costs more than twice the memory brings.
 */
const RECUT_GAIN = 2.5;
/**
 * The tightest engine round a mended gap may have so much less KV cache a layer than a whole cut would
 * leave. All domains share the weight store: ten gaps mended by whole cuts were some thirty loads, five
 * seconds instead of two, through which nothing was served.
 */
const MEND_ROOM = 0.7;
/**
 * The same where the two engines beside a gap take its layers and give up none. Layers that are given up
 * wait for the answers that pass through them, five seconds where answers are long.
 */
const EXTEND_ROOM = 0.5;

/**
 * Plans a domain whose layers are partly missing or badly cut. Null if there is nothing to be done, or
 * nothing that can be. `mayCut` says whether engines that hold layers may be given others: a lost engine
 * is often back within seconds, and then takes its layers again without a move of any other.
 */
export function planRanges(
  engines: readonly RangeEngine[],
  model: RangeModel,
  mayCut: boolean,
): RangePlan | null {
  const sorted = sortByRange(engines);
  const isWhole = findGaps(sorted, model).length === 0;
  const filled = isWhole ? null : fillGaps(sorted, model);
  if (filled !== null || !mayCut) {
    return filled;
  }
  const whole: LayerRange = { first: 0, end: model.layers };
  const fresh = partitionByMemory(placeSpares(sorted, model), whole, model);
  if (fresh === null) {
    return null;
  }
  const room = getRoom(engines, fresh, model);
  if (!isWhole) {
    return mendGaps(sorted, model, room) ?? fresh;
  }
  return room > RECUT_GAIN * getHeldRoom(sorted, model) ? fresh : null;
}

/** Engines of a chain next to each other, with the layers that they are to share. */
interface Window {
  readonly engines: readonly RangeEngine[];
  readonly range: LayerRange;
}

/**
 * Shares each gap's layers out to engines next to it, as few as leave enough of the room that a whole cut
 * would leave at the tightest. Null if there are none, or if the layers held do not follow each other.
 */
function mendGaps(
  sorted: readonly RangeEngine[],
  model: RangeModel,
  room: number,
): RangePlan | null {
  let holders = sorted.filter(({ held }) => held !== null);
  const plan = new Map<EngineId, LayerRange>();
  for (const gap of findGaps(holders, model)) {
    const mended =
      extendNeighbours(holders, gap, model, EXTEND_ROOM * room) ??
      mendGap(holders, gap, model, MEND_ROOM * room);
    if (mended === null) {
      return null;
    }
    mended.forEach((range, id) => plan.set(id, range));
    holders = holders.map((engine) => ({ ...engine, held: plan.get(engine.id) ?? engine.held }));
  }
  return findGaps(holders, model).length === 0 ? plan : null;
}

/** Splits a gap between the engine before it and the one after it, of which neither gives up a layer. */
function extendNeighbours(
  holders: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  leastRoom: number,
): RangePlan | null {
  const window = selectWindow(holders, gap, 1);
  const [before, after] = window?.engines ?? [];
  if (!window || !before || !after) {
    return null;
  }
  let best: RangePlan | null = null;
  let bestRoom = leastRoom;
  for (let split = gap.first; split <= gap.end; split++) {
    const plan = new Map([
      [before.id, { first: window.range.first, end: split }],
      [after.id, { first: split, end: window.range.end }],
    ]);
    const room = getRoom(window.engines, plan, model);
    if (room >= bestRoom) {
      best = plan;
      bestRoom = room;
    }
  }
  return best;
}

function mendGap(
  holders: readonly RangeEngine[],
  gap: LayerRange,
  model: RangeModel,
  leastRoom: number,
): RangePlan | null {
  for (let reach = 1; reach <= holders.length; reach++) {
    const window = selectWindow(holders, gap, reach);
    const plan = window && partitionByMemory(window.engines, window.range, model);
    if (window && plan && getRoom(window.engines, plan, model) >= leastRoom) {
      return plan;
    }
  }
  return null;
}

/** The engines that hold layers next to a gap, `reach` of them on each side; null if their layers overlap. */
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
  const isEven = layers + (gap.end - gap.first) === end - first;
  return isInOrder && isEven ? { engines, range: { first, end } } : null;
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

/** Orders engines that are alike, the same way every time. */
export function compareIds(a: RangeEngine, b: RangeEngine): number {
  return a.id < b.id ? -1 : 1;
}

/** Gives each gap to an engine that holds nothing, if there is one for each; nothing else moves then. */
function fillGaps(sorted: readonly RangeEngine[], model: RangeModel): RangePlan | null {
  const spares = sorted.filter(({ held }) => held === null);
  const plan = new Map<EngineId, LayerRange>();
  for (const gap of findGaps(sorted, model)) {
    const bytes = (gap.end - gap.first) * model.layerBytes;
    const fitting = spares
      .filter(({ id, memoryBytes }) => !plan.has(id) && bytes <= MAX_GAP_WEIGHT_SHARE * memoryBytes)
      .sort((a, b) => a.memoryBytes - b.memoryBytes || compareIds(a, b));
    const [spare] = fitting;
    if (!spare) {
      return null;
    }
    plan.set(spare.id, gap);
  }
  return plan;
}

/** The order of the chain: holders by their layers, each engine without any put where layers are missing. */
function placeSpares(sorted: readonly RangeEngine[], model: RangeModel): readonly RangeEngine[] {
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

/** Cuts a range of layers in the order given, by memory; null if these engines cannot hold it. */
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
  const wished = order.map(({ memoryBytes }) => (layers * memoryBytes) / total);
  const counts = wished.map((wish, i) => Math.min(most[i] ?? 0, Math.floor(wish)));
  let left = layers - counts.reduce((sum, count) => sum + count, 0);
  while (left > 0) {
    const next = findNeediest(order, counts, most, model);
    counts[next] = (counts[next] ?? 0) + 1;
    left -= 1;
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

/** The engine that one more layer leaves with the most KV cache a layer. */
function findNeediest(
  order: readonly RangeEngine[],
  counts: readonly number[],
  most: readonly number[],
  model: RangeModel,
): number {
  let best = -1;
  let bestRoom = -Infinity;
  order.forEach(({ memoryBytes }, i) => {
    const count = (counts[i] ?? 0) + 1;
    const room = getLayerRoom(memoryBytes, count, model);
    if (count <= (most[i] ?? 0) && room > bestRoom) {
      best = i;
      bestRoom = room;
    }
  });
  return best;
}

/** KV-cache bytes for each layer held. */
function getLayerRoom(memoryBytes: number, count: number, { layerBytes }: RangeModel): number {
  return memoryBytes / count - layerBytes;
}

/** The same at the tightest engine of a plan. */
function getRoom(engines: readonly RangeEngine[], plan: RangePlan, model: RangeModel): number {
  const rooms = engines.flatMap(({ id, memoryBytes }) => {
    const range = plan.get(id);
    return range ? [getLayerRoom(memoryBytes, range.end - range.first, model)] : [];
  });
  return Math.min(...rooms);
}

function getHeldRoom(holders: readonly RangeEngine[], model: RangeModel): number {
  const rooms = holders.flatMap(({ memoryBytes, held }) =>
    held ? [getLayerRoom(memoryBytes, held.end - held.first, model)] : [],
  );
  return Math.min(...rooms);
}
