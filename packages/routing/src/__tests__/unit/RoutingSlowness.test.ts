import { expect } from 'chai';
import type { Chain } from '@skylarksail/core/CoreChain';
import { createChain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth, recordTokenGap } from '../../RoutingCalls.js';
import { getHealthShare } from '../../RoutingHealth.js';
import type { AnswerPace, PeerSlowness, SlownessState } from '../../RoutingSlowness.js';
import {
  listObserved,
  MAX_FACTOR,
  NO_SLOWNESS,
  smoothEventGap,
  UNCONFIRMED_FACTOR,
  updateSlowness,
} from '../../RoutingSlowness.js';
import { applySpeeds, limitSpeeds, MAX_SLOW_SHARE, USUAL_SPEEDS } from '../../RoutingSpeeds.js';
import { setRoutingFacts } from '../../RoutingState.js';
import type { RoutingState } from '../../RoutingTypes.js';
import { createFacts, createFilledState, LAYERS, VARIANT } from './RoutingFixtures.js';

/** Two groups of four engines, each with half of the layers. */
const FIRST = ['a1', 'a2', 'a3', 'a4'];
const SECOND = ['b1', 'b2', 'b3', 'b4'];
const HALF = LAYERS / 2;
const USUAL_GAP = 40;

function share(state: RoutingState, isMemoryShared = true): RoutingState {
  const model = { id: VARIANT.model, activationBytes: 1, isMemoryShared };
  return setRoutingFacts(state, { models: new Map([[model.id, model]]) });
}

function createState(isMemoryShared = true): RoutingState {
  const group = (ids: readonly EngineId[], layers: readonly [number, number]) =>
    ids.map((id) => ({ facts: createFacts(id), layers }));
  const engines = [...group(FIRST, [0, HALF]), ...group(SECOND, [HALF, LAYERS])];
  return share(createFilledState(engines), isMemoryShared);
}

const STATE = createState();

function createTestChain(first: EngineId, second: EngineId): Chain {
  const chain = createChain(VARIANT, LAYERS, [
    { engine: first, layers: { first: 0, end: HALF } },
    { engine: second, layers: { first: HALF, end: LAYERS } },
  ]);
  if (!chain.ok) {
    throw new Error('expected the stages to form a chain');
  }
  return chain.value;
}

function createPace(names: string, gap: Millis, eventAt: Millis): AnswerPace {
  const [first = '', second = ''] = names.split(' ');
  return { chain: createTestChain(first, second), gap, eventAt };
}

/** Answers with their gaps, by the engines of their chains. */
function createPaces(gaps: Readonly<Record<string, Millis>>, now: Millis): readonly AnswerPace[] {
  return Object.entries(gaps).map(([names, gap]) => createPace(names, gap, now));
}

function update(
  answers: readonly AnswerPace[],
  {
    known = NO_SLOWNESS,
    state = STATE,
    peers = null,
    now = 1000,
  }: {
    readonly known?: SlownessState;
    readonly state?: RoutingState;
    readonly peers?: PeerSlowness | null;
    readonly now?: Millis;
  } = {},
): SlownessState {
  return updateSlowness(known, state, answers, peers, now);
}

function listEffective({ effective }: SlownessState): Readonly<Record<EngineId, number>> {
  return Object.fromEntries([...effective].map(([id, { factor }]) => [id, factor]));
}

/** Answers of which those through `a1` are slow: an engine six times slower makes a chain of two 3.5 times slower. */
const A1_SLOW = {
  'a1 b1': 3.5 * USUAL_GAP,
  'a1 b2': 3.5 * USUAL_GAP,
  'a2 b1': USUAL_GAP,
  'a3 b2': USUAL_GAP,
  'a4 b3': USUAL_GAP,
};

