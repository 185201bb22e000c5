import { expect } from 'chai';
import { startResponseTimeout } from '../../CoreResponseTimeout.js';
import { createVirtualTimers } from '../../CoreTimers.js';

/** Time in which what has come is read after a limit. */
const READING = 20;
const LIMITS = { begin: 700, gap: 300, whole: 2000 };

function startBed() {
  const timers = createVirtualTimers();
  return { timers, arrival: startResponseTimeout(timers, LIMITS) };
}

describe('CoreArrival', () => {
  it('gives up an answer that does not begin', () => {
    const { timers, arrival } = startBed();
    timers.advanceTo(699);
    expect(arrival.signal.aborted).to.equal(false);
    timers.advanceTo(LIMITS.begin + READING);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('waits for one that goes on arriving, and gives up one that stops midway', () => {
    // A configuration of some hundred kilobytes was cut off at 0.7 s, wherever it stood, and asked for from its first
    // byte on again, for as long as the link was slow.
    const { timers, arrival } = startBed();
    for (let at = 600; at <= 1800; at += 200) {
      timers.advanceTo(at);
      arrival.recordProgress();
    }
    timers.advanceTo(2099);
    expect(arrival.signal.aborted).to.equal(false);
    expect(arrival.getElapsed()).to.equal(1499);
    timers.advanceTo(2100 + READING);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('takes what came while the process was held up', () => {
    // Small instances under load gave up answers that lay in their sockets: a timer that is due runs before the bytes
    // that have come are read.
    const { timers, arrival } = startBed();
    timers.advanceTo(LIMITS.begin);
    arrival.recordProgress();
    timers.advanceTo(LIMITS.begin + READING);
    expect(arrival.signal.aborted).to.equal(false);
  });

  it('gives up one that never ends', () => {
    const { timers, arrival } = startBed();
    for (let at = 100; at <= 2000; at += 100) {
      timers.advanceTo(at);
      arrival.recordProgress();
    }
    expect(arrival.signal.aborted).to.equal(false);
    timers.advanceTo(2100);
    expect(arrival.signal.aborted).to.equal(true);
  });

  it('leaves no timer behind', () => {
    const { timers, arrival } = startBed();
    arrival.recordProgress();
    arrival.end();
    expect(timers.countPending()).to.equal(0);
  });
});
