/**
 * Which instances of a failure domain watch the store for the others. It follows from the list of instances
 * alone, so that nobody is elected; lists that differ for a moment only let more instances watch.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { DomainId } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

/** With two, the loss of one costs the others a single call that is not answered. */
const SOURCES = 2;
/** In a domain of so few instances all watch the store: nearly all would be sources, and one call is saved. */
const LARGEST_WITHOUT_SOURCES = 4;
const KEY = 'store-news';

/** The instances that an instance hears the store's news from; none if it watches the store itself. */
export function selectSources(
  self: InstanceEntry,
  instances: readonly InstanceEntry[],
): readonly InstanceEntry[] {
  const own = instances.filter(({ domain, address }) => domain === self.domain && address !== null);
  if (own.length <= LARGEST_WITHOUT_SOURCES) {
    return [];
  }
  const ids = selectOwners(
    KEY,
    own.map(({ id }) => id),
    SOURCES,
  );
  return ids.includes(self.id) ? [] : own.filter(({ id }) => ids.includes(id));
}

/** The sources of one instance, worked out when the list of instances has changed. */
export interface SourceList {
  list(): readonly InstanceEntry[];
  /** Instances that cost the store or their sources a call with each change, as this one does. */
  countSharing(): number;
}

export function createSourceList(
  self: InstanceEntry,
  listInstances: () => readonly InstanceEntry[],
): SourceList {
  let instances: readonly InstanceEntry[] | null = null;
  let sources: readonly InstanceEntry[] = [];

  function list(): readonly InstanceEntry[] {
    const latest = listInstances();
    if (latest !== instances) {
      instances = latest;
      sources = selectSources(self, latest);
    }
    return sources;
  }

  return {
    list,
    countSharing: () =>
      list().length > 0 ? listInstances().length : countWatching(listInstances()),
  };
}

/** Instances of all domains that watch the store. */
function countWatching(instances: readonly InstanceEntry[]): number {
  const counts = new Map<DomainId, number>();
  instances.forEach(({ domain }) => counts.set(domain, (counts.get(domain) ?? 0) + 1));
  return [...counts.values()]
    .map((count) => (count <= LARGEST_WITHOUT_SOURCES ? count : SOURCES))
    .reduce((sum, count) => sum + count, 0);
}
