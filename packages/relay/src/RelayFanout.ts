/**
 * Fan-out of store updates. Roles follow from the list of instances alone, without an election: a few instances watch
 * the store, two of each failure domain poll those, and all others poll the two of their own domain. While lists
 * differ, more instances may watch; levels prevent two instances from polling each other.
 */
import { rankAcrossDomains, selectByDomain } from '@skylarksail/core/CoreSelection';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

/** Distance of an instance from the store. An instance answers only those at a higher level. */
export const FanoutLevel = {
  /** Watches the store. */
  Watcher: 0,
  /** Polls the watchers and serves its own domain. */
  Aggregator: 1,
  /** Polls its domain's aggregators. */
  Subscriber: 2,
} as const;

export type FanoutLevelValue = (typeof FanoutLevel)[keyof typeof FanoutLevel];

/** Fan-out role of an instance. */
export interface FanoutRole {
  readonly level: FanoutLevelValue;
  /** Instances that it polls; none at a watcher. */
  readonly sources: readonly InstanceEntry[];
  /** Whether any instance of the fleet gets its updates from peers. */
  readonly isShared: boolean;
}

/** In a fleet of this size or less, all watch the store: sources would save few calls and delay each change. */
export const MAX_UNSHARED_FLEET = 10;
/** If one has crashed and another is cut off, the third still delivers a change in time. */
const WATCHER_COUNT = 3;
/** With two, the loss of one costs each subscriber a single unanswered query. */
const AGGREGATORS_PER_DOMAIN = 2;
const HASH_KEY = 'store-news';

export function selectFanoutRole(
  self: InstanceEntry,
  instances: readonly InstanceEntry[],
): FanoutRole {
  const reachable = instances.filter(({ address }) => address !== null);
  if (reachable.length <= MAX_UNSHARED_FLEET || self.address === null) {
    return { level: FanoutLevel.Watcher, sources: [], isShared: false };
  }
  const aggregators = selectByDomain(HASH_KEY, reachable, AGGREGATORS_PER_DOMAIN);
  const watchers = rankAcrossDomains(HASH_KEY, aggregators, AGGREGATORS_PER_DOMAIN).slice(
    0,
    WATCHER_COUNT,
  );
  if (watchers.some(({ id }) => id === self.id)) {
    return { level: FanoutLevel.Watcher, sources: [], isShared: true };
  }
  const own = aggregators.get(self.domain) ?? [];
  return own.some(({ id }) => id === self.id)
    ? { level: FanoutLevel.Aggregator, sources: watchers, isShared: true }
    : { level: FanoutLevel.Subscriber, sources: own, isShared: true };
}

/** Role of one instance, recomputed when the list of instances changes. */
export interface FanoutRoleCache {
  get(): FanoutRole;
  /** Time in which successive changes are batched. */
  getGatherTime(): Millis;
}

/** Changes come in bursts: forty engines that register within two seconds cause a few calls instead of forty. */
const BATCH_TIME: Millis = 120;
/** Longer, as no instance depends on a subscriber: most instances make fewer calls, at the cost of a small delay. */
const SUBSCRIBER_BATCH_TIME: Millis = 300;

export function createFanoutRoleCache(
  self: InstanceEntry,
  listInstances: () => readonly InstanceEntry[],
): FanoutRoleCache {
  let instances: readonly InstanceEntry[] | null = null;
  let role: FanoutRole = { level: FanoutLevel.Watcher, sources: [], isShared: false };

  function get(): FanoutRole {
    const latest = listInstances();
    if (latest !== instances) {
      instances = latest;
      role = selectFanoutRole(self, latest);
    }
    return role;
  }

  return {
    get,
    getGatherTime: () =>
      get().level === FanoutLevel.Subscriber ? SUBSCRIBER_BATCH_TIME : BATCH_TIME,
  };
}
