/** Plays the stop of a lease keeper, or of an instance's leases, at a store whose calls have chosen fates. */
import { createVirtualTimers, type TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeCalls, type FakeCalls } from '@skylarksail/store/FakeCalls';
import { createFakeRangeStore, type FakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import {
  playShutdown,
  type ShutdownPlan,
  type ShutdownSubject,
} from '@skylarksail/store/FakeShutdown';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import { registerRangeWatch } from '@skylarksail/store/StoreRangeWatch';
import { createRelayLease, RELAY_KEY_PREFIX } from '../../RelayLease.js';
import { createLeaseKeeper } from '../../RelayLeaseKeeper.js';

export type LeaseOperation = 'grant' | 'write' | 'renew' | 'revoke';

export interface LeasePlan extends ShutdownPlan<LeaseOperation> {
  /** The lease is needed only until this time. */
  readonly neededUntil?: Millis;
  /** Times at which `start` is called again. */
  readonly starts?: readonly Millis[];
}

const LEASE_TIME: Millis = 6000;
const RENEW_PERIOD: Millis = 2000;
const CALL = { timeout: 800 };
const MEAN_RANDOM = { nextFloat: () => 0.5, nextInt: () => 0 };

function wrapPort(store: FakeRangeStore, calls: FakeCalls): StoreRangePort {
  const lapse = (lease: number) => (): void => {
    void store.revokeLease(lease, CALL);
  };
  return {
    ...store,
    grantLease: (ttl, opts) => calls.call('grant', opts.timeout, () => store.grantLease(ttl, opts)),
    write: (conditions, writes, removals, opts) =>
      calls.call(
        'write',
        opts.timeout,
        () => store.write(conditions, writes, removals, opts),
        lapse(writes[0]?.lease ?? 0),
      ),
    renewLease: (lease, opts) =>
      calls.call('renew', opts.timeout, () => store.renewLease(lease, opts), lapse(lease)),
    revokeLease: (lease, opts) =>
      calls.call('revoke', opts.timeout, () => store.revokeLease(lease, opts)),
  };
}

/** Creates a keeper that writes one key under each lease. Nobody awaits its start, as in RelayLease. */
function createKeeper(
  port: StoreRangePort,
  timers: TimerService,
  { neededUntil = Infinity, starts = [] }: LeasePlan,
): ShutdownSubject {
  const keeper = createLeaseKeeper({
    port,
    timers,
    random: MEAN_RANDOM,
    time: LEASE_TIME,
    renewPeriod: RENEW_PERIOD,
    onGranted: async (lease) =>
      (await port.write([], [{ key: 'entry', value: 'x', lease }], [], CALL)).kind === 'done',
    isNeeded: () => timers.now() < neededUntil,
  });
  function start(): void {
    void keeper.start();
  }
  return {
    start() {
      start();
      starts.forEach((at) => timers.registerTimeout(at, start));
    },
    stop: keeper.stop,
  };
}

/** Creates the leases of an instance that places one domain. */
function createLeases(
  port: StoreRangePort,
  timers: TimerService,
  store: FakeRangeStore,
): ShutdownSubject {
  const lease = createRelayLease({
    port,
    timers,
    random: MEAN_RANDOM,
    self: { id: 'one', domain: 'd1', address: null },
    minLeaseTime: 1000,
    listDomains: () => ['d1'],
    onError: () => undefined,
  });
  registerRangeWatch({
    port: store,
    timers,
    random: MEAN_RANDOM,
    prefix: RELAY_KEY_PREFIX,
    wait: 500,
    timeout: 300,
    getGatherTime: () => 120,
    listener: {
      onSnapshot: (items) => items.forEach((item) => lease.applyEvent({ kind: 'written', item })),
      onEvent: lease.applyEvent,
      onLost: () => undefined,
      onRegained: () => undefined,
    },
  });
  return lease;
}

function playSubject(
  plan: LeasePlan,
  createSubject: (
    port: StoreRangePort,
    timers: TimerService,
    store: FakeRangeStore,
  ) => ShutdownSubject,
): Promise<readonly string[]> {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const calls = createFakeCalls({ timers, fates: plan.fates, lateDelay: plan.lateDelay });
  return playShutdown({
    timers,
    calls,
    plan,
    subject: createSubject(wrapPort(store, calls), timers, store),
    leaseTime: LEASE_TIME,
    async isHeld() {
      const page = await store.readRange('', null, CALL);
      return page.kind === 'done' && page.value.items.length > 0;
    },
    isExcessCall: (all, index) => all[index]?.operation === 'grant',
  });
}

/** Plays the stop of a keeper; returns what went wrong. */
export function playKeeperPlan(plan: LeasePlan): Promise<readonly string[]> {
  return playSubject(plan, (port, timers) => createKeeper(port, timers, plan));
}

/** Plays the stop of an instance that is registered and places a domain; returns what went wrong. */
export function playInstancePlan(plan: LeasePlan): Promise<readonly string[]> {
  return playSubject(plan, createLeases);
}
