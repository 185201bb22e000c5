/**
 * Simulates many instances in one process on virtual time, with a network that loses and delays messages
 * and can be partitioned. For tests and benchmarks: the membership code and its encoded messages are the
 * real ones.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom, jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService, VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { encodeGossip } from './MembershipCodec.js';
import { decodeEnvelope, EnvelopeKind, encodeEnvelope } from './MembershipEnvelope.js';
import { GossipKind } from './MembershipMessages.js';
import type { Membership, MembershipChange } from './MembershipService.js';
import { createMembership } from './MembershipService.js';
import type { ListedInstance, MembershipConfig } from './MembershipState.js';

export interface VirtualFleetOptions {
  readonly seed: number;
  /** Number of instances in each domain. */
  readonly domainSizes: readonly number[];
  readonly cfg?: Partial<MembershipConfig>;
  /** Share of messages that are lost. */
  readonly loss?: number;
  readonly latency?: Millis;
  /** Staleness of the platform's list. */
  readonly listLag?: Millis;
  readonly onChange?: (observer: InstanceId, change: MembershipChange, now: Millis) => void;
  /** Called for each new instance, to register topics. */
  readonly onStart?: (instance: VirtualInstance) => void;
}

export interface VirtualInstance {
  readonly listed: ListedInstance;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly random: Random;
}

export interface VirtualFleet {
  readonly timers: VirtualTimers;
  advance(time: Millis): void;
  getInstances(): readonly VirtualInstance[];
  get(id: InstanceId): VirtualInstance;
  /** Makes all instances known to each other at once, so that a large fleet skips discovery. */
  convergeViews(): void;
  /** Starts a new instance, or restarts one at the same address. */
  start(listed: ListedInstance, incarnation?: number): void;
  /** Ends an instance unannounced. With `breaksConnections`, its domain detects broken connections. */
  crash(id: InstanceId, breaksConnections?: boolean): void;
  /** Announces that an instance is leaving, and ends it after `grace`. */
  leave(id: InstanceId, grace: Millis): void;
  /** Pauses an instance's event loop for `time`; its messages and timers are delayed until the end. */
  pause(id: InstanceId, time: Millis): void;
  setLoss(share: number): void;
  /** Sets the filter that decides which messages are delivered; null delivers all. */
  setLinkFilter(filter: ((from: ListedInstance, to: ListedInstance) => boolean) | null): void;
  /** Sets whether the platform's list can be read. */
  setListAvailable(isUp: boolean): void;
  /** Delivers bytes to an instance as if they had arrived over the network. */
  deliver(to: InstanceId, bytes: Uint8Array): void;
}

interface RunningInstance extends VirtualInstance {
  pausedUntil: Millis;
  isUp: boolean;
}

interface ListChange {
  readonly at: Millis;
  readonly listed: ListedInstance;
  readonly isUp: boolean;
}

const HOST = '10.0.0.1';
const FIRST_PORT = 20_000;

/** Creates the list entry of an instance of a virtual domain. */
export function createListedInstance(domain: DomainId, number: number): ListedInstance {
  const domainNumber = Number(domain.slice(1));
  return {
    id: `${domain}-i${number}`,
    domain,
    rack: `r${number % 8}`,
    address: { host: HOST.replace('0.0', `${domainNumber}.${number % 250}`), port: 8080 },
    peerPort: FIRST_PORT + number,
  };
}

