/** Finds engines that cover each layer of a range once and in order. */
import type { Stage } from '@skylarksail/core/CoreChain';
import type { EngineId, LayerRange } from '@skylarksail/core/CoreTypes';
import type { PoolMember } from './RoutingPools.js';

/** Picks one of the members that can continue at a layer; `previous` is the engine of the stage before. */
export type PickMember = (
  options: readonly PoolMember[],
  previous: PoolMember | null,
) => PoolMember;

/**
 * Stages that cover `range`, or null if the members leave a gap. At each layer, `pick` gets only members from
 * which the end is reachable; those whose holding starts at this layer take precedence.
 */
export function coverLayers(
  members: readonly PoolMember[],
  range: LayerRange,
  pick: PickMember,
): readonly Stage[] | null {
  const reachable = createReachability(members, range.end);
  const used = new Set<EngineId>();
  const stages: Stage[] = [];
  let previous: PoolMember | null = null;
  let layer = range.first;
  while (layer < range.end) {
    const options = selectOptions(members, layer, range.end, used, reachable);
    if (options.length === 0) {
      return null;
    }
    const member = pick(options, previous);
    const end = Math.min(member.holding.layers.end, range.end);
    stages.push({ engine: member.id, layers: { first: layer, end } });
    used.add(member.id);
    previous = member;
    layer = end;
  }
  return stages;
}

function selectOptions(
  members: readonly PoolMember[],
  layer: number,
  end: number,
  used: ReadonlySet<EngineId>,
  canReachEnd: (layer: number) => boolean,
): readonly PoolMember[] {
  const options = members.filter(
    ({ id, holding: { layers } }) =>
      layers.first <= layer &&
      layer < layers.end &&
      !used.has(id) &&
      canReachEnd(Math.min(layers.end, end)),
  );
  const startingHere = options.filter(({ holding }) => holding.layers.first === layer);
  return startingHere.length > 0 ? startingHere : options;
}

/** Creates a memoized check of whether the end is reachable from a layer. */
function createReachability(
  members: readonly PoolMember[],
  end: number,
): (layer: number) => boolean {
  const known = new Map<number, boolean>();
  function canReachEnd(layer: number): boolean {
    if (layer >= end) {
      return true;
    }
    const cached = known.get(layer);
    if (cached !== undefined) {
      return cached;
    }
    const isReachable = members.some(
      ({ holding: { layers } }) =>
        layers.first <= layer && layer < layers.end && canReachEnd(layers.end),
    );
    known.set(layer, isReachable);
    return isReachable;
  }
  return canReachEnd;
}
