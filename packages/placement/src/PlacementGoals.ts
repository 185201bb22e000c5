/** How much of the engines each model should have: its minimum first, the rest by weight. */
import type {
  ModelGoal,
  PlacementEngine,
  PlacementModel,
  PlacementState,
} from './PlacementTypes.js';

/** Bytes of one layer of the version that is to be served. */
export function getLayerBytes(model: PlacementModel, version = model.serve): number {
  return model.versions.find(({ id }) => id === version)?.layerBytes ?? Infinity;
}

/** Layers of a model that fit into an engine. */
export function countFittingLayers(model: PlacementModel, engine: PlacementEngine): number {
  const fitting = Math.floor(engine.facts.weightBytes / getLayerBytes(model));
  return Math.min(model.layers, fitting);
}

export function getRate(engine: PlacementEngine): number {
  return engine.facts.decodeLayerTokensPerSecond;
}

export function sumRates(engines: readonly PlacementEngine[]): number {
  return engines.reduce((sum, engine) => sum + getRate(engine), 0);
}

/** Goals in tokens a second that together use every usable engine wholly. */
export function createGoals(state: PlacementState): readonly ModelGoal[] {
  const serves = state.manifest.getDomain(state.domain)?.serves ?? [];
  const demands = serves.flatMap((demand) => {
    const model = state.manifest.getModel(demand.model);
    return model ? [{ ...demand, model }] : [];
  });
  const total = sumRates(state.engines.filter((engine) => engine.isUsable));
  const needed = demands.reduce(
    (sum, { model, minTokensPerSecond }) => sum + minTokensPerSecond * model.layers,
    0,
  );
  const weights = demands.reduce((sum, { weight }) => sum + weight, 0);
  const scale = needed > total ? total / needed : 1;
  const rest = Math.max(0, total - needed);
  return demands.map(({ model, minTokensPerSecond, weight }) => ({
    model,
    minTokensPerSecond,
    goal: minTokensPerSecond * scale + (rest * weight) / weights / model.layers,
  }));
}
