import { expect } from 'chai';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RoomView } from '../../RequestRoom.js';
import type { RouterDeps } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG, EngineFate } from '../../RouterTypes.js';
import type { FakeWorld } from './RequestFakes.js';
import {
  acknowledge,
  callService,
  createFailure,
  createFakeWorld,
  sendTokens,
} from './RequestFakes.js';

const FULL: RoomView = { share: 2, age: 200, teamShare: 0 };
const BEGIN_BY: Millis = 1700;
const PATIENCE = { patience: BEGIN_BY, breakAfter: BEGIN_BY };

/** A world with the silence timeouts of a deployment, where a silent chain is replaced at the first timeout. */
function createQueueWorld(deps: Partial<RouterDeps>): FakeWorld {
  const silence = {
    ...DEFAULT_ROUTER_CONFIG.silence,
    acknowledgement: { least: 350, most: 3000 },
    firstToken: { least: 350, most: 3000 },
    mostUnclear: 0,
  };
  const cfg = { ...DEFAULT_ROUTER_CONFIG, silence, isRecoveryBudgeted: true };
  return createFakeWorld({ cfg, ...deps });
}

describe('Admission by memory', () => {
  it('refuses a request that has not run, with a retry delay and the reason in the log', () => {
    const world = createFakeWorld({ readRoom: () => FULL });
    const { problems } = world.submit('r', { priority: 'high' });
    expect([world.calls.length, problems.length]).to.deep.equal([0, 1]);
    expect(problems[0]).to.include({ kind: 'overloaded', run: 'not-run' });
    expect(problems[0]?.retryAfter).to.be.within(1000, 3000);
    const [line] = world.decisions.filter(({ decision }) => decision === 'no-room');
    expect(line?.reason).to.equal('room: share 2.00, age 200 ms, high, 0 above, team 0.0');
    expect([world.count('roomRefusedHigh'), world.count('roomRefusedTeam')]).to.deep.equal([1, 0]);
  });

  it('reserves memory for a more important priority only while requests of it arrive', () => {
    // Guards against memory that is kept for requests that never come.
    const world = createFakeWorld({ readRoom: () => ({ ...FULL, share: 0.93 }) });
    expect(world.submit('first', { priority: 'normal' }).problems).to.deep.equal([]);
    expect(world.submit('urgent', { priority: 'urgent' }).problems).to.deep.equal([]);
    expect(world.submit('high', { priority: 'high' }).problems.length).to.be.at.most(1);
    expect(world.submit('normal', { priority: 'normal' }).problems).to.have.length(1);
    world.timers.advanceTo(11_000);
    expect(world.submit('later', { priority: 'normal' }).problems).to.deep.equal([]);
  });

  it('counts a refusal for the excess of a team', () => {
    const world = createFakeWorld({ readRoom: () => ({ share: 0.97, age: 0, teamShare: 3 }) });
    expect(world.submit('r').problems).to.have.length(1);
    expect([world.count('roomRefusedNormal'), world.count('roomRefusedTeam')]).to.deep.equal([
      1, 1,
    ]);
  });

  it('never refuses plain services, nor an answer that has begun', () => {
    let view: RoomView | null = null;
    const world = createFakeWorld({ readRoom: () => view });
    const { problems, tokens } = world.submit('r');
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 3);
    view = FULL;
    world.last().listener.onFailure(createFailure({}));
    acknowledge(world.last());
    sendTokens(world, world.last(), 3, 5);
    expect([world.calls.length, problems.length, tokens.length]).to.deep.equal([2, 0, 5]);
    expect([callService(world, 's').problems, world.serviceCalls.length]).to.deep.equal([[], 1]);
  });

  it('changes nothing for models whose memory is not shared', () => {
    // Guards against other decisions, log lines, metrics or random numbers where the view is null.
    const [without, withNull] = [{}, { readRoom: () => null, isRoomShort: () => false }].map(
      (deps) => {
        const world = createQueueWorld(deps);
        const heard = ['a', 'b', 'c'].map((id) => world.submit(id, PATIENCE));
        world.timers.advanceTo(600);
        acknowledge(world.last());
        sendTokens(world, world.last(), 0, 3);
        world.timers.advanceTo(30_000);
        const { decisions, metrics } = world;
        return { decisions, metrics, problems: heard.map(({ problems }) => problems) };
      },
    );
    expect(withNull).to.deep.equal(without);
  });
});

describe('Silence while memory is short', () => {
  it('leaves a request that has not begun at its engines until its first token is due', () => {
    // Guards against a waiting request that is closed and has its prompt prefilled again at a second engine.
    const world = createQueueWorld({ isRoomShort: () => true });
    const heard = world.submit('r', { ...PATIENCE, maxAttempts: 2 });
    world.timers.advanceTo(BEGIN_BY - 50);
    expect([world.calls.length, heard.problems]).to.deep.equal([1, []]);
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 2);
    world.last().listener.onEnd('stop', 2);
    expect(heard.ends).to.deep.equal(['stop']);
  });

  it('does not claim that a request has not run while its engines may run it', () => {
    // Guards against a 503 for a request that an engine still holds in its queue, which its caller may repeat at once.
    const world = createQueueWorld({ isRoomShort: () => true });
    const heard = world.submit('r', { ...PATIENCE, maxAttempts: 2 });
    world.timers.advanceTo(BEGIN_BY + 10);
    expect([world.calls.length, world.last().isCancelled]).to.deep.equal([1, true]);
    expect(heard.problems).to.deep.equal([
      { kind: 'engine-failed', run: 'unknown', retryAfter: null, instance: null },
    ]);
  });

  it('replaces engines that are known to be lost', () => {
    // Guards against requests that wait out their time at a dead engine because memory is short elsewhere.
    const getEngineFate = (engine: EngineId) =>
      engine === 'a1' ? EngineFate.Ended : EngineFate.Unknown;
    const known = createQueueWorld({ isRoomShort: () => true, getEngineFate });
    known.submit('r', PATIENCE);
    known.timers.advanceTo(1000);
    expect(known.calls.length).to.be.above(1);
    const told = createQueueWorld({ isRoomShort: () => true });
    told.submit('r', PATIENCE);
    told.router.noteEngineLost('b1');
    told.timers.advanceTo(1000);
    expect(told.calls.length).to.be.above(1);
  });

  it('has health checks made of the silent engines, and replaces them once memory is free', () => {
    let isShort = true;
    const suspected = new Set<EngineId>();
    const world = createQueueWorld({
      isRoomShort: () => isShort,
      onSilent: (engines) => engines.forEach((engine) => suspected.add(engine)),
    });
    world.submit('r', PATIENCE);
    world.timers.advanceTo(700);
    expect([world.calls.length, [...suspected]]).to.deep.equal([1, ['a1', 'b1']]);
    isShort = false;
    world.timers.advanceTo(1300);
    expect(world.calls.length).to.be.above(1);
  });
});
