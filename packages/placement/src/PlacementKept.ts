/** A layout that keeps the cuts in use, and moves as few engines as bring enough. */
import { findStageRanges } from './PlacementCuts.js';
import { countFittingLayers, getRate } from './PlacementGoals.js';
import { getStageRate, scoreLayout } from './PlacementScore.js';
import type { Layout, LayoutColumn, ModelGoal, PlacementEngine } from './PlacementTypes.js';

/** Least gain for which an engine that serves elsewhere is moved, as a share of all engines' rate. */
const LEAST_GAIN = 0.015;
const MAX_RELOCATIONS = 24;

interface Place {
  readonly column: number;
  readonly stage: number;
}

/** Keeps the cuts in use; engines that hold nothing of them go where they bring most. */
export function createKeptLayout(
  goals: readonly ModelGoal[],
  islands: ReadonlyMap<string, readonly PlacementEngine[]>,
): Layout {
  const columns = goals.flatMap((goal) =>
    [...islands].flatMap(([island, engines]) => keepColumn(goal, island, engines) ?? []),
  );
  const placed = new Set(columns.flatMap(({ stages }) => stages.flatMap(({ engines }) => engines)));
  const free = [...islands].flatMap(([island, engines]) =>
    engines.filter((engine) => !placed.has(engine)).map((engine) => ({ island, engine })),
  );
  const filled = free
    .sort((a, b) => getRate(b.engine) - getRate(a.engine))
    .reduce(
      (layout: Layout, { island, engine }) => placeFree(goals, layout, island, engine),
      columns,
    );
  return relocate(goals, filled);
}

function keepColumn(
  goal: ModelGoal,
  island: string,
  engines: readonly PlacementEngine[],
): LayoutColumn | null {
  const { model } = goal;
  const held = engines.filter(({ expected }) => expected?.model === model.id);
  const cuts = findStageRanges(model, held);
  const stages = cuts.map((layers) => ({
    layers,
    engines: held.filter(
      ({ expected }) =>
        expected?.layers.first === layers.first && expected.layers.end === layers.end,
    ),
  }));
  return held.length > 0 && stages.some((stage) => stage.engines.length > 0)
    ? { model, island, stages }
    : null;
}

function addEngine(layout: Layout, { column, stage }: Place, engine: PlacementEngine): Layout {
  return editStage(layout, { column, stage }, (engines) => [...engines, engine]);
}

function removeEngine(layout: Layout, { column, stage }: Place, engine: PlacementEngine): Layout {
  return editStage(layout, { column, stage }, (engines) => engines.filter((e) => e !== engine));
}

function editStage(
  layout: Layout,
  place: Place,
  edit: (engines: readonly PlacementEngine[]) => readonly PlacementEngine[],
): Layout {
  return layout.map((column, c) =>
    c !== place.column
      ? column
      : {
          ...column,
          stages: column.stages.map((stage, s) =>
            s === place.stage ? { ...stage, engines: edit(stage.engines) } : stage,
          ),
        },
  );
}

/** The slowest stage of each column of an island that an engine could join. */
function listPlaces(layout: Layout, island: string, engine: PlacementEngine): readonly Place[] {
  return layout.flatMap((column, c) => {
    if (column.island !== island) {
      return [];
    }
    const able = column.stages.flatMap(({ layers }, s) =>
      countFittingLayers(column.model, engine) >= layers.end - layers.first ? [s] : [],
    );
    const rate = (s: number) => {
      const stage = column.stages[s];
      return stage ? getStageRate(stage) : Infinity;
    };
    const slowest = able.reduce((a, b) => (a < 0 || rate(b) < rate(a) ? b : a), -1);
    return slowest < 0 ? [] : [{ column: c, stage: slowest }];
  });
}

function placeFree(
  goals: readonly ModelGoal[],
  layout: Layout,
  island: string,
  engine: PlacementEngine,
): Layout {
  const options = listPlaces(layout, island, engine).map((place) =>
    addEngine(layout, place, engine),
  );
  return options.reduce(
    (best: { layout: Layout; score: number }, option) => {
      const score = scoreLayout(goals, option);
      return score > best.score ? { layout: option, score } : best;
    },
    { layout, score: -Infinity },
  ).layout;
}

/** Moves engines one by one to slower stages while each brings enough. */
function relocate(goals: readonly ModelGoal[], start: Layout): Layout {
  let layout = start;
  let score = scoreLayout(goals, layout);
  for (let i = 0; i < MAX_RELOCATIONS; i++) {
    let best = { layout, score: score + LEAST_GAIN };
    for (const { place, island, engine } of listMovable(layout)) {
      const without = removeEngine(layout, place, engine);
      for (const target of listPlaces(without, island, engine)) {
        const option = addEngine(without, target, engine);
        const optionScore = scoreLayout(goals, option);
        if (optionScore > best.score) {
          best = { layout: option, score: optionScore };
        }
      }
    }
    if (best.layout === layout) {
      return layout;
    }
    ({ layout, score } = best);
  }
  return layout;
}

/** One engine of each kind from each stage: the least busy, so that the fewest requests move. */
function listMovable(layout: Layout) {
  return layout.flatMap(({ island, stages }, column) =>
    stages.flatMap(({ engines }, stage) => {
      const kinds = new Map<string, PlacementEngine>();
      for (const engine of engines) {
        const kind = `${getRate(engine)} ${engine.facts.weightBytes}`;
        const known = kinds.get(kind);
        if (!known || engine.running < known.running) {
          kinds.set(kind, engine);
        }
      }
      return [...kinds.values()].map((engine) => ({ island, engine, place: { column, stage } }));
    }),
  );
}

/** The same layout with engines of one kind exchanged so that the most keep what they hold. */
export function keepHoldings(layout: Layout): Layout {
  const places = layout.flatMap(({ model, island, stages }, column) =>
    stages.flatMap(({ layers, engines }, stage) =>
      engines.map((engine) => ({ model, island, layers, column, stage, engine })),
    ),
  );
  const kindOf = (island: string, { facts }: PlacementEngine) =>
    `${island} ${facts.accelerator} ${facts.weightBytes} ${facts.decodeLayerTokensPerSecond}`;
  const free = new Map<string, PlacementEngine[]>();
  for (const { island, engine } of places) {
    const kind = kindOf(island, engine);
    free.set(kind, [...(free.get(kind) ?? []), engine]);
  }
  free.forEach((engines) => engines.sort((a, b) => (a.facts.id < b.facts.id ? -1 : 1)));
  const take = (place: (typeof places)[number], isLike: (engine: PlacementEngine) => boolean) => {
    const engines = free.get(kindOf(place.island, place.engine)) ?? [];
    const at = engines.findIndex(isLike);
    return at < 0 ? undefined : engines.splice(at, 1)[0];
  };
  const kept = places.map((place) =>
    take(
      place,
      ({ expected }) =>
        expected?.model === place.model.id &&
        expected.layers.first === place.layers.first &&
        expected.layers.end === place.layers.end,
    ),
  );
  const filled = places.map(
    (place, i) =>
      kept[i] ??
      take(place, ({ expected }) => expected === null) ??
      take(place, ({ expected }) => expected?.model === place.model.id) ??
      take(place, () => true),
  );
  return layout.map((column, c) => ({
    ...column,
    stages: column.stages.map((stage, s) => ({
      ...stage,
      engines: filled.flatMap((engine, i) =>
        engine && places[i]?.column === c && places[i].stage === s ? [engine] : [],
      ),
    })),
  }));
}
