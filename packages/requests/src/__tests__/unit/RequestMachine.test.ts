import { expect } from 'chai';
import fc from 'fast-check';
import { createChain } from '@skylarksail/core/CoreChain';
import { RunState } from '@skylarksail/core/CoreConstants';
import { invariant } from '@skylarksail/core/CoreErrors';
import { classifyFailure, FailureClass } from '../../RequestFailures.js';
import { stepRequest } from '../../RequestMachine.js';
import { DEFAULT_SILENCE_CONFIG } from '../../RequestPace.js';
import type { RequestEffect, RequestEvent } from '../../RequestMessages.js';
import { FailurePlace } from '../../RequestPorts.js';
import type { RequestMachine } from '../../RequestState.js';
import { createRequestMachine, getMachineRun } from '../../RequestState.js';
import { createFailure, VARIANT } from './RequestFakes.js';

const MAX_TOKENS = 6;
const createdChain = createChain(VARIANT, 2, [
  { engine: 'a', layers: { first: 0, end: 1 } },
  { engine: 'b', layers: { first: 1, end: 2 } },
]);
invariant(createdChain.ok, 'the stages form a chain');
const chain = createdChain.value;
const limits = {
  acknowledgement: 300,
  firstToken: 400,
  gap: 30,
  gapBounds: DEFAULT_SILENCE_CONFIG.gap,
};

const attempt = fc.integer({ min: 1, max: 3 });
const place = fc.constantFrom(...Object.values(FailurePlace));
const anyEvent: fc.Arbitrary<RequestEvent> = fc.oneof(
  fc.constant<RequestEvent>({ kind: 'admitted' }),
  fc.constant<RequestEvent>({ kind: 'chosen', chain, importFrom: [], limits }),
  fc.constant<RequestEvent>({ kind: 'chosen', chain, importFrom: [], limits }),
  fc.constant<RequestEvent>({ kind: 'no-chain', isFull: true, isTooLate: false, retryAfter: 10 }),
  fc.constant<RequestEvent>({ kind: 'retry-granted', failed: ['a'] }),
  fc.constant<RequestEvent>({ kind: 'retry-refused', retryAfter: null }),
  fc.constant<RequestEvent>({ kind: 'silence-borne' }),
  fc.constant<RequestEvent>({ kind: 'look-again', delay: 10 }),
  fc.constant<RequestEvent>({ kind: 'stood-still' }),
  fc.constant<RequestEvent>({ kind: 'patience-over' }),
  fc.constant<RequestEvent>({ kind: 'hang-up' }),
  fc.constant<RequestEvent>({ kind: 'deadline' }),
  attempt.map((n): RequestEvent => ({ kind: 'acknowledged', attempt: n, acknowledgement: chain })),
  fc
    .tuple(attempt, fc.integer({ min: 0, max: MAX_TOKENS }))
    .map(([n, index]): RequestEvent => ({ kind: 'token', attempt: n, index, token: `w${index}` })),
  fc
    .tuple(attempt, fc.integer({ min: 0, max: MAX_TOKENS }))
    .map(([n, tokenCount]): RequestEvent => ({
      kind: 'end',
      attempt: n,
      reason: 'stop',
      tokenCount,
    })),
  fc.tuple(attempt, place, fc.boolean()).map(([n, where, provenNotRun]): RequestEvent => ({
    kind: 'failure',
    attempt: n,
    failure: createFailure({ place: where, provenNotRun }),
    suspects: [],
    isSlow: false,
  })),
);

/** Steps a new machine through the events, one every 10 ms, and collects its states and effects. */
function runEvents(idempotent: boolean, events: readonly RequestEvent[]) {
  let machine: RequestMachine = createRequestMachine({ idempotent, maxTokens: MAX_TOKENS }, 0);
  const effects: RequestEffect[] = [];
  const states: RequestMachine[] = [];
  events.forEach((event, i) => {
    const step = stepRequest(machine, event, i * 10);
    machine = step.machine;
    effects.push(...step.effects);
    states.push(machine);
  });
  return { machine, effects, states };
}

