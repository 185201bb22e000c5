/** Creates a layout from scratch, regardless of what engines hold now. */
import { createStages } from './PlacementCuts.js';
import { countFittingLayers, getRate, sumRates } from './PlacementGoals.js';
import { getColumnRates, scoreLayout } from './PlacementScore.js';
import type {
  Layout,
  LayoutColumn,
  ModelGoal,
  PlacementEngine,
  PlacementModel,
} from './PlacementTypes.js';

type Groups = readonly (readonly PlacementEngine[])[];

const MAX_STAGES = 16;
/** Columns with more engines are balanced well enough without moves and swaps. */
const MAX_SWAPPED_ENGINES = 20;
const MAX_IMPROVEMENTS = 12;
const MIN_IMPROVEMENT_FACTOR = 1.002;
/** Only the best columns are improved by moves and swaps, as they are mostly the best afterwards, too. */
const MAX_IMPROVED_COLUMNS = 3;

/** Whether the islands can hold all models, each model whole on some island. */
export function canHoldAll(
  goals: readonly ModelGoal[],
  islands: ReadonlyMap<string, readonly PlacementEngine[]>,
): boolean {
  const held = [...islands].flatMap(([, engines]) =>
    [...assignEngines(goals, engines, new Map())].filter(([, part]) => part.length > 0),
  );
  return goals.every((goal) => held.some(([other]) => other === goal));
}

/** Lays out the models island by island; capacity on earlier islands counts towards the models' goals. */
export function createFreshLayout(
  goals: readonly ModelGoal[],
  islands: ReadonlyMap<string, readonly PlacementEngine[]>,
): Layout {
  const placed = new Map<string, number>();
  return [...islands].flatMap(([island, engines]) => {
    const parts = assignEngines(goals, engines, placed);
    const columns = [...parts].flatMap(([goal, part]) => {
      const column = createColumn(goal, island, part);
      return column ? [column] : [];
    });
    columns.forEach((column) => {
      const sum = (placed.get(column.model.id) ?? 0) + getColumnRates(column).tokensPerSecond;
      placed.set(column.model.id, sum);
    });
    return columns;
  });
}

/**
 * Assigns an island's engines to models: first enough to hold each model, unplaced and large models first, then
 * the remaining engines one by one to the model that is furthest below its goal.
 */
function assignEngines(
  goals: readonly ModelGoal[],
  engines: readonly PlacementEngine[],
  placed: ReadonlyMap<string, number>,
): ReadonlyMap<ModelGoal, readonly PlacementEngine[]> {
  const parts = new Map<ModelGoal, PlacementEngine[]>(goals.map((goal) => [goal, []]));
  const rest = [...engines].sort(compareEngines);
  const getShortfall = (goal: ModelGoal) => {
    const done =
      (placed.get(goal.model.id) ?? 0) + sumRates(parts.get(goal) ?? []) / goal.model.layers;
    return goal.goal > 0 ? (goal.goal - done) / goal.goal : -Infinity;
  };
  const bySize = [...goals].sort(
    (a, b) => Number(isPlaced(a)) - Number(isPlaced(b)) || b.model.layers - a.model.layers,
  );
  function isPlaced(goal: ModelGoal): boolean {
    return (placed.get(goal.model.id) ?? 0) > 0;
  }
  for (const goal of bySize) {
    takeEnginesForModel(goal.model, rest, parts.get(goal) as PlacementEngine[]);
  }
  const fitting = goals.filter((goal) => (parts.get(goal)?.length ?? 0) > 0);
  for (const engine of rest) {
    const able = fitting.filter(({ model }) => countFittingLayers(model, engine) > 0);
    const [neediest] = [...able].sort((a, b) => getShortfall(b) - getShortfall(a));
    if (neediest) {
      parts.get(neediest)?.push(engine);
    }
  }
  return parts;
}

/** Moves the first engines of `rest` that together can hold a model to `taken`; none if they cannot. */
function takeEnginesForModel(
  model: PlacementModel,
  rest: PlacementEngine[],
  taken: PlacementEngine[],
): void {
  const chosen: PlacementEngine[] = [];
  let layers = 0;
  for (const engine of rest) {
    const fitting = countFittingLayers(model, engine);
    if (layers < model.layers && fitting > 0) {
      chosen.push(engine);
      layers += fitting;
    }
  }
  if (layers >= model.layers) {
    taken.push(...chosen);
    chosen.forEach((engine) => rest.splice(rest.indexOf(engine), 1));
  }
}

function compareEngines(a: PlacementEngine, b: PlacementEngine): number {
  return (
    b.facts.weightBytes - a.facts.weightBytes ||
    getRate(b) - getRate(a) ||
    (a.facts.id < b.facts.id ? -1 : 1)
  );
}

