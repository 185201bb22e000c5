import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import type { RoutingState } from '../../RoutingState.js';
import {
  recordCallStart,
  recordFirstToken,
  setDomainReach,
  setLoad,
  setRoutingFacts,
} from '../../RoutingState.js';
import {
  createQuery,
  createFacts,
  createFilledState,
  createSeenLoad,
  LAYERS,
} from './RoutingFixtures.js';

const WHOLE = [0, LAYERS] as const;

/** Two domains of four engines each, as seen from domain `a`. */
function createTwoDomains(): RoutingState {
  const engines = ['a', 'b'].flatMap((domain) =>
    [1, 2, 3, 4].map((i) => ({ facts: createFacts(`${domain}${i}`, { domain }), layers: WHOLE })),
  );
  const state = createFilledState(engines);
  const tuning = { ...state.tuning, domain: 'a', foreignInstanceCount: 2 };
  return refreshPlans(setRoutingFacts(state, { tuning }), 0);
}

/** Starts calls until one is refused; returns the engines used and the refusal. */
function fillCapacity(start: RoutingState, now = 0) {
  const random = createRandom(11);
  const engines: EngineId[] = [];
  let state = start;
  for (;;) {
    const ask = createQuery({ now });
    const choice = selectChain(state, ask, random);
    if (!choice.ok) {
      return { state, engines, refusal: choice.error.kind };
    }
    const { chain } = choice.value;
    engines.push(...chain.stages.map(({ engine }) => engine));
    state = recordCallStart(state, { chain, promptTokens: 100, maxTokens: 50 });
  }
}

function countInDomain(engines: readonly EngineId[], domain: string): number {
  return engines.filter((id) => id.startsWith(domain)).length;
}

describe('RoutingChoice', () => {
  // Guards against cascading overload: without a limit on cross-domain calls, all requests that an overloaded
  // domain refuses go to the next domain on top of its own load, then to the third.
  it('fills the own domain first and uses only the offered share of other domains', () => {
    const { engines, refusal } = fillCapacity(createTwoDomains());
    const own = countInDomain(engines, 'a');
    const remote = countInDomain(engines, 'b');
    expect(refusal).to.equal('no-capacity');
    expect(engines.slice(0, own).every((id) => id.startsWith('a'))).to.equal(true);
    // A fifth of the other domain's capacity, shared by two instances; normal priority may use 85 % of it.
    expect(remote / own).to.be.within(0.06, 0.1);
  });

  // Guards against flooding a domain after a partition: all instances of other domains see it empty at the same
  // moment, and would use its full cross-domain share at once.
  it('uses nothing of an unreachable domain, and a gradually growing share once it is reachable', () => {
    const cut = setDomainReach(createTwoDomains(), 'b', false, 0);
    expect(countInDomain(fillCapacity(cut).engines, 'b')).to.equal(0);
    const reconnected = setDomainReach(cut, 'b', true, 1000);
    const early = countInDomain(fillCapacity(reconnected, 1100).engines, 'b');
    const half = countInDomain(fillCapacity(reconnected, 11000).engines, 'b');
    const full = countInDomain(fillCapacity(reconnected, 21000).engines, 'b');
    expect(early).to.equal(0);
    expect(half).to.be.greaterThan(early);
    expect(full).to.be.greaterThan(half);
  });

  it('gives the reason for a refusal: model not held, layers missing, or domains unreachable', () => {
    const random = createRandom(1);
    const ask = createQuery({ domain: 'a' });
    const none = selectChain(createFilledState([]), ask, random);
    const part = { facts: createFacts('x'), layers: [0, 10] as const };
    const gap = selectChain(createFilledState([part]), ask, random);
    const unreachable = setDomainReach(createTwoDomains(), 'b', false, 0);
    const cut = selectChain(unreachable, createQuery({ domain: 'c' }), random);
    expect([none, gap].map((r) => !r.ok && r.error.kind)).to.deep.equal([
      'model-not-held',
      'layers-missing',
    ]);
    // Domain a is still reachable; without it, no domain is.
    expect(cut.ok).to.equal(true);
    const nothing = selectChain(
      setDomainReach(unreachable, 'a', false, 0),
      createQuery({ domain: 'c' }),
      random,
    );
    expect(!nothing.ok && nothing.error.kind).to.equal('cut-off');
  });

  // Guards against herding: if each instance selects the least loaded engine, all instances with the same report
  // select the same idle engine and overload it within a second.
  it('spreads the calls of twenty instances with the same report over all engines', () => {
    const engines = [1, 2, 3, 4, 5, 6].map((i) => ({ facts: createFacts(`a${i}`), layers: WHOLE }));
    const start = engines
      .slice(1)
      .reduce(
        (state, { facts }) =>
          setLoad(state, createSeenLoad(facts.id, WHOLE, { running: 6, seenAt: 1 })),
        createFilledState(engines),
      );
    const tuning = { ...start.tuning, instanceCount: 20 };
    const view = refreshPlans(setRoutingFacts(start, { tuning }), 1);
    const counts = new Map<EngineId, number>();
    for (let instance = 0; instance < 20; instance++) {
      const random = createRandom(instance + 1);
      let state = view;
      for (let i = 0; i < 6; i++) {
        const choice = selectChain(state, createQuery({ now: 2 }), random);
        if (choice.ok) {
          const { chain } = choice.value;
          chain.stages.forEach(({ engine }) => counts.set(engine, (counts.get(engine) ?? 0) + 1));
          state = recordCallStart(state, { chain, promptTokens: 100, maxTokens: 50 });
        }
      }
    }
    expect(counts.size).to.equal(6);
    expect(Math.max(...counts.values())).to.be.lessThan(0.45 * 120);
  });

  it('avoids engines without room in the KV cache, and prefers those that have the prefix cached', () => {
    const engines = ['x', 'y'].map((id) => ({ facts: createFacts(id), layers: WHOLE }));
    const state = refreshPlans(createFilledState(engines), 0);
    const full = setLoad(state, createSeenLoad('x', WHOLE, { kvUsed: 0.999, seenAt: 1 }));
    const ask = createQuery({
      promptTokens: 2000,
      prefixKeys: [{ key: 'template', tokens: 1900 }],
      now: 2,
    });
    const random = createRandom(1);
    const first = selectChain(full, ask, random);
    expect(first.ok && first.value.chain.stages[0]?.engine).to.equal('y');
    if (!first.ok) {
      return;
    }
    const call = { chain: first.value.chain, promptTokens: 2000, maxTokens: 50 };
    const cached = recordFirstToken(
      recordCallStart(state, { ...call, prefixKeys: ask.prefixKeys }),
      { ...call, prefixKeys: ask.prefixKeys },
      1,
    );
    // The engine with the prefix has one more call, which costs less than the prefill of the prompt.
    const again = selectChain(cached, ask, random);
    expect(again.ok && again.value.chain.stages[0]?.engine).to.equal('y');
    expect(again.ok && again.value.cachedTokens).to.be.greaterThan(1800);
  });
});
