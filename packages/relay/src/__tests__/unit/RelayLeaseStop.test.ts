import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createRelayLease, RELAY_KEY_PREFIX } from '../../RelayLease.js';
import { createLeaseKeeper } from '../../RelayLeaseKeeper.js';

const UNKNOWN = { kind: 'unknown' } as const;
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

describe('the validity of a lease', () => {
  for (const slowCall of ['grantLease', 'renewLease'] as const) {
    it(`ends before the store can end the lease, counted from a slow call (${slowCall})`, async () => {
      // Guards against two instances that place a domain: the store counts a lease from before its slow answer.
      const timers = createVirtualTimers();
      const store = createFakeRangeStore(timers);
      let lastCallAt = 0;
      let renewals = 0;
      const slowDown = <T>(outcome: Promise<T>): Promise<T> =>
        new Promise((resolve) => {
          timers.registerTimeout(700, () => resolve(outcome));
        });
      const keeper = createLeaseKeeper({
        port: {
          ...store,
          grantLease: (...args) => {
            lastCallAt = timers.now();
            const outcome = store.grantLease(...args);
            return slowCall === 'grantLease' ? slowDown(outcome) : outcome;
          },
          renewLease: (...args) => {
            renewals += 1;
            if (slowCall === 'grantLease' || renewals > 1) {
              return Promise.resolve(UNKNOWN);
            }
            lastCallAt = timers.now();
            return slowDown(store.renewLease(...args));
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
      await timers.advanceToAsync(3000);
      expect(keeper.isValid()).to.equal(true);
      await timers.advanceToAsync(lastCallAt + 6000 - 850);
      expect(keeper.isValid()).to.equal(true);
      await timers.advanceToAsync(lastCallAt + 6000 - 750);
      expect(keeper.isValid()).to.equal(false);
    });
  }

  it('is reached and kept when the first write of its keys throws', async () => {
    // Guards against an instance that runs unregistered until it is started again, as one write threw.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const errors: unknown[] = [];
    let writes = 0;
    const keeper = createLeaseKeeper({
      port: store,
      timers,
      random: MEAN_RANDOM,
      time: 6000,
      renewPeriod: 2000,
      onGranted: () => {
        writes += 1;
        return writes === 1 ? Promise.reject(new Error('broken')) : Promise.resolve(true);
      },
      isNeeded: () => true,
      onError: (err) => errors.push(err),
    });
    void keeper.start();
    await timers.advanceToAsync(20_000);
    expect({ valid: keeper.isValid(), lease: keeper.getLeaseId(), writes }).to.deep.equal({
      valid: true,
      lease: 1,
      writes: 2,
    });
    expect(errors).to.have.length(1);
  });

  it('lets an instance act on a duty whose claim was written and not answered', async () => {
    // Guards against a domain that nobody places: the holder renews its duty and never acts on it.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const lease = createRelayLease({
      port: {
        ...store,
        write: async (conditions, ...rest) => {
          const outcome = await store.write(conditions, ...rest);
          return conditions.length > 0 ? UNKNOWN : outcome;
        },
      },
      timers,
      random: MEAN_RANDOM,
      self: { id: 'one', domain: 'd1', address: null },
      minLeaseTime: 1000,
      listDomains: () => ['d1'],
      onError: () => undefined,
    });
    lease.start();
    await timers.advanceToAsync(2000);
    const key = `${RELAY_KEY_PREFIX}placement/d1`;
    expect(store.get(key)).to.equal('one');
    lease.applyEvent({ kind: 'written', item: { key, value: 'one', revision: 3 } });
    expect(lease.holds('d1')).to.equal(true);
  });
});
