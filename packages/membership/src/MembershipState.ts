/**
 * What one instance knows of the others: its types, its settings, its first value and its reads. Only
 * MembershipMachine makes new states.
 */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, HostPort, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { createMember, isPresent } from './MembershipRecords.js';
import type { Member, MemberRecord } from './MembershipRecords.js';
import { countPresent, getDomainView } from './MembershipViews.js';

/** Rates and limits of membership; times in milliseconds. */
export interface MembershipConfig {
  readonly tick: Millis;
  /** Time between the starts of two probes. */
  readonly probePeriod: Millis;
  /** Time after which a probe without an answer has failed. */
  readonly probeTimeout: Millis;
  /** Instances asked, each time, to probe on our behalf. */
  readonly indirectProbers: number;
  readonly suspicionMin: Millis;
  /** Suspicion lasts this long times the decimal logarithm of the domain's size. */
  readonly suspicionScale: Millis;
  /** The same where a connection broke too: a paused process keeps its connections open. */
  readonly lostSuspicion: Millis;
  /** Updates in one message. */
  readonly updatesPerMessage: number;
  /** A change is sent this often times the binary logarithm of the fleet's known size. */
  readonly retransmitScale: number;
  /** Time between two messages of a contact to another domain. */
  readonly contactPeriod: Millis;
  /** Instances of a domain that speak with each other domain. */
  readonly contacts: number;
  /** A domain not heard of for this long counts as cut off. */
  readonly domainTimeout: Millis;
  /** Time between two tries to reach an instance that is listed, or was declared dead. */
  readonly reconnectPeriod: Millis;
  /** Least time between two comparisons of whole views that we start. */
  readonly syncPeriod: Millis;
  /** How long a dead instance is remembered, so that old news cannot bring it back. */
  readonly tombstoneTime: Millis;
  readonly recordsPerSync: number;
  /** Instances of a domain that read the platform's list often. */
  readonly listReaders: number;
  readonly listPeriod: Millis;
  /** Least period of the others; with the fleet's size it grows, so that their calls together do not. */
  readonly slowListPeriod: Millis;
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

/** An instance as the platform's list tells of it. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly domain: DomainId;
  readonly rack: string;
  readonly address: HostPort;
  readonly peerPort: number;
}

/** A probe without an answer so far. */
export interface Probe {
  readonly seq: number;
  readonly target: InstanceId;
  readonly startedAt: Millis;
  /** Rounds of messages sent for it. */
  readonly rounds: number;
  /** Probes into other domains are never grounds for suspicion. */
  readonly suspects: boolean;
}

/** A probe that we make for another instance. */
export interface IndirectProbe {
  readonly seq: number;
  readonly origin: InstanceId;
  readonly originSeq: number;
  readonly startedAt: Millis;
}

/** A member that did not answer, and has until `deadline` to object. */
export interface Suspicion {
  readonly since: Millis;
  readonly deadline: Millis;
  /** Direct questions put to the suspect so far. */
  readonly pingsSent: number;
}

/** A change that is still passed on with other messages. */
export interface QueuedUpdate {
  readonly id: InstanceId;
  readonly sends: number;
}

export interface MembershipState {
  readonly cfg: MembershipConfig;
  readonly self: MemberRecord;
  /** All that are or were known, ourselves and the dead included. */
  readonly members: ReadonlyMap<InstanceId, Member>;
  readonly listed: ReadonlyMap<InstanceId, ListedInstance>;
  readonly listedDomains: ReadonlySet<DomainId>;
  /** Those of our own domain. */
  readonly listedInDomain: readonly ListedInstance[];
  readonly suspicions: ReadonlyMap<InstanceId, Suspicion>;
  /** Members to which a connection broke or was refused, until they answer again. */
  readonly lost: ReadonlySet<InstanceId>;
  readonly updates: readonly QueuedUpdate[];
  readonly probes: readonly Probe[];
  readonly indirectProbes: readonly IndirectProbe[];
  /** Members still to be probed in this round, in random order. */
  readonly probeOrder: readonly InstanceId[];
  /** When each other domain was last heard of, directly or by hearsay. */
  readonly domainSeenAt: ReadonlyMap<DomainId, Millis>;
  readonly reachable: ReadonlySet<DomainId>;
  readonly nextSeq: number;
  readonly startedAt: Millis;
  readonly lastTick: Millis;
  readonly nextProbeAt: Millis;
  readonly nextContactAt: Millis;
  readonly nextReconnectAt: Millis;
  readonly nextSyncAt: Millis;
  readonly viewChangedAt: Millis;
}

/** What an instance says of itself when it starts. */
export interface MembershipSelf extends ListedInstance {
  /** Differs between two starts of the process at one address; a whole number below 2^32. */
  readonly bootId: number;
  /** Seconds of the wall clock at the start will do; if it is too low, peers say so. */
  readonly incarnation: number;
}

/** The state of an instance that has just started and knows nobody. */
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

/** A live or leaving instance, as other parts see it. */
export interface LiveInstance extends ListedInstance {
  readonly bootId: number;
  readonly state: LifeStateName;
  readonly suspect: boolean;
}

/**
 * The instances that can be given work, ourselves included, in order of id: neither dead nor leaving,
 * and in a domain that is heard of. A suspect counts until it is declared dead.
 */
export function getLiveInstances(
  state: MembershipState,
  domain?: DomainId,
): readonly LiveInstance[] {
  return getPresentInstances(state, domain).filter(
    (instance) => instance.state === LifeState.Live && state.reachable.has(instance.domain),
  );
}

/** The same, with those that are leaving and those of domains that are cut off. */
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

/** One instance, if it is neither dead nor unknown. */
export function getInstance(state: MembershipState, id: InstanceId): LiveInstance | null {
  const member = state.members.get(id);
  return member && isPresent(member.record) ? toLiveInstance(member.record) : null;
}

/** Whether a domain was heard of of late; always true of our own. */
export function isDomainReachable(state: MembershipState, domain: DomainId): boolean {
  return state.reachable.has(domain);
}

/** How long a suspect has to object, in a domain of the present size. */
export function getSuspicionTime(state: MembershipState, id: InstanceId): Millis {
  if (state.lost.has(id)) {
    return state.cfg.lostSuspicion;
  }
  const size = Math.max(1, getDomainView(state.members, state.self.domain).present.length);
  return Math.max(state.cfg.suspicionMin, state.cfg.suspicionScale * Math.log10(size));
}

/** How often a change is passed on by each instance. */
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
