import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createReplanDelays } from '../../RelayReplanDelays.js';
import { createBackend } from './RelayFixtures.js';

const KEY = 'letters/d1';

describe('RelayReplanDelays', () => {
  it('waits for an engine whose entry expired to return before a full replan', () => {
    // Guards against replanning a domain just before engines that crashed four seconds ago return. The entry of a
    // crashed engine expires 3.6 s later; by then the gap is older than its grace period, because calls to the engine
    // failed. So the grace period must also be counted from the loss.
    const timers = createVirtualTimers();
    const delays = createReplanDelays(timers);
    const [left, lost] = [createBackend('left'), createBackend('lost')];
    delays.observe(KEY, [left, lost]);
    expect(delays.isLossGraceOver(KEY)).to.equal(true);
    timers.advanceTo(10_000);
    delays.observe(KEY, [left, { ...lost, state: 'leaving' }]);
    expect(delays.isGapDue(KEY, true)).to.equal(false);
    timers.advanceTo(13_600);
    expect(delays.isGapDue(KEY, true)).to.equal(true);
    expect(delays.isLossGraceOver(KEY)).to.equal(true);

    delays.observe(KEY, [left]);
    expect(delays.isLossGraceOver(KEY)).to.equal(false);
    timers.advanceTo(15_100);
    expect(delays.isLossGraceOver(KEY)).to.equal(true);
  });
});
