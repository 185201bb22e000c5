import { expect } from 'chai';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import type { RouterDeps } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer, OpenedCall } from './RequestFakes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
  listWords,
} from './RequestFakes.js';

const MAX_ATTEMPTS = 2;
const BREAK_AFTER: Millis = 1700;
/** Exceeds any silence timeout of an attempt, and is shorter than a deadline. */
const LONG_SILENCE: Millis = 15_000;

const STEP: Millis = 10;

/** Creates a world where no engine can be singled out as silent, and recoveries take from the retry budget. */
function createSilentWorld(
  deps: Partial<RouterDeps> = {},
  engines?: readonly (readonly EngineId[])[],
): FakeWorld {
  const cfg = {
    ...DEFAULT_ROUTER_CONFIG,
    silence: { ...DEFAULT_ROUTER_CONFIG.silence, gap: { least: 500, most: 900 }, mostUnclear: 0 },
    isRecoveryBudgeted: true,
  };
  return createFakeWorld({ cfg, ...deps }, engines);
}

function listGiveUps({ decisions }: FakeWorld): (string | null)[] {
  return decisions.filter(({ decision }) => decision === 'give-up').map(({ reason }) => reason);
}

/** Advances time until `holds` returns true, for at most twice the long silence. */
function advanceUntil(world: FakeWorld, holds: () => boolean): void {
  const end = world.timers.now() + 2 * LONG_SILENCE;
  while (!holds() && world.timers.now() < end) {
    world.timers.advanceTo(world.timers.now() + STEP);
  }
}

/** Starts an answer whose first attempt produced no token and whose second and last attempt produced `events` tokens. */
function beginOnLastAttempt(world: FakeWorld, events: number): [ReceivedAnswer, OpenedCall] {
  const heard = world.submit('r', { maxAttempts: MAX_ATTEMPTS, breakAfter: BREAK_AFTER });
  const first = world.last();
  advanceUntil(world, () => world.last() !== first);
  const second = world.last();
  expect([first.isCancelled, second.call.attempt]).to.deep.equal([true, MAX_ATTEMPTS]);
  acknowledge(second);
  sendTokens(world, second, 0, events);
  return [heard, second];
}

/** Starts an answer that has begun on its first engines. */
function begin(
  world: FakeWorld,
  events: number,
  breakAfter: Millis = BREAK_AFTER,
): [ReceivedAnswer, OpenedCall] {
  const heard = world.submit('r', { breakAfter });
  const only = world.last();
  acknowledge(only);
  sendTokens(world, only, 0, events);
  return [heard, only];
}

