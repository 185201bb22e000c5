/** Throughput goals of the models: minimums first, the remaining capacity by weight. */
import type {
  ModelGoal,
  PlacementEngine,
  PlacementModel,
  PlacementState,
} from './PlacementTypes.js';

/** Bytes of one layer of a version, by default the one to be served; infinite if the version is unknown. */
export function getLayerBytes(model: PlacementModel, version = model.serve): number {
  return model.versions.find(({ id }) => id === version)?.layerBytes ?? Infinity;
}

/** Layers of a model that fit in an engine's memory for weights. */
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

/** Goals in tokens per second that together use the full rate of all usable engines. */
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
