/**
 * Zones: racks with the same kinds of accelerators whose links are fast enough never to limit the flow. A plan
 * treats a zone as one location. Without zones, the number of links and the planning time grow with the square
 * of the number of racks. Racks with different kinds are separate because chains of engines of one kind keep
 * their batches together.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LinkCost } from './RoutingLinks.js';
import type { PlanOptions } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';

/** Share of a link's rate that a plan uses; above it, tokens queue behind prompts. */
const MAX_LINK_UTILIZATION = 0.5;

interface RackFacts {
  readonly rack: string;
  readonly facts: EngineFacts;
  readonly kinds: ReadonlySet<string>;
  /** Total rate of its engines, in tokens per ms. */
  readonly rate: number;
}

/** Tokens per second that a plan may send over a link. */
export function getLinkRate(link: LinkCost, options: PlanOptions): number {
  return (MAX_LINK_UTILIZATION * link.bytesPerSecond) / options.bytesPerToken;
}

/** Zone of each rack; a zone is named after its first rack. */
export function createZones(
  members: readonly PoolMember[],
  options: PlanOptions,
): ReadonlyMap<string, string> {
  const zones: RackFacts[][] = [];
  const names = new Map<string, string>();
  for (const rack of sumRacks(members, options)) {
    const zone = zones.find((racks) =>
      racks.every(
        (other) => hasSameAccelerators(rack, other) && hasAmpleLinks(rack, other, options),
      ),
    );
    if (zone) {
      zone.push(rack);
    } else {
      zones.push([rack]);
    }
    names.set(rack.rack, zone?.[0]?.rack ?? rack.rack);
  }
  return names;
}

function sumRacks(members: readonly PoolMember[], options: PlanOptions): readonly RackFacts[] {
  const racks = new Map<string, RackFacts>();
  for (const member of members) {
    const { facts } = member;
    const rate = (racks.get(facts.rack)?.rate ?? 0) + 1 / options.getTokenCost(member);
    const kinds = new Set(racks.get(facts.rack)?.kinds).add(facts.accelerator);
    racks.set(facts.rack, { rack: facts.rack, facts, kinds, rate });
  }
  return [...racks.values()];
}

function hasSameAccelerators(a: RackFacts, b: RackFacts): boolean {
  return a.kinds.size === b.kinds.size && [...a.kinds].every((kind) => b.kinds.has(kind));
}

/** Whether the links between two racks in both directions can carry the full rate of either rack. */
function hasAmpleLinks(a: RackFacts, b: RackFacts, options: PlanOptions): boolean {
  const needed = MILLIS_PER_SECOND * Math.max(a.rate, b.rate);
  return (
    getLinkRate(options.getLink(a.facts, b.facts), options) >= needed &&
    getLinkRate(options.getLink(b.facts, a.facts), options) >= needed
  );
}
