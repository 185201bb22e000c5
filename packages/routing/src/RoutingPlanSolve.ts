/** Solves a capacity plan's flow: places between layers are nodes, groups and links are arcs. */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { FlowGraph } from './RoutingFlow.js';
import { createFlowGraph } from './RoutingFlow.js';
import type { LinkCost } from './RoutingLinks.js';
import type { PlanGroup, PlanOptions } from './RoutingPlanTypes.js';
import { getHopKey } from './RoutingPlanTypes.js';
import { getLinkRate } from './RoutingZones.js';

/** A link at one boundary between layers. */
export interface LinkArc {
  readonly arc: number;
  readonly from: string;
  readonly toZone: string;
  readonly at: number;
  readonly link: LinkCost;
  readonly capacity: number;
}

export interface SolvedPlan {
  /** Tokens a second. */
  readonly total: number;
  readonly groupFlows: readonly number[];
  readonly links: readonly (LinkArc & { readonly flow: number })[];
}

/** Links slower than this are used only for what the others cannot carry. */
const SLOW_TRANSFER_MS = 0.2;
const LINK_ROUNDS = 3;
const OVERFILLED = 1.01;
const SOURCE = 0;
const SINK = 1;

/** The largest flow through groups of these rates, with every link within its rate. */
export function solvePlan(
  groups: readonly PlanGroup[],
  rates: readonly number[],
  options: PlanOptions,
): SolvedPlan {
  let shares: ReadonlyMap<string, number> = new Map();
  let solved = solveOnce(groups, rates, options, shares);
  for (let round = 0; round < LINK_ROUNDS; round++) {
    const next = narrowLinks(solved, shares, options);
    if (!next) {
      break;
    }
    shares = next;
    solved = solveOnce(groups, rates, options, shares);
  }
  return solved;
}

/**
 * A link is an arc at each boundary between layers, and its rate must do for all of them together:
 * gives the factor by which to narrow each arc of a link that is filled beyond its rate.
 */
function narrowLinks(
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
  const narrowed = [...used].filter(
    ([, { link, flow }]) => flow > OVERFILLED * getLinkRate(link, options),
  );
  if (narrowed.length === 0) {
    return null;
  }
  const next = new Map(shares);
  narrowed.forEach(([key, { link, flow }]) => {
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
  const nodes = createNodeNumbers();
  const places = new Map(groups.map(({ zone, members }) => [zone, members[0]?.facts]));
  const boundaries = new Set(groups.map(({ end }) => end));
  boundaries.delete(options.layerCount);
  const graph = createFlowGraph(2 + 2 * (boundaries.size + 2) * places.size + 2 * groups.length);
  const groupArcs = groups.map((group, i) =>
    addGroup(graph, nodes, group, rates[i] ?? 0, options.layerCount),
  );
  const links: LinkArc[] = [];
  for (const at of boundaries) {
    for (const [from, fromFacts] of places) {
      graph.addArc(nodes(`out ${getHopKey(at, from)}`), nodes(getHopKey(at, from)), Infinity);
      for (const [toZone, toFacts] of places) {
        if (toZone !== from && fromFacts && toFacts) {
          const link = options.getLink(fromFacts, toFacts);
          const share = link.key === null ? 1 : (linkShares.get(link.key) ?? 1);
          const capacity = getLinkRate(link, options) * share;
          const out = nodes(`out ${getHopKey(at, from)}`);
          // Slow links open only after the fast ones are full.
          const open = isSlow(link, options) ? 0 : capacity;
          const arc = graph.addArc(out, nodes(getHopKey(at, toZone)), open);
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

function isSlow(link: LinkCost, options: PlanOptions): boolean {
  return (MILLIS_PER_SECOND * options.bytesPerToken) / link.bytesPerSecond > SLOW_TRANSFER_MS;
}

function addGroup(
  graph: FlowGraph,
  nodes: (name: string) => number,
  { zone, first, end }: PlanGroup,
  rate: number,
  layerCount: number,
): number {
  const from = first === 0 ? SOURCE : nodes(getHopKey(first, zone));
  const to = end === layerCount ? SINK : nodes(`out ${getHopKey(end, zone)}`);
  return graph.addArc(from, to, rate);
}

function createNodeNumbers(): (name: string) => number {
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
