/**
 * Membership state of one instance: its types, configuration, initial value and queries. Only the
 * steps of MembershipMachine create later states.
 */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, HostPort, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { createMember, isPresent } from './MembershipRecords.js';
import type { Member, MemberRecord } from './MembershipRecords.js';
import { countPresent, getDomainView } from './MembershipViews.js';

/** Timing, fan-out and limits of the membership protocol. Times are in milliseconds. */
export interface MembershipConfig {
  /** Period of the timer that drives the state machine. */
  readonly tick: Millis;
  /** Time between the starts of two probes. */
  readonly probePeriod: Millis;
  /** A probe fails if no ack arrives within this time. */
  readonly probeTimeout: Millis;
  /** Members that are sent a ping request in each indirect round of a probe. */
  readonly indirectProbers: number;
  /** Lower bound of the suspicion timeout. */
  readonly suspicionMin: Millis;
  /**
   * The suspicion timeout is this time multiplied by the decimal logarithm of the domain's size.
   */
  readonly suspicionScale: Millis;
  /**
   * Suspicion timeout of a member whose connection also broke. It can be shorter, since a process
   * that is only paused keeps its connections open.
   */
  readonly lostSuspicion: Millis;
  /** Queued updates piggybacked on one message. */
  readonly updatesPerMessage: number;
  /** Each change is sent this many times the binary logarithm of the number of present members. */
  readonly retransmitScale: number;
  /** Time between two pings from a contact to another domain. */
  readonly contactPeriod: Millis;
  /** Number of contacts of a domain for each other domain; a contact is a member that pings that domain. */
  readonly contacts: number;
  /** A domain counts as unreachable if it was not seen for this long. */
  readonly domainTimeout: Millis;
  /**
   * Time between two attempts to reach a listed but unknown instance, or a member that was declared
   * dead.
   */
  readonly reconnectPeriod: Millis;
  /** Minimum time between two anti-entropy syncs started by this instance. */
  readonly syncPeriod: Millis;
  /**
   * How long a tombstone of a dead member is kept, so that delayed gossip cannot bring the member
   * back.
   */
  readonly tombstoneTime: Millis;
  /** Maximum number of records sent in answer to one sync. */
  readonly recordsPerSync: number;
  /** Instances of a domain that read the platform's instance list every `listPeriod`. */
  readonly listReaders: number;
  readonly listPeriod: Millis;
  /** Minimum list period of all other instances. */
  readonly slowListPeriod: Millis;
  /**
   * List period of these other instances per present member, so that the total rate of their calls
   * does not grow with the fleet.
   */
  readonly slowListPerInstance: Millis;
}

export const DEFAULT_MEMBERSHIP_CONFIG: MembershipConfig = {
  tick: 125,
  probePeriod: 500,
  probeTimeout: 1000,
  indirectProbers: 3,
  suspicionMin: 2500,
  suspicionScale: 1500,
  lostSuspicion: 1000,
  updatesPerMessage: 6,
  retransmitScale: 2,
  contactPeriod: 1000,
  contacts: 2,
  domainTimeout: 12_000,
  reconnectPeriod: 2000,
  syncPeriod: 2000,
  tombstoneTime: 24 * 3_600_000,
  recordsPerSync: 96,
  listReaders: 2,
  listPeriod: 10_000,
  slowListPeriod: 30_000,
  slowListPerInstance: 450,
};

/** An instance as it appears in the platform's instance list. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly domain: DomainId;
  readonly rack: string;
  readonly address: HostPort;
  readonly peerPort: number;
}

/** A probe that waits for an ack. */
export interface Probe {
  readonly seq: number;
  readonly target: InstanceId;
  readonly startedAt: Millis;
  /** Rounds of pings sent so far. */
  readonly rounds: number;
  /**
   * Whether a timeout makes the target suspect. False for probes of other domains and of unknown or
   * dead instances; these send only one ping.
   */
  readonly suspects: boolean;
}

/** An indirect probe that this instance makes for `origin`. */
export interface IndirectProbe {
  readonly seq: number;
  readonly origin: InstanceId;
  readonly originSeq: number;
  readonly startedAt: Millis;
}

/**
 * Suspicion of a member that sent no ack; the member is declared dead at `deadline` unless it
 * refutes.
 */
export interface Suspicion {
  readonly since: Millis;
  readonly deadline: Millis;
  /** Pings sent directly to the suspect so far. */
  readonly pingsSent: number;
}

/** A changed record that is still piggybacked on outgoing messages. */
export interface QueuedUpdate {
  readonly id: InstanceId;
  /** Messages that carried it so far; receiving the same record again also adds to the count. */
  readonly sends: number;
}

