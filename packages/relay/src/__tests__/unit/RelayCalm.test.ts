import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelayCalm } from '../../RelayCalm.js';

describe('RelayCalm', () => {
  it('is not calm for a while after each change, and never again once a stop began', () => {
    const timers = createVirtualTimers();
    const calm = createRelayCalm(timers);
    expect(calm.isCalm()).to.equal(true);
    calm.noteChange();
    timers.advanceTo(4000);
    calm.noteChange();
    timers.advanceTo(8000);
    expect(calm.isCalm()).to.equal(false);
    timers.advanceTo(9000);
    expect(calm.isCalm()).to.equal(true);
    calm.noteStop();
    calm.noteChange();
    timers.advanceTo(60_000);
    expect(calm.isCalm()).to.equal(false);
  });
});
