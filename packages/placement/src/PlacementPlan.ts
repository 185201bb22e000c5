/**
 * Plans what each engine of a failure domain should hold and which changes may start now. The plan is a pure
 * function of the manifest, the engines and their holdings, so any instance can continue another's work.
 */
import type { ModelId } from '@skylarksail/core/CoreTypes';
import { canHoldAll, createFreshLayout } from './PlacementFresh.js';
import { createGoals } from './PlacementGoals.js';
import { findIslands } from './PlacementIslands.js';
import { createKeptLayout, keepHoldings } from './PlacementKept.js';
import { chooseMoves, createTargets, isAnyBelowMinimum, isSameRange } from './PlacementMoves.js';
import { getColumnRates, scoreLayout } from './PlacementScore.js';
import type {
  Layout,
  ModelGoal,
  PlacementEngine,
  PlacementPlan,
  PlacementState,
} from './PlacementTypes.js';

/**
 * Minimum gain in score of a fresh layout over one that keeps the stage ranges in use. `RELOAD_COST` is added in
 * proportion to how many more engines the fresh layout reloads. Without these thresholds, the loss of an engine
 * would occasionally reload most of the domain for a gain of a few percent.
 */
const MIN_FRESH_GAIN = 0.03;
/** Cost in score of reloading all usable engines. */
const RELOAD_COST = 0.18;
/**
 * Minimum gain while a model has no capacity or is below its minimum. It is so high that a fresh layout is chosen
 * only for coverage or minimums that kept ranges cannot provide: with new ranges, many engines must load before the
 * first chain is whole; with kept ranges, only those of the missing stage.
 */
const MIN_RESTORE_GAIN = 1.2;

/** Plans a failure domain. The plan is deterministic, and a state that meets its targets yields no moves. */
export function planPlacement(state: PlacementState): PlacementPlan {
  const goals = createGoals(state);
  const layout = chooseLayout(state, goals);
  const targets = createTargets(state, layout);
  const { moves, blocked } = chooseMoves(state, goals, targets);
  return { targets, moves, blocked, capacities: sumCapacities(goals, layout) };
}

function chooseLayout(state: PlacementState, goals: readonly ModelGoal[]): Layout {
  const islands = groupIslands(state, goals);
  const kept = createKeptLayout(goals, islands);
  const fresh = keepHoldings(createFreshLayout(goals, islands));
  const reloads = countReloads(fresh) - countReloads(kept);
  const usable = state.engines.filter(({ isUsable }) => isUsable).length;
  const reloadCost = (RELOAD_COST * Math.max(0, reloads)) / Math.max(1, usable);
  const neededGain = isAnyBelowMinimum(state, goals)
    ? MIN_RESTORE_GAIN
    : MIN_FRESH_GAIN + reloadCost;
  return scoreLayout(goals, fresh) > scoreLayout(goals, kept) + neededGain ? fresh : kept;
}

/** Number of engines that hold other layers than the layout assigns to them. */
function countReloads(layout: Layout): number {
  const places = layout.flatMap(({ model, stages }) =>
    stages.flatMap(({ layers, engines }) =>
      engines.map(({ expected }) => ({ model, layers, expected })),
    ),
  );
  return places.filter(
    ({ model, layers, expected }) =>
      expected?.model !== model.id || !isSameRange(expected.layers, layers),
  ).length;
}

/** Usable engines by island, larger islands first; a single island if not every model fits in one. */
function groupIslands(
  state: PlacementState,
  goals: readonly ModelGoal[],
): ReadonlyMap<string, readonly PlacementEngine[]> {
  const models = goals.map(({ model }) => model);
  const names = findIslands(state, models);
  const usable = state.engines
    .filter(({ isUsable }) => isUsable)
    .sort((a, b) => (a.facts.id < b.facts.id ? -1 : 1));
  const islands = new Map<string, PlacementEngine[]>();
  for (const engine of usable) {
    const name = names.get(engine.facts.rack) ?? engine.facts.rack;
    islands.set(name, [...(islands.get(name) ?? []), engine]);
  }
  const sorted = new Map(
    [...islands].sort(([a, x], [b, y]) => y.length - x.length || (a < b ? -1 : 1)),
  );
  return canHoldAll(goals, sorted) ? sorted : new Map([['all', usable]]);
}

function sumCapacities(goals: readonly ModelGoal[], layout: Layout): ReadonlyMap<ModelId, number> {
  return new Map(
    goals.map(({ model }) => {
      const columns = layout.filter((column) => column.model.id === model.id);
      const rates = columns.map((column) => getColumnRates(column).tokensPerSecond);
      return [model.id, rates.reduce((sum, rate) => sum + rate, 0)];
    }),
  );
}
