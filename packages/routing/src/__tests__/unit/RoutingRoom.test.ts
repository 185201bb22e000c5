import { expect } from 'chai';
import { getHealth, recordCallStart, setHealth } from '../../RoutingCalls.js';
import { getDomainRoom, getRoomShare } from '../../RoutingRoom.js';
import { markLeaving, setLoad } from '../../RoutingState.js';
import {
  createFacts,
  createFilledState,
  createSeenLoad,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';

/** Memory of each engine, as in the fixtures: a million layers times tokens. */
const PER_ENGINE = 1e6;

/** Two engines hold the first half of the layers, one the other half. */
const STATE = createFilledState([
  { facts: createFacts('a'), layers: [0, 10] },
  { facts: createFacts('b'), layers: [0, 10] },
  { facts: createFacts('c'), layers: [10, 20] },
]);

function readRoom(state = STATE) {
  return getDomainRoom(state, VARIANT, LAYERS, 'a', 0);
}

describe('RoutingRoom', () => {
  it('counts the memory of the layers with the least, and requests once for each layer', () => {
    const loaded = ['a', 'b', 'c'].reduce(
      (state, id) =>
        setLoad(state, createSeenLoad(id, id === 'c' ? [10, 20] : [0, 10], { kvUsed: 0.4 })),
      STATE,
    );
    expect(readRoom(loaded)).to.deep.equal({
      capacity: PER_ENGINE / 10,
      used: (0.4 * PER_ENGINE) / 10,
    });
  });

  it('counts own requests since the last report at once', () => {
    const chain = {
      variant: VARIANT,
      layerCount: LAYERS,
      stages: [
        { engine: 'a', layers: { first: 0, end: 10 } },
        { engine: 'c', layers: { first: 10, end: 20 } },
      ],
    };
    const call = { chain, promptTokens: 800, maxTokens: 400, answerTokens: 200 };
    const busy = recordCallStart(STATE, call as unknown as Parameters<typeof recordCallStart>[1]);
    expect(readRoom(busy)?.used).to.equal(1000);
  });

  it('has no memory without a usable engine for some layer', () => {
    // Guards against requests that are admitted to a domain whose last engine with some layers leaves, is silent or ejected.
    const ejected = { ...getHealth(STATE, 'c'), ejectedUntil: 1000 };
    const states = [
      markLeaving(STATE, 'c'),
      { ...STATE, silent: new Set(['c']) },
      setHealth(STATE, 'c', ejected),
    ];
    for (const state of states) {
      const room = readRoom(state);
      expect(room?.capacity).to.equal(0);
      expect(room && getRoomShare(room)).to.equal(Infinity);
    }
    expect(getDomainRoom(STATE, VARIANT, LAYERS, 'other', 0)).to.equal(null);
  });
});
