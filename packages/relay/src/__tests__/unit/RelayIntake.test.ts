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
  const held: (() => void)[] = [];
  let isGateOpen = true;
  let staleness = 400;
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
    getStaleness: () => staleness,
    changeTime: 2000,
    confirmCurrent: (done) => confirm(done),
    arrivals: {
      add: ({ begin }) => {
        begin();
        return () => undefined;
      },
    },
    startGate: { isOpen: () => isGateOpen, wait: (resume) => held.push(resume) },
    onDecision: (decision) => decisions.push({ ...decision }),
  });
  const submit = (change: Partial<RelayCall> = {}) => {
    const received: string[] = [];
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
        onHead: ({ status }) => received.push(`head ${status}`),
        onEvent: (event) => received.push(event),
        onEnd: () => received.push('end'),
        onAborted: () => received.push('broken'),
        onAnswer: ({ status }) => received.push(`answer ${status}`),
        onRefused: (refusal) => refusals.push(refusal),
      },
    );
    return { received, refusals, handle };
  };
  return {
    timers,
    setStaleness(age: number) {
      staleness = age;
    },
    setConfirm(next: ConfirmCurrent) {
      confirm = next;
    },
    streams,
    calls,
    decisions,
    submit,
    holdRequests: () => {
      isGateOpen = false;
    },
    releaseRequests: () => {
      isGateOpen = true;
      held.splice(0).forEach((resume) => resume());
    },
    setTable: (next: RouteTable | null) => {
      table = next;
    },
  };
}

