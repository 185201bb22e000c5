import { expect } from 'chai';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import type { RouterDeps } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer } from './RequestFakes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
  listWords,
} from './RequestFakes.js';

const MAX_ATTEMPTS = 2;
const CALLER_PATIENCE: Millis = 1700;
/** Time in which instances exchange reports of the requests that were running at a crash. */
const CRASH_REPORT_TIME: Millis = 500;
const STEP: Millis = 1;
const DEADLINE: Millis = 20_000;
/** Silence bounds for a deployment whose callers leave after two seconds. */
const SILENCE_BOUNDS = {
  acknowledgement: { least: 350, most: 350 },
  firstToken: { least: 350, most: 350 },
  gap: { least: 500, most: 900 },
};
const GROUPS = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Six engines per chain, `copies` chains; recoveries take from the retry budget. */
function createWorld(copies: number, change: Partial<RouterDeps> = {}): FakeWorld {
  const { silence } = DEFAULT_ROUTER_CONFIG;
  const cfg = {
    ...DEFAULT_ROUTER_CONFIG,
    silence: { ...silence, ...SILENCE_BOUNDS, mostUnclear: 0 },
    isRecoveryBudgeted: true,
  };
  const numbers = Array.from({ length: copies }, (_, i) => i + 1);
  const engines = GROUPS.map((group) => numbers.map((n) => `${group}${n}`));
  return createFakeWorld({ cfg, ...change }, engines);
}

function submit(world: FakeWorld, id: string): ReceivedAnswer {
  return world.submit(id, {
    maxAttempts: MAX_ATTEMPTS,
    patience: CALLER_PATIENCE,
    breakAfter: CALLER_PATIENCE,
    deadline: world.timers.now() + DEADLINE,
  });
}

function advance(world: FakeWorld, time: Millis): void {
  world.timers.advanceTo(world.timers.now() + time);
}

/** Advances time until `count` calls were opened. */
function awaitCalls(world: FakeWorld, count: number): void {
  const end = world.timers.now() + DEADLINE;
  while (world.calls.length < count && world.timers.now() < end) {
    advance(world, STEP);
  }
}

/** Logged reasons for which a request failed or was given up. */
function listEndReasons({ decisions }: FakeWorld, id: string): (string | null)[] {
  return decisions
    .filter(
      ({ request, decision }) => request === id && (decision === 'fail' || decision === 'give-up'),
    )
    .map(({ reason }) => reason);
}

/** Completes an answer through the newest call. */
function finish(world: FakeWorld, heard: ReceivedAnswer, length: number): void {
  const last = world.last();
  acknowledge(last);
  sendTokens(world, last, heard.tokens.length, length);
  last.listener.onEnd('stop', length);
}

/** Ends the first engine of the newest call, which breaks its stream. */
function endEngine(world: FakeWorld): EngineId {
  const opened = world.last();
  const [engine = ''] = listEngines(opened);
  opened.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
  return engine;
}

function permute<T>(items: readonly T[]): T[][] {
  return items.length < 2
    ? [[...items]]
    : items.flatMap((item, i) =>
        permute(items.filter((_, k) => k !== i)).map((rest) => [item, ...rest]),
      );
}

