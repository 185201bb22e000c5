import { expect } from 'chai';
import { createChain } from '@skylarksail/core/CoreChain';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth } from '../../RoutingCalls.js';
import { selectChain } from '../../RoutingChoice.js';
import { getHealthShare } from '../../RoutingHealth.js';
import type { CallOutcome, RoutingState } from '../../RoutingState.js';
import { markLeaving, recordCallEnd, recordCallStart, setLoad } from '../../RoutingState.js';
import {
  createQuery,
  createFacts,
  createFilledState,
  createSeenLoad,
  LAYERS,
  VARIANT,
} from './RoutingFixtures.js';

const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];

function createGroup(): RoutingState {
  return createFilledState(
    IDS.map((id) => ({ facts: createFacts(id), layers: [0, LAYERS] as const })),
  );
}

/** One call on one engine that holds all layers, from start to end. */
function runCall(
  state: RoutingState,
  engine: EngineId,
  outcome: CallOutcome,
  now: Millis,
): RoutingState {
  const chain = createChain(VARIANT, LAYERS, [{ engine, layers: { first: 0, end: LAYERS } }]);
  if (!chain.ok) {
    throw new Error('the stage forms a chain');
  }
  const call = { chain: chain.value, promptTokens: 10, maxTokens: 10 };
  return recordCallEnd(recordCallStart(state, call), call, outcome, true, now);
}

function fail(engine: EngineId): CallOutcome {
  return { kind: 'failed', engine };
}

function answer(tokenGapMs: Millis): CallOutcome {
  return { kind: 'answered', firstTokenMs: 100, tokenGapMs };
}

function selectUsed(state: RoutingState, now: Millis): readonly EngineId[] {
  const random = createRandom(5);
  const used = new Set<EngineId>();
  for (let i = 0; i < 200; i++) {
    const choice = selectChain(state, createQuery({ now }), random);
    if (choice.ok) {
      choice.value.chain.stages.forEach(({ engine }) => used.add(engine));
    }
  }
  return [...used].sort();
}

describe('RoutingHealth', () => {
  // Symptom: after a rack's switch flapped, a domain refused everything.
  // Sequence: all engines of a group failed twice each; all were ejected; none was left.
  // Cause: ejection knew no bound, so a common fault took for bad what was merely unreachable.
  it('ejects failing engines, but never more than a third of a group', () => {
    const failed = IDS.reduce(
      (state, id) => runCall(runCall(state, id, fail(id), 0), id, fail(id), 0),
      createGroup(),
    );
    expect(selectUsed(failed, 1)).to.deep.equal(['c', 'd', 'e', 'f']);
  });

  // Symptom: one engine at a third of its speed drew out every answer that passed it, for hours.
  // Sequence: it failed no call, so nothing ejected it; its load looked like its peers'.
  // Cause: only errors counted, not latency.
  it('ejects an engine that is far slower than its peers, and no other', () => {
    let state = createGroup();
    for (let i = 0; i < 8; i++) {
      state = IDS.reduce((s, id) => runCall(s, id, answer(id === 'b' ? 180 : 60), 0), state);
    }
    expect(selectUsed(state, 1)).to.deep.equal(['a', 'c', 'd', 'e', 'f']);
    // A probe that is as slow as before keeps it out, and for longer.
    const probed = runCall(state, 'b', answer(180), 2500);
    expect(selectUsed(probed, 4600)).to.not.include('b');
    expect(getHealth(probed, 'b').ejectedUntil).to.equal(6500);
  });

  it('probes with one call and gives a healed engine its share back step by step', () => {
    const ejected = runCall(runCall(createGroup(), 'a', fail('a'), 0), 'a', fail('a'), 0);
    expect(selectUsed(ejected, 1900)).to.not.include('a');
    expect(selectUsed(ejected, 2100)).to.include('a');
    expect(getHealthShare(getHealth(ejected, 'a'), 1, 2100)).to.equal(0);
    const healed = getHealth(runCall(ejected, 'a', answer(60), 2200), 'a');
    expect(getHealthShare(healed, 9, 2200)).to.equal(0.2);
    expect(getHealthShare(healed, 9, 7200)).to.be.closeTo(0.6, 1e-9);
    expect(getHealthShare(healed, 9, 12200)).to.equal(1);
  });

  // Symptom: an engine that crashed every minute was given work again each time it came up.
  // Sequence: crash, restart, work, crash. Between crashes it answers, which cleared its failures.
  // Cause: a new boot id was taken for a fresh engine without a past.
  it('keeps an engine out that restarts again and again, longer each time', () => {
    let state = createGroup();
    const boot = (bootId: string, seenAt: Millis) => {
      state = setLoad(state, createSeenLoad('a', [0, LAYERS], { bootId, seenAt }));
    };
    boot('b2', 10000);
    expect(selectUsed(state, 10001)).to.include('a');
    boot('b3', 20000);
    expect(selectUsed(state, 21000)).to.not.include('a');
    boot('b4', 30000);
    expect(selectUsed(state, 33000)).to.not.include('a');
    expect(selectUsed(state, 34100)).to.include('a');
  });

  // Symptom: a server that was being stopped got work for as long as the instance list lagged.
  // Sequence: its report said leaving; an older report, overtaken on its way, said live again.
  // Cause: the last report to arrive won, not the last one made.
  it('gives a leaving engine nothing, by either signal, until a new process speaks', () => {
    const told = markLeaving(createGroup(), 'a');
    expect(selectUsed(told, 1)).to.not.include('a');
    const leaving = createSeenLoad('b', [0, LAYERS], { seenAt: 100 });
    const reported = setLoad(told, { ...leaving, load: { ...leaving.load, state: 'leaving' } });
    const late = setLoad(reported, createSeenLoad('b', [0, LAYERS], { seenAt: 50 }));
    const again = setLoad(late, createSeenLoad('b', [0, LAYERS], { seenAt: 200 }));
    expect(selectUsed(again, 201)).to.deep.equal(['c', 'd', 'e', 'f']);
    const back = setLoad(again, createSeenLoad('b', [0, LAYERS], { seenAt: 300, bootId: 'b2' }));
    expect(selectUsed(back, 301)).to.include('b');
  });
});
