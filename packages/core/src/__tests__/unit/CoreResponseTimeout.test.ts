import { expect } from 'chai';
import { startResponseTimeout } from '../../CoreResponseTimeout.js';
import { createVirtualTimers } from '../../CoreTimers.js';

/** Delay after a timeout in which data that has arrived is still read. */
const READ_GRACE = 20;
const LIMITS = { begin: 700, gap: 300, whole: 2000 };

function createFixture() {
  const timers = createVirtualTimers();
  return { timers, arrival: startResponseTimeout(timers, LIMITS) };
}

describe('CoreResponseTimeout', () => {
  it('aborts a response that does not begin', () => {
    const { timers, arrival } = createFixture();
    timers.advanceTo(699);
    expect(arrival.signal.aborted).to.equal(false);
    timers.advanceTo(LIMITS.begin + READ_GRACE);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('does not abort a response while data arrives, and aborts one that stalls', () => {
    // Guards against a timeout on the whole response: on a slow link, every attempt to fetch a configuration of some
    // hundred kilobytes would be aborted after 0.7 s, however much has arrived, and start again at the first byte.
    const { timers, arrival } = createFixture();
    for (let at = 600; at <= 1800; at += 200) {
      timers.advanceTo(at);
      arrival.recordProgress();
    }
    timers.advanceTo(2099);
    expect(arrival.signal.aborted).to.equal(false);
    expect(arrival.getElapsed()).to.equal(1499);
    timers.advanceTo(2100 + READ_GRACE);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('accepts data that arrived while the process was blocked', () => {
    // Guards against small instances under load that abort responses already in their socket buffers, because a due
    // timer runs before the received bytes are read.
    const { timers, arrival } = createFixture();
    timers.advanceTo(LIMITS.begin);
    arrival.recordProgress();
    timers.advanceTo(LIMITS.begin + READ_GRACE);
    expect(arrival.signal.aborted).to.equal(false);
  });

  it('aborts a response that never ends', () => {
    const { timers, arrival } = createFixture();
    for (let at = 100; at <= 2000; at += 100) {
      timers.advanceTo(at);
      arrival.recordProgress();
    }
    expect(arrival.signal.aborted).to.equal(false);
    timers.advanceTo(2100);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('cancels all timers at the end', () => {
    const { timers, arrival } = createFixture();
    arrival.recordProgress();
    arrival.end();
    expect(timers.countPending()).to.equal(0);
  });
});
