import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createRelayPlannedWork } from '../../RelayPlannedWork.js';

describe('RelayPlannedWork', () => {
  it('reports planned work for a while after each change, and permanently after shutdown started', () => {
    const timers = createVirtualTimers();
    const calm = createRelayPlannedWork(timers, 2000);
    const isUnaffected = (): boolean => calm.isUnaffected(timers.now());
    expect(isUnaffected()).to.equal(true);
    calm.noteConfigChange();
    timers.advanceTo(4000);
    calm.noteConfigChange();
    timers.advanceTo(8000);
    expect(isUnaffected()).to.equal(false);
    timers.advanceTo(9000);
    expect(isUnaffected()).to.equal(true);
    calm.noteStop();
    calm.noteConfigChange();
    timers.advanceTo(60_000);
    expect(isUnaffected()).to.equal(false);
  });

  it('reports planned work until a second after a change is in force, whenever it was acknowledged', () => {
    // Guards against answers aborted during a change in large fleets, where a change may take longer.
    const ACKNOWLEDGED_AFTER = 1500;
    for (const changeTime of [2000, 3000, 4000]) {
      const timers = createVirtualTimers();
      const calm = createRelayPlannedWork(timers, changeTime);
      calm.noteConfigChange();
      timers.advanceTo(ACKNOWLEDGED_AFTER + changeTime + 1000);
      expect(calm.isUnaffected(0), `${changeTime}`).to.equal(false);
    }
  });

  it('reports planned work for requests accepted before a change of the settings was in force', () => {
    // Guards against aborting an answer that began before SIGHUP, at any time after it.
    const timers = createVirtualTimers();
    const calm = createRelayPlannedWork(timers, 2000);
    timers.advanceTo(1000);
    calm.noteSettingsChange();
    timers.advanceTo(30_000);
    expect([500, 2999, 4000].map(calm.isUnaffected)).to.deep.equal([false, false, true]);
  });
});
