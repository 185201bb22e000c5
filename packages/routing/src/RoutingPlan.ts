/**
 * The capacity plan of a pool: how much of the work each group of engines and each link should carry,
 * from a max-flow. Engines of one zone with the same layers form a group, so that a domain of some
 * hundred engines is a graph of some dozen arcs. Made off the hot path, whenever the pool changes.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { buildPlan } from './RoutingPlanHops.js';
import { solvePlan } from './RoutingPlanSolve.js';
import type { CapacityPlan, PlanGroup, PlanOptions } from './RoutingPlanTypes.js';
import { getGroupRate } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';
import { createZones } from './RoutingZones.js';

/** Steps between "spread as thin as the whole flow allows" and "up to the full rate". */
const SPREAD_STEPS = [0, 0.25, 0.5, 1];
const ENOUGH_FLOW = 0.998;

/** Plans a pool. Members whose layers fit into no whole chain get no share. */
export function createPlan(members: readonly PoolMember[], options: PlanOptions): CapacityPlan {
  const groups = createGroups(members, options);
  const full = solvePlan(groups, groups.map(getGroupRate), options);
  for (const step of SPREAD_STEPS) {
    const spread = solvePlan(groups, spreadRates(groups, full.groupFlows, step), options);
    if (spread.total >= ENOUGH_FLOW * full.total) {
      return buildPlan(groups, spread, options);
    }
  }
  return buildPlan(groups, full, options);
}

function createGroups(members: readonly PoolMember[], options: PlanOptions): readonly PlanGroup[] {
  const zones = createZones(members, options);
  const byPlace = new Map<string, PoolMember[]>();
  for (const member of members) {
    const { first, end } = member.holding.layers;
    const zone = zones.get(member.facts.rack) ?? member.facts.rack;
    const key = `${first}-${end}@${zone}`;
    byPlace.set(key, [...(byPlace.get(key) ?? []), member]);
  }
  return [...byPlace.values()].map((group) => {
    const { facts, holding } = group[0] as PoolMember;
    let sum = 0;
    const cumulativeRates = group.map((member) => {
      sum += MILLIS_PER_SECOND / options.getTokenCost(member);
      return sum;
    });
    const { first, end } = holding.layers;
    return {
      zone: zones.get(facts.rack) ?? facts.rack,
      first,
      end,
      members: group,
      cumulativeRates,
    };
  });
}

/**
 * Rates that leave no more room than the flow of each layer range needs. A max-flow alone may fill some
 * engines and leave their peers idle where there are more than enough; requests would wait there.
 */
function spreadRates(
  groups: readonly PlanGroup[],
  flows: readonly number[],
  step: number,
): readonly number[] {
  const rateOf = new Map<string, number>();
  const flowOf = new Map<string, number>();
  const name = ({ first, end }: PlanGroup) => `${first}-${end}`;
  groups.forEach((group, i) => {
    const key = name(group);
    rateOf.set(key, (rateOf.get(key) ?? 0) + getGroupRate(group));
    flowOf.set(key, (flowOf.get(key) ?? 0) + (flows[i] ?? 0));
  });
  return groups.map((group) => {
    const key = name(group);
    const used = (flowOf.get(key) ?? 0) / (rateOf.get(key) ?? 1);
    return getGroupRate(group) * (used + (1 - used) * step);
  });
}
