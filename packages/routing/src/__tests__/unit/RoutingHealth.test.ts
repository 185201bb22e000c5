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
    throw new Error('expected the stage to form a chain');
  }
  const call = { chain: chain.value, promptTokens: 10, maxTokens: 10 };
  return recordCallEnd(recordCallStart(state, call), call, outcome, true, now);
}

function createFailure(engine: EngineId): CallOutcome {
  return { kind: 'failed', engine };
}

function createAnswer(tokenGapMs: Millis): CallOutcome {
  return { kind: 'answered', firstTokenMs: 100, tokenGapMs };
}

function listUsedEngines(state: RoutingState, now: Millis): readonly EngineId[] {
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
  // Guards against unbounded ejection: when a rack's switch flaps, all engines of a group fail twice each, and
  // ejecting them all would leave the domain unable to serve.
  it('ejects failing engines, but never more than a third of a group', () => {
    const failed = IDS.reduce(
      (state, id) => runCall(runCall(state, id, createFailure(id), 0), id, createFailure(id), 0),
      createGroup(),
    );
    expect(listUsedEngines(failed, 1)).to.deep.equal(['c', 'd', 'e', 'f']);
  });

  // Guards against ejection by errors only: an engine at a third of its speed fails no call and reports the same
  // load as its peers, but would slow all of its answers for hours.
  it('ejects an engine that is far slower than its peers, and no other', () => {
    let state = createGroup();
    for (let i = 0; i < 8; i++) {
      state = IDS.reduce((s, id) => runCall(s, id, createAnswer(id === 'b' ? 180 : 60), 0), state);
    }
    expect(listUsedEngines(state, 1)).to.deep.equal(['a', 'c', 'd', 'e', 'f']);
    // A probe that is still slow ejects it again, for longer.
    const probed = runCall(state, 'b', createAnswer(180), 2500);
    expect(listUsedEngines(probed, 4600)).to.not.include('b');
    expect(getHealth(probed, 'b').ejectedUntil).to.equal(6500);
  });

  it('probes an ejected engine with one call, and after a success raises its share gradually', () => {
    const ejected = runCall(
      runCall(createGroup(), 'a', createFailure('a'), 0),
      'a',
      createFailure('a'),
      0,
    );
    expect(listUsedEngines(ejected, 1900)).to.not.include('a');
    expect(listUsedEngines(ejected, 2100)).to.include('a');
    expect(getHealthShare(getHealth(ejected, 'a'), 1, 2100)).to.equal(0);
    const recovered = getHealth(runCall(ejected, 'a', createAnswer(60), 2200), 'a');
    expect(getHealthShare(recovered, 9, 2200)).to.equal(0.2);
    expect(getHealthShare(recovered, 9, 7200)).to.be.closeTo(0.6, 1e-9);
    expect(getHealthShare(recovered, 9, 12200)).to.equal(1);
  });

  // Guards against sending work to an engine in a crash loop: it crashes every minute, but answers in between,
  // which clears its failures. A new boot id must not clear its restarts.
  it('ejects an engine that restarts repeatedly, longer each time', () => {
    let state = createGroup();
    const boot = (bootId: string, seenAt: Millis) => {
      state = setLoad(state, createSeenLoad('a', [0, LAYERS], { bootId, seenAt }));
    };
    boot('b2', 10000);
    expect(listUsedEngines(state, 10001)).to.include('a');
    boot('b3', 20000);
    expect(listUsedEngines(state, 21000)).to.not.include('a');
    boot('b4', 30000);
    expect(listUsedEngines(state, 33000)).to.not.include('a');
    expect(listUsedEngines(state, 34100)).to.include('a');
  });

  // Guards against sending work to an engine that is stopping: its report says leaving, then an older report
  // arrives out of order and says live. The latest report by time applies, not the last to arrive.
  it('gives a leaving engine no work, by either signal, until a new process reports', () => {
    const marked = markLeaving(createGroup(), 'a');
    expect(listUsedEngines(marked, 1)).to.not.include('a');
    const leaving = createSeenLoad('b', [0, LAYERS], { seenAt: 100 });
    const reported = setLoad(marked, { ...leaving, load: { ...leaving.load, state: 'leaving' } });
    const late = setLoad(reported, createSeenLoad('b', [0, LAYERS], { seenAt: 50 }));
    const again = setLoad(late, createSeenLoad('b', [0, LAYERS], { seenAt: 200 }));
    expect(listUsedEngines(again, 201)).to.deep.equal(['c', 'd', 'e', 'f']);
    const back = setLoad(again, createSeenLoad('b', [0, LAYERS], { seenAt: 300, bootId: 'b2' }));
    expect(listUsedEngines(back, 301)).to.include('b');
  });
});