describe('Silence of an attempt that cannot be replaced', () => {
  it('leaves a begun answer with its engines when its attempts are used up', () => {
    // Guards against an answer that is aborted during planned work because an engine of its last attempt paused.
    const world = createSilentWorld({ mayBreakOff: () => false });
    const [heard, last] = beginOnLastAttempt(world, 7);
    world.timers.advanceTo(world.timers.now() + LONG_SILENCE);
    expect([heard.problems, last.isCancelled]).to.deep.equal([[], false]);
    sendTokens(world, last, 7, 20);
    last.listener.onEnd('stop', 20);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(20), ['stop']]);
    expect([world.calls.length, listGiveUps(world)]).to.deep.equal([MAX_ATTEMPTS, []]);
  });

  it('aborts a begun answer outside planned work after `breakAfter`, and not before', () => {
    // Guards against a caller that leaves without a retry elsewhere because its answer stalled.
    const world = createSilentWorld();
    const [heard] = beginOnLastAttempt(world, 7);
    world.timers.advanceTo(world.timers.now() + BREAK_AFTER - 50);
    expect(heard.problems).to.deep.equal([]);
    world.timers.advanceTo(world.timers.now() + 60);
    expect(heard.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['engine-failed', 'ran'],
    ]);
    expect(listGiveUps(world)).to.deep.equal(['standstill']);
  });

  it('leaves a begun answer with its engines when the retry budget is exhausted', () => {
    // Guards against an answer that is withdrawn from its engines and then waits because no retry is left.
    const world = createSilentWorld({ getRetryBurst: () => 0 });
    const [heard, only] = begin(world, 7);
    world.timers.advanceTo(world.timers.now() + BREAK_AFTER - 100);
    expect([heard.problems, only.isCancelled]).to.deep.equal([[], false]);
    sendTokens(world, only, 7, 20);
    only.listener.onEnd('stop', 20);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(20), ['stop']]);
    expect(world.calls).to.have.length(1);
  });

  it('continues on other engines as soon as another instance grants a retry', () => {
    // Guards against an answer that stalls at dead engines although the fleet has retries left.
    let burst = 0;
    let askCount = 0;
    const world = createSilentWorld({
      getRetryBurst: () => burst,
      requestRetries: (_model, done) => {
        askCount += 1;
        burst = askCount > 1 ? 1 : 0;
        done(burst > 0);
      },
    });
    const [heard, first] = begin(world, 7);
    const silentFrom = world.timers.now();
    advanceUntil(world, () => world.last() !== first);
    expect(world.last().openedAt - silentFrom).to.be.within(500, 800);
    expect([askCount, first.isCancelled]).to.deep.equal([2, true]);
    expect([heard.problems, world.last().call.resumeTokens]).to.deep.equal([[], listWords(7)]);
  });

  it('leaves a begun answer with its engines until another chain is complete, then moves it', () => {
    // Guards against an answer that is withdrawn from the only engines that could finish it.
    const engines = [['a1'], ['b1']];
    const world = createSilentWorld({}, engines);
    const [heard, only] = begin(world, 7);
    world.timers.advanceTo(world.timers.now() + 1000);
    sendTokens(world, only, 7, 10);
    const silentFrom = world.timers.now();
    world.timers.advanceTo(silentFrom + 1000);
    expect([heard.problems, only.isCancelled, world.calls.length]).to.deep.equal([[], false, 1]);
    engines[0]?.push('a2');
    engines[1]?.push('b2');
    world.timers.advanceTo(silentFrom + 1300);
    expect([only.isCancelled, listEngines(world.last())]).to.deep.equal([true, ['a2', 'b2']]);
    expect(world.last().call.resumeTokens).to.deep.equal(listWords(10));
  });

  it('reports engines that are silent during an answer that stays with them', () => {
    // Guards against new requests at a dead engine, and against a dead engine that gets no health check.
    const told: (readonly EngineId[])[] = [];
    const world = createSilentWorld({
      getRetryBurst: () => 0,
      onSilent: (ids) => told.push(ids),
    });
    const [, only] = begin(world, 7);
    const engines = listEngines(only);
    world.timers.advanceTo(world.timers.now() + 1000);
    expect(told[0]).to.deep.equal(engines);
    expect(only.isCancelled).to.equal(false);
  });

  it('sends no new request to the one engine that is silent', () => {
    // Guards against requests that wait at a dead engine because the answers there stayed with it.
    const world = createSilentWorld({ getRetryBurst: () => 1 });
    const [, silent] = begin(world, 7, Infinity);
    world.submit('other', { prompt: 'other' });
    const before = world.last();
    before.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    const other = world.last();
    acknowledge(other);
    sendTokens(world, other, 0, 100);
    expect([listEngines(other), silent.isCancelled]).to.deep.equal([['a1', 'b2'], false]);
    world.submit('new', { prompt: 'new' });
    expect(listEngines(world.last())).to.deep.equal(['a1', 'b2']);
  });

  it('leaves a queued request at its engines while no other attempt is possible', () => {
    // Guards against a request that is withdrawn and queues again behind later ones.
    const worlds = [
      createSilentWorld({}, [['a1'], ['b1']]),
      createSilentWorld({ getRetryBurst: () => 0 }),
    ];
    for (const world of worlds) {
      const heard = world.submit('r', { patience: BREAK_AFTER });
      const only = world.last();
      world.timers.advanceTo(BREAK_AFTER - 100);
      expect([heard.problems, only.isCancelled]).to.deep.equal([[], false]);
      acknowledge(only);
      sendTokens(world, only, 0, 3);
      only.listener.onEnd('stop', 3);
      expect([heard.ends, world.calls.length]).to.deep.equal([['stop'], 1]);
    }
  });

  it('fails a request without tokens before its caller leaves, so that the caller can go elsewhere', () => {
    // Guards against a caller that waits out its deadline at engines that may be dead.
    const world = createSilentWorld();
    const heard = world.submit('r', { maxAttempts: MAX_ATTEMPTS, patience: BREAK_AFTER });
    world.timers.advanceTo(BREAK_AFTER - 50);
    expect([heard.problems, world.calls.length]).to.deep.equal([[], MAX_ATTEMPTS]);
    world.timers.advanceTo(BREAK_AFTER + 10);
    expect(heard.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['engine-failed', 'unknown'],
    ]);
    expect(listGiveUps(world)).to.deep.equal(['standstill']);
  });
});

describe('Patience of a caller without tokens', () => {
  it('is respected where the silence timeout is longer, on a first and on a second attempt', () => {
    // Guards against a caller that leaves unserved because its request may stay silent in a queue for longer.
    const silence = {
      ...DEFAULT_ROUTER_CONFIG.silence,
      acknowledgement: { least: 3000, most: 3000 },
    };
    const cfg = { ...DEFAULT_ROUTER_CONFIG, silence, isRecoveryBudgeted: true };
    for (const isLost of [false, true]) {
      const world = createFakeWorld({ cfg });
      const heard = world.submit('r', { patience: BREAK_AFTER, breakAfter: BREAK_AFTER });
      if (isLost) {
        const failure = createFailure({ place: FailurePlace.Connect, provenNotRun: true });
        world.last().listener.onFailure({ ...failure, engine: 'a1' });
      }
      world.timers.advanceTo(BREAK_AFTER - 50);
      expect([heard.problems, world.last().isCancelled]).to.deep.equal([[], false]);
      world.timers.advanceTo(BREAK_AFTER + 10);
      expect(heard.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
        ['engine-failed', 'unknown'],
      ]);
      expect([listGiveUps(world), world.last().isCancelled]).to.deep.equal([['standstill'], true]);
    }
  });

  it('is respected where silences are tolerated on a slow link', () => {
    // Guards against a caller that leaves unserved while the silence of its engines is tolerated again.
    const links = { notePaces: () => undefined, isSlow: () => true };
    const world = createSilentWorld({ links });
    const heard = world.submit('r', { patience: BREAK_AFTER, breakAfter: BREAK_AFTER });
    world.timers.advanceTo(BREAK_AFTER - 50);
    expect([heard.problems, world.calls.length]).to.deep.equal([[], 1]);
    world.timers.advanceTo(BREAK_AFTER + 10);
    expect(listGiveUps(world)).to.deep.equal(['standstill']);
  });
});
