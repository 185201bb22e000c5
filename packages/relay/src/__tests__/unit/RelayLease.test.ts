import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { registerFollow } from '@skylarksail/store/StoreFollow';
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
    registerFollow({
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
  it('gives each domain one placer, of its own instances if it has any', async () => {
    const { timers, create } = createBed();
    const leases = [create('one', 'd1'), create('three', 'd1'), create('other', 'd2')];
    await timers.advanceToAsync(4000);
    for (const domain of DOMAINS) {
      expect(leases.filter((lease) => lease.holds(domain))).to.have.length(1);
    }
    expect(leases[2]?.holds('d2')).to.equal(true);
    expect(leases[0]?.listInstances()).to.have.length(3);
  });

  it('passes a dead holder’s duty on, and lets the holder act no more before that', async () => {
    // Symptom: two instances order the same engines about.
    // Sequence: the holder is cut off from the store; its lease ends; another takes the duty.
    // Cause: a holder that finds its own name in what it last read.
    const { timers, store, create } = createBed();
    const first = create('one', 'd1');
    await timers.advanceToAsync(2000);
    expect(first.holds('d1')).to.equal(true);
    store.setUp(false);
    await timers.advanceToAsync(5000);
    expect(first.holds('d1')).to.equal(false);
    first.stop();
    store.setUp(true);
    const second = create('third', 'd1');
    await timers.advanceToAsync(10_000);
    expect(second.holds('d1')).to.equal(true);
    expect(second.listInstances().map(({ id }) => id)).to.deep.equal(['third']);
  });

  it('lets another domain’s instance place where there is none of its own', async () => {
    const { timers, create } = createBed();
    const lease = create('one', 'd1');
    await timers.advanceToAsync(6000);
    expect(lease.holds('d2')).to.equal(true);
  });

  it('gives a domain’s placement back to its own instances once they are there', async () => {
    // Symptom: a domain that was cut off loses its chain for seconds just when it can be reached again.
    // Sequence: its instances' leases lapse in the cut; one of another domain takes the placement; the cut
    // heals, and it cuts the layers anew by entries that come back one after the other.
    // Cause: whoever holds a duty keeps it for as long as it lives.
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

  it('has few instances claim a placement, however many could', async () => {
    // Symptom: each start of a fleet of 195 costs the store hundreds of writes, of which five count.
    // Sequence: a domain's placement becomes free; all of its instances hear of it at the same time.
    // Cause: each claims it at once, and hears later that another was first.
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
    // Both domains' placements were the holder's or are another's: one claim each, and one that crossed it.
    expect(claims).to.be.at.most(4);
  });

  it('keeps a placement whose claim is heard of late', async () => {
    // Symptom: a domain's placement goes from one instance to the next every three seconds.
    // Sequence: a claim wins; its word comes back with news that are gathered for half a second and more.
    // Cause: the lease is not renewed by an instance that does not know yet that it holds something.
    const { timers, create } = createBed();
    const lease = create('one', 'd1');
    await timers.advanceToAsync(3000);
    for (let at = 3000; at <= 20_000; at += 100) {
      await timers.advanceToAsync(at);
      expect(lease.holds('d1')).to.equal(true);
    }
  });
});
