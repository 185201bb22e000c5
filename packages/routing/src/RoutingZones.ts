/**
 * Zones: racks of the same kinds of accelerators, between which links are so fast that they never limit
 * the flow. A plan treats a zone as one place. Without zones, links grow with the square of the racks, and with
 * them the time of a plan. Racks of unlike kinds stay apart because chains of like engines keep their batches
 * together.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LinkCost } from './RoutingLinks.js';
import type { PlanOptions } from './RoutingPlanTypes.js';
import type { PoolMember } from './RoutingPools.js';

/** Share of a link's rate that a plan fills; beyond it, tokens wait behind prompts. */
const LINK_FILL = 0.5;

interface RackFacts {
  readonly rack: string;
  readonly facts: EngineFacts;
  readonly kinds: ReadonlySet<string>;
  /** Tokens a second of all its engines together. */
  readonly rate: number;
}

/** Tokens a second that a plan may send over a link. */
export function getLinkRate(link: LinkCost, options: PlanOptions): number {
  return (LINK_FILL * link.bytesPerSecond) / options.bytesPerToken;
}

/** The zone of each rack, named after its first rack. */
export function createZones(
  members: readonly PoolMember[],
  options: PlanOptions,
): ReadonlyMap<string, string> {
  const zones: RackFacts[][] = [];
  const names = new Map<string, string>();
  for (const rack of sumRacks(members, options)) {
    const zone = zones.find((racks) =>
      racks.every((other) => isAlike(rack, other) && isFree(rack, other, options)),
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

function isAlike(a: RackFacts, b: RackFacts): boolean {
  return a.kinds.size === b.kinds.size && [...a.kinds].every((kind) => b.kinds.has(kind));
}

/** Whether the links between two racks could carry all that either of them can do. */
function isFree(a: RackFacts, b: RackFacts, options: PlanOptions): boolean {
  const needed = MILLIS_PER_SECOND * Math.max(a.rate, b.rate);
  return (
    getLinkRate(options.getLink(a.facts, b.facts), options) >= needed &&
    getLinkRate(options.getLink(b.facts, a.facts), options) >= needed
  );
}
