/** Tokens per second that engines can serve together: the maximum flow from the first layer to the last. */
import type { Holding } from '@skylarksail/core/CoreEngine';
import type { ModelId, VersionId } from '@skylarksail/core/CoreTypes';
import { createFlowGraph } from '@skylarksail/routing/RoutingFlow';
import { getRate } from './PlacementGoals.js';
import type { PlacementEngine, PlacementModel } from './PlacementTypes.js';

/** An engine that serves, with the layers it holds. */
export interface ServingEngine {
  readonly engine: PlacementEngine;
  readonly holding: Holding;
}

/** Usable engines that can serve now. An engine that is loading has no holding. */
export function listServing(engines: readonly PlacementEngine[]): readonly ServingEngine[] {
  return engines.flatMap((engine) =>
    engine.isUsable && engine.holding ? [{ engine, holding: engine.holding }] : [],
  );
}

/** Capacity of one version of a model; 0 unless the engines hold all of its layers. */
export function computeCapacity(
  model: PlacementModel,
  version: VersionId,
  serving: readonly ServingEngine[],
): number {
  const rates = new Map<number, number>();
  const nodeCount = model.layers + 1;
  for (const { engine, holding } of serving) {
    if (holding.model === model.id && holding.version === version) {
      const { first, end } = holding.layers;
      const key = first * nodeCount + end;
      rates.set(key, (rates.get(key) ?? 0) + getRate(engine) / (end - first));
    }
  }
  const graph = createFlowGraph(nodeCount);
  for (const [key, rate] of rates) {
    graph.addArc(Math.floor(key / nodeCount), key % nodeCount, rate);
  }
  return rates.size === 0 ? 0 : graph.augment(0, model.layers);
}

/** Capacity of each version of a model; versions without capacity are left out. */
export function computeVersionCapacities(
  model: PlacementModel,
  serving: readonly ServingEngine[],
): ReadonlyMap<VersionId, number> {
  const held = serving.filter(({ holding }) => holding.model === model.id);
  const versions = [...new Set(held.map(({ holding }) => holding.version))].sort();
  const capacities = versions.map(
    (version) => [version, computeCapacity(model, version, held)] as const,
  );
  return new Map(capacities.filter(([, capacity]) => capacity > 0));
}

/** Capacity of a model summed over its versions: during a version change, both are served. */
export function computeModelCapacity(
  model: PlacementModel,
  serving: readonly ServingEngine[],
): number {
  const capacities = computeVersionCapacities(model, serving).values();
  return [...capacities].reduce((sum, capacity) => sum + capacity, 0);
}

/** Capacities of the models by model ID. */
export function computeCapacities(
  models: readonly PlacementModel[],
  serving: readonly ServingEngine[],
): ReadonlyMap<ModelId, number> {
  return new Map(models.map((model) => [model.id, computeModelCapacity(model, serving)]));
}
