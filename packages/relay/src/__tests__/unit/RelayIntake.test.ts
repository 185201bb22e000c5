import { expect } from 'chai';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import type { ProblemKindName, RequestSink, RequestSpec } from '@skylarksail/requests/RequestTypes';
import type { ServiceSink, ServiceSpec } from '@skylarksail/requests/ServiceTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import type { ConfirmCurrent } from '../../RelayConfirm.js';
import { createRelayIntake } from '../../RelayIntake.js';
import type { RelayCall, RelayRefusal } from '../../RelayTypes.js';
import { createConfig, createRoute } from './RelayFixtures.js';

const ACCOUNTS = createRoute({
  prefix: '/accounts/',
  kind: 'unsafe',
  timeout: 2000,
  targets: [{ service: 'accounts', weight: 1 }],
});

function createBed() {
  const timers = createVirtualTimers();
  const streams: { spec: RequestSpec; sink: RequestSink }[] = [];
  const calls: { spec: ServiceSpec; sink: ServiceSink }[] = [];
  const decisions: Record<string, unknown>[] = [];
  let newsAge = 400;
  let confirm: ConfirmCurrent = (done) => done(false);
  let table: RouteTable | null = createRouteTable(
    createConfig({ routes: [createRoute(), ACCOUNTS] }),
  );
  const router = {
    submit: (spec: RequestSpec, sink: RequestSink) => {
      streams.push({ spec, sink });
      return { cancel: () => undefined };
    },
    submitService: (spec: ServiceSpec, sink: ServiceSink) => {
      calls.push({ spec, sink });
      return { cancel: () => undefined };
    },
  } as unknown as RequestRouter;
  const intake = createRelayIntake({
    timers,
    random: createRandom(1),
    router,
    getTable: () => table,
    getStaleness: () => newsAge,
    changeTime: 2000,
    confirmCurrent: (done) => confirm(done),
    onDecision: (decision) => decisions.push({ ...decision }),
  });
  const submit = (change: Partial<RelayCall> = {}) => {
    const heard: string[] = [];
    const refusals: RelayRefusal[] = [];
    const handle = intake.submit(
      {
        id: 'r',
        host: 'h',
        method: 'POST',
        path: '/letters/1?a=/accounts/',
        headers: {},
        key: 'key',
        timeLeft: 5000,
        body: Buffer.from('body'),
        promptTokens: 100,
        maxTokens: 50,
        ...change,
      },
      {
        onHead: ({ status }) => heard.push(`head ${status}`),
        onEvent: (event) => heard.push(event),
        onEnd: () => heard.push('end'),
        onAborted: () => heard.push('broken'),
        onAnswer: ({ status }) => heard.push(`answer ${status}`),
        onRefused: (refusal) => refusals.push(refusal),
      },
    );
    return { heard, refusals, handle };
  };
  return {
    timers,
    setNewsAge(age: number) {
      newsAge = age;
    },
    setConfirm(next: ConfirmCurrent) {
      confirm = next;
    },
    streams,
    calls,
    decisions,
    submit,
    setTable: (next: RouteTable | null) => {
      table = next;
    },
  };
}

