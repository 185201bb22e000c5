import { expect } from 'chai';
import { createActiveInterval } from '../../CoreActivity.js';
import { createVirtualTimers } from '../../CoreTimers.js';

describe('CoreActivity', () => {
  it('runs while there is work and can be restarted', () => {
    const timers = createVirtualTimers();
    let work = 0;
    let runs = 0;
    const interval = createActiveInterval(timers, 100, () => {
      runs += 1;
      work -= 1;
      return work > 0;
    });
    timers.advanceTo(1000);
    expect([runs, timers.countPending()]).to.deep.equal([0, 0]);
    for (const wanted of [2, 3]) {
      work = wanted;
      interval.start();
      interval.start();
      timers.advanceTo(timers.now() + 1000);
    }
    expect([runs, timers.countPending()]).to.deep.equal([5, 0]);
  });

  it('stops on request', () => {
    const timers = createVirtualTimers();
    let runs = 0;
    const interval = createActiveInterval(timers, 100, () => {
      runs += 1;
      return true;
    });
    interval.start();
    timers.advanceTo(250);
    interval.stop();
    timers.advanceTo(1000);
    expect(runs).to.equal(2);
  });
});