describe('RoutingSlowness', () => {
  it('attributes slow answers to the engine that no answer at the usual pace runs through', () => {
    const slowness = update(createPaces(A1_SLOW, 1000));
    expect(Object.keys(listEffective(slowness))).to.deep.equal(['a1']);
    expect(listEffective(slowness).a1).to.be.closeTo(6, 1e-9);
    expect(listObserved(slowness, null)[0]?.engine).to.equal('a1');
    expect(listObserved(slowness, null)).to.deep.include({ engine: 'b1', factor: 1 });
  });

  it('finds several slow engines of one chain', () => {
    // Guards against slow engines that are not found because each slow answer is attributed to other engines of its chain.
    const slowness = update(
      createPaces(
        {
          'a1 b1': 6 * USUAL_GAP,
          'a1 b2': 3.5 * USUAL_GAP,
          'a2 b1': 3.5 * USUAL_GAP,
          'a2 b2': USUAL_GAP,
          'a3 b3': USUAL_GAP,
        },
        1000,
      ),
    );
    const factors = listEffective(slowness);
    expect(Object.keys(factors).sort()).to.deep.equal(['a1', 'b1']);
    expect(factors.a1).to.be.closeTo(6, 1e-9);
    expect(factors.b1).to.be.closeTo(6, 1e-9);
  });

  it('finds no engine slow while the instance itself is slow or paused', () => {
    // Guards against an instance with a slow machine that sends its requests, and by its reports those of others, away from healthy engines.
    const slow = Object.fromEntries(Object.keys(A1_SLOW).map((names) => [names, 9 * USUAL_GAP]));
    expect(listEffective(update(createPaces(slow, 1000)))).to.deep.equal({});
    const usual = Object.fromEntries(Object.keys(A1_SLOW).map((names) => [names, USUAL_GAP]));
    const paused = update(createPaces(usual, 0), { now: 900 });
    expect(listEffective(paused)).to.deep.equal({});
    expect(listObserved(paused, null)).to.deep.equal([]);
  });

  it('finds no engine of another domain slow because of a slow link to it', () => {
    // Guards against engines that all instances of a domain avoid while only the link between the domains is slow.
    const foreign = ['c1', 'c2', 'c3'].map((id) => ({
      facts: createFacts(id, { domain: 'other' }),
      layers: [0, LAYERS] as const,
    }));
    const local = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'].map((id) => ({
      facts: createFacts(id),
      layers: [0, LAYERS] as const,
    }));
    const state = share(createFilledState([...foreign, ...local]));
    const answers = [...foreign, ...local].map(({ facts: { id, domain } }) => {
      const chain = createChain(VARIANT, LAYERS, [
        { engine: id, layers: { first: 0, end: LAYERS } },
      ]);
      if (!chain.ok) {
        throw new Error('expected the stage to form a chain');
      }
      const gap = domain === 'other' ? 4 * USUAL_GAP : USUAL_GAP;
      return { chain: chain.value, gap, eventAt: 1000 };
    });
    expect(listEffective(update(answers, { state }))).to.deep.equal({});
    const slower = answers.map((answer, i) => (i === 3 ? { ...answer, gap: 200 } : answer));
    expect(listEffective(update(slower, { state }))).to.deep.equal({ d1: 5 });
  });

  it('counts the time since the last event of an answer that stalls', () => {
    // Guards against a response that stalls and so yields no sample.
    const usual = Object.fromEntries(Object.keys(A1_SLOW).map((names) => [names, USUAL_GAP]));
    const paces = createPaces(usual, 1000).map((pace) =>
      pace.chain.stages[0]?.engine === 'a1' ? { ...pace, eventAt: 700 } : pace,
    );
    expect(listEffective(update(paces)).a1).to.equal(MAX_FACTOR);
    const unmeasured = paces.map((pace) => (pace.eventAt === 700 ? { ...pace, gap: 0 } : pace));
    expect(listEffective(update(unmeasured)).a1).to.equal(MAX_FACTOR);
  });

  it('finds no engine slow with fewer than three answers, or for a model whose memory is not shared', () => {
    const few = createPaces({ 'a1 b1': 6 * USUAL_GAP, 'a2 b2': USUAL_GAP }, 1000);
    expect(listEffective(update(few))).to.deep.equal({});
    const unshared = update(createPaces(A1_SLOW, 1000), { state: createState(false) });
    expect([...unshared.observed]).to.deep.equal([]);
  });

  it('limits the factor from own answers alone, and follows the reports of other instances', () => {
    const paces = createPaces(A1_SLOW, 1000);
    const reports = (entries: readonly (readonly [EngineId, number])[]) =>
      listEffective(update(paces, { peers: new Map(entries) }));
    expect(reports([])).to.deep.equal({ a1: UNCONFIRMED_FACTOR });
    expect(reports([['a1', 5]])).to.deep.equal({ a1: 5 });
    expect(reports([['a1', 1]])).to.deep.equal({});
    expect(reports([['b4', 4]])).to.deep.equal({ a1: UNCONFIRMED_FACTOR, b4: 4 });
  });

  it('limits absurd factors and ignores ones that are not finite', () => {
    const absurd = new Map([
      ['a1', 1e12],
      ['a2', 0],
      ['a3', NaN],
      ['a4', -5],
      ['b1', Infinity],
    ]);
    expect(listEffective(update([], { peers: absurd }))).to.deep.equal({ a1: MAX_FACTOR });
  });

  it('tries an engine again within a few seconds when nothing shows that it is still slow', () => {
    let slowness = update(createPaces(A1_SLOW, 1000));
    for (let now = 1200; now <= 6000; now += 200) {
      slowness = update([], { known: slowness, now });
      if (now === 2000) {
        expect(listEffective(slowness).a1).to.be.closeTo(6, 1e-9);
      }
    }
    expect(listEffective(slowness)).to.deep.equal({});
    expect([...slowness.observed]).to.deep.equal([]);
  });

  it('smooths the time between events so that two events show most of a change', () => {
    const gap = smoothEventGap(smoothEventGap(smoothEventGap(0, 100), 300), 300);
    expect(gap).to.be.closeTo(268, 1e-9);
  });

  it('records no gaps for ejection where requests share memory', () => {
    // Guards against ejection, which would take all memory of a slow engine out at once.
    const chain = createTestChain('a1', 'b1');
    expect(recordTokenGap(STATE, chain, 500, 1000)).to.equal(STATE);
    const unshared = createState(false);
    expect(getHealth(recordTokenGap(unshared, chain, 500, 1000), 'a1').gapCount).to.equal(1);
  });
});

