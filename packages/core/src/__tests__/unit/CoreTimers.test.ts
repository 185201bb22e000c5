import { expect } from 'chai';
import { createVirtualTimers } from '../../CoreTimers.js';

describe('CoreTimers', () => {
  it('fires timers in order of time, then of registration, and no cancelled ones', () => {
    const timers = createVirtualTimers();
    const fired: string[] = [];
    timers.registerTimeout(20, () => fired.push('late'));
    timers.registerTimeout(10, () => fired.push('first'));
    timers.registerTimeout(10, () => fired.push('second'));
    const undo = timers.registerTimeout(15, () => fired.push('undone'));
    const undoInterval = timers.registerInterval(8, () => fired.push(`tick ${timers.now()}`));
    undo();
    timers.advanceTo(17);
    undoInterval();
    timers.advanceTo(100);
    expect(fired).to.deep.equal(['tick 8', 'first', 'second', 'tick 16', 'late']);
    expect(timers.countPending()).to.equal(0);
  });
});
