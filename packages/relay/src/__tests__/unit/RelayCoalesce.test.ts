import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { coalesce } from '../../RelayCoalesce.js';

describe('RelayCoalesce', () => {
  it('runs once for calls made together, and again for a later call', () => {
    // Guards against instances of a large fleet that spend a third of their time on one answer of the store: it
    // contains dozens of engines, each of which caused a recomputation of all engines' facts.
    const timers = createVirtualTimers();
    let runs = 0;
    const ask = coalesce(timers, () => {
      runs += 1;
    });
    for (let i = 0; i < 50; i++) {
      ask();
    }
    expect(runs).to.equal(0);
    timers.advanceTo(1);
    expect(runs).to.equal(1);
    ask();
    timers.advanceTo(2);
    expect(runs).to.equal(2);
  });
});
