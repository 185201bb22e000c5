/** Solves the flow of a capacity plan: nodes are zones at layer boundaries, arcs are groups and links. */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { FlowGraph } from './RoutingFlow.js';
import { createFlowGraph } from './RoutingFlow.js';
import type { LinkCost } from './RoutingLinks.js';
import type { PlanGroup, PlanOptions } from './RoutingPlanTypes.js';
import { getHopKey } from './RoutingPlanTypes.js';
import { getLinkRate } from './RoutingZones.js';

/** A link at one layer boundary. */
export interface LinkArc {
  readonly arc: number;
  readonly from: string;
  readonly toZone: string;
  readonly at: number;
  readonly link: LinkCost;
  readonly capacity: number;
}

export interface SolvedPlan {
  /** Tokens per second. */
  readonly total: number;
  readonly groupFlows: readonly number[];
  readonly links: readonly (LinkArc & { readonly flow: number })[];
}

/** Links on which the data of a token takes longer are used only for load that the others cannot carry. */
const SLOW_TRANSFER_MS = 0.2;
const MAX_LINK_ROUNDS = 3;
const OVERLOAD_TOLERANCE = 1.01;
const SOURCE = 0;
const SINK = 1;

/** Maximum flow through groups of these rates, with every link within its rate. */
export function solvePlan(
  groups: readonly PlanGroup[],
  rates: readonly number[],
  options: PlanOptions,
): SolvedPlan {
  let shares: ReadonlyMap<string, number> = new Map();
  let solved = solveOnce(groups, rates, options, shares);
  for (let round = 0; round < MAX_LINK_ROUNDS; round++) {
    const next = reduceOverloadedLinks(solved, shares, options);
    if (!next) {
      break;
    }
    shares = next;
    solved = solveOnce(groups, rates, options, shares);
  }
  return solved;
}

/**
 * A link is an arc at each layer boundary, and its rate is shared by all of them: returns the factor that
 * scales down the arcs of each overloaded link, or null if no link is overloaded.
 */
function reduceOverloadedLinks(
  solved: SolvedPlan,
  shares: ReadonlyMap<string, number>,
  options: PlanOptions,
): ReadonlyMap<string, number> | null {
  const used = new Map<string, { link: LinkCost; flow: number }>();
  solved.links.forEach(({ link, flow }) => {
    if (link.key !== null) {
      used.set(link.key, { link, flow: (used.get(link.key)?.flow ?? 0) + flow });
    }
  });
  const overloaded = [...used].filter(
    ([, { link, flow }]) => flow > OVERLOAD_TOLERANCE * getLinkRate(link, options),
  );
  if (overloaded.length === 0) {
    return null;
  }
  const next = new Map(shares);
  overloaded.forEach(([key, { link, flow }]) => {
    next.set(key, ((shares.get(key) ?? 1) * getLinkRate(link, options)) / flow);
  });
  return next;
}

function solveOnce(
  groups: readonly PlanGroup[],
  rates: readonly number[],
  options: PlanOptions,
  linkShares: ReadonlyMap<string, number>,
): SolvedPlan {
  const getNode = createNodeNumbering();
  const zones = new Map(groups.map(({ zone, members }) => [zone, members[0]?.facts]));
  const boundaries = new Set(groups.map(({ end }) => end));
  boundaries.delete(options.layerCount);
  const graph = createFlowGraph(2 + 2 * (boundaries.size + 2) * zones.size + 2 * groups.length);
  const groupArcs = groups.map((group, i) =>
    addGroup(graph, getNode, group, rates[i] ?? 0, options.layerCount),
  );
  const links: LinkArc[] = [];
  for (const at of boundaries) {
    for (const [from, fromFacts] of zones) {
      graph.addArc(getNode(`out ${getHopKey(at, from)}`), getNode(getHopKey(at, from)), Infinity);
      for (const [toZone, toFacts] of zones) {
        if (toZone !== from && fromFacts && toFacts) {
          const link = options.getLink(fromFacts, toFacts);
          const share = link.key === null ? 1 : (linkShares.get(link.key) ?? 1);
          const capacity = getLinkRate(link, options) * share;
          const out = getNode(`out ${getHopKey(at, from)}`);
          // Slow links get their capacity only after the flow through fast links is at its maximum.
          const initialCapacity = isSlowLink(link, options) ? 0 : capacity;
          const arc = graph.addArc(out, getNode(getHopKey(at, toZone)), initialCapacity);
          links.push({ arc, from, toZone, at, link, capacity });
        }
      }
    }
  }
  let total = graph.augment(SOURCE, SINK);
  links.forEach(({ arc, capacity }) => graph.setCapacity(arc, capacity));
  total += graph.augment(SOURCE, SINK);
  return {
    total,
    groupFlows: groupArcs.map((arc) => graph.getFlow(arc)),
    links: links.map((linkArc) => ({ ...linkArc, flow: graph.getFlow(linkArc.arc) })),
  };
}

function isSlowLink(link: LinkCost, options: PlanOptions): boolean {
  return (MILLIS_PER_SECOND * options.bytesPerToken) / link.bytesPerSecond > SLOW_TRANSFER_MS;
}

function addGroup(
  graph: FlowGraph,
  getNode: (name: string) => number,
  { zone, first, end }: PlanGroup,
  rate: number,
  layerCount: number,
): number {
  const from = first === 0 ? SOURCE : getNode(getHopKey(first, zone));
  const to = end === layerCount ? SINK : getNode(`out ${getHopKey(end, zone)}`);
  return graph.addArc(from, to, rate);
}

function createNodeNumbering(): (name: string) => number {
  const numbers = new Map<string, number>();
  return (name) => {
    const known = numbers.get(name);
    if (known !== undefined) {
      return known;
    }
    const number = 2 + numbers.size;
    numbers.set(name, number);
    return number;
  };
}
