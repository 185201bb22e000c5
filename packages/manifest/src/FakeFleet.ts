/**
 * Runs the manifest distribution of many instances in one process over virtual time, for tests and
 * benchmarks: the real state machine and runner with a fake platform and a simulated network that
 * delays and drops messages and can be partitioned.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { FakeStore } from '@skylarksail/store/FakeStore';
import type { StorePort } from '@skylarksail/store/StorePort';
import type { SpreadMessage } from './ManifestMessages.js';
import type { SpreadMember } from './ManifestPeers.js';
import type { ManifestRunner } from './ManifestRunner.js';
import { startManifestRunner } from './ManifestRunner.js';
import type { ManifestView } from './ManifestView.js';

export interface FakeFleetOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly platform: FakeStore;
  readonly members: readonly SpreadMember[];
  /** One-way network delay between instances of the same domain. */
  readonly nearDelay?: Millis;
  /** One-way network delay between instances of different domains. */
  readonly farDelay?: Millis;
  /** Delay until the fleet's member lists reflect an instance that was killed or started. */
  readonly memberLag?: Millis;
  /** Wraps an instance's connection to the platform, as a client with a call budget does. */
  readonly wrapPlatform?: (id: InstanceId, port: StorePort) => StorePort;
  readonly onInForce?: (id: InstanceId, revision: number) => void;
  readonly onMessage?: (from: InstanceId, to: InstanceId, message: SpreadMessage) => void;
}

export interface FakeFleet {
  start(id: InstanceId): void;
  startAll(): void;
  /** Stops an instance at once; its state is lost. */
  kill(id: InstanceId): void;
  getRunner(id: InstanceId): ManifestRunner | undefined;
  listRunning(): readonly InstanceId[];
  /** Revision in force at an instance, 0 for none; null if the instance is not running. */
  getRevision(id: InstanceId): number | null;
  getView(id: InstanceId): ManifestView | null;
  /** Partitions a domain from the other domains and the platform, or reconnects it. */
  setPartitioned(domain: DomainId, isCut: boolean): void;
  /** Sets the fraction of messages between instances that are lost. */
  setLoss(share: number): void;
}

const DEFAULT_NEAR_DELAY: Millis = 0.3;
const DEFAULT_FAR_DELAY: Millis = 0.6;
const DEFAULT_MEMBER_LAG: Millis = 2000;
const DELAY_JITTER = 0.5;

/** Creates a fleet with no instance running. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
  const { timers, random, platform, members } = options;
  const nearDelay = options.nearDelay ?? DEFAULT_NEAR_DELAY;
  const farDelay = options.farDelay ?? DEFAULT_FAR_DELAY;
  const memberLag = options.memberLag ?? DEFAULT_MEMBER_LAG;
  const membersById = new Map(members.map((member) => [member.id, member]));
  const runners = new Map<InstanceId, ManifestRunner>();
  const partitionedDomains = new Set<DomainId>();
  let knownMembers: readonly SpreadMember[] = [];
  let lossRate = 0;

  function getDomain(id: InstanceId): DomainId {
    return membersById.get(id)?.domain ?? '';
  }

  function isReachable(from: InstanceId, to: InstanceId): boolean {
    const a = getDomain(from);
    const b = getDomain(to);
    return a === b || !(partitionedDomains.has(a) || partitionedDomains.has(b));
  }

  function send(from: InstanceId, to: InstanceId, message: SpreadMessage): void {
    options.onMessage?.(from, to, message);
    if (random.nextFloat() < lossRate) {
      return;
    }
    const delay = getDomain(from) === getDomain(to) ? nearDelay : farDelay;
    timers.registerTimeout(jitter(random, delay, DELAY_JITTER), () => {
      if (isReachable(from, to)) {
        runners.get(to)?.receiveMessage(from, message);
      }
    });
  }

  function scheduleMembershipUpdate(): void {
    timers.registerTimeout(memberLag, () => {
      const next = members.filter(({ id }) => runners.has(id));
      if (
        next.length !== knownMembers.length ||
        next.some((member, i) => member !== knownMembers[i])
      ) {
        knownMembers = next;
        runners.forEach((runner) => runner.changeMembers(knownMembers));
      }
    });
  }

  function start(id: InstanceId): void {
    const self = membersById.get(id);
    if (!self || runners.has(id)) {
      return;
    }
    const port = platform.connect(id);
    runners.set(
      id,
      startManifestRunner({
        self,
        members: knownMembers,
        platform: options.wrapPlatform?.(id, port) ?? port,
        timers,
        random,
        sendToPeer: (to, message) => send(id, to, message),
        onInForce: (view) => options.onInForce?.(id, view.revision),
      }),
    );
    scheduleMembershipUpdate();
  }

  return {
    start,
    startAll() {
      knownMembers = members;
      members.forEach(({ id }) => start(id));
    },
    kill(id) {
      runners.get(id)?.stop();
      runners.delete(id);
      scheduleMembershipUpdate();
    },
    getRunner: (id) => runners.get(id),
    listRunning: () => [...runners.keys()],
    getRevision(id) {
      const runner = runners.get(id);
      return runner ? (runner.getView()?.revision ?? 0) : null;
    },
    getView: (id) => runners.get(id)?.getView() ?? null,
    setPartitioned(domain, isCut) {
      if (isCut) {
        partitionedDomains.add(domain);
      } else {
        partitionedDomains.delete(domain);
      }
      members
        .filter((member) => member.domain === domain)
        .forEach(({ id }) => platform.setFaults({ outage: isCut }, id));
    },
    setLoss(share) {
      lossRate = share;
    },
  };
}

/** Creates the members of `domains` domains with `perDomain` instances each: `d0-0`, `d0-1`… */
export function createFleetMembers(domains: number, perDomain: number): readonly SpreadMember[] {
  return Array.from({ length: domains }, (_d, d) =>
    Array.from({ length: perDomain }, (_i, i) => ({ id: `d${d}-${i}`, domain: `d${d}` })),
  ).flat();
}
