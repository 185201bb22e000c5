import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { recordCallStart } from '../../RoutingCalls.js';
import { selectChain } from '../../RoutingChoice.js';
import { estimatePendingPrefill, getPrefillTokenTime } from '../../RoutingPrefill.js';
import { estimateStage } from '../../RoutingScore.js';
import type { RoutingState } from '../../RoutingState.js';
import { setLoad, setRoutingFacts } from '../../RoutingState.js';
import { shouldYield } from '../../RoutingUrgency.js';
import {
  createFacts,
  createFilledState,
  createQuery,
  createSeenLoad,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';

const HALVES = ['a', 'b', 'c', 'd'].flatMap((id) => [
  { facts: createFacts(`${id}0`), layers: [0, 10] as const },
  { facts: createFacts(`${id}1`), layers: [10, 20] as const },
]);
const STAGE = {
  facts: createFacts('a0'),
  layers: { first: 0, end: 10 },
  layerCount: LAYERS,
  calls: 5,
};

function createState(isMemoryShared: boolean, instanceCount = 1): RoutingState {
  const state = createFilledState(HALVES);
  const model = { id: VARIANT.model, activationBytes: 16384, isMemoryShared };
  const tuning = { ...state.tuning, instanceCount };
  return setRoutingFacts(state, { models: new Map([[model.id, model]]), tuning });
}

function report(
  state: RoutingState,
  prefillTokens: number | undefined,
  id = 'a0',
  seenAt = 0,
): RoutingState {
  const seen = createSeenLoad(id, id.endsWith('0') ? [0, 10] : [10, 20], { running: 5, seenAt });
  const load = prefillTokens === undefined ? seen.load : { ...seen.load, prefillTokens };
  return setLoad(state, { ...seen, load });
}

/** Starts an own call with a prompt of 1,000 tokens at both engines that are named `name`. */
function startCall(state: RoutingState, name: string): RoutingState {
  const stages = [
    { engine: `${name}0`, layers: { first: 0, end: 10 } },
    { engine: `${name}1`, layers: { first: 10, end: 20 } },
  ];
  const chain = { variant: VARIANT, layerCount: LAYERS, stages };
  const call = { chain, promptTokens: 1000, maxTokens: 100 };
  return recordCallStart(state, call as unknown as Parameters<typeof recordCallStart>[1]);
}

function estimateWait(state: RoutingState, now = 0, id = 'a0'): number {
  const layers = { first: 0, end: 10 };
  return estimateStage(state, createQuery({ now }), createFacts(id), layers).wait;
}

describe('RoutingPrefill', () => {
  it('counts own prompts in full, and the part of the reported ones that is expected to be left', () => {
    const state = startCall(report(createState(true), 4000), 'a');
    // An engine with the first half of the layers has prefilled three quarters of all prompts without a first token.
    expect(estimatePendingPrefill(state, STAGE, 0)).to.deep.equal({ own: 1000, others: 1000 });
  });

  it('forgets reported prompts within the time in which the engine prefills them', () => {
    // Guards against engines that are avoided for prompts that they prefilled seconds ago.
    const state = report(createState(true), 4000);
    const prefillTime = 1000 * getPrefillTokenTime(STAGE);
    expect(prefillTime).to.be.lessThan(200);
    expect(estimatePendingPrefill(state, STAGE, prefillTime / 2).others).to.be.closeTo(500, 1e-6);
    expect(estimatePendingPrefill(state, STAGE, prefillTime).others).to.equal(0);
    expect(estimatePendingPrefill(state, STAGE, 60_000).others).to.equal(0);
  });

  it('assumes that each other instance has sent as many prompt tokens as this one, where no more is reported', () => {
    // Guards against instances with the same old report that all choose the same engine.
    const sent = startCall(report(createState(true, 4), 4000), 'a');
    expect(estimatePendingPrefill(sent, STAGE, 60_000)).to.deep.equal({ own: 1000, others: 3000 });
    const unknown = startCall(report(createState(true, 4), undefined), 'a');
    expect(estimatePendingPrefill(unknown, STAGE, 0).others).to.equal(3000);
  });

  it('ignores values that no engine can have, and bounds those that none can hold', () => {
    // Guards against one bad message that makes all instances avoid an engine, or prefer it.
    const plain = estimateWait(report(createState(true), 0));
    for (const value of [NaN, -1e9, -Infinity, undefined]) {
      expect(estimateWait(report(createState(true), value)), String(value)).to.equal(plain);
    }
    const most = estimateWait(report(createState(true), 1e6 / 10));
    for (const value of [1e12, Infinity]) {
      expect(estimateWait(report(createState(true), value)), String(value)).to.equal(most);
    }
    // A report may be dated later than the request.
    expect(estimateWait(report(createState(true), 4000, 'a0', 50), 0)).to.be.greaterThan(0);
  });

  it('chooses the engines where the fewest prompt tokens wait, by reports and by own calls', () => {
    const reported = ['a', 'b', 'c'].reduce(
      (state, name) => report(report(state, 50_000, `${name}0`), 50_000, `${name}1`),
      report(report(createState(true), 0, 'd0'), 0, 'd1'),
    );
    const random = createRandom(1);
    const usesIdle = (state: RoutingState): boolean => {
      const choice = selectChain(state, createQuery(), random);
      return choice.ok && choice.value.chain.stages.some(({ engine }) => engine.startsWith('d'));
    };
    // For each of three candidates two of four engines are drawn at both stages, so nearly all requests draw an idle engine.
    const choices = Array.from({ length: 200 }, () => usesIdle(reported));
    expect(choices.filter(Boolean).length).to.be.greaterThan(180);
    const busy = startCall(startCall(reported, 'd'), 'd');
    expect(estimateWait(busy, 0, 'd0')).to.be.greaterThan(estimateWait(reported, 0, 'd0'));
  });

  it('changes nothing for models whose memory is not shared', () => {
    // Guards against a change of decisions for deployments that do not share memory.
    const plain = createState(false);
    const loaded = HALVES.reduce(
      (state, { facts: { id } }, i) => report(state, 1000 * i, id),
      plain,
    );
    const unreported = HALVES.reduce(
      (state, { facts: { id } }) => report(state, undefined, id),
      plain,
    );
    const [a, b] = [createRandom(7), createRandom(7)];
    for (let i = 0; i < 200; i++) {
      const ask = createQuery({ promptTokens: 40 + i * 10, now: i * 10 });
      const choice = selectChain(loaded, ask, a);
      expect(choice).to.deep.equal(selectChain(unreported, ask, b));
      expect(choice.ok).to.equal(true);
    }
    expect(estimateWait(loaded)).to.equal(0);
  });

  it('lets prompts yield with a probability that rises with their length, and none that is sent again', () => {
    expect(shouldYield(800, 800, 1, 0)).to.equal(false);
    expect([0.4, 0.6].map((draw) => shouldYield(1200, 800, 1, draw))).to.deep.equal([true, false]);
    expect(shouldYield(1601, 800, 1, 0.999)).to.equal(true);
    // Guards against long prompts that wait behind new short ones a second time.
    expect(shouldYield(2300, 800, 2, 0)).to.equal(false);
    for (const bad of [0, -1, NaN]) {
      expect(shouldYield(800, bad, 1, 0.5)).to.equal(false);
    }
    expect(shouldYield(NaN, 800, 1, 0.5)).to.equal(false);
  });
});
