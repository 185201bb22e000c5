/** Draws a chain from a capacity plan: at each hop few engines by their share, of which the best. */
import type { Stage } from '@skylarksail/core/CoreChain';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { CapacityPlan, PlanHop, PlanHops } from './RoutingPlanTypes.js';
import { getHopKey } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';

/** An engine that a walk may take next. */
export interface WalkOption {
  readonly member: PoolMember;
  readonly hop: PlanHop;
  /** Engine of the stage before it; null at the first. */
  readonly previous: PoolMember | null;
}

/** Engines that are drawn at each hop. More balance better, fewer keep instances from herding. */
const DRAWS = 8;

/**
 * One chain, or null if the walk ran into engines that `weigh` all gives Infinity. `weigh` says what an
 * option costs; the least is taken.
 */
export function walkPlan(
  plan: CapacityPlan,
  weigh: (option: WalkOption) => number,
  random: Random,
): readonly Stage[] | null {
  const stages: Stage[] = [];
  const used = new Set<EngineId>();
  let hops: PlanHops | undefined = plan.firstHops;
  let previous: PoolMember | null = null;
  while (hops) {
    const best: WalkOption | null = drawBest(hops, previous, used, weigh, random);
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
  weigh: (option: WalkOption) => number,
  random: Random,
): WalkOption | null {
  let best: WalkOption | null = null;
  let least = Infinity;
  for (let i = 0; i < DRAWS; i++) {
    const hop = hops.hops[drawIndex(hops.cumulativeFlows, random)];
    const member = hop?.group.members[drawIndex(hop.group.cumulativeRates, random)];
    if (hop && member && !used.has(member.id)) {
      const weight = weigh({ member, hop, previous });
      if (weight < least) {
        least = weight;
        best = { member, hop, previous };
      }
    }
  }
  return best;
}

/** Draws an index by the steps between rising sums. */
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