/** Creates the fleet; its instances start at random times within the first second. */
export function createVirtualFleet(options: VirtualFleetOptions): VirtualFleet {
  const timers = createVirtualTimers();
  const random = createRandom(options.seed);
  const latency = options.latency ?? 0.5;
  const running = new Map<InstanceId, RunningInstance>();
  const listChanges: ListChange[] = [];
  let loss = options.loss ?? 0;
  let linkFilter: ((from: ListedInstance, to: ListedInstance) => boolean) | null = null;
  let isListAvailable = true;
  let lastBootId = 1;

  function start(listed: ListedInstance, incarnation = lastBootId): void {
    crash(listed.id);
    lastBootId += 1;
    listChanges.push({ at: timers.now(), listed, isUp: true });
    const ownRandom = createRandom(options.seed * 1_000_003 + lastBootId);
    const state = { pausedUntil: 0, isUp: true };
    const ownTimers = createPausableTimers(timers, state);
    const membership = createMembership({
      self: { ...listed, bootId: lastBootId, incarnation },
      timers: ownTimers,
      random: ownRandom,
      send: (to, bytes) => transmit(listed, to, bytes),
      cfg: options.cfg ?? {},
    });
    const instance: RunningInstance = Object.assign(state, {
      listed,
      membership,
      timers: ownTimers,
      random: ownRandom,
    });
    running.set(listed.id, instance);
    membership.registerListener((change) => options.onChange?.(listed.id, change, timers.now()));
    options.onStart?.(instance);
    pollList(instance);
  }

  function pollList(instance: RunningInstance): void {
    readList(instance);
    const period = jitter(instance.random, instance.membership.getListPeriod(), 0.2);
    instance.timers.registerTimeout(period, () => pollList(instance));
  }

  function readList(instance: RunningInstance): void {
    if (isListAvailable) {
      const visible = new Map<InstanceId, ListedInstance>();
      const until = timers.now() - (options.listLag ?? 0);
      for (const { at, listed, isUp } of listChanges) {
        if (at <= until && isUp) {
          visible.set(listed.id, listed);
        } else if (at <= until) {
          visible.delete(listed.id);
        }
      }
      instance.membership.applyInstanceList([...visible.values()]);
    }
  }

  function transmit(from: ListedInstance, to: ListedInstance, bytes: Uint8Array): void {
    if ((linkFilter && !linkFilter(from, to)) || random.nextFloat() < loss) {
      return;
    }
    timers.registerTimeout(latency, () => deliver(to.id, bytes));
  }

  function deliver(to: InstanceId, bytes: Uint8Array): void {
    const instance = running.get(to);
    if (!instance?.isUp) {
      return;
    }
    const remainingPause = instance.pausedUntil - timers.now();
    if (remainingPause > 0) {
      timers.registerTimeout(remainingPause, () => deliver(to, bytes));
      return;
    }
    instance.membership.receive(decodeEnvelope(bytes).payload);
  }

  function distributeRecords(): void {
    const updates = [...running.values()].map(({ membership }) => membership.getState().self);
    const common = { updates, ages: [], topics: [], wanted: [] };
    for (const sender of updates.slice(0, 2)) {
      const payload = encodeGossip({ kind: GossipKind.Records, sender, ...common });
      const bytes = encodeEnvelope({ from: sender.id, kind: EnvelopeKind.Gossip, payload });
      [...running.keys()].forEach((id) => deliver(id, bytes));
    }
  }

  function crash(id: InstanceId, breaksConnections = false): void {
    const instance = running.get(id);
    if (instance) {
      instance.isUp = false;
      running.delete(id);
      listChanges.push({ at: timers.now(), listed: instance.listed, isUp: false });
      if (breaksConnections) {
        timers.registerTimeout(latency, () => reportConnectionsLost(instance.listed));
      }
    }
  }

  function reportConnectionsLost({ id, domain }: ListedInstance): void {
    for (const { listed, membership } of running.values()) {
      if (listed.domain === domain) {
        membership.reportConnectionLost(id);
      }
    }
  }

  function get(id: InstanceId): RunningInstance {
    const instance = running.get(id);
    invariant(instance, `instance ${id} runs`);
    return instance;
  }

  options.domainSizes.forEach((size, domain) => {
    for (let number = 0; number < size; number++) {
      const listed = createListedInstance(`d${domain}`, number);
      listChanges.push({ at: -1e9, listed, isUp: true });
      timers.registerTimeout(random.nextFloat() * 1000, () => start(listed));
    }
  });

  return {
    timers,
    advance: (time) => timers.advanceTo(timers.now() + time),
    getInstances: () => [...running.values()],
    get,
    convergeViews: distributeRecords,
    start,
    crash,
    leave(id, grace) {
      get(id).membership.startLeaving();
      timers.registerTimeout(grace, () => {
        running.get(id)?.membership.stop();
        crash(id);
      });
    },
    pause(id, time) {
      get(id).pausedUntil = timers.now() + time;
    },
    setLoss(share) {
      loss = share;
    },
    setLinkFilter(next) {
      linkFilter = next;
    },
    setListAvailable(isUp) {
      isListAvailable = isUp;
    },
    deliver,
  };
}

/** Creates the timers of one instance: they stop with it and fire late while it is paused. */
function createPausableTimers(
  timers: VirtualTimers,
  state: { readonly pausedUntil: Millis; readonly isUp: boolean },
): TimerService {
  function run(listener: () => void): void {
    const remainingPause = state.pausedUntil - timers.now();
    if (remainingPause > 0) {
      timers.registerTimeout(remainingPause, () => run(listener));
    } else if (state.isUp) {
      listener();
    }
  }
  return {
    now: () => timers.now(),
    registerTimeout: (delay, listener) => timers.registerTimeout(delay, () => run(listener)),
    registerInterval(period, listener) {
      let isWaiting = false;
      const stop = timers.registerInterval(period, () => {
        if (!state.isUp) {
          stop();
        } else if (!isWaiting) {
          isWaiting = true;
          run(() => {
            isWaiting = false;
            listener();
          });
        }
      });
      return stop;
    },
  };
}