describe('RelayIntake', () => {
  it('answers 503 with a time to come back while it knows no configuration', () => {
    // Symptom: callers are told for good that their route does not exist.
    // Sequence: a restarted instance takes requests before it has read the configuration.
    // Cause: no configuration is taken for an empty one.
    const bed = createBed();
    bed.setTable(null);
    const [refusal] = bed.submit().refusals;
    expect(refusal).to.include({ status: 503 });
    expect(refusal?.retryAfter).to.be.greaterThan(0);
  });

  it('refuses unknown routes and keys, and lets public routes in without a key', () => {
    const bed = createBed();
    expect(bed.submit({ path: '/other/' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ host: 'other' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'wrong' }).refusals[0]?.status).to.equal(401);
    expect(bed.submit({ key: null }).refusals[0]?.status).to.equal(401);
    // What it was judged by: an instance that is behind is told from one that is right.
    expect(bed.decisions[0]).to.include({ reason: 'no route', version: 1, newsAge: 400 });
    const routes = [createRoute({ isPublic: true })];
    bed.setTable(createRouteTable(createConfig({ routes })));
    expect(bed.submit({ key: null }).refusals).to.deep.equal([]);
    expect(bed.streams[0]?.spec.team).to.equal('');
  });

  it('says that a call was not run, and when to come back, while its route or key may be new', () => {
    // Callers got 404 for routes that the store had accepted seconds before, from instances that had not heard of them.
    // No caller repeats a request after a 404, so each was lost, where another instance would have served it.
    const bed = createBed();
    bed.setNewsAge(3500);
    for (const change of [{ path: '/new/1' }, { key: 'new' }]) {
      const [refusal] = bed.submit(change).refusals;
      expect(refusal?.status).to.equal(503);
      expect(refusal?.retryAfter).to.be.within(1, 1000);
    }
    // What is known is served for as long as nothing newer is heard.
    expect(bed.submit().refusals).to.deep.equal([]);
    // A change has 2 s to be in force, and the age of news may leave out 0.7 s.
    bed.setNewsAge(1301);
    expect(bed.submit({ path: '/new/1' }).refusals[0]?.status).to.equal(503);
    expect(bed.submit({ key: 'new' }).refusals[0]?.status).to.equal(503);
    bed.setNewsAge(1300);
    expect(bed.submit({ path: '/new/1' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'new' }).refusals[0]?.status).to.equal(401);
  });

  it('asks the store before it says that a route is not there, and serves what is', () => {
    // Guards against a 404 for a route that was to be in force, from an instance whose watch stands still.
    const bed = createBed();
    const answers: ((isCurrent: boolean) => void)[] = [];
    bed.setConfirm((done) => answers.push(done));
    bed.setNewsAge(2400);
    const found = bed.submit({ path: '/new/1', timeLeft: 5000 });
    const left = bed.submit({ path: '/new/2' });
    left.handle.cancel();
    expect([found.refusals, answers.length]).to.deep.equal([[], 2]);
    bed.timers.advanceTo(100);
    const routes = [createRoute(), createRoute({ name: 'new', prefix: '/new/' })];
    bed.setTable(createRouteTable(createConfig({ routes })));
    bed.setNewsAge(100);
    answers.forEach((answer) => answer(true));
    expect([found.refusals, left.refusals, bed.streams.length]).to.deep.equal([[], [], 1]);
    // The time that the question took is the caller's.
    expect(bed.streams[0]?.spec.deadline).to.equal(5000 - 20);
  });

  it('says at once that a route is not there once the store has said so', () => {
    // Guards against a caller that is sent from instance to instance for a route that does not exist.
    const bed = createBed();
    bed.setNewsAge(2400);
    bed.setConfirm((done) => {
      bed.setNewsAge(5);
      done(true);
    });
    expect(bed.submit({ path: '/none/1' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'none' }).refusals[0]?.status).to.equal(401);
  });

  it('bounds the time by the caller and by the route, whichever ends first', () => {
    const bed = createBed();
    bed.submit({ timeLeft: 3000 });
    bed.submit({ timeLeft: 60_000 });
    bed.submit({ path: '/accounts/1', timeLeft: null });
    expect(bed.streams[0]?.spec.deadline).to.be.within(2900, 3000);
    expect(bed.streams[1]?.spec.deadline).to.be.within(9900, 10_000);
    expect(bed.calls[0]?.spec.deadline).to.be.within(1900, 2000);
  });

  it('refuses a stream without a chain before its caller leaves for good', () => {
    // Symptom: callers of an outage of three seconds are never served, though they could have come back.
    // Sequence: no chain is whole; requests wait for one; each caller leaves after two seconds of silence.
    // Cause: requests waited for five seconds, so that no caller ever heard when to come back.
    const bed = createBed();
    const routes = [
      createRoute({ callerPatience: 2000 }),
      createRoute({ prefix: '/long/', callerPatience: null }),
    ];
    bed.setTable(createRouteTable(createConfig({ routes })));
    bed.submit({ timeLeft: 20_000 });
    bed.submit({ timeLeft: 20_000, path: '/long/' });
    expect(bed.streams[0]?.spec.patience).to.be.within(1500, 1900);
    expect(bed.streams[1]?.spec.patience).to.be.greaterThan(2000);
  });

  it('lets only what may be repeated run again', () => {
    const bed = createBed();
    const kinds = [
      createRoute({ prefix: '/resumable/', isResumable: true }),
      createRoute({ prefix: '/stream/', isResumable: false }),
      { ...ACCOUNTS, prefix: '/safe/', kind: 'safe' as const },
      { ...ACCOUNTS, prefix: '/unsafe/', kind: 'unsafe' as const },
    ];
    bed.setTable(createRouteTable(createConfig({ routes: kinds })));
    kinds.forEach(({ prefix }) => bed.submit({ path: prefix }));
    expect(bed.streams.map(({ spec }) => spec.idempotent)).to.deep.equal([true, false]);
    expect(bed.calls.map(({ spec }) => spec.idempotent)).to.deep.equal([true, false]);
  });

  it('promises "not run" only where it is known', () => {
    const bed = createBed();
    const refuse = (kind: ProblemKindName, run: RunStateName): RelayRefusal | undefined => {
      const { refusals } = bed.submit({ path: '/accounts/1' });
      bed.calls.at(-1)?.sink.onError({ kind, run, retryAfter: null, instance: null });
      return refusals[0];
    };
    expect(refuse('engine-failed', RunState.Unknown)?.status).to.equal(502);
    expect(refuse('engine-failed', RunState.Ran)?.status).to.equal(502);
    expect(refuse('deadline', RunState.Unknown)?.status).to.equal(504);
    const notRun = refuse('no-chain', RunState.NotRun);
    expect(notRun?.status).to.equal(503);
    expect(notRun?.retryAfter).to.be.greaterThan(0);
  });

  it('breaks a stream off that has begun, and never lets it look whole', () => {
    const bed = createBed();
    const { heard, refusals } = bed.submit();
    const sink = bed.streams[0]?.sink;
    sink?.onStart({ status: 200, headers: {} });
    sink?.onToken(0, 'event');
    sink?.onError({ kind: 'engine-failed', run: 'ran', retryAfter: null, instance: null });
    expect(heard).to.deep.equal(['head 200', 'event', 'broken']);
    expect(refusals).to.deep.equal([]);
  });

  it('logs how a stream’s events came', () => {
    const bed = createBed();
    bed.submit();
    const sink = bed.streams[0]?.sink;
    bed.timers.advanceTo(70);
    sink?.onToken(0, 'a');
    bed.timers.advanceTo(370);
    sink?.onToken(1, 'b');
    sink?.onEnd('stop');
    expect(bed.decisions.at(-1)).to.deep.equal({
      request: 'r',
      decision: 'answered',
      events: 2,
      firstMs: 70,
      longestPauseMs: 300,
      lateBy: 'pause',
    });
  });
});
