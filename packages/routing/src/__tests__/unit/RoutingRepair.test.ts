import { expect } from 'chai';
import { createChain, formatChain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { selectRepair } from '../../RoutingRepair.js';
import { setLoad } from '../../RoutingState.js';
import {
  createAsk,
  createFacts,
  createFilledState,
  createSeen,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';

function createTestChain() {
  const chain = createChain(VARIANT, LAYERS, [
    { engine: 'a', layers: { first: 0, end: 10 } },
    { engine: 'b', layers: { first: 10, end: 20 } },
  ]);
  if (!chain.ok) {
    throw new Error('the stages form a chain');
  }
  return chain.value;
}

describe('RoutingRepair', () => {
  // Symptom: an answer whose second stage died was prefilled anew on every stage.
  // Sequence: stage b dies; no single engine holds its layers, two small ones together do.
  // Cause: only one-for-one replacements were looked for.
  it('replaces only the failed stage, by several engines if need be', () => {
    const state = createFilledState([
      { facts: createFacts('a'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [10, 20] },
      { facts: createFacts('c'), layers: [10, 15] },
      { facts: createFacts('d'), layers: [15, 20] },
    ]);
    const repair = selectRepair(
      state,
      createTestChain(),
      new Set(['b']),
      createAsk(),
      createRandom(1),
    );
    expect(repair.ok && repair.value.kind).to.equal('stages');
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a[0-10) > c[10-15) > d[15-20)');
    expect(repair.ok && repair.value.newStages.map(({ engine }) => engine)).to.deep.equal([
      'c',
      'd',
    ]);
  });

  it('falls back to a whole new chain if only a kept engine holds the lost layers', () => {
    const state = createFilledState([
      { facts: createFacts('a'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [0, 20] },
    ]);
    const repair = selectRepair(
      state,
      createTestChain(),
      new Set(['a']),
      createAsk(),
      createRandom(1),
    );
    expect(repair.ok && repair.value.kind).to.equal('whole');
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('b[0-20)');
  });

  // Symptom: after a repair each token of an answer crossed between domains twice.
  // Sequence: a chain runs in domain b, lent to a caller of a; its second stage dies there.
  // Cause: the replacement was looked for in the domain of the caller.
  it('replaces a stage in the domain where the chain runs, and passes over a full engine', () => {
    const state = createFilledState([
      { facts: createFacts('a', { domain: 'b' }), layers: [0, 10] },
      { facts: createFacts('b', { domain: 'b' }), layers: [10, 20] },
      { facts: createFacts('near', { domain: 'a' }), layers: [10, 20] },
      { facts: createFacts('full', { domain: 'b' }), layers: [10, 20] },
      { facts: createFacts('free', { domain: 'b' }), layers: [10, 20] },
    ]);
    const filled = setLoad(state, createSeen('full', [10, 20], { kvUsed: 1, seenAt: 1 }));
    const repair = selectRepair(
      filled,
      createTestChain(),
      new Set(['b']),
      createAsk(),
      createRandom(2),
    );
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a[0-10) > free[10-20)');
    expect(repair.ok && repair.value.crossedDomain).to.equal(true);
  });
});
