/** Who tells whom of a new revision: parts that each instance plays, by rendezvous over the members. */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId } from '@skylarksail/core/CoreTypes';

/** An instance as far as the manifest's spread is concerned. */
export interface SpreadMember {
  readonly id: InstanceId;
  readonly domain: DomainId;
}

/** Instances of a domain that watch the root. Two, so that one may die unnoticed for a while. */
const WATCHERS = 2;
/** Watchers of the fleet that read a new revision's chunks from the platform; the rest ask peers. */
const READERS = 2;
/** Instances of a domain that collect confirmations. */
const COLLECTORS = 2;
/** Instances of the own domain that each one tells; a low number spreads the bytes evenly. */
const FAN_OUT = 2;
const START_NEAR = 3;
/** Peers that a starting instance asks at the least, if there are so many. */
const START_TOTAL = 5;

/** What an instance derives from the list of members. */
export interface PeerPlan {
  readonly self: SpreadMember;
  /** All members but this one. */
  readonly others: readonly SpreadMember[];
  /** Ids of this domain's members, this one included. */
  readonly ownDomain: readonly InstanceId[];
  readonly domains: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly isWatcher: boolean;
  /** Watchers of all domains. */
  readonly watchers: readonly InstanceId[];
  /** First watcher of each other domain. */
  readonly farWatchers: readonly InstanceId[];
  /**
   * Peers that hold a revision before this instance puts it into force, and that it asks when it starts
   * again: they are chosen by its id alone, so that its next process finds them.
   */
  readonly keepers: readonly InstanceId[];
  readonly collectors: ReadonlyMap<DomainId, readonly InstanceId[]>;
}

/** What follows from the list of members alone, the same for all instances. */
interface FleetPlan {
  readonly domains: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly watchersOf: ReadonlyMap<DomainId, readonly InstanceId[]>;
  readonly collectors: ReadonlyMap<DomainId, readonly InstanceId[]>;
}

/** The plan of the newest list, as many instances of one process are given the same one in tests. */
const fleetPlans = new WeakMap<readonly SpreadMember[], FleetPlan>();

/** Works out the parts. `members` may or may not list `self`. */
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
  const known = fleetPlans.get(members);
  if (known) {
    return known;
  }
  const domains = groupByDomain(members);
  const plan: FleetPlan = {
    domains,
    watchersOf: selectInEach(domains, 'manifest-watch', WATCHERS),
    collectors: selectInEach(domains, 'manifest-confirm', COLLECTORS),
  };
  fleetPlans.set(members, plan);
  return plan;
}

function selectInEach(
  domains: ReadonlyMap<DomainId, readonly InstanceId[]>,
  part: string,
  count: number,
): ReadonlyMap<DomainId, readonly InstanceId[]> {
  return new Map(
    [...domains].map(([domain, ids]) => [domain, selectOwners(`${part}/${domain}`, ids, count)]),
  );
}

/** One keeper in the own domain and one in another. */
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
 * Peers to tell of a new revision. Each revision orders the domain anew into a tree; a watcher, which
 * is where the revision comes in, also tells the tree's first members and the other domains' watchers.
 */
export function selectRecipients(plan: PeerPlan, revision: number): readonly InstanceId[] {
  const order = selectOwners(`manifest-spread/${revision}`, plan.ownDomain, plan.ownDomain.length);
  const place = order.indexOf(plan.self.id);
  const below = order.slice(FAN_OUT * place + 1, FAN_OUT * place + 1 + FAN_OUT);
  const entry = plan.isWatcher ? [...order.slice(0, FAN_OUT), ...plan.farWatchers] : [];
  return [...new Set([...below, ...entry, ...plan.keepers])].filter((id) => id !== plan.self.id);
}

/**
 * Turn of this instance in reading a revision's chunks from the platform: 0 for the two readers, which
 * read as soon as they see the root, 1 for the next watcher, and so on.
 */
export function getReaderRank({ watchers, self }: PeerPlan, revision: number): number {
  const order = selectOwners(`manifest-read/${revision}`, watchers, watchers.length);
  return Math.max(0, order.indexOf(self.id) - READERS + 1);
}

/** Peers that a starting instance asks: its keepers, and some of each domain. */
export function selectStartPeers(plan: PeerPlan, random: Random): readonly InstanceId[] {
  const near = sampleElements(
    random,
    plan.ownDomain.filter((id) => id !== plan.self.id),
    START_NEAR,
  );
  const far = [...plan.domains]
    .filter(([domain]) => domain !== plan.self.domain)
    .flatMap(([, ids]) => sampleElements(random, ids, 1));
  const chosen = new Set([...plan.keepers, ...near, ...far]);
  const rest = plan.others.map(({ id }) => id).filter((id) => !chosen.has(id));
  return [...chosen, ...sampleElements(random, rest, Math.max(0, START_TOTAL - chosen.size))];
}

/** A random peer, mostly of the own domain: knowledge must also cross between domains, but less often. */
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
