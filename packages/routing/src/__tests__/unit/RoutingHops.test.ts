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

const TICK = 100;
const FIRST = ['a1', 'a2', 'a3'];
const SECOND = ['b1', 'b2', 'b3'];

function createTestChain(first: string, second: string): Chain {
  const chain = createChain(VARIANT, LAYERS, [
    { engine: first, layers: { first: 0, end: 10 } },
    { engine: second, layers: { first: 10, end: 20 } },
  ]);
  if (!chain.ok) {
    throw new Error('the stages form a chain');
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

/** Takes in paces every 100 ms from `from` to `to`. */
function watch(
  state: RoutingState,
  [from, to]: readonly [number, number],
  getGap: (chain: Chain) => number,
): RoutingState {
  let next = state;
  for (let now = from; now < to; now += TICK) {
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
  it('goes round a slow link, also in repair, where there is another way', () => {
    // Symptom: answers pause again and again for as long as a link is slow, though others are free.
    // Sequence: the link from rack r1 to r2 slows down; every stream over it is late, whatever its
    // engines; new requests and repairs go on crossing it.
    // Cause: choice knows a link by its configured rate only, and lateness is laid to engines.
    const state = watch(createState(true), [0, 500], () => 200);
    expect(isOnSlowHop(state, createTestChain('a1', 'b1'))).to.equal(true);
    expect(isOnSlowHop(state, createTestChain('a1', 'c'))).to.equal(false);
    for (let seed = 1; seed <= 20; seed++) {
      const choice = choose(state, seed);
      expect(choice.ok && choice.value.chain.stages[1]?.engine).to.equal('c');
    }
    const broken = createTestChain('a1', 'b1');
    const repair = selectRepair(state, broken, new Set(['b1']), createQuery(), createRandom(1));
    expect(repair.ok && repair.value.chain.stages.map(({ engine }) => engine)).to.deep.equal([
      'a1',
      'c',
    ]);
  });

  it('lays nothing to a link whose late streams share one engine', () => {
    // Symptom: one slow engine closes a rack to all requests.
    // Sequence: b1 slows down tenfold; a third of the streams between the racks are late.
    // Cause: counting late streams without asking what else they have in common.
    const state = watch(createState(false), [0, 2000], ({ stages }) =>
      stages[1]?.engine === 'b1' ? 400 : 40,
    );
    expect(CHAINS.some((chain) => isOnSlowHop(state, chain))).to.equal(false);
    expect(choose(state, 1).ok).to.equal(true);
  });

  it('gives a slow link without another way one prompt at a time, and more once it bears them', () => {
    // Symptom: a domain whose only link is slow never gets free of its backlog, or is shut for good.
    // Sequence: all chains cross the slow link; each prompt on it holds up all streams; it is mended.
    // Cause: prompts are let on as if only engines had limits; or nothing ever probes the link.
    const late = watch(createState(false), [0, 500], () => 200);
    expect(choose(late, 1).ok).to.equal(false);
    const calm = watch(late, [500, 1500], () => 60);
    const first = choose(calm, 1);
    expect(first.ok).to.equal(true);
    const call = { chain: createTestChain('a1', 'b1'), promptTokens: 100, maxTokens: 50 };
    const reading = recordCallStart(calm, call);
    expect(choose(reading, 2).ok).to.equal(false);
    expect(choose(recordFirstToken(reading, call), 2).ok).to.equal(true);
    const probed = watch(reading, [1500, 3500], () => 60);
    expect(isOnSlowHop(probed, call.chain)).to.equal(true);
    expect(choose(probed, 2).ok).to.equal(true);
    const mended = watch(probed, [3500, 14_000], () => 60);
    expect([isOnSlowHop(mended, call.chain), mended.hops.size]).to.deep.equal([false, 0]);
  });
});
