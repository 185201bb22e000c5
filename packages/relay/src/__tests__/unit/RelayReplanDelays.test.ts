import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createReplanDelays } from '../../RelayReplanDelays.js';
import { createBackend } from './RelayFixtures.js';

const KEY = 'letters/d1';

describe('RelayPatience', () => {
  it('gives an engine whose entry has lapsed time to come back before a whole cut', () => {
    // Symptom: a domain is cut anew just before engines that crashed four seconds ago are back.
    // Sequence: an engine crashes; its entry lapses 3.6 s later; the gap has been known for longer than it is
    // waited for, as calls had failed at the engine.
    // Cause: patience was counted from the gap alone, and not from the loss.
    const timers = createVirtualTimers();
    const patience = createReplanDelays(timers);
    const [left, lost] = [createBackend('left'), createBackend('lost')];
    patience.observe(KEY, [left, lost]);
    expect(patience.isLossGraceOver(KEY)).to.equal(true);
    timers.advanceTo(10_000);
    patience.observe(KEY, [left, { ...lost, state: 'leaving' }]);
    expect(patience.isGapDue(KEY, true)).to.equal(false);
    timers.advanceTo(13_600);
    expect(patience.isGapDue(KEY, true)).to.equal(true);
    expect(patience.isLossGraceOver(KEY)).to.equal(true);

    patience.observe(KEY, [left]);
    expect(patience.isLossGraceOver(KEY)).to.equal(false);
    timers.advanceTo(15_100);
    expect(patience.isLossGraceOver(KEY)).to.equal(true);
  });
});
