/**
 * Which engines may change what they hold now, and in which order. An engine that loads serves nothing,
 * so a move is let through only if the models that it serves keep their floor without it.
 */
import type { Holding } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import type { EngineId, LayerRange, ModelId, VersionId } from '@skylarksail/core/CoreTypes';
import type { ServingEngine } from './PlacementCapacity.js';
import { computeCapacity, computeModelCapacity, listServing } from './PlacementCapacity.js';
import { getLayerBytes, getRate } from './PlacementGoals.js';
import type {
  Layout,
  ModelGoal,
  MoveReasonName,
  PlacementEngine,
  PlacementModel,
  PlacementMove,
  PlacementState,
} from './PlacementTypes.js';
import { MOVE_ORDER, MoveReason } from './PlacementTypes.js';

/** Where there is no minimum, or it is missed already, moves keep this share of what is served. */
const SOFT_FLOOR = 0.5;
/** Share of the engines that may load at a time for anything but restoring. */
const LOADING_SHARE = 0.15;
/** Rounding of sums of rates. */
const ROUNDING = 1e-6;

/** A move with the stage that it is for. */
interface PlannedMove extends PlacementMove {
  readonly from: PlacementEngine;
  readonly urgency: number;
}

export interface ChosenMoves {
  readonly moves: readonly PlacementMove[];
  readonly blocked: readonly PlacementMove[];
}

export function isSameRange(a: LayerRange, b: LayerRange): boolean {
  return a.first === b.first && a.end === b.end;
}

/** Whether two holdings are the same; the order of adapters does not count. */
export function isSameHolding(a: Holding | null, b: Holding | null): boolean {
  if (a === null || b === null) {
    return a === b;
  }
  return (
    isSameWeights(a, b) &&
    a.duty === b.duty &&
    a.adapters.length === b.adapters.length &&
    a.adapters.every((adapter) => b.adapters.includes(adapter))
  );
}

/** Whether going from one holding to the other loads no layers. */
export function isSameWeights(a: Holding | null, b: Holding): boolean {
  return (
    a !== null && a.model === b.model && a.version === b.version && isSameRange(a.layers, b.layers)
  );
}

/** What each engine of a layout is to hold in the end. */
export function createTargets(
  state: PlacementState,
  layout: Layout,
): ReadonlyMap<EngineId, Holding | null> {
  const targets = new Map<EngineId, Holding | null>(
    state.engines.map(({ facts, expected }) => [facts.id, expected]),
  );
  for (const { model, stages } of layout) {
    for (const { layers, engines } of stages) {
      for (const { facts } of engines) {
        targets.set(facts.id, createHolding(model, model.serve, layers));
      }
    }
  }
  return targets;
}

function createHolding(model: PlacementModel, version: VersionId, layers: LayerRange): Holding {
  return { model: model.id, version, adapters: model.adapters, layers, duty: EngineDuty.Mixed };
}

/** Orders the moves towards the targets and holds back those that would leave too little. */
export function chooseMoves(
  state: PlacementState,
  goals: readonly ModelGoal[],
  targets: ReadonlyMap<EngineId, Holding | null>,
): ChosenMoves {
  const serving = listServing(state.engines);
  const planned = state.engines.flatMap((engine) => {
    const want = targets.get(engine.facts.id) ?? null;
    return engine.isUsable && !isSameHolding(engine.expected, want)
      ? [createMove(state, goals, engine, want)]
      : [];
  });
  const ordered = orderMoves(planned, state);
  return admitMoves(state, goals, serving, ordered);
}

function createMove(
  state: PlacementState,
  goals: readonly ModelGoal[],
  engine: PlacementEngine,
  target: Holding | null,
): PlannedMove {
  const reason = findReason(state, goals, engine, target);
  const want = reason === MoveReason.Restore ? chooseVersion(state, goals, target) : target;
  const model = goals.find((goal) => goal.model.id === want?.model)?.model;
  const layers = want ? want.layers.end - want.layers.first : 0;
  const isLoad = want !== null && model !== undefined && !isSameWeights(engine.expected, want);
  return {
    engine: engine.facts.id,
    want,
    reason,
    bytes: isLoad ? layers * getLayerBytes(model, want.version) : 0,
    from: engine,
    urgency: MOVE_ORDER.indexOf(reason),
  };
}

