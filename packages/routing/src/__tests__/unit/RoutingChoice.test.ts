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

/** Two domains of four engines each, seen from domain `a`. */
function createDomains(): RoutingState {
  const engines = ['a', 'b'].flatMap((domain) =>
    [1, 2, 3, 4].map((i) => ({ facts: createFacts(`${domain}${i}`, { domain }), layers: WHOLE })),
  );
  const state = createFilledState(engines);
  const tuning = { ...state.tuning, domain: 'a', foreignInstanceCount: 2 };
  return refreshPlans(setRoutingFacts(state, { tuning }), 0);
}

/** Starts calls until one is refused; gives the engines used and the refusal. */
function fillUp(start: RoutingState, now = 0) {
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

function countIn(engines: readonly EngineId[], domain: string): number {
  return engines.filter((id) => id.startsWith(domain)).length;
}

describe('RoutingChoice', () => {
  // Symptom: with one domain overloaded, the next one fell over too, and then the third.
  // Sequence: what the first refused went to the second in full, on top of the second's own load.
  // Cause: crossing had no limit of its own.
  it('fills the own domain first and borrows only the share that others lend', () => {
    const { engines, refusal } = fillUp(createDomains());
    const own = countIn(engines, 'a');
    const borrowed = countIn(engines, 'b');
    expect(refusal).to.equal('no-capacity');
    expect(engines.slice(0, own).every((id) => id.startsWith('a'))).to.equal(true);
    // A fifth of the other domain, shared by two instances, of which normal work may use 85 in 100.
    expect(borrowed / own).to.be.within(0.06, 0.1);
  });

  // Symptom: when a cut healed, the domain that came back was flooded at once.
  // Sequence: all instances of the others saw it empty at the same moment and sent what they held back.
  // Cause: a domain that can be reached again lent its full share from the first moment.
  it('borrows nothing across a cut, and step by step after it healed', () => {
    const cut = setDomainReach(createDomains(), 'b', false, 0);
    expect(countIn(fillUp(cut).engines, 'b')).to.equal(0);
    const healed = setDomainReach(cut, 'b', true, 1000);
    const early = countIn(fillUp(healed, 1100).engines, 'b');
    const half = countIn(fillUp(healed, 11000).engines, 'b');
    const full = countIn(fillUp(healed, 21000).engines, 'b');
    expect(early).to.equal(0);
    expect(half).to.be.greaterThan(early);
    expect(full).to.be.greaterThan(half);
  });

  it('says why there is no chain: not held, a gap, or out of reach', () => {
    const random = createRandom(1);
    const ask = createQuery({ domain: 'a' });
    const none = selectChain(createFilledState([]), ask, random);
    const part = { facts: createFacts('x'), layers: [0, 10] as const };
    const gap = selectChain(createFilledState([part]), ask, random);
    const away = setDomainReach(createDomains(), 'b', false, 0);
    const cut = selectChain(away, createQuery({ domain: 'c' }), random);
    expect([none, gap].map((r) => !r.ok && r.error.kind)).to.deep.equal([
      'model-not-held',
      'layers-missing',
    ]);
    // Domain a still lends; with it away too there is nothing that can be reached.
    expect(cut.ok).to.equal(true);
    const nothing = selectChain(
      setDomainReach(away, 'a', false, 0),
      createQuery({ domain: 'c' }),
      random,
    );
    expect(!nothing.ok && nothing.error.kind).to.equal('cut-off');
  });

  // Symptom: one idle engine drew the work of all instances at once and was overrun within a second.
  // Sequence: all instances read the same report, which said that this engine was idle.
  // Cause: each took the least loaded engine of all.
  it('does not herd: twenty instances with one report use every engine', () => {
    const base = [1, 2, 3, 4, 5, 6].map((i) => ({ facts: createFacts(`a${i}`), layers: WHOLE }));
    const start = base
      .slice(1)
      .reduce(
        (state, { facts }) =>
          setLoad(state, createSeenLoad(facts.id, WHOLE, { running: 6, seenAt: 1 })),
        createFilledState(base),
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

  it('leaves engines without room in the KV cache, and prefers those that hold the prefix', () => {
    const engines = ['x', 'y'].map((id) => ({ facts: createFacts(id), layers: WHOLE }));
    const state = refreshPlans(createFilledState(engines), 0);
    const full = setLoad(state, createSeenLoad('x', WHOLE, { kvUsed: 0.999, seenAt: 1 }));
    const ask = createQuery({
      promptTokens: 2000,
      prefixKeys: [{ key: 'template', tokens: 1900 }],
      now: 2,
    });
    const random = createRandom(1);
    const roomy = selectChain(full, ask, random);
    expect(roomy.ok && roomy.value.chain.stages[0]?.engine).to.equal('y');
    if (!roomy.ok) {
      return;
    }
    const call = { chain: roomy.value.chain, promptTokens: 2000, maxTokens: 50 };
    const cached = recordFirstToken(
      recordCallStart(state, { ...call, prefixKeys: ask.prefixKeys }),
      { ...call, prefixKeys: ask.prefixKeys },
      1,
    );
    // The engine with the prefix has one call more, which weighs less than the prompt.
    const again = selectChain(cached, ask, random);
    expect(again.ok && again.value.chain.stages[0]?.engine).to.equal('y');
    expect(again.ok && again.value.cachedTokens).to.be.greaterThan(1800);
  });
});
