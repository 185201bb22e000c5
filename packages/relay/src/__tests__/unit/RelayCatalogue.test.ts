import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createCatalogue, RETURN_TIME } from '../../RelayCatalogue.js';
import { createBackend } from './RelayFixtures.js';

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
    timers.advanceTo(9000 + RETURN_TIME / 2);
    catalogue.put(createBackend('b'));
    const before = told;
    timers.advanceTo(9000 + RETURN_TIME + 1);
    expect(catalogue.list().map(({ id }) => id)).to.deep.equal(['b']);
    expect(told).to.equal(before + 1);
  });
});
