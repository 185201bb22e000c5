/** Membership of the fleet, and calls between instances, both over the peer link. */
import { randomInt } from 'node:crypto';
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import { InstanceRole } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, HostPort, InstanceId, Unregister } from '@skylarksail/core/CoreTypes';
import { createPeerCalls } from '@skylarksail/membership/MembershipCalls';
import type { PeerCalls } from '@skylarksail/membership/MembershipCalls';
import { createDuties } from '@skylarksail/membership/MembershipDuties';
import type { Duties } from '@skylarksail/membership/MembershipDuties';
import { EnvelopeKind, decodeEnvelope } from '@skylarksail/membership/MembershipEnvelope';
import { createMembership } from '@skylarksail/membership/MembershipService';
import type { Membership } from '@skylarksail/membership/MembershipService';
import { getDomainView, getKnownDomains } from '@skylarksail/membership/MembershipViews';
import type { InstanceRecord, StorePort } from '@skylarksail/store/StorePort';
import type { PeerLink } from './DaemonPeers.js';
import { startPeerLink } from './DaemonPeers.js';
import type { Settings } from './DaemonSettings.js';

const LIST_TIMEOUT_MS = 2000;
const LIST_JITTER = 0.2;
const BOOT_ID_RANGE = 2 ** 31;
const MILLIS_PER_SECOND = 1000;

/**
 * Designated list readers read often, so that a new backend server is used soon. The period of the others
 * grows with the fleet, so that the total stays at about ten reads per second with 680 instances.
 */
const LIST_PERIODS = { listPeriod: 2000, slowListPeriod: 3000 };

export interface DaemonFleet {
  readonly membership: Membership;
  readonly calls: PeerCalls;
  readonly duties: Duties;
  readonly link: PeerLink;
  /** Live instances of the own domain, this one included. */
  listOwnDomain(): readonly InstanceId[];
  /** Live instances of all reachable domains, this one included. */
  listLive(): readonly InstanceId[];
  /** Instances of a domain that may have answers running: the live ones and those that are leaving, this one included. */
  listPresent(domain: DomainId): readonly InstanceId[];
  /** Domains that are reachable, the own one included. */
  listReachableDomains(): readonly DomainId[];
  /** Registers a listener that receives the platform's instance list after each read. */
  registerListListener(listener: (records: readonly InstanceRecord[]) => void): Unregister;
  /** Reads the platform's instance list now; false if the read failed. */
  refreshList(): Promise<boolean>;
  /** Number of received envelopes that could not be decoded or handled. */
  countMalformedEnvelopes(): number;
  start(): Unregister;
}

export interface DaemonFleetOptions {
  readonly settings: Settings;
  readonly secret: string;
  readonly timers: TimerService;
  readonly random: Random;
  readonly wallNow: () => number;
  readonly platform: StorePort;
}

export async function startDaemonFleet(options: DaemonFleetOptions): Promise<DaemonFleet> {
  const { settings, timers, random, wallNow, platform } = options;
  const self = {
    id: settings.instance,
    domain: settings.domain,
    rack: settings.rack,
    address: { host: settings.callers.host, port: settings.callers.port },
    peerPort: settings.peers.port,
    bootId: randomInt(BOOT_ID_RANGE),
    incarnation: Math.floor(wallNow() / MILLIS_PER_SECOND),
  };
  const listListeners = new Set<(records: readonly InstanceRecord[]) => void>();
  let malformedEnvelopes = 0;

  const link = await startPeerLink({
    self: self.id,
    listen: settings.peers,
    secret: options.secret,
    wallNow,
    onMessage: receive,
    onLost: reportLost,
  });
  const membership = createMembership({
    self,
    timers,
    random,
    cfg: LIST_PERIODS,
    send: (to, bytes) => {
      link.send({ host: to.address.host, port: to.peerPort }, bytes);
    },
  });
  const calls = createPeerCalls({
    self: self.id,
    timers,
    send: (to, bytes) => {
      const target = membership.getInstance(to);
      return target !== null
        ? link.send({ host: target.address.host, port: target.peerPort }, bytes)
        : false;
    },
  });
  const duties = createDuties(self, membership);

  function receive(bytes: Uint8Array): void {
    try {
      const envelope = decodeEnvelope(bytes);
      if (envelope.kind === EnvelopeKind.Gossip) {
        membership.receive(envelope.payload);
      } else {
        calls.receive(envelope);
      }
    } catch {
      malformedEnvelopes += 1;
    }
  }

  /** Reports a broken connection to membership, seconds before probes would detect a crashed instance. */
  function reportLost({ host, port }: HostPort): void {
    const lost = membership
      .getLiveInstances()
      .find(({ address, peerPort }) => address.host === host && peerPort === port);
    if (lost) {
      membership.reportConnectionLost(lost.id);
    }
  }

  async function refreshList(): Promise<boolean> {
    const listed = await platform.listInstances({ timeout: LIST_TIMEOUT_MS });
    if (listed.kind !== 'done') {
      return false;
    }
    membership.applyInstanceList(listed.value.filter(({ role }) => role === InstanceRole.Entry));
    listListeners.forEach((listener) => listener(listed.value));
    return true;
  }

  function start(): Unregister {
    let isStopped = false;
    let cancel: Unregister = () => undefined;
    const schedule = (): void => {
      const delay = jitter(random, membership.getListPeriod(), LIST_JITTER);
      cancel = timers.registerTimeout(delay, () => {
        void refreshList().finally(() => {
          if (!isStopped) {
            schedule();
          }
        });
      });
    };
    schedule();
    return () => {
      isStopped = true;
      cancel();
    };
  }

  return {
    membership,
    calls,
    duties,
    link,
    listOwnDomain: () => membership.getLiveInstances(settings.domain).map(({ id }) => id),
    listLive: () => membership.getLiveInstances().map(({ id }) => id),
    listPresent: (domain) => getDomainView(membership.getState().members, domain).present,
    listReachableDomains: () =>
      getKnownDomains(membership.getState().members).filter(membership.isDomainReachable),
    registerListListener(listener) {
      listListeners.add(listener);
      return () => {
        listListeners.delete(listener);
      };
    },
    refreshList,
    countMalformedEnvelopes: () => malformedEnvelopes,
    start,
  };
}
