/**
 * Many instances of the manifest's spread in one process over virtual time, for tests and benches: the
 * real machine and runner, a fake platform, and a network of delays, losses and cuts between them.
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
  /** One way between instances of one domain, and of two. */
  readonly nearDelay?: Millis;
  readonly farDelay?: Millis;
  /** Until the rest of the fleet knows of an instance that died or started. */
  readonly memberLag?: Millis;
  /** Wraps the platform's port of an instance, as a budgeted client does. */
  readonly wrapPlatform?: (id: InstanceId, port: StorePort) => StorePort;
  readonly onInForce?: (id: InstanceId, revision: number) => void;
  readonly onMessage?: (from: InstanceId, to: InstanceId, message: SpreadMessage) => void;
}

export interface FakeFleet {
  start(id: InstanceId): void;
  startAll(): void;
  /** Ends an instance at once; it keeps nothing. */
  kill(id: InstanceId): void;
  getRunner(id: InstanceId): ManifestRunner | undefined;
  listRunning(): readonly InstanceId[];
  /** Revision in force at an instance, 0 for none; null if it does not run. */
  getRevision(id: InstanceId): number | null;
  getView(id: InstanceId): ManifestView | null;
  /** Cuts a domain off from the other domains and the platform, or joins it again. */
  setPartitioned(domain: DomainId, isCut: boolean): void;
  /** Share of messages between instances that get lost. */
  setLoss(share: number): void;
}

const DEFAULT_NEAR_DELAY: Millis = 0.3;
const DEFAULT_FAR_DELAY: Millis = 0.6;
const DEFAULT_MEMBER_LAG: Millis = 2000;
const DELAY_JITTER = 0.5;

/** Creates a fleet of which nothing runs yet. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
  const { timers, random, platform, members } = options;
  const nearDelay = options.nearDelay ?? DEFAULT_NEAR_DELAY;
  const farDelay = options.farDelay ?? DEFAULT_FAR_DELAY;
  const memberLag = options.memberLag ?? DEFAULT_MEMBER_LAG;
  const membersById = new Map(members.map((member) => [member.id, member]));
  const runners = new Map<InstanceId, ManifestRunner>();
  const cutDomains = new Set<DomainId>();
  let listed: readonly SpreadMember[] = [];
  let loss = 0;

  function getDomain(id: InstanceId): DomainId {
    return membersById.get(id)?.domain ?? '';
  }

  function isReachable(from: InstanceId, to: InstanceId): boolean {
    const a = getDomain(from);
    const b = getDomain(to);
    return a === b || !(cutDomains.has(a) || cutDomains.has(b));
  }

  function send(from: InstanceId, to: InstanceId, message: SpreadMessage): void {
    options.onMessage?.(from, to, message);
    if (random.nextFloat() < loss) {
      return;
    }
    const delay = getDomain(from) === getDomain(to) ? nearDelay : farDelay;
    timers.registerTimeout(jitter(random, delay, DELAY_JITTER), () => {
      if (isReachable(from, to)) {
        runners.get(to)?.receiveMessage(from, message);
      }
    });
  }

  function relistLater(): void {
    timers.registerTimeout(memberLag, () => {
      const next = members.filter(({ id }) => runners.has(id));
      if (next.length !== listed.length || next.some((member, i) => member !== listed[i])) {
        listed = next;
        runners.forEach((runner) => runner.changeMembers(listed));
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
        members: listed,
        platform: options.wrapPlatform?.(id, port) ?? port,
        timers,
        random,
        sendToPeer: (to, message) => send(id, to, message),
        onInForce: (view) => options.onInForce?.(id, view.revision),
      }),
    );
    relistLater();
  }

  return {
    start,
    startAll() {
      listed = members;
      members.forEach(({ id }) => start(id));
    },
    kill(id) {
      runners.get(id)?.stop();
      runners.delete(id);
      relistLater();
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
        cutDomains.add(domain);
      } else {
        cutDomains.delete(domain);
      }
      members
        .filter((member) => member.domain === domain)
        .forEach(({ id }) => platform.setFaults({ outage: isCut }, id));
    },
    setLoss(share) {
      loss = share;
    },
  };
}

/** Members of `domains` domains with `perDomain` instances each: `d0-0`, `d0-1`… */
export function createFleetMembers(domains: number, perDomain: number): readonly SpreadMember[] {
  return Array.from({ length: domains }, (_d, d) =>
    Array.from({ length: perDomain }, (_i, i) => ({ id: `d${d}-${i}`, domain: `d${d}` })),
  ).flat();
}
