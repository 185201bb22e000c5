/**
 * Many instances in one process over virtual time, with a network between them that loses, delays and
 * cuts. For tests and benches: the membership inside is the real one, and so are its bytes.
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
  /** Instances of each domain. */
  readonly domainSizes: readonly number[];
  readonly cfg?: Partial<MembershipConfig>;
  /** Share of messages that are lost. */
  readonly loss?: number;
  readonly latency?: Millis;
  /** How far the platform's list lags. */
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
  /** Lets each instance know of all others at once, so that a large fleet need not find itself first. */
  convergeViews(): void;
  /** Starts an instance that was not there, or starts one anew at the same address. */
  start(listed: ListedInstance, incarnation?: number): void;
  /** Ends an instance without a word. With `closes`, the others of its domain see connections break. */
  crash(id: InstanceId, closes?: boolean): void;
  /** Announces, then ends an instance after `grace`. */
  leave(id: InstanceId, grace: Millis): void;
  /** Stops an instance's loop for a while; messages wait for it. */
  pause(id: InstanceId, time: Millis): void;
  setLoss(share: number): void;
  /** Says which messages pass; null lets all pass. */
  setLinkFilter(cut: ((from: ListedInstance, to: ListedInstance) => boolean) | null): void;
  /** Whether the platform's list can be read. */
  setListAvailable(isUp: boolean): void;
  /** Delivers bytes to an instance as if they came over the network. */
  deliver(to: InstanceId, bytes: Uint8Array): void;
}

interface Running extends VirtualInstance {
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

/** Names an instance of a virtual domain. */
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

/** Creates the fleet and starts its instances within the first second. */
export function createVirtualFleet(options: VirtualFleetOptions): VirtualFleet {
  const timers = createVirtualTimers();
  const random = createRandom(options.seed);
  const latency = options.latency ?? 0.5;
  const running = new Map<InstanceId, Running>();
  const list: ListChange[] = [];
  let loss = options.loss ?? 0;
  let cut: ((from: ListedInstance, to: ListedInstance) => boolean) | null = null;
  let isListUp = true;
  let boots = 1;

  function start(listed: ListedInstance, incarnation = boots): void {
    crash(listed.id);
    boots += 1;
    list.push({ at: timers.now(), listed, isUp: true });
    const own = createRandom(options.seed * 1_000_003 + boots);
    const state = { pausedUntil: 0, isUp: true };
    const ownTimers = createPausable(timers, state);
    const membership = createMembership({
      self: { ...listed, bootId: boots, incarnation },
      timers: ownTimers,
      random: own,
      send: (to, bytes) => carry(listed, to, bytes),
      cfg: options.cfg ?? {},
    });
    const instance: Running = Object.assign(state, {
      listed,
      membership,
      timers: ownTimers,
      random: own,
    });
    running.set(listed.id, instance);
    membership.registerListener((change) => options.onChange?.(listed.id, change, timers.now()));
    options.onStart?.(instance);
    pollList(instance);
  }

  function pollList(instance: Running): void {
    readList(instance);
    const period = jitter(instance.random, instance.membership.getListPeriod(), 0.2);
    instance.timers.registerTimeout(period, () => pollList(instance));
  }

  function readList(instance: Running): void {
    if (isListUp) {
      const seen = new Map<InstanceId, ListedInstance>();
      const until = timers.now() - (options.listLag ?? 0);
      for (const { at, listed, isUp } of list) {
        if (at <= until && isUp) {
          seen.set(listed.id, listed);
        } else if (at <= until) {
          seen.delete(listed.id);
        }
      }
      instance.membership.applyInstanceList([...seen.values()]);
    }
  }

  function carry(from: ListedInstance, to: ListedInstance, bytes: Uint8Array): void {
    if ((cut && !cut(from, to)) || random.nextFloat() < loss) {
      return;
    }
    timers.registerTimeout(latency, () => deliver(to.id, bytes));
  }

  function deliver(to: InstanceId, bytes: Uint8Array): void {
    const instance = running.get(to);
    if (!instance?.isUp) {
      return;
    }
    const wait = instance.pausedUntil - timers.now();
    if (wait > 0) {
      timers.registerTimeout(wait, () => deliver(to, bytes));
      return;
    }
    instance.membership.receive(decodeEnvelope(bytes).payload);
  }

  function settle(): void {
    const updates = [...running.values()].map(({ membership }) => membership.getState().self);
    const common = { updates, ages: [], topics: [], wanted: [] };
    for (const sender of updates.slice(0, 2)) {
      const payload = encodeGossip({ kind: GossipKind.Records, sender, ...common });
      const bytes = encodeEnvelope({ from: sender.id, kind: EnvelopeKind.Gossip, payload });
      [...running.keys()].forEach((id) => deliver(id, bytes));
    }
  }

  function crash(id: InstanceId, closes = false): void {
    const instance = running.get(id);
    if (instance) {
      instance.isUp = false;
      running.delete(id);
      list.push({ at: timers.now(), listed: instance.listed, isUp: false });
      if (closes) {
        timers.registerTimeout(latency, () => breakConnections(instance.listed));
      }
    }
  }

  function breakConnections({ id, domain }: ListedInstance): void {
    for (const { listed, membership } of running.values()) {
      if (listed.domain === domain) {
        membership.reportConnectionLost(id);
      }
    }
  }

  function get(id: InstanceId): Running {
    const instance = running.get(id);
    invariant(instance, `instance ${id} runs`);
    return instance;
  }

  options.domainSizes.forEach((size, domain) => {
    for (let number = 0; number < size; number++) {
      const listed = createListedInstance(`d${domain}`, number);
      list.push({ at: -1e9, listed, isUp: true });
      timers.registerTimeout(random.nextFloat() * 1000, () => start(listed));
    }
  });

  return {
    timers,
    advance: (time) => timers.advanceTo(timers.now() + time),
    getInstances: () => [...running.values()],
    get,
    convergeViews: settle,
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
      cut = next;
    },
    setListAvailable(isUp) {
      isListUp = isUp;
    },
    deliver,
  };
}

/** Timers of one instance: they stop with it, and come late while it is paused. */
function createPausable(
  timers: VirtualTimers,
  state: { readonly pausedUntil: Millis; readonly isUp: boolean },
): TimerService {
  function run(listener: () => void): void {
    const wait = state.pausedUntil - timers.now();
    if (wait > 0) {
      timers.registerTimeout(wait, () => run(listener));
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
