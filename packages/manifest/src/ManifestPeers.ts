/** Fan-out of new revisions: roles of each instance, assigned by rendezvous hashing of the members. */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId } from '@skylarksail/core/CoreTypes';

/** An instance that takes part in the distribution of the manifest. */
export interface SpreadMember {
  readonly id: InstanceId;
  readonly domain: DomainId;
}

/** Instances of a domain that watch the root. With two, one is left while a failure is undetected. */
const WATCHERS = 2;
/** Watchers of the fleet that read a new revision's chunks from the platform; others fetch from peers. */
const READERS = 2;
/** Instances of a domain that collect its confirmations. */
const COLLECTORS = 2;
/** Children of an instance in its domain's fan-out tree; a low number spreads the sent bytes evenly. */
const FAN_OUT = 2;
/** Random peers of the own domain that a starting instance queries besides its keepers. */
const NEAR_START_PEERS = 3;
/** Minimum of peers that a starting instance queries, if the fleet has as many. */
const MIN_START_PEERS = 5;

/** Roles and peers that an instance derives from the list of members. */
export interface PeerPlan {
  readonly self: SpreadMember;
  /** All members except this instance. */
  readonly others: readonly SpreadMember[];
  /** Ids of the members of this domain, including this instance. */
  readonly ownDomain: readonly InstanceId[];
  readonly domains: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly isWatcher: boolean;
  /** Watchers of all domains. */
  readonly watchers: readonly InstanceId[];
  /** First watcher of each other domain. */
  readonly farWatchers: readonly InstanceId[];
  /**
   * Peers of which one must hold a revision before this instance puts it into force, and which it
   * queries after a restart. They depend only on its id and the list of members, so that the restarted
   * process selects the same ones.
   */
  readonly keepers: readonly InstanceId[];
  readonly collectors: ReadonlyMap<DomainId, readonly InstanceId[]>;
}

/** The part of the plan that depends on the list of members alone, the same for all instances. */
interface FleetPlan {
  readonly domains: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly watchersOf: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly collectors: ReadonlyMap<DomainId, readonly InstanceId[]>;
}

/** Plans by list of members: in tests, many instances of one process share the same list. */
const fleetPlanCache = new WeakMap<readonly SpreadMember[], FleetPlan>();

/** Derives the plan of `self`, which `members` may or may not contain. */
export function createPeerPlan(self: SpreadMember, members: readonly SpreadMember[]): PeerPlan {
  const isListed = members.some(({ id }) => id === self.id);
  const { domains, watchersOf, collectors } = getFleetPlan(isListed ? members : [self, ...members]);
  const ownDomain = domains.get(self.domain) ?? [];
  const farWatchers = [...watchersOf].filter(([domain]) => domain !== self.domain);
  return {
    self,
    others: members.filter(({ id }) => id !== self.id),
    ownDomain,
    domains,
    isWatcher: watchersOf.get(self.domain)?.includes(self.id) ?? false,
    watchers: [...watchersOf.values()].flat(),
    farWatchers: farWatchers.flatMap(([, ids]) => ids.slice(0, 1)),
    keepers: selectKeepers(self, domains),
    collectors,
  };
}

function getFleetPlan(members: readonly SpreadMember[]): FleetPlan {
  const cached = fleetPlanCache.get(members);
  if (cached) {
    return cached;
  }
  const domains = groupByDomain(members);
  const plan: FleetPlan = {
    domains,
    watchersOf: selectInEachDomain(domains, 'manifest-watch', WATCHERS),
    collectors: selectInEachDomain(domains, 'manifest-confirm', COLLECTORS),
  };
  fleetPlanCache.set(members, plan);
  return plan;
}

function selectInEachDomain(
  domains: ReadonlyMap<DomainId, readonly InstanceId[]>,
  keyPrefix: string,
  count: number,
): ReadonlyMap<DomainId, readonly InstanceId[]> {
  return new Map(
    [...domains].map(([domain, ids]) => [
      domain,
      selectOwners(`${keyPrefix}/${domain}`, ids, count),
    ]),
  );
}

