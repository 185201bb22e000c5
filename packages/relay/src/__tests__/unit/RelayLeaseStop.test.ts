import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createRelayLease, RELAY_KEY_PREFIX } from '../../RelayLease.js';
import { createLeaseKeeper } from '../../RelayLeaseKeeper.js';

const MEAN_RANDOM = { nextFloat: () => 0.5, nextInt: () => 0 };

describe('the stop of leases', () => {
  it('leaves no timer pending after its close when a grant is answered after the close', async () => {
    // Guards against a daemon whose process stays after its stop: an end that begins after the close is never given up.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    let answer: () => void = () => undefined;
    let revocations = 0;
    const keeper = createLeaseKeeper({
      port: {
        ...store,
        grantLease: () =>
          new Promise((resolve) => {
            answer = () => resolve({ kind: 'done', value: 1 });
          }),
        revokeLease: () => {
          revocations += 1;
          return Promise.resolve({ kind: 'unknown' });
        },
      },
      timers,
      random: MEAN_RANDOM,
      time: 6000,
      renewPeriod: 2000,
      onGranted: () => Promise.resolve(true),
      isNeeded: () => true,
    });
    void keeper.start();
    await timers.advanceToAsync(100);
    keeper.stop();
    await timers.advanceToAsync(2700);
    keeper.close();
    answer();
    await timers.advanceToAsync(3500);
    expect({ revocations, pending: timers.countPending() }).to.deep.equal({
      revocations: 0,
      pending: 0,
    });
  });

  it('leaves no timer pending after its close when its renewal was under way at the stop', async () => {
    // Guards against a daemon whose process stays after its stop for the timer of a renewal that never comes.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const keeper = createLeaseKeeper({
      port: store,
      timers,
      random: { nextFloat: () => 0.99, nextInt: () => 0 },
      time: 6000,
      renewPeriod: 2000,
      onGranted: () => Promise.resolve(true),
      isNeeded: () => true,
    });
    void keeper.start();
    await timers.advanceToAsync(10);
    keeper.stop();
    await timers.advanceToAsync(20);
    keeper.close();
    await timers.advanceToAsync(30);
    expect(timers.countPending()).to.equal(0);
  });

  it('repeats the end of a lease less often the longer the store refuses it', async () => {
    // Guards against a tenth of a fleet that stops and takes half of the store's writes while the store refuses calls:
    // refused calls count too, so the calls themselves would keep the store refusing.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    let revocations = 0;
    const keepers = Array.from({ length: 68 * 2 }, () =>
      createLeaseKeeper({
        port: {
          ...store,
          revokeLease: () => {
            revocations += 1;
            return new Promise((resolve) => {
              timers.registerTimeout(20, () => resolve({ kind: 'unknown' }));
            });
          },
        },
        timers,
        random: MEAN_RANDOM,
        time: 6000,
        renewPeriod: 2000,
        onGranted: () => Promise.resolve(true),
        isNeeded: () => true,
      }),
    );
    keepers.forEach((keeper) => {
      void keeper.start();
    });
    await timers.advanceToAsync(100);
    keepers.forEach((keeper) => keeper.stop());
    await timers.advanceToAsync(5100);
    const early = revocations;
    await timers.advanceToAsync(10_100);
    const perSecond = (revocations - early) / 5;
    // A tenth of the fleet may take a tenth of the store's writes.
    expect(perSecond).to.be.at.most(120);
  });

  it('registers an instance whose first registration was refused or got lost', async () => {
    // Guards against an instance that runs unregistered: its keys are taken as written whatever the answer was.
    for (const outcome of [
      { kind: 'unknown' },
      { kind: 'refused', reason: { kind: 'rate-limited', retryAfter: 300 } },
    ] as const) {
      const timers = createVirtualTimers();
      const store = createFakeRangeStore(timers);
      let writes = 0;
      const lease = createRelayLease({
        port: {
          ...store,
          write: (...args) => {
            writes += 1;
            return writes === 1 ? Promise.resolve(outcome) : store.write(...args);
          },
        },
        timers,
        random: MEAN_RANDOM,
        self: { id: 'one', domain: 'd1', address: null },
        minLeaseTime: 1000,
        listDomains: () => [],
        onError: () => undefined,
      });
      lease.start();
      await timers.advanceToAsync(2100);
      expect(store.get(`${RELAY_KEY_PREFIX}instances/one`)).to.equal('d1');
    }
  });

  it('is not valid until its keys are written', async () => {
    // Guards against an instance that claims a duty while others do not know it.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const keeper = createLeaseKeeper({
      port: store,
      timers,
      random: MEAN_RANDOM,
      time: 6000,
      renewPeriod: 2000,
      onGranted: () => Promise.resolve(false),
      isNeeded: () => true,
    });
    void keeper.start();
    await timers.advanceToAsync(100);
    expect(keeper.getLeaseId()).to.not.equal(null);
    expect(keeper.isValid()).to.equal(false);
  });
});
