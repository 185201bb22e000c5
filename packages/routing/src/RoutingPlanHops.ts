/** Turns a solved flow into hops to draw from: from each place, the next groups with their shares. */
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

/** Turns flows into hops to draw from. */
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

interface WeighedHop {
  readonly hop: PlanHop;
  readonly flow: number;
}

/** Ways out of a zone at a boundary: what stays in it, and what each link carries. */
function selectHops(
  solved: SolvedPlan,
  entering: ReadonlyMap<string, readonly { group: PlanGroup; flow: number }[]>,
  at: number,
  zone: string,
): readonly WeighedHop[] {
  const leaving = solved.links.filter((link) => link.at === at && link.from === zone);
  const arriving = solved.links.filter((link) => link.at === at && link.toZone === zone);
  const here = entering.get(getHopKey(at, zone)) ?? [];
  const taken = here.reduce((sum, { flow }) => sum + flow, 0);
  const fromOthers = arriving.reduce((sum, { flow }) => sum + flow, 0);
  const staying = { toZone: zone, link: UNLIMITED_LINK, flow: Math.max(0, taken - fromOthers) };
  return [staying, ...leaving].flatMap(({ toZone, link, flow }) => {
    const next = entering.get(getHopKey(at, toZone)) ?? [];
    const total = next.reduce((sum, entry) => sum + entry.flow, 0);
    return next.map((entry) => ({
      hop: { group: entry.group, link },
      flow: total > 0 ? (flow * entry.flow) / total : 0,
    }));
  });
}

function sumHops(weighed: readonly WeighedHop[]): PlanHops {
  const used = weighed.filter(({ flow }) => flow > 0);
  let sum = 0;
  const sums = used.map(({ flow }) => {
    sum += flow;
    return sum;
  });
  return { hops: used.map(({ hop }) => hop), cumulativeFlows: sums };
}
