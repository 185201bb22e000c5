/** Which engines are to change what they hold, why, in which version and in which order. */
import type { Holding } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import type { EngineId, LayerRange, ModelId, VersionId } from '@skylarksail/core/CoreTypes';
import type { AdmittedMoves, PlannedMove } from './PlacementAdmission.js';
import { admitMoves } from './PlacementAdmission.js';
import type { ServingEngine } from './PlacementCapacity.js';
import { computeCapacity, computeModelCapacity, listServing } from './PlacementCapacity.js';
import { getLayerBytes, getRate } from './PlacementGoals.js';
import type {
  Layout,
  ModelGoal,
  MoveReasonName,
  PlacementEngine,
  PlacementModel,
  PlacementState,
} from './PlacementTypes.js';
import { MOVE_REASONS_BY_URGENCY, MoveReason } from './PlacementTypes.js';

/** Rounding of sums of rates. */
const ROUNDING = 1e-6;

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
): AdmittedMoves {
  const outlook = createOutlook(state, goals);
  const planned = state.engines.flatMap((engine) => {
    const want = targets.get(engine.facts.id) ?? null;
    return engine.isUsable && !isSameHolding(engine.expected, want)
      ? [createMove(outlook, engine, want)]
      : [];
  });
  return admitMoves(state, goals, orderMoves(planned, state));
}

/** How the models will stand once the orders under way are done. */
interface Outlook {
  readonly models: ReadonlyMap<ModelId, PlacementModel>;
  readonly short: ReadonlySet<ModelId>;
  readonly expected: readonly ServingEngine[];
}

function createOutlook(state: PlacementState, goals: readonly ModelGoal[]): Outlook {
  const expected = listExpected(state);
  const short = goals.filter((goal) => isShort(goal, computeModelCapacity(goal.model, expected)));
  return {
    models: new Map(goals.map(({ model }) => [model.id, model])),
    short: new Set(short.map(({ model }) => model.id)),
    expected,
  };
}

function createMove(
  outlook: Outlook,
  engine: PlacementEngine,
  target: Holding | null,
): PlannedMove {
  const reason = findReason(outlook, engine, target);
  const want = reason === MoveReason.Restore ? chooseVersion(outlook, target) : target;
  const model = outlook.models.get(want?.model ?? '');
  const layers = want ? want.layers.end - want.layers.first : 0;
  const isLoad = want !== null && model !== undefined && !isSameWeights(engine.expected, want);
  return {
    engine: engine.facts.id,
    want,
    reason,
    bytes: isLoad ? layers * getLayerBytes(model, want.version) : 0,
    from: engine,
    urgencyRank: MOVE_REASONS_BY_URGENCY.indexOf(reason),
    stage: want && getStageName(want),
  };
}

function findReason(
  { short }: Outlook,
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
  if (want && short.has(want.model)) {
    return MoveReason.Restore;
  }
  return expected === null ? MoveReason.Join : MoveReason.Tune;
}

/** Whether a model has less than its minimum, or nothing. */
function isShort({ minTokensPerSecond, goal }: ModelGoal, capacity: number): boolean {
  return capacity <= 0 || capacity < Math.min(minTokensPerSecond, goal) * (1 - ROUNDING);
}

/** Whether any model will have less than its minimum, or nothing, once the orders under way are done. */
export function isAnyBelowMinimum(state: PlacementState, goals: readonly ModelGoal[]): boolean {
  return createOutlook(state, goals).short.size > 0;
}

/** Engines as they will be once the orders under way are done. */
function listExpected(state: PlacementState): readonly ServingEngine[] {
  return listServing(state.engines.map((engine) => ({ ...engine, holding: engine.expected })));
}

/**
 * The version that brings the most capacity back. Amid a change of versions that can be the old one:
 * its chain may lack one stage only, while no other engine holds the new one yet.
 */
function chooseVersion({ models, expected }: Outlook, target: Holding | null): Holding | null {
  const model = models.get(target?.model ?? '');
  if (!target || !model) {
    return target;
  }
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
  const add = (stage: string, { layers }: Holding, engine: PlacementEngine) => {
    const rate = getRate(engine) / (layers.end - layers.first);
    done.set(stage, (done.get(stage) ?? 0) + rate);
  };
  const getDone = ({ stage }: PlannedMove) => done.get(stage ?? '') ?? 0;
  state.engines.forEach((engine) => {
    if (engine.isUsable && engine.expected) {
      add(getStageName(engine.expected), engine.expected, engine);
    }
  });
  const rest = [...planned].sort(
    (a, b) =>
      a.urgencyRank - b.urgencyRank ||
      a.from.running - b.from.running ||
      (a.engine < b.engine ? -1 : 1),
  );
  const ordered: PlannedMove[] = [];
  for (let [first] = rest; first; [first] = rest) {
    let next = first;
    for (const move of rest) {
      if (move.urgencyRank !== first.urgencyRank) {
        break;
      }
      next = getDone(move) < getDone(next) - ROUNDING ? move : next;
    }
    rest.splice(rest.indexOf(next), 1);
    ordered.push(next);
    if (next.want && next.stage !== null) {
      add(next.stage, next.want, next.from);
    }
  }
  return ordered;
}

function getStageName({ model, version, layers }: Holding): string {
  return `${model} ${version} ${layers.first}-${layers.end}`;
}
