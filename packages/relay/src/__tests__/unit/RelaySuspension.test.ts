import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelaySuspension } from '../../RelaySuspension.js';

describe('RelaySuspension', () => {
  it('finds a pause that the steady clock does not count, and no other', () => {
    // Guards against a 404 from an instance that slept through the change that added the route.
    const timers = createVirtualTimers();
    let slept = 0;
    const suspension = createRelaySuspension(timers, () => 1_000_000 + timers.now() + slept);
    timers.advanceTo(60_000);
    expect(suspension.getResumedAt()).to.equal(-Infinity);
    slept += 5000;
    expect(suspension.getResumedAt()).to.equal(60_000);
    timers.advanceTo(61_000);
    expect(suspension.getResumedAt()).to.equal(60_000);
    // A time of day that is set back says nothing.
    slept -= 9000;
    expect(suspension.getResumedAt()).to.equal(60_000);
  });
});
