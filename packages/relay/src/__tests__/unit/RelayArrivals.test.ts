import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createRelayArrivals } from '../../RelayArrivals.js';

/** Time that it takes to begin a request. */
const BEGIN_TIME: Millis = 4;

function createBed() {
  const timers = createVirtualTimers(10_000);
  const outcomes: string[] = [];
  let turn: (() => void)[] = [];
  const arrivals = createRelayArrivals({
    timers,
    loop: { runCurrent: (work) => work() },
    afterTurn: (work) => turn.push(work),
  });
  return {
    arrivals,
    timers,
    outcomes,
    add: (name: string, age: Millis = 0, hold: Millis = 1000) =>
      arrivals.add({
        sentAt: timers.now() - age,
        holdUntil: timers.now() + hold,
        begin: () => {
          timers.advanceTo(timers.now() + BEGIN_TIME);
          outcomes.push(name);
        },
        refuse: () => outcomes.push(`${name} refused`),
      }),
    endTurn: () => {
      const works = turn;
      turn = [];
      works.forEach((work) => work());
    },
  };
}

describe('RelayArrivals', () => {
  it('begins requests in order while the instance keeps up', () => {
    const { add, endTurn, outcomes } = createBed();
    ['a', 'b', 'c'].forEach((name) => add(name));
    expect(outcomes).to.deep.equal([]);
    endTurn();
    expect(outcomes).to.deep.equal(['a', 'b', 'c']);
  });

  it('leaves the rest of a turn to reading, so that callers of a burst are seen to leave', () => {
    // Guards against a burst that is begun whole before anything else is read, and so for callers that leave meanwhile.
    const { add, endTurn, outcomes, arrivals } = createBed();
    const takeBack = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) => add(name));
    endTurn();
    expect(outcomes).to.deep.equal(['a', 'b', 'c']);
    takeBack[3]?.();
    endTurn();
    expect(outcomes).to.deep.equal(['a', 'b', 'c', 'e', 'f']);
    expect(arrivals.countWaiting()).to.equal(0);
  });

  it('begins the newest first while the oldest is late, and refuses those held for longer than their callers wait', () => {
    // Guards against an instance that stays late for all, as it begins in order of arrival.
    const { add, endTurn, outcomes, timers } = createBed();
    add('old', 800, 100);
    add('middle', 300);
    add('new');
    timers.advanceTo(timers.now() + 101);
    endTurn();
    expect(outcomes).to.deep.equal(['old refused', 'new', 'middle']);
  });

  it('goes on after a request that ends another one as it begins', () => {
    const { arrivals, timers, endTurn, outcomes } = createBed();
    const takeBack: (() => void)[] = [];
    const addOne = (name: string, begin: () => void): void => {
      const held = { sentAt: timers.now(), holdUntil: Infinity, refuse: () => undefined };
      takeBack.push(arrivals.add({ ...held, begin: () => [outcomes.push(name), begin()] }));
    };
    addOne('a', () => takeBack[1]?.());
    addOne('b', () => undefined);
    addOne('c', () => undefined);
    endTurn();
    expect(outcomes).to.deep.equal(['a', 'c']);
  });
});
