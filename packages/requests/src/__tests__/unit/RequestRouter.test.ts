import { expect } from 'chai';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { ClaimOutcome } from '../../RequestPorts.js';
import { FailurePlace } from '../../RequestPorts.js';
import { isIdempotentCall } from '../../ServiceTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld } from './RequestFakes.js';
import {
  acknowledge,
  callService,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
  listWords,
} from './RequestFakes.js';

const KEYED = { idempotent: false, idempotencyKey: 'k' };
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

async function answerClaim(world: FakeWorld, outcome: ClaimOutcome): Promise<void> {
  world.claims.at(-1)?.answer(outcome);
  await settle();
}

describe('RequestRouter', () => {
  it('opens no call for a keyed request before its claim is granted, and stores its answer', async () => {
    const world = createFakeWorld();
    const heard = world.submit('r', KEYED);
    expect(world.calls).to.have.length(0);
    await answerClaim(world, { kind: 'granted', token: 'c' });
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 2);
    world.last().listener.onEnd('stop', 2);
    expect(heard.ends).to.deep.equal(['stop']);
    expect(world.claimLog).to.deep.equal(['settle c ran {"reason":"stop","text":"w0w1"}']);
    const resent = world.submit('r2', KEYED);
    const answer = '{"reason":"stop","text":"w0w1"}';
    await answerClaim(world, { kind: 'ended', record: { run: RunState.Ran, answer } });
    expect([resent.tokens, resent.ends]).to.deep.equal([['w0w1'], ['stop']]);
    expect(world.calls).to.have.length(1);
  });

  it('reports only a proven run state for each outcome of a claim', async () => {
    const cases: [ClaimOutcome, string, string][] = [
      [{ kind: 'ended', record: { run: 'ran', answer: null } }, 'answer-gone', 'ran'],
      [{ kind: 'ended', record: { run: 'unknown', answer: null } }, 'outcome-unknown', 'unknown'],
      [{ kind: 'key-mismatch' }, 'key-mismatch', 'not-run'],
      [{ kind: 'key-expired' }, 'key-expired', 'unknown'],
      [{ kind: 'unavailable', retryAfter: 900 }, 'claim-unavailable', 'not-run'],
    ];
    for (const [outcome, kind, run] of cases) {
      const world = createFakeWorld();
      const { problems } = world.submit('r', KEYED);
      await answerClaim(world, outcome);
      expect(problems.map((problem) => [problem.kind, problem.run])).to.deep.equal([[kind, run]]);
      expect(world.calls).to.have.length(0);
    }
  });

  it('answers a resend from the stored answer even if too little time is left to run it', async () => {
    // Guards against a resend that is refused for lack of time although its answer is stored.
    const world = createFakeWorld();
    world.submit('r0');
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 4);
    world.last().listener.onEnd('stop', 4);
    const late = { ...KEYED, deadline: world.timers.now() + 1 };
    const resent = world.submit('r1', late);
    const answer = '{"reason":"stop","text":"w0w1"}';
    await answerClaim(world, { kind: 'ended', record: { run: RunState.Ran, answer } });
    expect([resent.tokens, resent.ends]).to.deep.equal([['w0w1'], ['stop']]);
    const first = world.submit('r2', late);
    await answerClaim(world, { kind: 'granted', token: 'c' });
    expect(first.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['overloaded', RunState.NotRun],
    ]);
    expect(world.claimLog).to.deep.equal(['release c']);
    expect(world.calls).to.have.length(1);
  });

  it('releases a claim that is granted after its request was cancelled', async () => {
    // Guards against a claim that is granted after its request was cancelled and is never released.
    const world = createFakeWorld();
    const heard = world.submit('r', KEYED);
    heard.handle.cancel();
    await answerClaim(world, { kind: 'granted', token: 'c' });
    expect(heard.problems.map(({ run }) => run)).to.deep.equal([RunState.NotRun]);
    expect(world.claimLog).to.deep.equal(['release c']);
    expect(world.calls).to.have.length(0);
  });

  it('finishes a keyed request whose caller hung up, so that a resend finds the answer', async () => {
    // Guards against a keyed request that ends with its caller's connection and may not be run again.
    const world = createFakeWorld();
    const heard = world.submit('r', KEYED);
    await answerClaim(world, { kind: 'granted', token: 'c' });
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 1);
    heard.handle.cancel();
    const resent = world.submit('r2', KEYED);
    await answerClaim(world, { kind: 'running', instance: 'i1' });
    expect(world.last().isCancelled).to.equal(false);
    sendTokens(world, world.last(), 1, 2);
    world.last().listener.onEnd('stop', 2);
    expect(world.claimLog).to.deep.equal(['settle c ran {"reason":"stop","text":"w0w1"}']);
    world.timers.advanceTo(world.timers.now() + 600);
    const answer = '{"reason":"stop","text":"w0w1"}';
    await answerClaim(world, { kind: 'ended', record: { run: RunState.Ran, answer } });
    expect(resent.tokens).to.deep.equal(['w0w1']);
    expect(heard.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([['hung-up', 'ran']]);
  });

  it('bounds retries to a share of first attempts while every engine refuses', () => {
    // Guards against a retry storm that prolongs an outage.
    const world = createFakeWorld();
    for (let i = 0; i < 300; i++) {
      world.submit(`r${i}`);
      world.timers.advanceTo(world.timers.now() + 200);
      const refused = createFailure({
        place: FailurePlace.Refused,
        status: 503,
        provenNotRun: true,
      });
      world.calls.forEach(
        ({ listener, isCancelled }) => !isCancelled && listener.onFailure(refused),
      );
    }
    const { retryShare, retryBurst } = DEFAULT_ROUTER_CONFIG;
    expect(world.calls.length).to.be.at.most(300 * (1 + retryShare) + retryBurst);
    expect(world.count('refused')).to.be.at.least(250);
  });

  it('does not retry a request beyond its deadline', () => {
    const world = createFakeWorld();
    const heard = world.submit('r', { deadline: 1000 });
    world.last().listener.onFailure(
      createFailure({
        place: FailurePlace.Refused,
        status: 429,
        retryAfter: 1500,
        provenNotRun: true,
      }),
    );
    expect(heard.problems).to.deep.equal([
      { kind: 'engine-failed', run: 'not-run', retryAfter: 1500, instance: null },
    ]);
  });

  it('leaves no timer pending after a drain', async () => {
    // Guards against a stopped process that stays up for the rest of the grace period after its last answer.
    const world = createFakeWorld();
    world.submit('r');
    const drained = world.router.drain(5000);
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 3);
    world.last().listener.onEnd('stop', 3);
    world.timers.advanceTo(world.timers.now() + 500);
    await drained;
    expect(world.timers.countPending()).to.equal(0);
  });

  it('aborts no request in a planned stop, and reports the run state at the grace limit', async () => {
    const world = createFakeWorld();
    const finishing = world.submit('f');
    const finishingCall = world.last();
    acknowledge(finishingCall);
    const late = world.submit('l', { idempotent: false });
    acknowledge(world.last());
    let isDrained = false;
    void world.router.drain(5000).then(() => {
      isDrained = true;
    });
    const refused = world.submit('n', { prompt: 'same' });
    expect(refused.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['draining', 'not-run'],
    ]);
    sendTokens(world, finishingCall, 0, 3);
    finishingCall.listener.onEnd('stop', 3);
    expect(finishing.tokens).to.deep.equal(listWords(3));
    await settle();
    expect(isDrained).to.equal(false);
    world.timers.advanceTo(6000);
    await settle();
    expect(late.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['draining', 'unknown'],
    ]);
    expect(isDrained).to.equal(true);
  });

  it('retries calls to plain services only if they are idempotent or were not sent', () => {
    // Guards against a non-idempotent call that is sent again after its connection broke.
    const world = createFakeWorld();
    const broken = createFailure({ place: FailurePlace.Stream });
    const post = callService(world, 'p');
    world.serviceCalls.at(-1)?.listener.onFailure(broken);
    world.timers.advanceTo(1000);
    expect(world.serviceCalls).to.have.length(1);
    expect(post.problems.map(({ run }) => run)).to.deep.equal([RunState.Unknown]);
    const get = callService(world, 'g', { method: 'GET', idempotent: true });
    world.serviceCalls.at(-1)?.listener.onFailure(broken);
    world.timers.advanceTo(2000);
    expect(world.serviceCalls.map(({ call }) => call.server)).to.deep.equal(['s1', 's1', 's2']);
    const answer = { status: 200, headers: {}, body: new Uint8Array() };
    world.serviceCalls.at(-1)?.listener.onAnswer(answer);
    world.serviceCalls.at(-1)?.listener.onAnswer(answer);
    expect(get.answers).to.deep.equal([answer]);
    const unsent = callService(world, 'u');
    world.serviceCalls.at(-1)?.listener.onFailure(createFailure({ place: FailurePlace.Connect }));
    world.timers.advanceTo(3000);
    expect(world.serviceCalls).to.have.length(5);
    expect(unsent.problems).to.have.length(0);
  });

  it('sends a call to another server when it reached none, whatever its route and budget allow', () => {
    // Guards against callers that are refused for one server that is down while others are idle.
    const world = createFakeWorld({
      cfg: { ...DEFAULT_ROUTER_CONFIG, retryShare: 0, retryBurst: 0 },
    });
    const { problems } = callService(world, 'p', { maxAttempts: 1 });
    world.serviceCalls.at(-1)?.listener.onFailure(createFailure({ place: FailurePlace.Connect }));
    expect(world.serviceCalls.map(({ call }) => call.server)).to.deep.equal(['s1', 's2']);
    world.serviceCalls.at(-1)?.listener.onFailure(createFailure({ place: FailurePlace.Connect }));
    expect(problems.map(({ run }) => run)).to.deep.equal([RunState.NotRun]);
  });

  it('says that a call has not run if its time ends before a byte of it was sent', () => {
    // Guards against a call that is told as unknown, and so not sent again, while its connection was still being made.
    const world = createFakeWorld();
    const waiting = callService(world, 'w');
    world.serviceCalls.at(-1)?.listener.onConnection?.(false);
    const sent = callService(world, 's');
    world.serviceCalls.at(-1)?.listener.onConnection?.(false);
    world.serviceCalls.at(-1)?.listener.onConnection?.(true);
    world.timers.advanceTo(120_000);
    expect(waiting.problems.map(({ run }) => run)).to.deep.equal([RunState.NotRun]);
    expect(sent.problems.map(({ run }) => run)).to.deep.equal([RunState.Unknown]);
  });

  it('refuses a call that crashed two servers, but tells a key that may have run as unknown', async () => {
    // Guards against a resend that is told as not run, and sent elsewhere, for the crashes of its own first run.
    const world = createFakeWorld();
    callService(world, 'g', { idempotent: true });
    for (let i = 0; i < 2; i++) {
      world.serviceCalls.at(-1)?.listener.onFailure(createFailure({ place: FailurePlace.Stream }));
      world.timers.advanceTo(world.timers.now() + 1000);
    }
    const plain = callService(world, 'p');
    expect(plain.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['poison', RunState.NotRun],
    ]);
    const keyed = callService(world, 'k', KEYED);
    await answerClaim(world, { kind: 'ended', record: { run: 'unknown', answer: null } });
    expect(keyed.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['outcome-unknown', RunState.Unknown],
    ]);
  });

  it('refuses a model request that crashed two engines, but tells a key that may have run as unknown', async () => {
    // Guards against the same where the request is one to a model.
    const world = createFakeWorld();
    world.submit('m', { prompt: 'same' });
    for (let i = 0; i < 2; i++) {
      const [engine = null] = listEngines(world.last());
      world.last().listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
      world.timers.advanceTo(world.timers.now() + 200);
    }
    world.timers.advanceTo(world.timers.now() + 1000);
    const plain = world.submit('n', { prompt: 'same' });
    expect(plain.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['poison', RunState.NotRun],
    ]);
    const keyed = world.submit('k', { ...KEYED, prompt: 'same' });
    await answerClaim(world, { kind: 'ended', record: { run: 'unknown', answer: null } });
    expect(keyed.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['outcome-unknown', RunState.Unknown],
    ]);
  });

  it('derives idempotence from the longest matching route of the manifest, then from the method', () => {
    const routes = [
      { method: 'POST', path: '/search*', idempotent: true },
      { method: 'POST', path: '/search/save', idempotent: false },
      { method: 'PUT', path: '/append', idempotent: false },
    ];
    const ask = (method: string, path: string) => isIdempotentCall(method, path, routes);
    expect(
      ['/search?q=1', '/search/save', '/other'].map((path) => ask('POST', path)),
    ).to.deep.equal([true, false, false]);
    expect([ask('PUT', '/append'), ask('PUT', '/x'), ask('GET', '/x')]).to.deep.equal([
      false,
      true,
      true,
    ]);
  });

  it('sends an idempotent call to another server when one stays silent, but not other calls', () => {
    // Guards against an idempotent call that waits for a silent server until its deadline while others are idle.
    const world = createFakeWorld();
    const safe = callService(world, 'safe', {
      idempotent: true,
      attemptTimeout: 300,
      maxAttempts: 2,
    });
    const unsafe = callService(world, 'unsafe', { attemptTimeout: 300, maxAttempts: 2 });
    const sent = world.serviceCalls.length;
    world.timers.advanceTo(world.timers.now() + 1000);
    expect(world.serviceCalls.length).to.equal(sent + 1);
    const last = world.serviceCalls.at(-1);
    expect(last?.call.request).to.equal('safe');
    last?.listener.onAnswer({ status: 200, headers: {}, body: new Uint8Array() });
    expect(safe.answers).to.have.length(1);
    expect(unsafe.answers.length + unsafe.problems.length).to.equal(0);
  });

  it('leaves an idempotent call with its silent server if there is no other server', () => {
    // Guards against a call that is withdrawn from the only server and queues there again behind later calls.
    const world = createFakeWorld({
      chooseServer: (_service, avoid) =>
        avoid.includes('s1') ? null : { server: 's1', release: () => undefined },
    });
    const safe = callService(world, 'safe', {
      idempotent: true,
      attemptTimeout: 300,
      maxAttempts: 2,
    });
    world.timers.advanceTo(world.timers.now() + 1000);
    expect(world.serviceCalls).to.have.length(1);
    world.serviceCalls[0]?.listener.onAnswer({ status: 200, headers: {}, body: new Uint8Array() });
    expect([safe.answers.length, safe.problems]).to.deep.equal([1, []]);
  });
});