describe('RequestMachine', () => {
  it('runs on at most its maximum number of engines, not counting those lost during an attempt', () => {
    // Guards against not counting silent attempts, so that a request runs on more engines than its route allows.
    const silent = (n: number): RequestEvent => ({
      kind: 'failure',
      attempt: n,
      failure: createFailure({ place: FailurePlace.Silence }),
      suspects: [],
      isSlow: false,
    });
    const died = (n: number): RequestEvent => ({
      kind: 'failure',
      attempt: n,
      failure: createFailure({ place: FailurePlace.Stream }),
      suspects: [],
      isSlow: false,
    });
    const runFailures = (failures: readonly ((n: number) => RequestEvent)[]): RequestMachine => {
      const spec = { idempotent: true, maxTokens: MAX_TOKENS, maxAttempts: 2 };
      let { machine } = stepRequest(createRequestMachine(spec, 0), { kind: 'admitted' }, 0);
      failures.forEach((createEvent, i) => {
        const events: readonly RequestEvent[] = [
          { kind: 'chosen', chain, importFrom: [], limits },
          createEvent(i + 1),
          { kind: 'retry-granted', failed: [] },
        ];
        events.forEach((event) => {
          machine = stepRequest(machine, event, 10 * i).machine;
        });
      });
      return machine;
    };
    expect(runFailures([silent, silent]).phase).to.equal('ended');
    expect(runFailures([died, silent]).phase).to.equal('choosing');
  });

  it('waits for engines until its patience ends, and then reports that it has not run', () => {
    const spec = { idempotent: true, maxTokens: MAX_TOKENS, patience: 100 };
    const none: RequestEvent = {
      kind: 'no-chain',
      isFull: false,
      isTooLate: false,
      retryAfter: 10,
    };
    const admitted = stepRequest(createRequestMachine(spec, 0), { kind: 'admitted' }, 0).machine;
    const waiting = stepRequest(admitted, none, 50).machine;
    expect(waiting.phase).to.equal('pausing');
    const again = stepRequest(waiting, { kind: 'retry-granted', failed: [] }, 90).machine;
    const ended = stepRequest(again, none, 110);
    expect(ended.machine.phase).to.equal('ended');
    expect(ended.effects).to.deep.include({
      kind: 'fail',
      problem: { kind: 'no-chain', run: 'not-run', retryAfter: 10, instance: null },
    });
  });

  it('keeps its invariants for any sequence of events', () => {
    fc.assert(
      fc.property(fc.boolean(), fc.array(anyEvent, { maxLength: 60 }), (idempotent, tail) => {
        const start: RequestEvent[] = [
          { kind: 'admitted' },
          { kind: 'chosen', chain, importFrom: [], limits },
        ];
        const { effects, machine } = runEvents(idempotent, [...start, ...tail]);
        const tokens = effects.filter((effect) => effect.kind === 'token');
        expect(tokens.map((effect) => effect.index)).to.deep.equal(tokens.map((_, i) => i));
        const ends = effects.filter(({ kind }) => ['complete', 'fail', 'replay'].includes(kind));
        expect(ends.length).to.be.at.most(1);
        expect(ends.length === 1).to.equal(machine.phase === 'ended');
        const last = effects.findLastIndex(({ kind }) => kind === 'token' || kind === 'open');
        expect(ends.every((end) => effects.indexOf(end) > last)).to.equal(true);
        const opened = effects.filter(({ kind }) => kind === 'open').length;
        const closed = effects.filter(({ kind }) => kind === 'close').length;
        expect(opened - closed).to.equal(machine.phase === 'running' ? 1 : 0);
        const [end] = ends;
        if (end?.kind === 'fail' && end.problem.run === RunState.NotRun) {
          expect(tokens).to.have.length(0);
        }
      }),
      { numRuns: 2000, seed: 7 },
    );
  });

  it('retries non-idempotent work only if it is proven not to have run', () => {
    // Guards against treating a missing answer as proof that the work has not run, which would run it twice.
    const start: RequestEvent[] = [
      { kind: 'admitted' },
      { kind: 'chosen', chain, importFrom: [], limits },
    ];
    for (const where of Object.values(FailurePlace)) {
      const failure = createFailure({ place: where });
      const { effects, machine } = runEvents(false, [
        ...start,
        { kind: 'failure', attempt: 1, failure, suspects: [], isSlow: false },
      ]);
      const isRetried = effects.some(({ kind }) => kind === 'ask-retry');
      expect(isRetried, where).to.equal(where === FailurePlace.Connect);
      expect(getMachineRun(machine) === RunState.NotRun, where).to.equal(isRetried);
    }
  });

  it("prefers its own observations to an engine's report that it did not run", () => {
    // Guards against forwarding an engine's `not run` report although a token of the attempt had arrived.
    const failure = createFailure({ place: FailurePlace.Refused, provenNotRun: true });
    const classify = (acknowledged: boolean, tokens: number) =>
      classifyFailure(failure, { acknowledged, tokens, ended: false });
    expect(classify(false, 0)).to.equal(FailureClass.NotRun);
    expect(classify(true, 0)).to.equal(FailureClass.Unknown);
    expect(classify(true, 1)).to.equal(FailureClass.RanInPart);
  });

  it('reports that an earlier attempt may have run', () => {
    // Guards against reporting only the last attempt's run state to the caller, when an earlier one may have run.
    const { effects } = runEvents(true, [
      { kind: 'admitted' },
      { kind: 'chosen', chain, importFrom: [], limits },
      {
        kind: 'failure',
        attempt: 1,
        failure: createFailure({ place: FailurePlace.Send }),
        suspects: [],
        isSlow: false,
      },
      { kind: 'retry-granted', failed: ['a'] },
      { kind: 'chosen', chain, importFrom: [], limits },
      {
        kind: 'failure',
        attempt: 2,
        failure: createFailure({ place: FailurePlace.Refused, provenNotRun: true }),
        suspects: [],
        isSlow: false,
      },
      { kind: 'retry-refused', retryAfter: 100 },
    ]);
    const end = effects.find(({ kind }) => kind === 'fail');
    expect(end?.kind === 'fail' && end.problem.run).to.equal(RunState.Unknown);
  });

  it('restarts the silence timer of a stream after a pause of the router process', () => {
    // Guards against treating a pause of the router's process as silence of all engines.
    const { machine } = runEvents(true, [
      { kind: 'admitted' },
      { kind: 'chosen', chain, importFrom: [], limits },
    ]);
    const late = stepRequest(machine, { kind: 'tick', dueAt: 400 }, 5000);
    expect(late.effects.map(({ kind }) => kind)).to.deep.equal(['watch']);
    const onTime = stepRequest(machine, { kind: 'tick', dueAt: 400 }, 401);
    expect(onTime.effects.map(({ kind }) => kind)).to.deep.equal(['silent']);
  });
});
