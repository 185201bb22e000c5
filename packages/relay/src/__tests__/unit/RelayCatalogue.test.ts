import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createCatalogue, LAPSED_ENTRY_GRACE } from '../../RelayCatalogue.js';
import { createIncarnationId } from '../../RelayIncarnations.js';
import type { BackendEntry } from '../../RelayTypes.js';
import { createBackend } from './RelayFixtures.js';

/** A life of server `a` that began at `born`. */
function createLife(born: number, change: Partial<BackendEntry>): BackendEntry {
  const life = { server: 'a', born };
  return createBackend(createIncarnationId(life), { ...life, ...change });
}

describe('RelayCatalogue', () => {
  it('drops a removed server at once while the store is well', () => {
    const catalogue = createCatalogue(createVirtualTimers());
    catalogue.put(createBackend('a'));
    catalogue.remove('a');
    expect(catalogue.list()).to.deep.equal([]);
  });

  it('gives entries that lapsed in an outage two seconds to come back, and no more', () => {
    // Symptom: no engine is known, and every request refused, just when the store is back.
    // Sequence: the store is out for longer than entries stand; at its return all have lapsed.
    // Cause: a lapsed entry is taken for a server that is gone.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    let told = 0;
    catalogue.registerListener(() => {
      told += 1;
    });
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    timers.advanceTo(9000);
    catalogue.noteStoreRegained();
    ['a', 'b'].forEach((id) => catalogue.remove(id));
    expect(catalogue.list()).to.have.length(2);
    timers.advanceTo(9000 + LAPSED_ENTRY_GRACE / 2);
    catalogue.put(createBackend('b'));
    const before = told;
    timers.advanceTo(9000 + LAPSED_ENTRY_GRACE + 1);
    expect(catalogue.list().map(({ id }) => id)).to.deep.equal(['b']);
    expect(told).to.equal(before + 1);
  });

  it('knows a server that started again as another, and hears nothing late of its earlier life', () => {
    // Symptom: requests are sent to layers that are not there, and refused, until the engine is placed anew.
    // Sequence: an engine starts again under its name; then a late entry, a peer's sighting or a removal of its
    // earlier life arrives.
    // Cause: what is known hangs on the name alone, so the earlier life's layers come back.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    const earlier = createLife(1000, { layers: { first: 0, end: 2 } });
    const later = createLife(2000, { layers: null });
    catalogue.put(earlier);
    catalogue.put(later);
    expect(catalogue.get(earlier.id)).to.equal(null);
    expect(catalogue.list()).to.deep.equal([later]);
    catalogue.put(earlier);
    catalogue.observe({ ...earlier, state: 'leaving' });
    expect(catalogue.list()).to.deep.equal([later]);
    const latest = createLife(3000, { layers: null });
    catalogue.observe(latest);
    catalogue.put(later);
    expect(catalogue.list()).to.deep.equal([latest]);
    catalogue.remove('a');
    expect(catalogue.list()).to.deep.equal([]);
  });

  it('drops a server whose entry cannot be read at once, also when others may come back', () => {
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    catalogue.observe(createBackend('a', { state: 'leaving' }));
    catalogue.noteStoreRegained();
    catalogue.drop('a');
    expect(catalogue.list().map(({ id }) => id)).to.deep.equal(['b']);
    catalogue.put(createBackend('a'));
    expect(catalogue.list()).to.have.length(2);
  });

  it('tells of no server of a service that is not in use, until it is', () => {
    let isServed = false;
    const catalogue = createCatalogue(createVirtualTimers(), () => isServed);
    catalogue.put(createBackend('a'));
    expect([catalogue.list().length, catalogue.get('a')]).to.deep.equal([0, null]);
    isServed = true;
    expect(catalogue.get('a')).to.include({ id: 'a' });
  });

  it('holds what was seen of a server until the store tells of it, or its return is over', () => {
    // Symptom: after an outage an engine that is well gets no work, or one is asked for layers that it gave up.
    // Sequence: an instance sees by itself that engines leave or move; the store comes back.
    // Cause: what was seen stands beside the entries for ever, or goes before the entries are written anew.
    const timers = createVirtualTimers();
    const catalogue = createCatalogue(timers);
    ['a', 'b'].forEach((id) => catalogue.put(createBackend(id)));
    ['a', 'b'].forEach((id) => catalogue.observe(createBackend(id, { state: 'leaving' })));
    catalogue.observe(createBackend('new'));
    expect(catalogue.list().map(({ id, state }) => `${id} ${state}`)).to.deep.equal([
      'a leaving',
      'b leaving',
      'new live',
    ]);
    catalogue.noteStoreRegained();
    catalogue.put(createBackend('a', { layers: { first: 0, end: 2 } }));
    expect(catalogue.get('a')).to.include({ state: 'live' });
    expect(catalogue.get('b')).to.include({ state: 'leaving' });
    timers.advanceTo(LAPSED_ENTRY_GRACE + 1);
    expect(catalogue.get('b')).to.include({ state: 'live' });
    expect(catalogue.get('new')).to.equal(null);
  });
});
