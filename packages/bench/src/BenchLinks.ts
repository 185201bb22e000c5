/** Link costs of a bench, computed once per pair of racks. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LinkCost } from '@skylarksail/routing/RoutingLinks';
import { getEngineLocation, getLinkCost } from '@skylarksail/routing/RoutingLinks';
import type { BenchShape } from './ThroughputShapes.js';

/** Returns a function that gives the cost of the link between two engines of a shape. */
export function createLinkLookup(
  shape: BenchShape,
): (from: EngineFacts, to: EngineFacts) => LinkCost {
  const known = new Map<string, LinkCost>();
  const regions = new Map<string, string>();
  return (from, to) => {
    const key = `${from.rack}>${to.rack}`;
    const cached = known.get(key);
    if (cached) {
      return cached;
    }
    const cost = getLinkCost(
      shape.links,
      getEngineLocation(from, regions),
      getEngineLocation(to, regions),
    );
    known.set(key, cost);
    return cost;
  };
}
