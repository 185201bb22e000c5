/**
 * What each engine of a failure domain should hold, and which changes may be made now. A pure function
 * of the manifest, the engines and what they hold: whoever plans next goes on where the last one ended.
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
 * How much better a fresh layout must be than one that keeps the cuts in use: a little at least, and more
 * the more of the engines it reloads. Without it, the loss of an engine would now and then reload most
 * of the domain for a few per cent.
 */
const FRESH_GAIN = 0.03;
const RELOAD_COST = 0.18;
/**
 * The same while a model has less than its minimum. Only what the kept cuts cannot give counts then: new
 * cuts load many engines before the first chain is whole, kept ones only those of the missing stage.
 */
const RESTORE_GAIN = 1.2;

/** Plans a failure domain. The same state always gives the same plan; a reached one gives no moves. */
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
  const needed = isAnyBelowMinimum(state, goals) ? RESTORE_GAIN : FRESH_GAIN + reloadCost;
  return scoreLayout(goals, fresh) > scoreLayout(goals, kept) + needed ? fresh : kept;
}

/** Engines that hold other layers than a layout wants. */
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

/** Usable engines by island; all in one if some model fits into none of them. */
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