export interface MembershipState {
  readonly cfg: MembershipConfig;
  readonly self: MemberRecord;
  /** All known members, including this instance and the tombstones of dead ones. */
  readonly members: ReadonlyMap<InstanceId, Member>;
  /** The platform's instance list as last read, without this instance. */
  readonly listed: ReadonlyMap<InstanceId, ListedInstance>;
  readonly listedDomains: ReadonlySet<DomainId>;
  /** Listed instances of this instance's domain. */
  readonly listedInDomain: readonly ListedInstance[];
  readonly suspicions: ReadonlyMap<InstanceId, Suspicion>;
  /** Members to which a connection broke or was refused, until they ack a probe. */
  readonly lost: ReadonlySet<InstanceId>;
  /** Changes to disseminate. */
  readonly updates: readonly QueuedUpdate[];
  readonly probes: readonly Probe[];
  /** Probes made for other instances. */
  readonly indirectProbes: readonly IndirectProbe[];
  /** Members still to be probed in this round, in shuffled order. */
  readonly probeOrder: readonly InstanceId[];
  /** When each other domain was last seen, either directly or by a peer that reported it. */
  readonly domainSeenAt: ReadonlyMap<DomainId, Millis>;
  readonly reachable: ReadonlySet<DomainId>;
  /** Sequence number of the next ping. */
  readonly nextSeq: number;
  readonly startedAt: Millis;
  readonly lastTick: Millis;
  readonly nextProbeAt: Millis;
  readonly nextContactAt: Millis;
  readonly nextReconnectAt: Millis;
  readonly nextSyncAt: Millis;
  readonly viewChangedAt: Millis;
}

/** Identity of an instance at its start. */
export interface MembershipSelf extends ListedInstance {
  /** Differs between two starts of the process at one address; an integer below 2^32. */
  readonly bootId: number;
  /**
   * Initial incarnation, e.g. the wall clock in seconds. If peers know a higher one, they report it
   * and this instance raises its own.
   */
  readonly incarnation: number;
}

/** Creates the state of an instance that has just started and knows no other member. */
export function createMembershipState(
  me: MembershipSelf,
  now: Millis,
  cfg: MembershipConfig = DEFAULT_MEMBERSHIP_CONFIG,
): MembershipState {
  const self: MemberRecord = {
    id: me.id,
    domain: me.domain,
    rack: me.rack,
    address: me.address,
    peerPort: me.peerPort,
    bootId: me.bootId,
    incarnation: me.incarnation,
    phase: LifeState.Live,
    health: 0,
  };
  return {
    cfg,
    self,
    members: new Map([[self.id, createMember(self, now)]]),
    listed: new Map(),
    listedDomains: new Set(),
    listedInDomain: [],
    suspicions: new Map(),
    lost: new Set(),
    updates: [{ id: self.id, sends: 0 }],
    probes: [],
    indirectProbes: [],
    probeOrder: [],
    domainSeenAt: new Map(),
    reachable: new Set([self.domain]),
    nextSeq: 1,
    startedAt: now,
    lastTick: now,
    nextProbeAt: now,
    nextContactAt: now,
    nextReconnectAt: now,
    nextSyncAt: now,
    viewChangedAt: now,
  };
}

/** A present (live or leaving) instance, as other modules see it. */
export interface LiveInstance extends ListedInstance {
  readonly bootId: number;
  readonly state: LifeStateName;
  readonly suspect: boolean;
}

/**
 * Returns the instances that can be given work, sorted by id and including this one: those that are
 * neither dead nor leaving and whose domain is reachable. A suspect is included until it is
 * declared dead.
 */
export function getLiveInstances(
  state: MembershipState,
  domain?: DomainId,
): readonly LiveInstance[] {
  return getPresentInstances(state, domain).filter(
    (instance) => instance.state === LifeState.Live && state.reachable.has(instance.domain),
  );
}

/** Like `getLiveInstances`, but includes leaving instances and those of unreachable domains. */
export function getPresentInstances(
  state: MembershipState,
  domain?: DomainId,
): readonly LiveInstance[] {
  const present: LiveInstance[] = [];
  for (const { record } of state.members.values()) {
    if (isPresent(record) && (domain === undefined || record.domain === domain)) {
      present.push(toLiveInstance(record));
    }
  }
  return present.sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Returns an instance, or null if it is unknown, dead or left. */
export function getInstance(state: MembershipState, id: InstanceId): LiveInstance | null {
  const member = state.members.get(id);
  return member && isPresent(member.record) ? toLiveInstance(member.record) : null;
}

/** Whether a domain was seen within `domainTimeout`; always true for this instance's domain. */
export function isDomainReachable(state: MembershipState, domain: DomainId): boolean {
  return state.reachable.has(domain);
}

/**
 * Returns the time that a suspect has to refute. It grows with the size of the domain, and is fixed
 * for a member whose connection broke.
 */
export function getSuspicionTime(state: MembershipState, id: InstanceId): Millis {
  if (state.lost.has(id)) {
    return state.cfg.lostSuspicion;
  }
  const size = Math.max(1, getDomainView(state.members, state.self.domain).present.length);
  return Math.max(state.cfg.suspicionMin, state.cfg.suspicionScale * Math.log10(size));
}

/**
 * Returns how often each instance sends a change; it grows with the logarithm of the fleet's size.
 */
export function getRetransmitLimit(state: MembershipState): number {
  const size = countPresent(state.members);
  return Math.ceil(state.cfg.retransmitScale * Math.log2(size + 1)) + 1;
}

function toLiveInstance(record: MemberRecord): LiveInstance {
  const { id, domain, rack, address, peerPort, bootId, phase } = record;
  return {
    id,
    domain,
    rack,
    address,
    peerPort,
    bootId,
    state: phase,
    suspect: record.health === 1,
  };
}
