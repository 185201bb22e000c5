/** Converts a solved flow into weighted hops: from each zone at each layer, the next groups with their shares. */
import { UNLIMITED_LINK } from './RoutingLinks.js';
import type {
  CapacityPlan,
  PlanGroup,
  PlanHop,
  PlanHops,
  PlanOptions,
} from './RoutingPlanTypes.js';
import { getHopKey } from './RoutingPlanTypes.js';
import type { SolvedPlan } from './RoutingPlanSolve.js';

export function buildPlan(
  groups: readonly PlanGroup[],
  solved: SolvedPlan,
  options: PlanOptions,
): CapacityPlan {
  const entering = new Map<string, { group: PlanGroup; flow: number }[]>();
  groups.forEach((group, i) => {
    const key = getHopKey(group.first, group.zone);
    entering.set(key, [...(entering.get(key) ?? []), { group, flow: solved.groupFlows[i] ?? 0 }]);
  });
  const starts = groups.flatMap((group, i) =>
    group.first === 0
      ? [{ hop: { group, link: UNLIMITED_LINK }, flow: solved.groupFlows[i] ?? 0 }]
      : [],
  );
  const hops = new Map<string, PlanHops>();
  const ends = new Map(groups.map(({ end, zone }) => [getHopKey(end, zone), { end, zone }]));
  for (const [key, { end, zone }] of ends) {
    if (end !== options.layerCount) {
      hops.set(key, sumHops(selectHops(solved, entering, end, zone)));
    }
  }
  const { layerCount } = options;
  return { layerCount, tokensPerSecond: solved.total, firstHops: sumHops(starts), hops };
}

interface WeightedHop {
  readonly hop: PlanHop;
  readonly flow: number;
}

/** Hops out of a zone at a layer boundary: the flow that stays in the zone, and the flow on each link. */
function selectHops(
  solved: SolvedPlan,
  entering: ReadonlyMap<string, readonly { group: PlanGroup; flow: number }[]>,
  at: number,
  zone: string,
): readonly WeightedHop[] {
  const leaving = solved.links.filter((link) => link.at === at && link.from === zone);
  const arriving = solved.links.filter((link) => link.at === at && link.toZone === zone);
  const groupsHere = entering.get(getHopKey(at, zone)) ?? [];
  const enteringFlow = groupsHere.reduce((sum, { flow }) => sum + flow, 0);
  const arrivingFlow = arriving.reduce((sum, { flow }) => sum + flow, 0);
  const staying = {
    toZone: zone,
    link: UNLIMITED_LINK,
    flow: Math.max(0, enteringFlow - arrivingFlow),
  };
  return [staying, ...leaving].flatMap(({ toZone, link, flow }) => {
    const next = entering.get(getHopKey(at, toZone)) ?? [];
    const total = next.reduce((sum, entry) => sum + entry.flow, 0);
    return next.map((entry) => ({
      hop: { group: entry.group, link },
      flow: total > 0 ? (flow * entry.flow) / total : 0,
    }));
  });
}

function sumHops(weighted: readonly WeightedHop[]): PlanHops {
  const used = weighted.filter(({ flow }) => flow > 0);
  let sum = 0;
  const sums = used.map(({ flow }) => {
    sum += flow;
    return sum;
  });
  return { hops: used.map(({ hop }) => hop), cumulativeFlows: sums };
}
