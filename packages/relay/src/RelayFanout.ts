/**
 * From whom an instance hears the store's news. It follows from the list of instances alone, so that nobody is
 * elected: a few watch the store, two of each failure domain ask those, and all others ask the two of their own
 * domain. Lists that differ for a moment let more instances watch; levels keep two from asking each other.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

/** How far an instance is from the store. One answers only those that are farther from it than itself. */
export const FanoutLevel = {
  /** Watches the store. */
  Watcher: 0,
  /** Hears the watchers and tells its own domain. */
  Aggregator: 1,
  /** Hears its domain's aggregators. */
  Subscriber: 2,
} as const;

export type FanoutLevelValue = (typeof FanoutLevel)[keyof typeof FanoutLevel];

/** An instance's part in spreading news. */
export interface FanoutRole {
  readonly level: FanoutLevelValue;
  /** Whom it asks; none at a watcher. */
  readonly sources: readonly InstanceEntry[];
  /** Whether any instance of the fleet hears by others. */
  readonly isShared: boolean;
}

/** In a fleet of so few all watch the store: sources would save few calls, and delay each change a little. */
const LARGEST_WITHOUT_SOURCES = 10;
/** One may be dead and one cut off, and the third still tells of the change in time. */
const WATCHERS = 3;
/** With two, the loss of one costs the others a single question that is not answered. */
const AGGREGATORS = 2;
const KEY = 'store-news';

/** Works out an instance's part. */
export function selectFanoutRole(
  self: InstanceEntry,
  instances: readonly InstanceEntry[],
): FanoutRole {
  const reachable = instances.filter(({ address }) => address !== null);
  if (reachable.length <= LARGEST_WITHOUT_SOURCES || self.address === null) {
    return { level: FanoutLevel.Watcher, sources: [], isShared: false };
  }
  const aggregators = selectAggregators(reachable);
  const watchers = selectWatchers(aggregators);
  if (watchers.some(({ id }) => id === self.id)) {
    return { level: FanoutLevel.Watcher, sources: [], isShared: true };
  }
  const own = aggregators.get(self.domain) ?? [];
  return own.some(({ id }) => id === self.id)
    ? { level: FanoutLevel.Aggregator, sources: watchers, isShared: true }
    : { level: FanoutLevel.Subscriber, sources: own, isShared: true };
}

/** Each domain's aggregators, the first choice first. */
function selectAggregators(
  instances: readonly InstanceEntry[],
): ReadonlyMap<DomainId, readonly InstanceEntry[]> {
  const domains = new Set(instances.map(({ domain }) => domain));
  return new Map(
    [...domains].map((domain) => {
      const members = instances.filter((instance) => instance.domain === domain);
      const byId = new Map(members.map((member) => [member.id, member]));
      const ids = selectOwners(KEY, [...byId.keys()], AGGREGATORS);
      return [domain, ids.flatMap((id) => byId.get(id) ?? [])];
    }),
  );
}

/** Heads of different domains as far as there are, since a domain is lost as a whole. */
function selectWatchers(
  aggregators: ReadonlyMap<DomainId, readonly InstanceEntry[]>,
): readonly InstanceEntry[] {
  const domains = selectOwners(KEY, [...aggregators.keys()], aggregators.size);
  const ranked = Array.from({ length: AGGREGATORS }, (_, rank) =>
    domains.flatMap((domain) => aggregators.get(domain)?.[rank] ?? []),
  );
  return ranked.flat().slice(0, WATCHERS);
}

/** One instance's part, worked out anew when the list of instances has changed. */
export interface FanoutRoleCache {
  get(): FanoutRole;
  /** How long changes that come close together are gathered. */
  getGatherTime(): Millis;
}

/** Changes seldom come alone: forty engines that register within two seconds are few calls instead of forty. */
const GATHER_TIME: Millis = 120;
/** The same where nobody waits for this instance's word: less work for the many, and a change is in force soon. */
const SUBSCRIBER_GATHER_TIME: Millis = 300;

export function createFanoutRoleCache(
  self: InstanceEntry,
  listInstances: () => readonly InstanceEntry[],
): FanoutRoleCache {
  let instances: readonly InstanceEntry[] | null = null;
  let part: FanoutRole = { level: FanoutLevel.Watcher, sources: [], isShared: false };

  function get(): FanoutRole {
    const latest = listInstances();
    if (latest !== instances) {
      instances = latest;
      part = selectFanoutRole(self, latest);
    }
    return part;
  }

  return {
    get,
    getGatherTime: () =>
      get().level === FanoutLevel.Subscriber ? SUBSCRIBER_GATHER_TIME : GATHER_TIME,
  };
}
