/** Draws a chain from a capacity plan by a random walk: at each hop the best of a few engines drawn by share. */
import type { Stage } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { CapacityPlan, PlanHop, PlanHops } from './RoutingPlanTypes.js';
import { getHopKey } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';

/** An engine that the walk may take next. */
export interface WalkOption {
  readonly member: PoolMember;
  readonly hop: PlanHop;
  /** Engine of the stage before it; null at the first. */
  readonly previous: PoolMember | null;
}

/** Engines drawn at each hop. More draws balance load better; fewer prevent herding of instances on one engine. */
const DRAWS_PER_HOP = 8;

/**
 * Draws the stages of a chain, taking the option with the lowest `getCost` at each hop. Null if the cost of
 * all drawn options of a hop is Infinity.
 */
export function walkPlan(
  plan: CapacityPlan,
  getCost: (option: WalkOption) => number,
  random: Random,
): readonly Stage[] | null {
  const stages: Stage[] = [];
  const used = new Set<EngineId>();
  let hops: PlanHops | undefined = plan.firstHops;
  let previous: PoolMember | null = null;
  while (hops) {
    const best: WalkOption | null = drawBest(hops, previous, used, getCost, random);
    if (!best) {
      return null;
    }
    const { id, holding } = best.member;
    stages.push({ engine: id, layers: holding.layers });
    used.add(id);
    previous = best.member;
    if (holding.layers.end === plan.layerCount) {
      return stages;
    }
    hops = plan.hops.get(getHopKey(holding.layers.end, best.hop.group.zone));
  }
  return null;
}

function drawBest(
  hops: PlanHops,
  previous: PoolMember | null,
  used: ReadonlySet<EngineId>,
  getCost: (option: WalkOption) => number,
  random: Random,
): WalkOption | null {
  let best: WalkOption | null = null;
  let leastCost = Infinity;
  for (let i = 0; i < DRAWS_PER_HOP; i++) {
    const hop = hops.hops[drawIndex(hops.cumulativeFlows, random)];
    const member = hop?.group.members[drawIndex(hop.group.cumulativeRates, random)];
    if (hop && member && !used.has(member.id)) {
      const cost = getCost({ member, hop, previous });
      if (cost < leastCost) {
        leastCost = cost;
        best = { member, hop, previous };
      }
    }
  }
  return best;
}

/** Draws an index weighted by the differences of cumulative sums. */
function drawIndex(sums: readonly number[], random: Random): number {
  const draw = random.nextFloat() * (sums.at(-1) ?? 0);
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((sums[middle] ?? 0) > draw) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}