describe('Two engine failures during an answer within a second', () => {
  it('leaves an answer with its second chain when one engine pauses during planned work', () => {
    // Guards against an answer that is aborted on its last attempt at a second silence, within a second of the first.
    const world = createWorld(3, { mayBreakOff: () => false });
    const heard = submit(world, 'r');
    const [first] = world.calls;
    awaitCalls(world, 2);
    expect([first?.isCancelled, listEngines(world.last()).length]).to.deep.equal([true, 6]);
    const second = world.last();
    acknowledge(second);
    sendTokens(world, second, 0, 8);
    // Another answer continues through all engines of that chain but one, which is therefore the only suspect.
    submit(world, 'other');
    const otherFirstCall = world.last();
    otherFirstCall.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'c2' }));
    const other = world.last();
    acknowledge(other);
    sendTokens(world, other, 0, 40);
    expect([heard.problems, second.isCancelled, world.count('failed')]).to.deep.equal([
      [],
      false,
      0,
    ]);
    sendTokens(world, second, 8, 20);
    second.listener.onEnd('stop', 20);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(20), ['stop']]);
    expect(listEndReasons(world, 'r')).to.deep.equal([]);
  });

  it('leaves a silent answer with the only chain for longer than 0.9 s', () => {
    // Guards against an answer that is withdrawn from the only complete chain and fails because there is no other.
    const world = createWorld(1);
    const heard = submit(world, 'r');
    const only = world.last();
    acknowledge(only);
    sendTokens(world, only, 0, 3);
    advance(world, CRASH_REPORT_TIME + 900);
    expect([heard.problems, only.isCancelled, listEndReasons(world, 'r')]).to.deep.equal([
      [],
      false,
      [],
    ]);
    sendTokens(world, only, 3, 20);
    only.listener.onEnd('stop', 20);
    expect([heard.tokens, heard.ends]).to.deep.equal([listWords(20), ['stop']]);
  });

  it('continues after two leaving engines have ended, in each order of reports and ends', () => {
    // Guards against an answer that is condemned as poison because two of its engines left during it.
    const steps = ['report of a', 'report of b', 'end', 'end', 'configuration'] as const;
    const orders = new Map(permute(steps).map((order) => [order.join(), order]));
    const gaps: readonly Millis[] = [1, 30, 100];
    for (const order of orders.values()) {
      for (const gap of gaps) {
        for (const begun of [0, 8]) {
          runLeavingCase(order, gap, begun);
        }
      }
    }
  });

  function runLeavingCase(order: readonly string[], gap: Millis, tokensPerAttempt: number): void {
    const name = `${order.join(', ')}; ${gap} ms; ${tokensPerAttempt} events`;
    const leaving = new Set<EngineId>();
    let isPlanned = false;
    let ends = 0;
    const world = createWorld(4, {
      isEnding: (engine) => leaving.has(engine),
      mayBreakOff: () => !isPlanned,
    });
    const heard = submit(world, 'r');
    for (const step of order) {
      if (step === 'configuration') {
        isPlanned = true;
      } else if (step === 'end') {
        ends += 1;
        awaitCalls(world, ends);
        const opened = world.last();
        acknowledge(opened);
        sendTokens(world, opened, heard.tokens.length, heard.tokens.length + tokensPerAttempt);
        // The report that an engine is leaving arrives before the engine ends if the store is reachable.
        leaving.add(listEngines(opened)[0] ?? '');
        endEngine(world);
      } else {
        leaving.add(step === 'report of a' ? 'a1' : 'a2');
      }
      advance(world, gap);
    }
    awaitCalls(world, 3);
    expect(heard.problems, name).to.deep.equal([]);
    finish(world, heard, 30);
    expect([heard.tokens, heard.ends], name).to.deep.equal([listWords(30), ['stop']]);
    expect(listEndReasons(world, 'r'), name).to.deep.equal([]);
  }

  it('continues after one engine was silent and another has ended, in each order', () => {
    // Guards against a silence that counts as a crash, and against an engine's end that counts as a spent attempt.
    for (const isSilentFirst of [true, false]) {
      for (const begun of [0, 8]) {
        const world = createWorld(4, { mayBreakOff: () => false });
        const heard = submit(world, 'r');
        const actions = [() => awaitCalls(world, world.calls.length + 1), () => endEngine(world)];
        for (const [i, action] of (isSilentFirst ? actions : [...actions].reverse()).entries()) {
          awaitCalls(world, i + 1);
          acknowledge(world.last());
          sendTokens(world, world.last(), heard.tokens.length, heard.tokens.length + begun);
          action();
        }
        awaitCalls(world, 3);
        const name = `silence ${isSilentFirst ? 'first' : 'last'}, ${begun} events`;
        expect([heard.problems, world.calls.length], name).to.deep.equal([[], 3]);
        finish(world, heard, 30);
        expect([heard.tokens, heard.ends], name).to.deep.equal([listWords(30), ['stop']]);
      }
    }
  });

  it('logs a poison verdict, and fails no answer by one before other instances can report on the crash', () => {
    // Guards against a verdict that ends an answer at once, and against one whose log line looks like that of a silence.
    for (const gap of [1, 30, 250, 500]) {
      for (const begun of [0, 8]) {
        const world = createWorld(4, { mayBreakOff: () => false });
        const heard = submit(world, 'r');
        for (let ends = 0; ends < 2; ends += 1) {
          advance(world, gap);
          acknowledge(world.last());
          sendTokens(world, world.last(), heard.tokens.length, heard.tokens.length + begun);
          endEngine(world);
        }
        const endedAt = world.timers.now();
        advance(world, CRASH_REPORT_TIME - 2 * STEP);
        const name = `${gap} ms, ${begun} events`;
        expect([heard.problems, listEndReasons(world, 'r')], name).to.deep.equal([[], []]);
        while (heard.problems.length === 0 && world.timers.now() < endedAt + DEADLINE) {
          advance(world, STEP);
        }
        const run = begun > 0 ? 'ran' : 'unknown';
        expect(listEndReasons(world, 'r'), name).to.deep.equal([`poison ${run}`]);
      }
    }
  });
});
