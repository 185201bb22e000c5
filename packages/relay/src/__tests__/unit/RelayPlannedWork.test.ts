import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelayPlannedWork } from '../../RelayPlannedWork.js';

describe('RelayCalm', () => {
  it('is not calm for a while after each change, and never again once a stop began', () => {
    const timers = createVirtualTimers();
    const calm = createRelayPlannedWork(timers, 2000);
    const isCalm = (): boolean => calm.isUnaffected(timers.now());
    expect(isCalm()).to.equal(true);
    calm.noteConfigChange();
    timers.advanceTo(4000);
    calm.noteConfigChange();
    timers.advanceTo(8000);
    expect(isCalm()).to.equal(false);
    timers.advanceTo(9000);
    expect(isCalm()).to.equal(true);
    calm.noteStop();
    calm.noteConfigChange();
    timers.advanceTo(60_000);
    expect(isCalm()).to.equal(false);
  });

  it('is not calm until a second after a change is in force, whenever it was acknowledged', () => {
    // Guards against an answer that is cut beside a change where changes may take longer than on small fleets.
    const ACKNOWLEDGED_AFTER = 1500;
    for (const changeTime of [2000, 3000, 4000]) {
      const timers = createVirtualTimers();
      const calm = createRelayPlannedWork(timers, changeTime);
      calm.noteConfigChange();
      timers.advanceTo(ACKNOWLEDGED_AFTER + changeTime + 1000);
      expect(calm.isUnaffected(0), `${changeTime}`).to.equal(false);
    }
  });

  it('is never calm for a request that was taken before a change of the settings had its time', () => {
    // Guards against an answer that began before SIGHUP and is cut at any time after it.
    const timers = createVirtualTimers();
    const calm = createRelayPlannedWork(timers, 2000);
    timers.advanceTo(1000);
    calm.noteSettingsChange();
    timers.advanceTo(30_000);
    expect([500, 2999, 4000].map(calm.isUnaffected)).to.deep.equal([false, false, true]);
  });
});
