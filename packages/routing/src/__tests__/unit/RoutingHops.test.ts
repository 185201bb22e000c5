import { expect } from 'chai';
import type { Chain } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { recordCallStart, recordFirstToken } from '../../RoutingCalls.js';
import { selectChain } from '../../RoutingChoice.js';
import { isOnSlowHop, recordPaces } from '../../RoutingHops.js';
import { selectRepair } from '../../RoutingRepair.js';
import type { RoutingState } from '../../RoutingTypes.js';
import { createQuery, createFacts, createFilledState, LAYERS, VARIANT } from './RoutingFixtures.js';

const RECORD_PERIOD = 100;
const FIRST = ['a1', 'a2', 'a3'];
const SECOND = ['b1', 'b2', 'b3'];

function createTestChain(first: string, second: string): Chain {
  const chain = createChain(VARIANT, LAYERS, [
    { engine: first, layers: { first: 0, end: 10 } },
    { engine: second, layers: { first: 10, end: 20 } },
  ]);
  if (!chain.ok) {
    throw new Error('expected the stages to form a chain');
  }
  return chain.value;
}

const CHAINS = FIRST.flatMap((first) => SECOND.map((second) => createTestChain(first, second)));

/** Three engines in each of two racks, and one engine `c` for the second half in a third rack. */
function createState(hasOther: boolean): RoutingState {
  const second = SECOND.map((id) => createFacts(id, { rack: 'r2' }));
  return createFilledState([
    ...FIRST.map((id) => ({ facts: createFacts(id, { rack: 'r1' }), layers: [0, 10] as const })),
    ...second.map((facts) => ({ facts, layers: [10, 20] as const })),
    ...(hasOther ? [{ facts: createFacts('c', { rack: 'r3' }), layers: [10, 20] as const }] : []),
  ]);
}

/** Records the progress of all streams every 100 ms from `from` to `to`. */
function recordStreams(
  state: RoutingState,
  [from, to]: readonly [number, number],
  getGap: (chain: Chain) => number,
): RoutingState {
  let next = state;
  for (let now = from; now < to; now += RECORD_PERIOD) {
    next = recordPaces(
      next,
      CHAINS.map((chain) => ({ chain, gap: getGap(chain) })),
      now,
    );
  }
  return next;
}

function choose(state: RoutingState, seed: number) {
  return selectChain(state, createQuery(), createRandom(seed));
}

describe('RoutingHops', () => {
  it('avoids a slow link, also in repairs, if there is another path', () => {
    // Guards against selection by the configured link rate only: the link from rack r1 to r2 slows down, and all
    // streams over it are late whatever their engines. New requests and repairs must use another link.
    const state = recordStreams(createState(true), [0, 500], () => 200);
    expect(isOnSlowHop(state, createTestChain('a1', 'b1'))).to.equal(true);
    expect(isOnSlowHop(state, createTestChain('a1', 'c'))).to.equal(false);
    for (let seed = 1; seed <= 20; seed++) {
      const choice = choose(state, seed);
      expect(choice.ok && choice.value.chain.stages[1]?.engine).to.equal('c');
    }
    const failedChain = createTestChain('a1', 'b1');
    const repair = selectRepair(
      state,
      failedChain,
      new Set(['b1']),
      createQuery(),
      createRandom(1),
    );
    expect(repair.ok && repair.value.chain.stages.map(({ engine }) => engine)).to.deep.equal([
      'a1',
      'c',
    ]);
  });

  it('does not consider a link slow if its late streams share one engine', () => {
    // Guards against one slow engine closing a rack to all requests: b1 slows down tenfold, so a third of the
    // streams between the racks are late, all of them on b1.
    const state = recordStreams(createState(false), [0, 2000], ({ stages }) =>
      stages[1]?.engine === 'b1' ? 400 : 40,
    );
    expect(CHAINS.some((chain) => isOnSlowHop(state, chain))).to.equal(false);
    expect(choose(state, 1).ok).to.equal(true);
  });

  it('limits a slow link without alternative to one prompt at a time, and raises the limit as it recovers', () => {
    // All chains cross the slow link, and each prompt on it delays all streams. Guards against a backlog that
    // never drains because prompts are not limited, and against a link that stays closed after it recovers
    // because nothing probes it.
    const late = recordStreams(createState(false), [0, 500], () => 200);
    expect(choose(late, 1).ok).to.equal(false);
    const recovering = recordStreams(late, [500, 1500], () => 60);
    const first = choose(recovering, 1);
    expect(first.ok).to.equal(true);
    const call = { chain: createTestChain('a1', 'b1'), promptTokens: 100, maxTokens: 50 };
    const prefilling = recordCallStart(recovering, call);
    expect(choose(prefilling, 2).ok).to.equal(false);
    expect(choose(recordFirstToken(prefilling, call), 2).ok).to.equal(true);
    const probed = recordStreams(prefilling, [1500, 3500], () => 60);
    expect(isOnSlowHop(probed, call.chain)).to.equal(true);
    expect(choose(probed, 2).ok).to.equal(true);
    const recovered = recordStreams(probed, [3500, 14_000], () => 60);
    expect([isOnSlowHop(recovered, call.chain), recovered.hops.size]).to.deep.equal([false, 0]);
  });
});
