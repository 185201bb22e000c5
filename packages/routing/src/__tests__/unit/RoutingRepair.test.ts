import { expect } from 'chai';
import { createChain, formatChain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { recordCallEnd, recordCallStart, recordFirstToken } from '../../RoutingCalls.js';
import { selectChain } from '../../RoutingChoice.js';
import { refreshPlans } from '../../RoutingPlans.js';
import { selectRepair } from '../../RoutingRepair.js';
import type { RoutingState } from '../../RoutingState.js';
import { markLeaving, setLoad, setRoutingFacts } from '../../RoutingState.js';
import {
  createQuery,
  createFacts,
  createFilledState,
  createSeenLoad,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';

function createTestChain() {
  const chain = createChain(VARIANT, LAYERS, [
    { engine: 'a', layers: { first: 0, end: 10 } },
    { engine: 'b', layers: { first: 10, end: 20 } },
  ]);
  if (!chain.ok) {
    throw new Error('expected the stages to form a chain');
  }
  return chain.value;
}

describe('RoutingRepair', () => {
  it('replaces a stage whose engine is gone or holds other layers, even if it was not reported as failed', () => {
    // Guards against keeping stages without checking their engines: engine b is unregistered while a chain runs on
    // it, then stage a fails. The broken invariant would end the process and all its answers.
    const state = createFilledState([
      { facts: createFacts('a2'), layers: [0, 10] },
      { facts: createFacts('b2'), layers: [10, 20] },
    ]);
    const gone = selectRepair(
      state,
      createTestChain(),
      new Set(['a']),
      createQuery(),
      createRandom(1),
    );
    expect(gone.ok && formatChain(gone.value.chain)).to.equal('a2[0-10) > b2[10-20)');
    const moved = createFilledState([
      { facts: createFacts('a2'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [0, 10] },
      { facts: createFacts('b2'), layers: [10, 20] },
    ]);
    const afterMove = selectRepair(
      moved,
      createTestChain(),
      new Set(['a']),
      createQuery(),
      createRandom(1),
    );
    expect(afterMove.ok && formatChain(afterMove.value.chain)).to.match(/ > b2\[10-20\)$/);
  });

  it('replaces a stage whose engine holds the same layers of another version', () => {
    // Guards against an answer that is sent again and again to an engine that has changed its version and refuses it.
    const { seenAt, load } = createSeenLoad('b', [10, 20]);
    const holding = load.holding && { ...load.holding, version: 'v2' };
    const state = setLoad(
      createFilledState([
        { facts: createFacts('a2'), layers: [0, 10] },
        { facts: createFacts('b'), layers: [10, 20] },
        { facts: createFacts('b2'), layers: [10, 20] },
      ]),
      { seenAt, load: { ...load, holding } },
    );
    const repair = selectRepair(
      state,
      createTestChain(),
      new Set(['a']),
      createQuery(),
      createRandom(1),
    );
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a2[0-10) > b2[10-20)');
  });

  it('keeps no stage on a leaving engine, since the repaired chain is new work to it', () => {
    // An answer runs on a and b; a announces that it is leaving, then b fails and is replaced. If a is kept because
    // it has not failed, it receives the rest of the answer as a new call, 3.5 s after its announcement.
    const state = createFilledState([
      { facts: createFacts('a'), layers: [0, 10] },
      { facts: createFacts('a2'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [10, 20] },
      { facts: createFacts('b2'), layers: [10, 20] },
    ]);
    const repair = selectRepair(
      markLeaving(state, 'a'),
      createTestChain(),
      new Set(['b']),
      createQuery(),
      createRandom(1),
    );
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a2[0-10) > b2[10-20)');
  });

  // Stage b fails; no single engine holds its layers, but two smaller ones together do. Guards against one-for-one
  // replacement only, which would prefill the prompt again on all stages.
  it('replaces only the failed stage, by several engines if necessary', () => {
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
      createQuery(),
      createRandom(1),
    );
    expect(repair.ok && repair.value.kind).to.equal('stages');
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a[0-10) > c[10-15) > d[15-20)');
    expect(repair.ok && repair.value.newStages.map(({ engine }) => engine)).to.deep.equal([
      'c',
      'd',
    ]);
  });

  it('falls back to a whole new chain if only a remaining engine of the chain holds the lost layers', () => {
    const state = createFilledState([
      { facts: createFacts('a'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [0, 20] },
    ]);
    const repair = selectRepair(
      state,
      createTestChain(),
      new Set(['a']),
      createQuery(),
      createRandom(1),
    );
    expect(repair.ok && repair.value.kind).to.equal('whole');
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('b[0-20)');
  });

  // A chain runs in domain b for a caller in domain a, and its second stage fails. Guards against a replacement in
  // the caller's domain, with which each token would cross between the domains twice.
  it('replaces a stage in the domain where the chain runs, and avoids a full engine', () => {
    const state = createFilledState([
      { facts: createFacts('a', { domain: 'b' }), layers: [0, 10] },
      { facts: createFacts('b', { domain: 'b' }), layers: [10, 20] },
      { facts: createFacts('near', { domain: 'a' }), layers: [10, 20] },
      { facts: createFacts('full', { domain: 'b' }), layers: [10, 20] },
      { facts: createFacts('free', { domain: 'b' }), layers: [10, 20] },
    ]);
    const filled = setLoad(state, createSeenLoad('full', [10, 20], { kvUsed: 1, seenAt: 1 }));
    const repair = selectRepair(
      filled,
      createTestChain(),
      new Set(['b']),
      createQuery(),
      createRandom(2),
    );
    expect(repair.ok && formatChain(repair.value.chain)).to.equal('a[0-10) > free[10-20)');
    expect(repair.ok && repair.value.crossedDomain).to.equal(true);
  });

  /** Domain `a` with a slow engine `s` as the alternative to `b`, and domain `z` with cross-domain capacity. */
  function createTwoDomains() {
    const state = createFilledState([
      { facts: createFacts('a'), layers: [0, 10] },
      { facts: createFacts('b'), layers: [10, 20] },
      { facts: createFacts('s', { speed: 4000 }), layers: [10, 20] },
      { facts: createFacts('y', { domain: 'z', rack: 'z1' }), layers: [0, 10] },
      { facts: createFacts('z', { domain: 'z', rack: 'z1' }), layers: [10, 20] },
    ]);
    const tuning = { ...state.tuning, domain: 'a' };
    return refreshPlans(setRoutingFacts(state, { tuning }), 0);
  }

  it('does not send all answers of a lost rack to the only remaining engine', () => {
    // One slow engine outside the lost rack holds the last layers, and all answers are repaired at once. Guards
    // against repairs that ignore queued prompts: that engine would prefill them one after another, and half of
    // the answers would stall for two seconds.
    const start = createTwoDomains();
    const ask = createQuery({ isBegun: true });
    let state = start;
    const engines: string[] = [];
    for (let i = 0; i < 16; i++) {
      const repair = selectRepair(state, createTestChain(), new Set(['b']), ask, createRandom(i));
      if (!repair.ok) {
        throw new Error('expected a repair');
      }
      const { chain } = repair.value;
      engines.push(chain.stages[1]?.engine ?? '');
      state = recordCallStart(state, { chain, promptTokens: 100, maxTokens: 50 });
    }
    expect(engines[0]).to.equal('s');
    expect(engines.filter((engine) => engine === 'z')).to.have.length.above(3);
  });

  it('reserves a bounded part of the cross-domain limit for interrupted answers', () => {
    // New requests have used their part of the cross-domain limit. Guards against the same limit for interrupted
    // answers: those of low priority that lost their rack would wait until other calls end.
    let state = createTwoDomains();
    const avoidEngines = new Set(['b', 's']);
    const countAccepted = (isBegun: boolean): number => {
      const ask = createQuery({ priority: 'low', avoidEngines, isBegun });
      for (let count = 0; ; count++) {
        const choice = selectChain(state, ask, createRandom(count));
        if (!choice.ok) {
          return count;
        }
        const call = { chain: choice.value.chain, promptTokens: 100, maxTokens: 50 };
        state = recordCallStart(state, call);
      }
    };
    const counts = [countAccepted(false), countAccepted(true)];
    expect(counts[0]).to.be.above(0);
    expect(counts[1]).to.be.within(counts[0] ?? 0, 2 * (counts[0] ?? 0));
  });

  it('avoids another domain after a chain there timed out without output, until a token arrives', () => {
    // A chain in z produces no output while others do; membership reports the partition only 2 s later. Guards
    // against ignoring a failure without a known engine: until then each request would try z again.
    const avoidEngines = new Set(['b', 's']);
    const choose = (from: RoutingState, now: number) =>
      selectChain(from, createQuery({ avoidEngines, now }), createRandom(1));
    const start = createTwoDomains();
    const choice = choose(start, 0);
    if (!choice.ok) {
      throw new Error('expected a chain in domain z');
    }
    const call = { chain: choice.value.chain, promptTokens: 100, maxTokens: 50 };
    const outcome = { kind: 'failed', engine: null, isSilent: true } as const;
    const running = recordCallStart(recordCallStart(start, call), call);
    const suspecting = recordCallEnd(running, call, outcome, false, 0);
    expect([choose(suspecting, 1900).ok, choose(suspecting, 2100).ok]).to.deep.equal([false, true]);
    expect(choose(recordFirstToken(suspecting, call, 100), 200).ok).to.equal(true);
  });

  it('avoids the own domain too if so configured, but uses it if no other domain can serve', () => {
    // The only chain of the own domain times out without output, and the failed engine is still registered. Guards
    // against suspecting only other domains: for seconds, new requests would wait for the failed chain.
    const tuning = { isOwnDoubted: true, doubtTime: 4000 };
    const before = createTwoDomains();
    const start = setRoutingFacts(before, { tuning: { ...before.tuning, ...tuning } });
    const getChosenDomain = (from: RoutingState, now: number, avoid: readonly string[] = []) => {
      const ask = createQuery({ now, avoidEngines: new Set(avoid) });
      const choice = selectChain(from, ask, createRandom(1));
      return choice.ok
        ? from.engines.get(choice.value.chain.stages[0]?.engine ?? '')?.domain
        : null;
    };
    expect(getChosenDomain(start, 0)).to.equal('a');
    const choice = selectChain(start, createQuery(), createRandom(1));
    if (!choice.ok) {
      throw new Error('expected a chain in domain a');
    }
    const call = { chain: choice.value.chain, promptTokens: 100, maxTokens: 50 };
    const silent = { kind: 'failed', engine: null, isSilent: true } as const;
    const suspecting = recordCallEnd(recordCallStart(start, call), call, silent, false, 0);
    expect([getChosenDomain(suspecting, 3900), getChosenDomain(suspecting, 4100)]).to.deep.equal([
      'z',
      'a',
    ]);
    const others = [...start.engines.values()].filter(({ domain }) => domain === 'z');
    expect(
      getChosenDomain(
        suspecting,
        100,
        others.map(({ id }) => id),
      ),
    ).to.equal('a');
  });
});