describe('RelayIntake', () => {
  it('answers 503 with a retry delay while no configuration is known', () => {
    // Guards against permanent refusals of existing routes: a restarted instance accepts requests before it has read
    // the configuration, and treats the missing configuration as an empty one.
    const bed = createBed();
    bed.setTable(null);
    const [refusal] = bed.submit().refusals;
    expect(refusal).to.include({ status: 503 });
    expect(refusal?.retryAfter).to.be.greaterThan(0);
  });

  it('holds requests until the first configuration is in force, with the time that is left then', () => {
    // Guards against callers that are refused by an instance that has just started, half a second before it can serve
    // them, and that have no attempt left after the one that the restart cost them.
    const bed = createBed();
    const table = createRouteTable(createConfig({ routes: [createRoute(), ACCOUNTS] }));
    bed.setTable(null);
    bed.holdRequests();
    const kept = bed.submit({ timeLeft: 5000 });
    const gone = bed.submit({ id: 'gone' });
    gone.handle.cancel();
    bed.timers.advanceTo(400);
    expect([kept.refusals, bed.streams]).to.deep.equal([[], []]);
    bed.setTable(table);
    bed.releaseRequests();
    expect(bed.streams.map(({ spec }) => spec.id)).to.deep.equal(['r']);
    expect(bed.streams[0]?.spec.deadline).to.be.at.most(5000);
    bed.setTable(null);
    expect(bed.submit({ id: 'later' }).refusals[0]).to.include({ status: 503 });
  });

  it('refuses unknown routes and keys, and accepts requests to public routes without a key', () => {
    const bed = createBed();
    expect(bed.submit({ path: '/other/' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ host: 'other' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'wrong' }).refusals[0]?.status).to.equal(401);
    expect(bed.submit({ key: null }).refusals[0]?.status).to.equal(401);
    // The log shows the basis of a refusal, which distinguishes a stale instance from a current one.
    expect(bed.decisions[0]).to.include({ reason: 'no route', version: 1, newsAge: 400 });
    const routes = [createRoute({ isPublic: true })];
    bed.setTable(createRouteTable(createConfig({ routes })));
    expect(bed.submit({ key: null }).refusals).to.deep.equal([]);
    expect(bed.streams[0]?.spec.team).to.equal('');
  });

  it('answers 503 with a retry delay while an unknown route or key may be new', () => {
    // Guards against a 404 from a stale instance for a route that the store accepted seconds before. Callers do not
    // retry after a 404, so the request is lost although another instance would have served it.
    const bed = createBed();
    bed.setStaleness(3500);
    for (const change of [{ path: '/new/1' }, { key: 'new' }]) {
      const [refusal] = bed.submit(change).refusals;
      expect(refusal?.status).to.equal(503);
      expect(refusal?.retryAfter).to.be.within(1, 1000);
    }
    // Known routes are served without a limit on staleness.
    expect(bed.submit().refusals).to.deep.equal([]);
    // A change must be in force within 2 s, and staleness can be understated by 0.7 s.
    bed.setStaleness(1301);
    expect(bed.submit({ path: '/new/1' }).refusals[0]?.status).to.equal(503);
    expect(bed.submit({ key: 'new' }).refusals[0]?.status).to.equal(503);
    bed.setStaleness(1300);
    expect(bed.submit({ path: '/new/1' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'new' }).refusals[0]?.status).to.equal(401);
  });

  it('queries the store before it refuses an unknown route, and serves the route if it exists', () => {
    // Guards against a 404 for a route that must already be in force, from an instance whose watch is stalled.
    const bed = createBed();
    const answers: ((isCurrent: boolean) => void)[] = [];
    bed.setConfirm((done) => answers.push(done));
    bed.setStaleness(2400);
    const found = bed.submit({ path: '/new/1', timeLeft: 5000 });
    const left = bed.submit({ path: '/new/2' });
    left.handle.cancel();
    expect([found.refusals, answers.length]).to.deep.equal([[], 2]);
    bed.timers.advanceTo(100);
    const routes = [createRoute(), createRoute({ name: 'new', prefix: '/new/' })];
    bed.setTable(createRouteTable(createConfig({ routes })));
    bed.setStaleness(100);
    answers.forEach((answer) => answer(true));
    expect([found.refusals, left.refusals, bed.streams.length]).to.deep.equal([[], [], 1]);
    // The time of the query counts against the caller's deadline.
    expect(bed.streams[0]?.spec.deadline).to.equal(5000 - 20);
  });

  it('answers 404 or 401 as soon as the store confirms that the route or key does not exist', () => {
    // Guards against callers that retry at one instance after another for a route that does not exist.
    const bed = createBed();
    bed.setStaleness(2400);
    bed.setConfirm((done) => {
      bed.setStaleness(5);
      done(true);
    });
    expect(bed.submit({ path: '/none/1' }).refusals[0]?.status).to.equal(404);
    expect(bed.submit({ key: 'none' }).refusals[0]?.status).to.equal(401);
  });

  it('uses the earlier deadline of the caller and the route', () => {
    const bed = createBed();
    bed.submit({ timeLeft: 3000 });
    bed.submit({ timeLeft: 60_000 });
    bed.submit({ path: '/accounts/1', timeLeft: null });
    expect(bed.streams[0]?.spec.deadline).to.be.within(2900, 3000);
    expect(bed.streams[1]?.spec.deadline).to.be.within(9900, 10_000);
    expect(bed.calls[0]?.spec.deadline).to.be.within(1900, 2000);
  });

  it('refuses a stream without a chain before its caller leaves for good', () => {
    // Guards against callers that are not served after an outage of three seconds although a retry would succeed: no
    // chain is complete and requests wait for one. If they wait for five seconds, callers leave after two seconds
    // without an answer and never receive the retry delay.
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

  it('marks only repeatable requests as idempotent', () => {
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

  it('answers 503 only for requests that are known not to have run', () => {
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

  it('aborts a started stream on an error without an end event', () => {
    const bed = createBed();
    const { received, refusals } = bed.submit();
    const sink = bed.streams[0]?.sink;
    sink?.onStart({ status: 200, headers: {} });
    sink?.onToken(0, 'event');
    sink?.onError({ kind: 'engine-failed', run: 'ran', retryAfter: null, instance: null });
    expect(received).to.deep.equal(['head 200', 'event', 'broken']);
    expect(refusals).to.deep.equal([]);
  });

  it('logs the timing of a stream’s events', () => {
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

  it('counts the time for which a request waited unread against its deadline and its patience', () => {
    // Guards against servers that are handed more time than their callers have left.
    const { calls, streams, submit } = createBed();
    submit({ path: '/accounts/1', timeLeft: 1500, waited: 400 });
    submit({ timeLeft: 5000, waited: 400 });
    expect(calls[0]?.spec.deadline).to.equal(1500 - 400 - 20);
    expect(streams[0]?.spec.deadline).to.equal(5000 - 400 - 20);
    expect(streams[0]?.spec.patience).to.be.at.most(0.85 * 2000 - 400);
  });

  it('takes no caller of a request that may be repeated for one that waits unread longer than callers do', () => {
    // Guards against refusals of callers that have just come, whose requests are read together with those of a long stop.
    const { streams, submit } = createBed();
    submit({ timeLeft: 6000, waited: 60_000 });
    submit({ timeLeft: 900, waited: 60_000 });
    expect(streams.map(({ spec }) => spec.deadline)).to.deep.equal([
      6000 - 1000 - 20,
      900 - 300 - 20,
    ]);
  });

  it('tells a caller at once whose time may have passed before its request was read', () => {
    // Guards against work for a caller that is told late, and too late to go elsewhere.
    const { calls, submit } = createBed();
    const { refusals } = submit({ path: '/accounts/1', timeLeft: 1200, waited: 1500 });
    expect(calls).to.deep.equal([]);
    expect(refusals.map(({ status }) => status)).to.deep.equal([503]);
  });
});
