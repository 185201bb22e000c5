/**
 * Claim routers of several instances with one fake store and a fake network, for tests and benchmarks.
 * An instance can be started, killed, paused together with its timers and pending results, or disconnected.
 */
import { createRandom, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { FakeStore } from '@skylarksail/store/FakeStore';
import { createStoreClient } from '@skylarksail/store/StoreClient';
import type { StorePort } from '@skylarksail/store/StorePort';
import { ClaimError } from './ClaimErrors.js';
import { createProcessName, type ClaimPeerMessage, type ClaimPeerReply } from './ClaimMessages.js';
import { createClaimOwner, type ClaimOwner } from './ClaimOwner.js';
import { createClaimRouter, type ClaimRouter } from './ClaimRouter.js';
import type { ClaimSlotSettings } from './ClaimSlotTypes.js';

export interface FakeClaimFleetOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly platform: FakeStore;
  readonly slots: number;
  readonly settings: ClaimSlotSettings;
  /** One-way latency of a message between instances. */
  readonly peerLatency?: Millis;
  /** Number of instances that share the store call budget; by default those of this fleet. */
  readonly countInstances?: () => number;
}

export interface FakeClaimInstance {
  readonly name: InstanceId;
  readonly router: ClaimRouter;
  readonly owner: ClaimOwner;
  pause(): void;
  resume(): void;
  kill(): void;
}

export interface FakeClaimFleet {
  start(name: InstanceId): FakeClaimInstance;
  /** Overrides the instances that `viewer` considers live; null restores the actual ones. */
  setView(viewer: InstanceId, live: readonly InstanceId[] | null): void;
  /** Sets the function that decides whether a message or reply between two instances is lost. */
  setLoss(isLost: (from: InstanceId, to: InstanceId) => boolean): void;
  getLive(): readonly InstanceId[];
}

const DEFAULT_PEER_LATENCY: Millis = 1;

/** Runs an instance's actions while open, queues them while paused, and drops them after a kill. */
interface Gate {
  run(action: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
}

export function createFakeClaimFleet(options: FakeClaimFleetOptions): FakeClaimFleet {
  const { timers, random, platform, slots, settings } = options;
  const peerLatency = options.peerLatency ?? DEFAULT_PEER_LATENCY;
  const live = new Map<InstanceId, { readonly router: ClaimRouter; readonly gate: Gate }>();
  const views = new Map<InstanceId, readonly InstanceId[]>();
  let isLost: (from: InstanceId, to: InstanceId) => boolean = () => false;
  let bootCount = 0;

  function transmit(from: InstanceId, to: InstanceId, deliver: () => void): void {
    if (!isLost(from, to)) {
      timers.registerTimeout(peerLatency, deliver);
    }
  }

  function sendToPeer(
    from: InstanceId,
    to: InstanceId,
    message: ClaimPeerMessage,
  ): Promise<ClaimPeerReply> {
    return new Promise((resolve, reject) => {
      transmit(from, to, () => {
        const target = live.get(to);
        if (!target) {
          reject(new ClaimError(`no connection to ${to}`));
          return;
        }
        target.gate.run(() => {
          void target.router.handleMessage(message).then((reply) =>
            target.gate.run(() =>
              transmit(to, from, () => {
                live.get(from)?.gate.run(() => resolve(reply));
              }),
            ),
          );
        });
      });
    });
  }

  function start(name: InstanceId): FakeClaimInstance {
    bootCount += 1;
    const bootId = `b${bootCount}`;
    const gate = createGate();
    const ownTimers = gateTimers(timers, gate);
    let getSlotShare = (): number => 0;
    const client = createStoreClient({
      port: gatePlatform(platform.connect(name), gate),
      timers: ownTimers,
      random: createRandom(random.nextInt(2 ** 30)),
      countInstances: options.countInstances ?? (() => live.size),
      getClaimShare: () => getSlotShare(),
    });
    const owner = createClaimOwner({
      processName: createProcessName(name, bootId),
      platform: client.forUse('claims'),
      housekeeping: client.forUse('housekeeping'),
      timers: ownTimers,
      wallClock: () => timers.now(),
      slots,
      settings,
    });
    getSlotShare = owner.getSlotShare;
    const router = createClaimRouter({
      instance: name,
      bootId,
      owner,
      slots,
      getLiveInstances: () => views.get(name) ?? [...live.keys()],
      sendToPeer: (to, message) => sendToPeer(name, to, message),
      timers: ownTimers,
      random: createRandom(random.nextInt(2 ** 30)),
    });
    live.set(name, { router, gate });
    return {
      name,
      router,
      owner,
      pause: gate.pause,
      resume: gate.resume,
      kill() {
        gate.kill();
        live.delete(name);
      },
    };
  }

  return {
    start,
    setView(viewer, view) {
      if (view) {
        views.set(viewer, view);
      } else {
        views.delete(viewer);
      }
    },
    setLoss(next) {
      isLost = next;
    },
    getLive: () => [...live.keys()],
  };
}

function createGate(): Gate {
  let state: 'open' | 'paused' | 'dead' = 'open';
  let held: (() => void)[] = [];
  return {
    run(action) {
      if (state === 'open') {
        action();
      } else if (state === 'paused') {
        held.push(action);
      }
    },
    pause() {
      state = state === 'dead' ? 'dead' : 'paused';
    },
    resume() {
      state = state === 'dead' ? 'dead' : 'open';
      const actions = held;
      held = [];
      actions.forEach((action) => action());
    },
    kill() {
      state = 'dead';
      held = [];
    },
  };
}

function gateTimers(timers: TimerService, gate: Gate): TimerService {
  return {
    now: timers.now,
    registerTimeout(delay, listener) {
      let cancelled = false;
      const cancel: Unregister = timers.registerTimeout(delay, () =>
        gate.run(() => {
          if (!cancelled) {
            listener();
          }
        }),
      );
      return () => {
        cancelled = true;
        cancel();
      };
    },
    registerInterval: (period, listener) =>
      timers.registerInterval(period, () => gate.run(listener)),
  };
}

function gatePlatform(port: StorePort, gate: Gate): StorePort {
  function gatePromise<T>(answer: Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      void answer.then((outcome) => gate.run(() => resolve(outcome)));
    });
  }
  return {
    get: (...args) => gatePromise(port.get(...args)),
    swap: (...args) => gatePromise(port.swap(...args)),
    remove: (...args) => gatePromise(port.remove(...args)),
    list: (...args) => gatePromise(port.list(...args)),
    watch: (...args) => gatePromise(port.watch(...args)),
    acquireLease: (...args) => gatePromise(port.acquireLease(...args)),
    renewLease: (...args) => gatePromise(port.renewLease(...args)),
    releaseLease: (...args) => gatePromise(port.releaseLease(...args)),
    listInstances: (...args) => gatePromise(port.listInstances(...args)),
  };
}
