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
    throw new Error('the stages form a chain');
  }
  return chain.value;
}

describe('RoutingRepair', () => {
  it('replaces a stage whose engine is gone or holds other layers, though nobody named it', () => {
    // Symptom: a process ended with "a chosen engine is known", and with it every answer that it ran.
    // Sequence: engine b is unregistered while a chain runs on it; then stage a of that chain fails.
    // Cause: stages that nobody named as failed were kept without a look at what their engines hold.
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
    const recut = selectRepair(
      moved,
      createTestChain(),
      new Set(['a']),
      createQuery(),
      createRandom(1),
    );
    expect(recut.ok && formatChain(recut.value.chain)).to.match(/ > b2\[10-20\)$/);
  });

  it('keeps no stage on an engine that leaves: to it the repaired chain is new work', () => {
    // Symptom: a request reaches an engine 3.5 s after that had said that it leaves.
    // Sequence: an answer runs on a and b; a says that it leaves; then b falls silent and is replaced.
    // Cause: a was kept as it had not failed, and the rest of the answer was sent to it as a new call.
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

  it('falls back to a whole new chain if only a kept engine holds the lost layers', () => {
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

  /** The domain `a` with a slow engine `s` beside `b`, and a domain `z` that lends. */
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

  it('does not send all answers of a lost rack to the one engine that is left', () => {
    // Symptom: after the loss of a rack half of its answers stand still for two seconds.
    // Sequence: the rack held the last layers but for one slow engine; all answers are repaired at once,
    // each with that engine, which reads their prompts one behind the other.
    // Cause: a repair was taken if its engine had room, however many prompts it had yet to read.
    const start = createTwoDomains();
    const ask = createQuery({ isBegun: true });
    let state = start;
    const engines: string[] = [];
    for (let i = 0; i < 16; i++) {
      const repair = selectRepair(state, createTestChain(), new Set(['b']), ask, createRandom(i));
      if (!repair.ok) {
        throw new Error('there is a repair');
      }
      const { chain } = repair.value;
      engines.push(chain.stages[1]?.engine ?? '');
      state = recordCallStart(state, { chain, promptTokens: 100, maxTokens: 50 });
    }
    expect(engines[0]).to.equal('s');
    expect(engines.filter((engine) => engine === 'z')).to.have.length.above(3);
  });

  it('keeps a part of what another domain lends for begun answers, and a bound on it', () => {
    // Symptom: answers of low priority that lost their rack wait until others have ended.
    // Sequence: new requests have filled what they may of the lent share; a begun answer asks.
    // Cause: begun answers had the same part as new requests of their priority.
    let state = createTwoDomains();
    const avoidEngines = new Set(['b', 's']);
    const fill = (isBegun: boolean): number => {
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
    const counts = [fill(false), fill(true)];
    expect(counts[0]).to.be.above(0);
    expect(counts[1]).to.be.within(counts[0] ?? 0, 2 * (counts[0] ?? 0));
  });

  it('keeps off another domain after a chain there stayed silent, until it gives a token', () => {
    // Symptom: after a cut each request tries the lost domain for itself, again and again.
    // Sequence: a chain in z gives nothing, while others go on; membership tells of the cut 2 s later.
    // Cause: a failure that is laid to no single engine was forgotten.
    const avoidEngines = new Set(['b', 's']);
    const choose = (from: RoutingState, now: number) =>
      selectChain(from, createQuery({ avoidEngines, now }), createRandom(1));
    const start = createTwoDomains();
    const choice = choose(start, 0);
    if (!choice.ok) {
      throw new Error('z lends');
    }
    const call = { chain: choice.value.chain, promptTokens: 100, maxTokens: 50 };
    const outcome = { kind: 'failed', engine: null, isSilent: true } as const;
    const running = recordCallStart(recordCallStart(start, call), call);
    const doubting = recordCallEnd(running, call, outcome, false, 0);
    expect([choose(doubting, 1900).ok, choose(doubting, 2100).ok]).to.deep.equal([false, true]);
    expect(choose(recordFirstToken(doubting, call, 100), 200).ok).to.equal(true);
  });

  it('keeps off the own domain too where it has one chain, and takes it if no other serves', () => {
    // Symptom: for seconds each new request waits for a chain of which one engine is dead.
    // Sequence: the only chain of the own domain falls silent; the dead engine's entry stands on.
    // Cause: only other domains were doubted, since the own one had spare engines.
    const tuning = { isOwnDoubted: true, doubtTime: 4000 };
    const before = createTwoDomains();
    const start = setRoutingFacts(before, { tuning: { ...before.tuning, ...tuning } });
    const domainOf = (from: RoutingState, now: number, avoid: readonly string[] = []) => {
      const ask = createQuery({ now, avoidEngines: new Set(avoid) });
      const choice = selectChain(from, ask, createRandom(1));
      return choice.ok
        ? from.engines.get(choice.value.chain.stages[0]?.engine ?? '')?.domain
        : null;
    };
    expect(domainOf(start, 0)).to.equal('a');
    const choice = selectChain(start, createQuery(), createRandom(1));
    if (!choice.ok) {
      throw new Error('a serves');
    }
    const call = { chain: choice.value.chain, promptTokens: 100, maxTokens: 50 };
    const silent = { kind: 'failed', engine: null, isSilent: true } as const;
    const doubting = recordCallEnd(recordCallStart(start, call), call, silent, false, 0);
    expect([domainOf(doubting, 3900), domainOf(doubting, 4100)]).to.deep.equal(['z', 'a']);
    const others = [...start.engines.values()].filter(({ domain }) => domain === 'z');
    expect(
      domainOf(
        doubting,
        100,
        others.map(({ id }) => id),
      ),
    ).to.equal('a');
  });
});
