import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import { createLoopWatch } from '../../RelayLoopWatch.js';

/** Timers whose interval fires when the test says so, as one of a process that is busy or stopped. */
function createBed() {
  let now: Millis = 0;
  let suspended: Millis = 0;
  let tick = (): void => undefined;
  let read: (() => void)[] = [];
  const turns: Millis[] = [];
  const timers: TimerService = {
    now: () => now,
    registerTimeout: () => () => undefined,
    registerInterval: (_period, listener) => {
      tick = listener;
      return () => undefined;
    },
  };
  const watch = createLoopWatch({
    timers,
    wallNow: () => now + suspended,
    afterTurn: (work) => read.push(work),
    onLate: (turn) => turns.push(turn),
  });
  return {
    watch,
    turns,
    pass: (time: Millis) => {
      now += time;
    },
    suspend: (time: Millis) => {
      suspended += time;
    },
    tick: () => tick(),
    /** All input that waited is read. */
    read: () => {
      [1, 2].forEach(() => {
        const work = read;
        read = [];
        work.forEach((run) => run());
      });
    },
  };
}

describe('RelayLoopWatch', () => {
  it('takes nothing for unread while its timer fires in time', () => {
    const { watch, pass, tick } = createBed();
    for (let i = 0; i < 5; i += 1) {
      pass(220);
      expect(watch.getUnreadTime()).to.equal(0);
      tick();
      expect(watch.getUnreadTime()).to.equal(0);
    }
  });

  it('takes what is read for unread since the last turn, until all that came in a late one is read', () => {
    const { watch, turns, pass, tick, read } = createBed();
    pass(1500);
    expect(watch.getUnreadTime()).to.equal(1500);
    tick();
    pass(10);
    expect(watch.getUnreadTime()).to.equal(1510);
    read();
    expect(watch.getUnreadTime()).to.equal(0);
    expect(turns).to.deep.equal([1500]);
  });

  it('stays behind while each turn is late', () => {
    const { watch, pass, tick, read } = createBed();
    pass(400);
    tick();
    pass(400);
    tick();
    read();
    pass(400);
    expect(watch.getUnreadTime()).to.equal(400);
  });

  it('counts the time for which the machine was suspended and the monotonic clock stood still', () => {
    const { watch, pass, suspend } = createBed();
    pass(100);
    suspend(900);
    expect(watch.getUnreadTime()).to.equal(1000);
  });

  it('runs work at once while the process keeps up or all has just been read, and else after the reading', () => {
    const { watch, pass, tick, read } = createBed();
    const ran: string[] = [];
    watch.whenRead(() => ran.push('kept up'));
    pass(1500);
    tick();
    watch.whenRead(() => ran.push('late'));
    const cancel = watch.whenRead(() => ran.push('cancelled'));
    watch.runCurrent(() => watch.whenRead(() => ran.push('just read')));
    cancel();
    expect(ran).to.deep.equal(['kept up', 'just read']);
    read();
    expect(ran).to.deep.equal(['kept up', 'just read', 'late']);
  });

  it('takes what is read for unread while connections that came in a late turn are still accepted, one a turn', () => {
    // Guards against deadlines that count from the reading, for all callers but the first one after a standstill.
    const { watch, pass, tick, read } = createBed();
    pass(1500);
    tick();
    for (let i = 0; i < 40; i += 1) {
      watch.noteAccepted();
      read();
      pass(1);
      expect(watch.getUnreadTime()).to.be.above(1500);
    }
    read();
    expect(watch.getUnreadTime()).to.equal(0);
  });

  it('takes connections for new at last, though some are accepted in each turn', () => {
    const { watch, pass, tick, read } = createBed();
    pass(1500);
    tick();
    for (let i = 0; i < 12; i += 1) {
      watch.noteAccepted();
      pass(100);
      tick();
      read();
    }
    expect(watch.getUnreadTime()).to.equal(0);
  });
});
