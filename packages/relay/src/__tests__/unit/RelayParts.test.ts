import { expect } from 'chai';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import { createPartsBed, type PartsBed } from './RelayPartsBed.js';

const STOP_DELAY = 1000;
const LEASE_TIME = 3000;

/** Simulates eight seconds of a store outage in which an engine leaves while every instance gets requests. */
async function runOutageWithLeavingEngine(bed: PartsBed): Promise<void> {
  const start = bed.timers.now();
  bed.store.setAvailable(false);
  bed.leaving.add('e1');
  for (let at = start; at <= start + 8000; at += 500) {
    await bed.timers.advanceToAsync(at);
    bed.parts.forEach((_parts, id) => bed.call(id));
  }
}

describe('RelayParts', () => {
  it('lets only the last placing instance continue while no instance reaches the store', async () => {
    // Guards against a domain that loses an engine during a store outage and has no chain until the store recovers.
    // The store is down for all instances and an engine starts to leave, but the placement duty ended with its
    // lease and no instance can take it.
    const bed = createPartsBed();
    ['one', 'two'].forEach((id) => bed.start(id));
    await bed.timers.advanceToAsync(6000);
    const placer = bed.findPlacer();
    expect(placer).to.not.equal('');
    expect(bed.orders).to.deep.equal([]);
    bed.store.setAvailable(false);
    await bed.timers.advanceToAsync(6000 + LEASE_TIME);
    await runOutageWithLeavingEngine(bed);
    expect(new Set(bed.orders.map(({ by }) => by))).to.deep.equal(new Set([placer]));
    expect(bed.orders.some(({ engine }) => engine === 'e1')).to.equal(false);
    expect(bed.parts.get(placer)?.readState().isIsolated).to.equal(true);
  });

  it('lets another instance place when the last placing instance leaves or is killed', async () => {
    // Guards against the failure of the previous test when the placing instance is stopped or killed during the
    // outage, just before an engine leaves: the duty then stayed with an instance that does not act.
    for (const isKilled of [true, false]) {
      const bed = createPartsBed();
      ['one', 'two', 'three'].forEach((id) => bed.start(id));
      await bed.timers.advanceToAsync(6000);
      const placer = bed.findPlacer();
      bed.store.setAvailable(false);
      await bed.timers.advanceToAsync(6000 + STOP_DELAY);
      bed.parts.get(placer)?.startLeaving();
      if (isKilled) {
        bed.gone.add(placer);
      }
      await runOutageWithLeavingEngine(bed);
      const by = new Set(bed.orders.map((order) => order.by));
      expect(by.size).to.equal(1);
      expect(by.has(placer)).to.equal(false);
    }
  });

  it('places only under the lease while a peer reaches the store', async () => {
    // Guards against two instances that send orders to the same engines. The store is unreachable for one instance and
    // serves the other, and an engine leaves; the first instance must not take this for a store outage.
    const bed = createPartsBed();
    const deaf = createFakeRangeStore(bed.timers);
    deaf.setAvailable(false);
    let isCutOff = false;
    const port = new Proxy(bed.store, {
      get: (target, name: keyof StoreRangePort) => (isCutOff ? deaf[name] : target[name]),
    });
    bed.start('one', port);
    await bed.timers.advanceToAsync(3000);
    bed.start('two');
    await bed.timers.advanceToAsync(6000);
    isCutOff = true;
    bed.leaving.add('e1');
    for (let at = 6000; at <= 14_000; at += 500) {
      await bed.timers.advanceToAsync(at);
      bed.call('one');
    }
    expect(bed.parts.get('one')?.readState()).to.include({ isIsolated: false, duties: 0 });
    expect(bed.parts.get('two')?.readState()).to.include({ duties: 1 });
    // The first instance may place until its lease could have lapsed.
    const later = bed.orders.filter(({ at }) => at > 6000 + LEASE_TIME);
    expect(later.every(({ by }) => by === 'two')).to.equal(true);
  });

  it('queries the store before it answers 404 after a suspension', async () => {
    // Guards against a 404 from an instance that was suspended when the route was added.
    const bed = createPartsBed();
    bed.start('one');
    await bed.timers.advanceToAsync(3000);
    bed.call('one', '/none/1');
    await bed.timers.advanceToAsync(3050);
    expect(bed.call('one', '/none/1')).to.have.length(1);
    bed.suspend(5000);
    const refusals = bed.call('one', '/none/1');
    expect(refusals).to.deep.equal([]);
    await bed.timers.advanceToAsync(3100);
    expect(refusals.map(({ status }) => status)).to.deep.equal([404]);
    bed.suspend(5000);
    bed.store.setAvailable(false);
    const behind = bed.call('one', '/none/1');
    await bed.timers.advanceToAsync(4000);
    expect(behind.map(({ status }) => status)).to.deep.equal([503]);
  });
});
