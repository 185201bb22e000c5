/** Links between racks, domains and regions, and the choice of the link between two engines. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { DomainId, Millis, RegionId } from '@skylarksail/core/CoreTypes';

/** A link as configured in the manifest. Its ends are racks, domains or regions; `*` matches any. */
export interface LinkFacts {
  readonly from: string;
  readonly to: string;
  readonly bytesPerSecond: number;
  readonly delayMs: Millis;
}

/** Cost of a transfer between two engines. A null key means that no link limits it. */
export interface LinkCost {
  readonly key: string | null;
  readonly bytesPerSecond: number;
  readonly delayMs: Millis;
}

const ANY = '*';
/** Cost within a rack, or where no link is configured. */
export const UNLIMITED_LINK: LinkCost = { key: null, bytesPerSecond: Infinity, delayMs: 0 };

/** Location of an engine: the names by which a link may refer to it. */
export interface EngineLocation {
  readonly rack: string;
  readonly domain: DomainId;
  readonly region: RegionId;
}

/** All links, and the region of each domain. */
export interface LinkMap {
  readonly links: readonly LinkFacts[];
  readonly regions: ReadonlyMap<DomainId, RegionId>;
}

export function getEngineLocation(
  facts: EngineFacts,
  regions: ReadonlyMap<DomainId, RegionId>,
): EngineLocation {
  return {
    rack: facts.rack,
    domain: facts.domain,
    region: regions.get(facts.domain) ?? facts.domain,
  };
}

/** The link between two locations by the most specific match; within a rack no link applies. */
export function getLinkCost(
  links: readonly LinkFacts[],
  from: EngineLocation,
  to: EngineLocation,
): LinkCost {
  for (const level of ['rack', 'domain', 'region'] as const) {
    if (from[level] !== to[level]) {
      const found = findLink(links, from[level], to[level]);
      if (found) {
        return found;
      }
    }
  }
  return UNLIMITED_LINK;
}

function findLink(links: readonly LinkFacts[], from: string, to: string): LinkCost | null {
  let best: LinkCost | null = null;
  let bestExactness = -1;
  links.forEach((link, i) => {
    const forward = matchesEnds(link, from, to);
    if (!forward && !matchesEnds(link, to, from)) {
      return;
    }
    const exactness = Number(link.from !== ANY) + Number(link.to !== ANY);
    if (exactness > bestExactness) {
      bestExactness = exactness;
      // A link with a named end is shared by all pairs that use it; `*` to `*` is a separate link for each pair.
      const ends = exactness === 0 ? `${from}>${to}` : String(forward);
      best = {
        key: `${i}:${ends}`,
        bytesPerSecond: link.bytesPerSecond,
        delayMs: link.delayMs,
      };
    }
  });
  return best;
}

function matchesEnds(link: LinkFacts, from: string, to: string): boolean {
  return (link.from === from || link.from === ANY) && (link.to === to || link.to === ANY);
}

/** Cost of the link from one engine to another. */
export function getLinkBetween(
  { links, regions }: LinkMap,
  from: EngineFacts,
  to: EngineFacts,
): LinkCost {
  return getLinkCost(links, getEngineLocation(from, regions), getEngineLocation(to, regions));
}
