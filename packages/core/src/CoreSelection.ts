/** Selects members of the fleet by rendezvous hashing, with regard to their failure domains. */
import { selectOwners } from './CoreHash.js';
import type { DomainId } from './CoreTypes.js';

/** A member of the fleet and its failure domain. */
export interface DomainMember {
  readonly id: string;
  readonly domain: DomainId;
}

/** Selects `count` members of different domains where possible, since a domain fails as a whole. */
export function selectAcrossDomains<T extends DomainMember>(
  key: string,
  members: readonly T[],
  count: number,
): readonly T[] {
  return rankAcrossDomains(key, selectByDomain(key, members, count), count).slice(0, count);
}

/** The first `count` members of each domain in order of rank. */
export function selectByDomain<T extends DomainMember>(
  key: string,
  members: readonly T[],
  count: number,
): ReadonlyMap<DomainId, readonly T[]> {
  const domains = new Set(members.map(({ domain }) => domain));
  return new Map(
    [...domains].map((domain) => {
      const own = members.filter((member) => member.domain === domain);
      const byId = new Map(own.map((member) => [member.id, member]));
      const ids = selectOwners(key, [...byId.keys()], count);
      return [domain, ids.flatMap((id) => byId.get(id) ?? [])];
    }),
  );
}

/** Lists the selected members by rank, and those of the same rank by the rank of their domain. */
export function rankAcrossDomains<T extends DomainMember>(
  key: string,
  selected: ReadonlyMap<DomainId, readonly T[]>,
  count: number,
): readonly T[] {
  const domains = selectOwners(key, [...selected.keys()], selected.size);
  return Array.from({ length: count }, (_, rank) =>
    domains.flatMap((domain) => selected.get(domain)?.[rank] ?? []),
  ).flat();
}
