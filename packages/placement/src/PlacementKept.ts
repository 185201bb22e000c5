/** Creates a layout that keeps the stage ranges in use and moves an engine only if the gain is large enough. */
import { findStageRanges } from './PlacementCuts.js';
import { countFittingLayers, getRate } from './PlacementGoals.js';
import { getStageRate, scoreLayout } from './PlacementScore.js';
import type { Layout, LayoutColumn, ModelGoal, PlacementEngine } from './PlacementTypes.js';

/** Minimum gain in score for which a serving engine is moved, as a share of the total rate of all engines. */
const MIN_RELOCATION_GAIN = 0.015;
const MAX_RELOCATIONS = 24;

/** Indexes of a column in a layout and of a stage in that column. */
interface StageRef {
  readonly column: number;
  readonly stage: number;
}

/** Keeps the stage ranges in use; engines that hold none of them go where they raise the score most. */
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
      (layout: Layout, { island, engine }) => assignFreeEngine(goals, layout, island, engine),
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
  const ranges = findStageRanges(model, held);
  const stages = ranges.map((layers) => ({
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

function addEngine(layout: Layout, { column, stage }: StageRef, engine: PlacementEngine): Layout {
  return editStage(layout, { column, stage }, (engines) => [...engines, engine]);
}

function removeEngine(
  layout: Layout,
  { column, stage }: StageRef,
  engine: PlacementEngine,
): Layout {
  return editStage(layout, { column, stage }, (engines) => engines.filter((e) => e !== engine));
}

function editStage(
  layout: Layout,
  place: StageRef,
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

/** For each column of an island, the slowest stage whose layers fit in an engine, if there is one. */
function listStageOptions(
  layout: Layout,
  island: string,
  engine: PlacementEngine,
): readonly StageRef[] {
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

function assignFreeEngine(
  goals: readonly ModelGoal[],
  layout: Layout,
  island: string,
  engine: PlacementEngine,
): Layout {
  const options = listStageOptions(layout, island, engine).map((place) =>
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

/** Moves engines one by one to slow stages while each move brings the minimum gain. */
function relocate(goals: readonly ModelGoal[], start: Layout): Layout {
  let layout = start;
  let score = scoreLayout(goals, layout);
  for (let i = 0; i < MAX_RELOCATIONS; i++) {
    let best = { layout, score: score + MIN_RELOCATION_GAIN };
    for (const { place, island, engine } of listMovable(layout)) {
      const without = removeEngine(layout, place, engine);
      for (const target of listStageOptions(without, island, engine)) {
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

/** For each kind of engine in each stage, the one with the fewest running requests, so that few have to move. */
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

/** Swaps interchangeable engines in a layout so that as many as possible keep the layers that they hold. */
export function keepHoldings(layout: Layout): Layout {
  const places = layout.flatMap(({ model, island, stages }, column) =>
    stages.flatMap(({ layers, engines }, stage) =>
      engines.map((engine) => ({ model, island, layers, column, stage, engine })),
    ),
  );
  const getKind = (island: string, { facts }: PlacementEngine) =>
    `${island} ${facts.accelerator} ${facts.weightBytes} ${facts.decodeLayerTokensPerSecond}`;
  const free = new Map<string, PlacementEngine[]>();
  for (const { island, engine } of places) {
    const kind = getKind(island, engine);
    free.set(kind, [...(free.get(kind) ?? []), engine]);
  }
  free.forEach((engines) => engines.sort((a, b) => (a.facts.id < b.facts.id ? -1 : 1)));
  const take = (place: (typeof places)[number], isMatch: (engine: PlacementEngine) => boolean) => {
    const engines = free.get(getKind(place.island, place.engine)) ?? [];
    const at = engines.findIndex(isMatch);
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
