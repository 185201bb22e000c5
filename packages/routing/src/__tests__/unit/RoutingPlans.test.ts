import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import type { RoutingState } from '../../RoutingState.js';
import { setLoad, setRoutingFacts } from '../../RoutingState.js';
import { createQuery, createFacts, createFilledState, createSeenLoad } from './RoutingFixtures.js';

/** How often each engine is in a chain over `count` selections, none of which is recorded as a call. */
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
  // Guards against shares that ignore links: if the second stage is selected by load alone, half of all tokens
  // cross the slow link although each rack can serve complete chains.
  it('keeps chains within a rack if the link between racks is slow', () => {
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

  // The first stage limits the flow; the second stage's engines can carry twice as much. Guards against a max-flow
  // that puts all load on one of two equal engines: requests would wait there while the other idles.
  it('spreads the load of a stage with spare capacity', () => {
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

  it('excludes engines whose reports stopped, unless all reports stopped', () => {
    const engines = ['a', 'b', 'c'].map((id) => ({
      facts: createFacts(id),
      layers: [0, 20] as const,
    }));
    const start = createFilledState(engines);
    const partlyReporting = ['a', 'b'].reduce(
      (state, id) => setLoad(state, createSeenLoad(id, [0, 20], { seenAt: 6000 })),
      start,
    );
    expect([...countChoices(refreshPlans(partlyReporting, 6000), 60).keys()].sort()).to.deep.equal([
      'a',
      'b',
    ]);
    expect(countChoices(refreshPlans(start, 60000), 60).size).to.equal(3);
  });
});
