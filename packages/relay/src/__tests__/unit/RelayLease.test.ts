import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { registerRangeWatch } from '@skylarksail/store/StoreRangeWatch';
import { createRelayLease, RELAY_KEY_PREFIX } from '../../RelayLease.js';

const DOMAINS = ['d1', 'd2'];

function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const create = (id: string, domain: string) => {
    const random = createRandom(id.length);
    const lease = createRelayLease({
      port: store,
      timers,
      random,
      self: { id, domain, address: null },
      minLeaseTime: 1000,
      listDomains: () => DOMAINS,
      onError: () => undefined,
    });
    registerRangeWatch({
      port: store,
      timers,
      random,
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
    lease.start();
    return lease;
  };
  return { timers, store, create };
}

describe('RelayLease', () => {
  it('gives the placement of each domain to one instance, preferably one of that domain', async () => {
    const { timers, create } = createBed();
    const leases = [create('one', 'd1'), create('three', 'd1'), create('other', 'd2')];
    await timers.advanceToAsync(4000);
    for (const domain of DOMAINS) {
      expect(leases.filter((lease) => lease.holds(domain))).to.have.length(1);
    }
    expect(leases[2]?.holds('d2')).to.equal(true);
    expect(leases[0]?.listInstances()).to.have.length(3);
  });

  it('passes on the duty of a cut-off holder only after the holder has stopped acting', async () => {
    // Guards against two instances that send orders to the same engines. The holder is cut off from the store, its
    // lease lapses and another instance takes the duty. The first one must stop acting, although the state that
    // it read last still names it as holder.
    const { timers, store, create } = createBed();
    const first = create('one', 'd1');
    await timers.advanceToAsync(2000);
    expect(first.holds('d1')).to.equal(true);
    store.setAvailable(false);
    await timers.advanceToAsync(5000);
    expect(first.holds('d1')).to.equal(false);
    first.stop();
    store.setAvailable(true);
    const second = create('third', 'd1');
    await timers.advanceToAsync(10_000);
    expect(second.holds('d1')).to.equal(true);
    expect(second.listInstances().map(({ id }) => id)).to.deep.equal(['third']);
  });

  it('lets an instance of another domain place a domain that has no instances', async () => {
    const { timers, create } = createBed();
    const lease = create('one', 'd1');
    await timers.advanceToAsync(6000);
    expect(lease.holds('d2')).to.equal(true);
  });

  it('returns the placement of a domain to its own instances once they are registered', async () => {
    // Guards against a domain that loses its chain for seconds when a network partition ends. During the partition the
    // leases of its instances lapse and an instance of another domain takes the placement. That instance then assigns
    // the layers anew while the engines' entries return one by one, because a holder kept its duty until it stopped.
    const { timers, create } = createBed();
    const far = create('far', 'd1');
    await timers.advanceToAsync(6000);
    expect(far.holds('d2')).to.equal(true);
    const own = create('own', 'd2');
    await timers.advanceToAsync(9000);
    expect(far.holds('d2')).to.equal(false);
    expect(own.holds('d2')).to.equal(true);
    expect(far.holds('d1')).to.equal(true);
  });

  it('limits the claims for a free placement in a large domain', async () => {
    // Guards against hundreds of store writes, of which five succeed, at each start of a fleet of 195 instances. All
    // instances of a domain learn of a free placement at the same time, and each one claimed it at once.
    const { timers, store, create } = createBed();
    let claims = 0;
    const { write } = store;
    store.write = (conditions, ...rest) => {
      claims += conditions.length > 0 ? 1 : 0;
      return write(conditions, ...rest);
    };
    const leases = Array.from({ length: 20 }, (_, i) => create(`i${i}`, 'd1'));
    await timers.advanceToAsync(8000);
    const holder = leases.find((lease) => lease.holds('d1'));
    expect(holder).to.not.equal(undefined);
    claims = 0;
    holder?.stop();
    await timers.advanceToAsync(16_000);
    expect(leases.filter((lease) => lease.holds('d1'))).to.have.length(1);
    // Each domain's placement takes at most one successful claim and one concurrent claim.
    expect(claims).to.be.at.most(4);
  });

  it('keeps a placement when the result of its claim arrives late', async () => {
    // Guards against a placement that moves to another instance every three seconds. A claim succeeds, but its result
    // arrives with updates that are batched for half a second or more. Until then the instance did not know that
    // it held the placement and did not renew the lease.
    const { timers, create } = createBed();
    const lease = create('one', 'd1');
    await timers.advanceToAsync(3000);
    for (let at = 3000; at <= 20_000; at += 100) {
      await timers.advanceToAsync(at);
      expect(lease.holds('d1')).to.equal(true);
    }
  });

  it('does not act on a duty again before it has seen who holds it, after a pause', async () => {
    // Guards against two instances that place a domain at once: a process paused past its lease acquires a new lease,
    // and takes the duty that it read before the pause as held under it, while another instance has claimed the duty.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers);
    const placementKey = `${RELAY_KEY_PREFIX}placement/d1`;
    const lease = createRelayLease({
      port: store,
      timers,
      random: createRandom(1),
      self: { id: 'one', domain: 'd1', address: null },
      minLeaseTime: 1000,
      listDomains: () => ['d1'],
      onError: () => undefined,
    });
    lease.start();
    let revision = 0;
    async function deliver(): Promise<void> {
      const page = await store.readRange(RELAY_KEY_PREFIX, null, { timeout: 800 });
      if (page.kind === 'done') {
        page.value.items.forEach((item) => lease.applyEvent({ kind: 'written', item }));
        revision = page.value.revision;
      }
    }
    for (let now = 100; now <= 3000; now += 100) {
      await timers.advanceToAsync(now);
      await deliver();
    }
    expect(revision).to.be.greaterThan(1);
    expect(lease.holds('d1')).to.equal(true);
    // The process is paused: the store's clock goes on, the timers of the process don't fire.
    store.setAvailable(false);
    await timers.advanceToAsync(9000);
    store.setAvailable(true);
    // Any call lets the store remove what has lapsed; another instance claims the free duty.
    const other = await store.grantLease(60_000, { timeout: 800 });
    expect(store.get(placementKey)).to.equal(null);
    const otherId = other.kind === 'done' ? other.value : 0;
    await store.write(
      [{ key: placementKey, revision: 0 }],
      [{ key: placementKey, value: 'two', lease: otherId }],
      [],
      { timeout: 800 },
    );
    // No news of the store arrives for two seconds, which a watch may take; calls are answered.
    for (let now = 9050; now <= 11_000; now += 50) {
      await timers.advanceToAsync(now);
      expect(lease.holds('d1'), `holds at ${now}`).to.equal(false);
    }
  });
});
