import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeCalls } from '@skylarksail/store/FakeCalls';
import { CallFate } from '@skylarksail/store/FakeFates';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createLeaseKeeper } from '../../RelayLeaseKeeper.js';

const LEASE_TIME: Millis = 6000;
const LATENCY: Millis = 50;
const CALL = { timeout: 800 };

function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const revoked: number[] = [];
  const wait = (): Promise<void> =>
    new Promise((resolve) => {
      timers.registerTimeout(LATENCY, resolve);
    });
  const keeper = createLeaseKeeper({
    port: {
      ...store,
      grantLease: async (...args) => {
        const outcome = await store.grantLease(...args);
        await wait();
        return outcome;
      },
      revokeLease: (id, options) => {
        revoked.push(id);
        return store.revokeLease(id, options);
      },
    },
    timers,
    random: createRandom(1),
    time: LEASE_TIME,
    renewPeriod: 2000,
    onGranted: () => wait().then(() => true),
    isNeeded: () => true,
  });
  return { timers, keeper, revoked };
}

describe('RelayLeaseKeeper', () => {
  for (const [moment, stopAt] of [
    ['while the lease is being granted', LATENCY / 2],
    ['while its keys are being written', LATENCY * 1.5],
  ] as const) {
    it(`ends a lease that it obtains after it was stopped ${moment}`, async () => {
      // Guards against an instance that has stopped and stays registered until its lease lapses, six seconds later.
      const { timers, keeper, revoked } = createBed();
      void keeper.start();
      await timers.advanceToAsync(stopAt);
      keeper.stop();
      await timers.advanceToAsync(LATENCY * 3);
      expect(revoked).to.have.length(1);
      expect(keeper.isValid()).to.equal(false);
    });
  }

  it('keeps its keys bound when their first write takes effect after their second', async () => {
    // Guards against an instance that runs and is no longer registered: a late write moves its entry to an earlier lease.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const calls = createFakeCalls({ timers, fates: { write: [CallFate.Late] }, lateDelay: 3000 });
    const keeper = createLeaseKeeper({
      port: store,
      timers,
      random: { nextFloat: () => 0.5, nextInt: () => 0 },
      time: LEASE_TIME,
      renewPeriod: 2000,
      onGranted: async (lease) => {
        const items = [{ key: 'entry', value: 'x', lease }];
        const written = await calls.call('write', CALL.timeout, () =>
          store.write([], items, [], CALL),
        );
        return written.kind === 'done';
      },
      isNeeded: () => true,
    });
    void keeper.start();
    await timers.advanceToAsync(LEASE_TIME * 2);
    expect(keeper.isValid()).to.equal(true);
    expect(store.get('entry')).to.equal('x');
  });
});