/** The best partition of a model over the given engines; null if the model does not fit. */
function createColumn(
  goal: ModelGoal,
  island: string,
  engines: readonly PlacementEngine[],
): LayoutColumn | null {
  const most = Math.min(MAX_STAGES, engines.length, goal.model.layers);
  const counts = Array.from({ length: most }, (_, i) => i + 1);
  const candidates = counts
    .flatMap((count) => [spreadEvenly(engines, count), groupByMemory(engines, count)])
    .flatMap((groups) => toColumn(goal.model, island, groups) ?? []);
  const improved = selectBest(goal, candidates, MAX_IMPROVED_COLUMNS).map(improveColumn);
  return selectBest(goal, improved, 1)[0] ?? null;
}

function selectBest(
  goal: ModelGoal,
  columns: readonly LayoutColumn[],
  count: number,
): readonly LayoutColumn[] {
  return columns
    .map((column) => ({ column, score: scoreLayout([goal], [column]) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({ column }) => column);
}

/** Adds engines in descending order of speed, each to the group that is slowest so far. */
function spreadEvenly(engines: readonly PlacementEngine[], count: number): Groups {
  const groups: PlacementEngine[][] = Array.from({ length: count }, () => []);
  const sums = groups.map(() => 0);
  for (const engine of [...engines].sort((a, b) => getRate(b) - getRate(a))) {
    const slowest = sums.indexOf(Math.min(...sums));
    groups[slowest]?.push(engine);
    sums[slowest] = (sums[slowest] ?? 0) + getRate(engine);
  }
  return groups;
}

/**
 * Groups engines that are adjacent in the given order, by descending memory, into groups of about equal speed.
 * All engines of a stage hold the same layers, so a small engine would limit the large ones in its group.
 */
function groupByMemory(engines: readonly PlacementEngine[], count: number): Groups {
  const share = sumRates(engines) / count;
  const groups: PlacementEngine[][] = [[]];
  let sum = 0;
  for (const engine of engines) {
    const isFull = sum + getRate(engine) / 2 > share * groups.length;
    if (isFull && groups.length < count && (groups.at(-1)?.length ?? 0) > 0) {
      groups.push([]);
    }
    groups.at(-1)?.push(engine);
    sum += getRate(engine);
  }
  return groups;
}

/** Moves and swaps engines between the groups of a small column while that improves it. */
function improveColumn(start: LayoutColumn): LayoutColumn {
  const { model, island } = start;
  const count = start.stages.reduce((sum, { engines }) => sum + engines.length, 0);
  let best = start;
  for (let i = 0; count <= MAX_SWAPPED_ENGINES && i < MAX_IMPROVEMENTS; i++) {
    const known = best;
    const next = listChanges(known.stages.map(({ engines }) => engines))
      .flatMap((groups) => toColumn(model, island, groups) ?? [])
      .reduce((a, b) => (getColumnValue(b) > getColumnValue(a) ? b : a), known);
    if (getColumnValue(next) <= getColumnValue(known) * MIN_IMPROVEMENT_FACTOR) {
      return known;
    }
    best = next;
  }
  return best;
}

function getColumnValue(column: LayoutColumn): number {
  const { tokensPerSecond, evenness, afterLoss } = getColumnRates(column);
  return tokensPerSecond + 0.01 * evenness + 0.01 * afterLoss;
}

function toColumn(model: PlacementModel, island: string, groups: Groups): LayoutColumn | null {
  const stages = createStages(model, groups);
  return stages && { model, island, stages };
}

/** Each move of an engine to another group and each swap of two of unequal speed, one engine per kind. */
function listChanges(groups: Groups): readonly Groups[] {
  const changes: Groups[] = [];
  const replace = (
    i: number,
    j: number,
    a: readonly PlacementEngine[],
    b: readonly PlacementEngine[],
  ) => {
    const changed = new Map([
      [i, a],
      [j, b],
    ]);
    changes.push(groups.map((group, k) => changed.get(k) ?? group));
  };
  groups.forEach((from, i) => {
    groups.forEach((to, j) => {
      if (i !== j) {
        pickOnePerKind(from).forEach((a) => {
          const left = from.filter((engine) => engine !== a);
          if (left.length > 0) {
            replace(i, j, left, [...to, a]);
          }
          pickOnePerKind(i < j ? to : []).forEach((b) => {
            if (getRate(a) !== getRate(b)) {
              replace(i, j, [...left, b], [...to.filter((engine) => engine !== b), a]);
            }
          });
        });
      }
    });
  });
  return changes;
}

/** One engine for each combination of speed and memory. */
function pickOnePerKind(engines: readonly PlacementEngine[]): readonly PlacementEngine[] {
  const kinds = new Map(
    [...engines]
      .reverse()
      .map((engine) => [`${getRate(engine)} ${engine.facts.weightBytes}`, engine]),
  );
  return [...kinds.values()];
}