function findReason(
  state: PlacementState,
  goals: readonly ModelGoal[],
  { expected }: PlacementEngine,
  want: Holding | null,
): MoveReasonName {
  if (want && isSameWeights(expected, want)) {
    return MoveReason.Adapters;
  }
  const isVersion =
    want !== null && expected?.model === want.model && isSameRange(expected.layers, want.layers);
  if (isVersion) {
    return MoveReason.Version;
  }
  const goal = goals.find(({ model }) => model.id === want?.model);
  if (goal && isShort(goal, computeModelCapacity(goal.model, listExpected(state)))) {
    return MoveReason.Restore;
  }
  return expected === null ? MoveReason.Join : MoveReason.Tune;
}

/** Whether a model has less than its minimum, or nothing. */
function isShort({ minTokensPerSecond, goal }: ModelGoal, capacity: number): boolean {
  return capacity <= 0 || capacity < Math.min(minTokensPerSecond, goal) * (1 - ROUNDING);
}

/** Whether any model will have less than its minimum, or nothing, once the orders under way are done. */
export function isAnyShort(state: PlacementState, goals: readonly ModelGoal[]): boolean {
  const expected = listExpected(state);
  return goals.some((goal) => isShort(goal, computeModelCapacity(goal.model, expected)));
}

/** Engines as they will be once the orders under way are done. */
function listExpected(state: PlacementState): readonly ServingEngine[] {
  return listServing(state.engines.map((engine) => ({ ...engine, holding: engine.expected })));
}

/**
 * The version that brings the most capacity back. Amid a change of versions that can be the old one:
 * its chain may lack one stage only, while no other engine holds the new one yet.
 */
function chooseVersion(
  state: PlacementState,
  goals: readonly ModelGoal[],
  target: Holding | null,
): Holding | null {
  const model = goals.find((goal) => goal.model.id === target?.model)?.model;
  if (!target || !model) {
    return target;
  }
  const expected = listExpected(state);
  const versions = model.versions.map(({ id }) => id).filter((id) => id !== model.serve);
  const getGain = (version: VersionId) => {
    const rates = expected.filter(({ holding }) => holding.version === version);
    return fillStage(model, rates, target, version) - computeCapacity(model, version, rates);
  };
  const best = versions.reduce((a, b) => (getGain(b) > getGain(a) + ROUNDING ? b : a), model.serve);
  return { ...target, version: best };
}

/** Capacity of a version if a stage were as fast as it needs to be. */
function fillStage(
  model: PlacementModel,
  serving: readonly ServingEngine[],
  { layers }: Holding,
  version: VersionId,
): number {
  const [some] = serving;
  if (!some) {
    return 0;
  }
  const facts = { ...some.engine.facts, decodeLayerTokensPerSecond: Number.MAX_SAFE_INTEGER };
  const holding = { ...some.holding, model: model.id, version, layers };
  return computeCapacity(model, version, [
    ...serving,
    { engine: { ...some.engine, facts }, holding },
  ]);
}

/**
 * The most urgent first; among changes of version those whose stage has the least of the new version,
 * so that a whole chain of it comes about as early as can be.
 */
