/**
 * Capacity plan of a pool: the share of the load for each group of engines and each link, from a max-flow.
 * Engines of one zone with the same layers form a group, so a domain of a few hundred engines becomes a graph
 * of a few dozen arcs. Plans are computed off the hot path, whenever the pool changes.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { buildPlan } from './RoutingPlanHops.js';
import { solvePlan } from './RoutingPlanSolve.js';
import type { CapacityPlan, PlanGroup, PlanOptions } from './RoutingPlanTypes.js';
import { getGroupRate } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';
import { createZones } from './RoutingZones.js';

/** Fractions of the spare rate that a plan may use, tried in order: 0 spreads the load most evenly, 1 is the full rate. */
const SPREAD_STEPS = [0, 0.25, 0.5, 1];
const MIN_FLOW_SHARE = 0.998;

/** Plans a pool. Members that cannot be part of a complete chain get no share. */
export function createPlan(members: readonly PoolMember[], options: PlanOptions): CapacityPlan {
  const groups = createGroups(members, options);
  const full = solvePlan(groups, groups.map(getGroupRate), options);
  for (const step of SPREAD_STEPS) {
    const spread = solvePlan(groups, spreadRates(groups, full.groupFlows, step), options);
    if (spread.total >= MIN_FLOW_SHARE * full.total) {
      return buildPlan(groups, spread, options);
    }
  }
  return buildPlan(groups, full, options);
}

function createGroups(members: readonly PoolMember[], options: PlanOptions): readonly PlanGroup[] {
  const zones = createZones(members, options);
  const byZoneAndLayers = new Map<string, PoolMember[]>();
  for (const member of members) {
    const { first, end } = member.holding.layers;
    const zone = zones.get(member.facts.rack) ?? member.facts.rack;
    const key = `${first}-${end}@${zone}`;
    byZoneAndLayers.set(key, [...(byZoneAndLayers.get(key) ?? []), member]);
  }
  return [...byZoneAndLayers.values()].map((group) => {
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
 * Limits the rates of each layer range to what its flow needs, plus the fraction `step` of the rest. Where
 * there is spare capacity, a max-flow alone may saturate some engines and leave their peers idle, and
 * requests would queue at the saturated ones.
 */
function spreadRates(
  groups: readonly PlanGroup[],
  flows: readonly number[],
  step: number,
): readonly number[] {
  const rateOf = new Map<string, number>();
  const flowOf = new Map<string, number>();
  const getRangeKey = ({ first, end }: PlanGroup) => `${first}-${end}`;
  groups.forEach((group, i) => {
    const key = getRangeKey(group);
    rateOf.set(key, (rateOf.get(key) ?? 0) + getGroupRate(group));
    flowOf.set(key, (flowOf.get(key) ?? 0) + (flows[i] ?? 0));
  });
  return groups.map((group) => {
    const key = getRangeKey(group);
    const utilization = (flowOf.get(key) ?? 0) / (rateOf.get(key) ?? 1);
    return getGroupRate(group) * (utilization + (1 - utilization) * step);
  });
}
