import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import type { RoutingState } from '../../RoutingState.js';
import { setLoad, setRoutingFacts } from '../../RoutingState.js';
import { createQuery, createFacts, createFilledState, createSeenLoad } from './RoutingFixtures.js';

/** How often each engine is in a chain of `count` choices that leave no trace. */
function countChoices(state: RoutingState, count: number): ReadonlyMap<EngineId, number> {
  const random = createRandom(3);
  const counts = new Map<EngineId, number>();
  for (let i = 0; i < count; i++) {
    const choice = selectChain(state, createQuery(), random);
    for (const { engine } of choice.ok ? choice.value.chain.stages : []) {
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
    }
  }
  return counts;
}

describe('RoutingPlans', () => {
  // Symptom: half of all tokens crossed the slow link of a rack although both racks were complete.
  // Sequence: the second stage was chosen by load alone, and the slow link's rack looked as free.
  // Cause: links took no part in the shares.
  it('keeps chains within racks behind a slow link', () => {
    const engines = ['r1', 'r2'].flatMap((rack) => [
      { facts: createFacts(`${rack}-x`, { rack }), layers: [0, 10] as const },
      { facts: createFacts(`${rack}-y`, { rack }), layers: [10, 20] as const },
    ]);
    const links = [{ from: 'r1', to: 'r2', bytesPerSecond: 1e7, delayMs: 5 }];
    const state = refreshPlans(setRoutingFacts(createFilledState(engines), { links }), 0);
    const random = createRandom(1);
    for (let i = 0; i < 50; i++) {
      const choice = selectChain(state, createQuery(), random);
      const racks = choice.ok ? choice.value.chain.stages.map(({ engine }) => engine[1]) : [];
      expect(new Set(racks).size).to.equal(1);
    }
  });

  // Symptom: of two equal engines with more than enough capacity one idled and one made requests wait.
  // Sequence: the first stage limits the flow; the second stage's engines can carry twice as much.
  // Cause: a max-flow may put all of its flow on one of them.
  it('spreads the work of a stage that has more than enough', () => {
    const state = refreshPlans(
      createFilledState([
        { facts: createFacts('narrow'), layers: [0, 10] },
        { facts: createFacts('wide1', { rack: 'a1' }), layers: [10, 20] },
        { facts: createFacts('wide2', { rack: 'a2' }), layers: [10, 20] },
      ]),
      0,
    );
    const counts = countChoices(state, 200);
    expect(counts.get('wide1')).to.be.within(60, 140);
    expect(counts.get('wide2')).to.be.within(60, 140);
  });

  it('leaves out engines whose reports stopped, unless all have stopped', () => {
    const engines = ['a', 'b', 'c'].map((id) => ({
      facts: createFacts(id),
      layers: [0, 20] as const,
    }));
    const start = createFilledState(engines);
    const alive = ['a', 'b'].reduce(
      (state, id) => setLoad(state, createSeenLoad(id, [0, 20], { seenAt: 6000 })),
      start,
    );
    expect([...countChoices(refreshPlans(alive, 6000), 60).keys()].sort()).to.deep.equal([
      'a',
      'b',
    ]);
    expect(countChoices(refreshPlans(start, 60000), 60).size).to.equal(3);
  });
});
