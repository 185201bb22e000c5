import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelaySuspension } from '../../RelaySuspension.js';

describe('RelaySuspension', () => {
  it('detects a pause that the monotonic clock does not count, and no other', () => {
    // Guards against a 404 from an instance that was suspended while the route was added.
    const timers = createVirtualTimers();
    let suspendedTime = 0;
    const suspension = createRelaySuspension(
      timers,
      () => 1_000_000 + timers.now() + suspendedTime,
    );
    timers.advanceTo(60_000);
    expect(suspension.getResumedAt()).to.equal(-Infinity);
    suspendedTime += 5000;
    expect(suspension.getResumedAt()).to.equal(60_000);
    timers.advanceTo(61_000);
    expect(suspension.getResumedAt()).to.equal(60_000);
    // A wall clock that is set back is no suspension.
    suspendedTime -= 9000;
    expect(suspension.getResumedAt()).to.equal(60_000);
  });
});
