import { expect } from 'chai';
import { recordCallStart } from '../../RoutingCalls.js';
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

const NARROW = createFilledState([
  { facts: createFacts('a'), layers: [0, 10] },
  { facts: createFacts('b'), layers: [0, 10] },
  { facts: createFacts('c'), layers: [10, 20] },
]);

function readRoom(state = NARROW) {
  return getDomainRoom(state, VARIANT, LAYERS, 'a', 0);
}

describe('RoutingRoom', () => {
  it('counts the memory of the layers with the least, and requests once for each layer', () => {
    const loaded = ['a', 'b', 'c'].reduce(
      (state, id) =>
        setLoad(state, createSeenLoad(id, id === 'c' ? [10, 20] : [0, 10], { kvUsed: 0.4 })),
      NARROW,
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
    const busy = recordCallStart(NARROW, call as unknown as Parameters<typeof recordCallStart>[1]);
    expect(readRoom(busy)?.used).to.equal(1000);
  });

  it('has no memory without a usable engine for some layer', () => {
    // Guards against requests that are admitted to a domain whose last engine with some layers leaves.
    const room = readRoom(markLeaving(NARROW, 'c'));
    expect(room?.capacity).to.equal(0);
    expect(room && getRoomShare(room)).to.equal(Infinity);
    expect(getDomainRoom(NARROW, VARIANT, LAYERS, 'other', 0)).to.equal(null);
  });
});
