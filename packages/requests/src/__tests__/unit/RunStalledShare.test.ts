import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, OpenedCall, ReceivedAnswer } from './RequestFakes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  listEngines,
  listWords,
} from './RequestFakes.js';

const BEGUN = 10;
const WAITING = 30;
const GAP: Millis = 30;
const TOKENS_BEFORE = 10;
const TOKENS = 30;
/** Gaps of the silence: longer than the first silence timeout, shorter than the second. */
const SILENT_GAPS = 10;

/** How the requests without an answer wait; null if there are none. */
type Wait = 'for admission' | 'for a first token' | 'for the claim of a key' | null;

interface StalledWorld {
  readonly world: FakeWorld;
  readonly stalled: readonly ReceivedAnswer[];
  readonly stalledCalls: readonly OpenedCall[];
  readonly flowingCalls: readonly OpenedCall[];
}

/** Starts ten answers through `a1`, of which `stalledCount` go through `b1` and the others through `b2`. */
function beginAnswers(stalledCount: number, wait: Wait): StalledWorld {
  const limits = { ...DEFAULT_ROUTER_CONFIG.limits, initial: BEGUN, least: BEGUN, most: BEGUN };
  const cfg =
    wait === 'for admission' ? { ...DEFAULT_ROUTER_CONFIG, limits } : DEFAULT_ROUTER_CONFIG;
  const world = createFakeWorld({ cfg });
  const heard: ReceivedAnswer[] = [];
  const calls: OpenedCall[] = [];
  for (let i = 0; i < BEGUN; i += 1) {
    heard.push(world.submit(`r${i}`));
    if (i === stalledCount) {
      // Later answers keep off `b1` too, until a token comes through it.
      world.last().listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
    }
    calls.push(world.last());
    acknowledge(world.last());
  }
  const [stalledCalls, flowingCalls] = [calls.slice(0, stalledCount), calls.slice(stalledCount)];
  expect(stalledCalls.every((call) => listEngines(call).join() === 'a1,b1')).to.equal(true);
  expect(flowingCalls.every((call) => listEngines(call).join() === 'a1,b2')).to.equal(true);
  return { world, stalled: heard.slice(0, stalledCount), stalledCalls, flowingCalls };
}

/** Sends the next tokens of all calls at once, one every `GAP`. */
function sendAll(world: FakeWorld, calls: readonly OpenedCall[], from: number, to: number): void {
  for (let i = from; i < to; i += 1) {
    world.timers.advanceTo(world.timers.now() + GAP);
    calls.forEach(({ listener }) => listener.onToken(i, `w${i}`));
  }
}

function submitWaiting(world: FakeWorld, wait: Wait): void {
  const keyed = { idempotent: false };
  for (let i = 0; wait !== null && i < WAITING; i += 1) {
    const change = wait === 'for the claim of a key' ? { ...keyed, idempotencyKey: `k${i}` } : {};
    world.submit(`waiting${i}`, change);
  }
}

/** Plays answers of which some are silent for a while, then go on where they are; returns their callers' view. */
function playSilence(stalledCount: number, wait: Wait): StalledWorld {
  const scene = beginAnswers(stalledCount, wait);
  const { world, stalledCalls, flowingCalls } = scene;
  const all = [...stalledCalls, ...flowingCalls];
  sendAll(world, all, 0, TOKENS_BEFORE);
  submitWaiting(world, wait);
  sendAll(world, flowingCalls, TOKENS_BEFORE, TOKENS_BEFORE + SILENT_GAPS);
  sendAll(world, stalledCalls, TOKENS_BEFORE, TOKENS);
  return scene;
}

const WAITS: readonly Wait[] = [
  null,
  'for admission',
  'for a first token',
  'for the claim of a key',
];

describe('Share of stalled answers', () => {
  for (const wait of WAITS) {
    const others = wait === null ? 'no other request waits' : `other requests wait ${wait}`;

    it(`leaves answers with their engines while most begun ones stand still and ${others}`, () => {
      // Guards against answers that are withdrawn from a sound engine in a common stall because of requests that wait.
      const { stalled, stalledCalls } = playSilence(8, wait);
      const withdrawn = stalledCalls.filter(({ isCancelled }) => isCancelled).length;
      const received = stalled.map(({ tokens }) => tokens.length);
      expect([withdrawn, ...received]).to.deep.equal([0, ...Array(8).fill(TOKENS)]);
      expect(stalled[0]?.tokens).to.deep.equal(listWords(TOKENS));
    });

    it(`replaces the one silent engine while seven begun answers in ten stand still and ${others}`, () => {
      // Guards against answers that stay with a dead engine although enough others go on.
      const { world, stalledCalls } = playSilence(7, wait);
      expect(stalledCalls.filter(({ isCancelled }) => isCancelled)).to.have.length(7);
      const repaired = world.calls.filter(({ call }) => call.resumeTokens.length === TOKENS_BEFORE);
      expect(repaired.map((call) => listEngines(call).join())).to.include('a1,b2');
    });
  }
});
