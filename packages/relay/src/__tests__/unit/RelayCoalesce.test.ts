import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { coalesce } from '../../RelayCoalesce.js';

describe('RelayCoalesce', () => {
  it('runs once for all that was asked for together, and again for what comes later', () => {
    // Symptom: instances of a large fleet spend a third of their time on the news of one answer of the store.
    // Sequence: the answer tells of dozens of engines; each of them makes the facts of all anew.
    // Cause: the work was done for each piece of news.
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
