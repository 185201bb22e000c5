import { expect } from 'chai';
import type { TurnTaker } from '../../ConnectionTurns.js';
import { createConnectionTurns } from '../../ConnectionTurns.js';

const SLICE_TIME = 1;

/** Connections with slices to read, each of which takes a millisecond, and the turns of an event loop. */
function createBed() {
  const later: (() => void)[] = [];
  const order: string[] = [];
  let now = 0;
  const turns = createConnectionTurns(
    () => now,
    (work) => later.push(work),
  );
  return {
    turns,
    order,
    create(name: string, slices: number): TurnTaker {
      let left = slices;
      return {
        readSlice() {
          left -= 1;
          now += SLICE_TIME;
          order.push(name);
        },
        isWaiting: () => left > 0,
      };
    },
    runTurn() {
      order.push('|');
      later.splice(0).forEach((work) => work());
    },
  };
}

describe('ConnectionTurns', () => {
  it('reads what just came at once', () => {
    const { turns, create, order } = createBed();
    turns.request(create('a', 1), true);
    expect(order).to.deep.equal(['a']);
  });

  it('reads a slice of each in turn, for a few milliseconds a turn of the loop', () => {
    // Guards against a client with much to parse that keeps all others waiting until it is through.
    const { turns, create, order, runTurn } = createBed();
    turns.request(create('long', 100), false);
    turns.request(create('short', 1), false);
    runTurn();
    runTurn();
    expect(order.filter((name) => name !== '|').length).to.equal(8);
    expect(order.slice(0, 3)).to.deep.equal(['|', 'long', 'short']);
  });

  it('reads few at once of many that come in one turn', () => {
    // Guards against a crowd whose bytes, each of them few, take a turn of the loop together.
    const { turns, create, order } = createBed();
    for (let i = 0; i < 100; i += 1) {
      turns.request(create(String(i), 1), true);
    }
    expect(order.length).to.equal(16);
  });
});
