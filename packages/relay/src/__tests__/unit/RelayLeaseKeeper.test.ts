import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createLeaseKeeper } from '../../RelayLeaseKeeper.js';

const LEASE_TIME: Millis = 6000;
const LATENCY: Millis = 50;

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
});
