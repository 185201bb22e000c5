/** Determines which engines change what they hold, for which reason, to which version and in which order. */
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

/** Tolerance for rounding errors in sums of rates. */
const ROUNDING_TOLERANCE = 1e-6;

export function isSameRange(a: LayerRange, b: LayerRange): boolean {
  return a.first === b.first && a.end === b.end;
}

/** Whether two holdings are equal; the order of adapters does not matter. */
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

/** Whether changing from one holding to the other requires no layers to be loaded. */
export function isSameWeights(a: Holding | null, b: Holding): boolean {
  return (
    a !== null && a.model === b.model && a.version === b.version && isSameRange(a.layers, b.layers)
  );
}

/** The final holding of each engine; engines outside the layout keep their expected one. */
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

/** Sorts the moves towards the targets and blocks those that would leave too little capacity. */
export function chooseMoves(
  state: PlacementState,
  goals: readonly ModelGoal[],
  targets: ReadonlyMap<EngineId, Holding | null>,
): AdmittedMoves {
  const expectedState = createExpectedState(state, goals);
  const planned = state.engines.flatMap((engine) => {
    const want = targets.get(engine.facts.id) ?? null;
    return engine.isUsable && !isSameHolding(engine.expected, want)
      ? [createMove(expectedState, engine, want)]
      : [];
  });
  return admitMoves(state, goals, orderMoves(planned, state));
}

/** The state of the models once the orders in progress are done. */
interface ExpectedState {
  readonly models: ReadonlyMap<ModelId, PlacementModel>;
  readonly belowMinimum: ReadonlySet<ModelId>;
  readonly expected: readonly ServingEngine[];
}

function createExpectedState(state: PlacementState, goals: readonly ModelGoal[]): ExpectedState {
  const expected = listExpected(state);
  const belowMinimum = goals.filter((goal) =>
    isBelowMinimum(goal, computeModelCapacity(goal.model, expected)),
  );
  return {
    models: new Map(goals.map(({ model }) => [model.id, model])),
    belowMinimum: new Set(belowMinimum.map(({ model }) => model.id)),
    expected,
  };
}

function createMove(
  expectedState: ExpectedState,
  engine: PlacementEngine,
  target: Holding | null,
): PlannedMove {
  const reason = findReason(expectedState, engine, target);
  const want = reason === MoveReason.Restore ? chooseVersion(expectedState, target) : target;
  const model = expectedState.models.get(want?.model ?? '');
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
  { belowMinimum }: ExpectedState,
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
  if (want && belowMinimum.has(want.model)) {
    return MoveReason.Restore;
  }
  return expected === null ? MoveReason.Join : MoveReason.Tune;
}

/** Whether a model's capacity is zero or below its minimum. */
function isBelowMinimum({ minTokensPerSecond, goal }: ModelGoal, capacity: number): boolean {
  return capacity <= 0 || capacity < Math.min(minTokensPerSecond, goal) * (1 - ROUNDING_TOLERANCE);
}

/** Whether any model's capacity will be zero or below its minimum once the orders in progress are done. */
export function isAnyBelowMinimum(state: PlacementState, goals: readonly ModelGoal[]): boolean {
  return createExpectedState(state, goals).belowMinimum.size > 0;
}

/** Engines that will serve once the orders in progress are done. */
function listExpected(state: PlacementState): readonly ServingEngine[] {
  return listServing(state.engines.map((engine) => ({ ...engine, holding: engine.expected })));
}

/**
 * Chooses the version that restores the most capacity. During a version change this can be the old one: its
 * chain may lack only one stage, while no other engine holds the new version yet.
 */
function chooseVersion(
  { models, expected }: ExpectedState,
  target: Holding | null,
): Holding | null {
  const model = models.get(target?.model ?? '');
  if (!target || !model) {
    return target;
  }
  const versions = model.versions.map(({ id }) => id).filter((id) => id !== model.serve);
  const getGain = (version: VersionId) => {
    const held = expected.filter(({ holding }) => holding.version === version);
    return computeWithStage(model, held, target, version) - computeCapacity(model, version, held);
  };
  const best = versions.reduce(
    (a, b) => (getGain(b) > getGain(a) + ROUNDING_TOLERANCE ? b : a),
    model.serve,
  );
  return { ...target, version: best };
}

/** Capacity of a version if the target's range of layers had unlimited speed. */
function computeWithStage(
  model: PlacementModel,
  serving: readonly ServingEngine[],
  { layers }: Holding,
  version: VersionId,
): number {
  const [sample] = serving;
  if (!sample) {
    return 0;
  }
  const facts = { ...sample.engine.facts, decodeLayerTokensPerSecond: Number.MAX_SAFE_INTEGER };
  const holding = { ...sample.holding, model: model.id, version, layers };
  return computeCapacity(model, version, [
    ...serving,
    { engine: { ...sample.engine, facts }, holding },
  ]);
}

/**
 * Sorts moves by urgency and, among equally urgent ones, those to the slowest stage first, so that a version
 * change gets a whole chain of the new version as early as possible.
 */
function orderMoves(
  planned: readonly PlannedMove[],
  state: PlacementState,
): readonly PlannedMove[] {
  const done = new Map<string, number>();
  const addRate = (stage: string, { layers }: Holding, engine: PlacementEngine) => {
    const rate = getRate(engine) / (layers.end - layers.first);
    done.set(stage, (done.get(stage) ?? 0) + rate);
  };
  const getStageRate = ({ stage }: PlannedMove) => done.get(stage ?? '') ?? 0;
  state.engines.forEach((engine) => {
    if (engine.isUsable && engine.expected) {
      addRate(getStageName(engine.expected), engine.expected, engine);
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
      next = getStageRate(move) < getStageRate(next) - ROUNDING_TOLERANCE ? move : next;
    }
    rest.splice(rest.indexOf(next), 1);
    ordered.push(next);
    if (next.want && next.stage !== null) {
      addRate(next.stage, next.want, next.from);
    }
  }
  return ordered;
}

function getStageName({ model, version, layers }: Holding): string {
  return `${model} ${version} ${layers.first}-${layers.end}`;
}