function orderMoves(
  planned: readonly PlannedMove[],
  state: PlacementState,
): readonly PlannedMove[] {
  const done = new Map<string, number>();
  const key = (holding: Holding) =>
    `${holding.model} ${holding.version} ${holding.layers.first}-${holding.layers.end}`;
  const getDone = (holding: Holding) => done.get(key(holding)) ?? 0;
  const add = (holding: Holding, engine: PlacementEngine) => {
    done.set(
      key(holding),
      getDone(holding) + getRate(engine) / (holding.layers.end - holding.layers.first),
    );
  };
  state.engines.forEach((engine) => {
    if (engine.isUsable && engine.expected) {
      add(engine.expected, engine);
    }
  });
  const rest = [...planned].sort(
    (a, b) =>
      a.urgency - b.urgency || a.from.running - b.from.running || (a.engine < b.engine ? -1 : 1),
  );
  const ordered: PlannedMove[] = [];
  while (rest.length > 0) {
    const urgent = rest.filter(({ urgency }) => urgency === rest[0]?.urgency);
    const next = urgent.reduce((a, b) =>
      a.want && b.want && getDone(b.want) < getDone(a.want) - ROUNDING ? b : a,
    );
    rest.splice(rest.indexOf(next), 1);
    ordered.push(next);
    if (next.want) {
      add(next.want, next.from);
    }
  }
  return ordered;
}

function admitMoves(
  state: PlacementState,
  goals: readonly ModelGoal[],
  serving: readonly ServingEngine[],
  ordered: readonly PlannedMove[],
): ChosenMoves {
  const usable = state.engines.filter(({ isUsable }) => isUsable);
  let loading = usable.filter(({ holding, expected }) => !holding && expected).length;
  const mostLoading = Math.max(1, Math.floor(usable.length * LOADING_SHARE));
  let left = serving;
  const moves: PlannedMove[] = [];
  const blocked: PlannedMove[] = [];
  const floors = new Map(goals.map((goal) => [goal.model.id, createFloor(goal, serving)]));
  for (const move of ordered) {
    const isRestore = move.reason === MoveReason.Restore;
    const without = left.filter(({ engine }) => engine !== move.from);
    const isTooMany = !isRestore && loading >= mostLoading;
    if (!isTooMany && isAboveFloor(move, floors, left, without)) {
      moves.push(move);
      left = without;
      loading += 1;
    } else {
      blocked.push(move);
    }
  }
  if (moves.length === 0 && loading === 0) {
    return forceMove(blocked, floors);
  }
  return { moves, blocked };
}

interface Floor {
  readonly goal: ModelGoal;
  readonly soft: number;
  readonly hard: number;
  readonly isShort: boolean;
}

function createFloor(goal: ModelGoal, serving: readonly ServingEngine[]): Floor {
  const capacity = computeModelCapacity(goal.model, serving);
  const { minTokensPerSecond } = goal;
  const isMissed = capacity < minTokensPerSecond * (1 - ROUNDING);
  return {
    goal,
    hard: isMissed ? 0 : minTokensPerSecond,
    soft: Math.max(isMissed ? 0 : minTokensPerSecond, capacity * SOFT_FLOOR),
    isShort: isMissed,
  };
}

/** Whether the model that an engine serves keeps its floor without it. */
function isAboveFloor(
  move: PlannedMove,
  floors: ReadonlyMap<ModelId, Floor>,
  before: readonly ServingEngine[],
  after: readonly ServingEngine[],
): boolean {
  const floor = floors.get(move.from.holding?.model ?? '');
  if (!floor) {
    return true;
  }
  const left = computeModelCapacity(floor.goal.model, after);
  if (left >= computeModelCapacity(floor.goal.model, before) * (1 - ROUNDING)) {
    return true;
  }
  const isAllowed = !floor.isShort || move.reason === MoveReason.Restore;
  return isAllowed && left >= floor.soft * (1 - ROUNDING);
}

/**
 * Lets the first move through that breaks no minimum, when otherwise nothing could ever change: a stage
 * of a single engine cannot be changed without a gap, and where the manifest sets no minimum it allows one.
 */
function forceMove(
  blocked: readonly PlannedMove[],
  floors: ReadonlyMap<ModelId, Floor>,
): ChosenMoves {
  const forced = blocked.find(
    (move) => (floors.get(move.from.holding?.model ?? '')?.hard ?? 0) <= 0,
  );
  return {
    moves: forced ? [forced] : [],
    blocked: blocked.filter((move) => move !== forced),
  };
}