describe('RoutingSpeeds', () => {
  function limit(
    factors: Readonly<Record<EngineId, number>>,
    state = STATE,
  ): Readonly<Record<EngineId, number>> {
    const slowness = new Map(
      Object.entries(factors).map(([id, factor]) => [id, { factor, at: 0 }]),
    );
    return Object.fromEntries(limitSpeeds(state, slowness));
  }

  it('lowers the share of an engine to its speed, and restores it', () => {
    const speeds = new Map(Object.entries(limit({ a1: 4 })));
    const slowed = applySpeeds(STATE, USUAL_SPEEDS, speeds);
    expect(getHealthShare(getHealth(slowed, 'a1'), 3, 20_000)).to.equal(0.25);
    expect(getHealthShare(getHealth(slowed, 'a2'), 3, 20_000)).to.equal(1);
    expect(applySpeeds(slowed, speeds, USUAL_SPEEDS)).to.deep.equal(STATE);
  });

  it('takes out at most a third of the memory of each layer, and restores the least slow engines first', () => {
    // Guards against healthy engines that run out of memory because too many others are avoided.
    const speeds = limit({ a1: 8, a2: 4, a3: 2, b1: 8 });
    expect(speeds).to.include({ a1: 1 / 8, a3: 1, b1: 1 / 8 });
    const taken = FIRST.reduce((sum, id) => sum + 1 - (speeds[id] ?? 1), 0);
    expect(taken / FIRST.length).to.be.closeTo(MAX_SLOW_SHARE, 1e-9);
  });

  it('leaves the only engine with its layers two thirds of its share', () => {
    const alone = share(
      createFilledState([
        { facts: createFacts('a'), layers: [0, HALF] },
        { facts: createFacts('b'), layers: [HALF, LAYERS] },
      ]),
    );
    expect(limit({ a: 6, b: 6 }, alone).a).to.be.closeTo(2 / 3, 1e-9);
  });

  it('changes nothing for models whose memory is not shared', () => {
    const unshared = createState(false);
    expect(limit({ a1: 6 }, unshared)).to.deep.equal({});
    expect(applySpeeds(unshared, USUAL_SPEEDS, USUAL_SPEEDS)).to.equal(unshared);
  });
});