/** Selects one keeper in the own domain and one in another. */
function selectKeepers(
  self: SpreadMember,
  domains: ReadonlyMap<DomainId, readonly InstanceId[]>,
): readonly InstanceId[] {
  const key = `keeper/${self.id}`;
  const near = (domains.get(self.domain) ?? []).filter((id) => id !== self.id);
  const otherDomains = [...domains.keys()].filter((domain) => domain !== self.domain);
  const [farDomain] = selectOwners(key, otherDomains, 1);
  const far = farDomain === undefined ? [] : (domains.get(farDomain) ?? []);
  return [...selectOwners(key, near, 1), ...selectOwners(key, far, 1)];
}

function groupByDomain(members: readonly SpreadMember[]): Map<DomainId, readonly InstanceId[]> {
  const domains = new Map<DomainId, InstanceId[]>();
  members.forEach(({ id, domain }) => {
    const ids = domains.get(domain);
    if (ids) {
      ids.push(id);
    } else {
      domains.set(domain, [id]);
    }
  });
  return domains;
}

/**
 * Selects the peers to which this instance announces a new revision. The domain forms a fan-out tree
 * whose order differs for each revision. Revisions enter the fleet at watchers, so a watcher also
 * announces them to the first members of the tree and to one watcher of each other domain. Every
 * instance also announces them to its keepers.
 */
export function selectRecipients(plan: PeerPlan, revision: number): readonly InstanceId[] {
  const ranking = selectOwners(
    `manifest-spread/${revision}`,
    plan.ownDomain,
    plan.ownDomain.length,
  );
  const position = ranking.indexOf(plan.self.id);
  const children = ranking.slice(FAN_OUT * position + 1, FAN_OUT * position + 1 + FAN_OUT);
  const entryPeers = plan.isWatcher ? [...ranking.slice(0, FAN_OUT), ...plan.farWatchers] : [];
  return [...new Set([...children, ...entryPeers, ...plan.keepers])].filter(
    (id) => id !== plan.self.id,
  );
}

/**
 * Rank of this instance among the readers of a revision's chunks from the platform: 0 for the two
 * readers, which read as soon as they see the root, 1 for the next watcher, and so on.
 */
export function getReaderRank({ watchers, self }: PeerPlan, revision: number): number {
  const ranking = selectOwners(`manifest-read/${revision}`, watchers, watchers.length);
  return Math.max(0, ranking.indexOf(self.id) - READERS + 1);
}

/** Selects the peers that a starting instance queries: its keepers and some of each domain. */
export function selectStartPeers(plan: PeerPlan, random: Random): readonly InstanceId[] {
  const near = sampleElements(
    random,
    plan.ownDomain.filter((id) => id !== plan.self.id),
    NEAR_START_PEERS,
  );
  const far = [...plan.domains]
    .filter(([domain]) => domain !== plan.self.domain)
    .flatMap(([, ids]) => sampleElements(random, ids, 1));
  const chosen = new Set([...plan.keepers, ...near, ...far]);
  const rest = plan.others.map(({ id }) => id).filter((id) => !chosen.has(id));
  return [...chosen, ...sampleElements(random, rest, Math.max(0, MIN_START_PEERS - chosen.size))];
}

/** Selects a random peer, mostly of the own domain; gossip must also cross domains, but less often. */
export function selectGossipPeer(
  plan: PeerPlan,
  random: Random,
  farShare: number,
): InstanceId | undefined {
  const near = plan.ownDomain.filter((id) => id !== plan.self.id);
  const isFar = near.length === 0 || random.nextFloat() < farShare;
  const pool = isFar ? plan.others.map(({ id }) => id) : near;
  return sampleElements(random, pool, 1)[0];
}
