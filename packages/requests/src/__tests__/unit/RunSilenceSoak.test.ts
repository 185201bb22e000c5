import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer, OpenedCall } from './RequestFakes.js';
import { acknowledge, createFakeWorld, listWords } from './RequestFakes.js';

const SEEDS = 60;
const REQUESTS = 12;
const TOKENS = 40;
const GAP: Millis = 30;
/** Maximum pause of an engine; every engine continues after its pause. */
const MAX_PAUSE: Millis = 4000;
const PAUSE_SHARE = 0.05;
const QUEUE_SHARE = 0.3;
const STEP: Millis = 10;
const END: Millis = 50_000;

/** Sends the tokens of a call with pauses in between, until it is cancelled. */
function serve(world: FakeWorld, random: Random, opened: OpenedCall): void {
  const { call, listener } = opened;
  const drawPause = (share: number): Millis =>
    random.nextFloat() < share ? random.nextFloat() * MAX_PAUSE : GAP;
  const give = (index: number): void => {
    if (opened.isCancelled) {
      return;
    }
    if (index === TOKENS) {
      listener.onEnd('stop', TOKENS);
      return;
    }
    listener.onToken(index, `w${index}`);
    world.timers.registerTimeout(drawPause(PAUSE_SHARE), () => give(index + 1));
  };
  world.timers.registerTimeout(drawPause(QUEUE_SHARE), () => {
    if (!opened.isCancelled) {
      acknowledge(opened);
      give(call.resumeTokens.length);
    }
  });
}

/** Runs requests at engines that pause and never fail, during planned work. */
function runSeed(seed: number): { world: FakeWorld; heard: ReceivedAnswer[] } {
  const random = createRandom(seed);
  const cfg = {
    ...DEFAULT_ROUTER_CONFIG,
    silence: { ...DEFAULT_ROUTER_CONFIG.silence, mostUnclear: 0 },
    isRecoveryBudgeted: true,
  };
  const burst = random.nextInt(REQUESTS);
  const engines = random.nextFloat() < 0.5 ? [['a1'], ['b1']] : undefined;
  const deps = { cfg, getRetryBurst: () => burst, mayBreakOff: () => false };
  const world = createFakeWorld(deps, engines);
  const heard: ReceivedAnswer[] = [];
  let served = 0;
  for (let at = 0; at < END; at += STEP) {
    if (heard.length < REQUESTS && random.nextFloat() < 0.05) {
      const maxAttempts = 1 + random.nextInt(2);
      const spec = { maxTokens: TOKENS, maxAttempts, breakAfter: 1700, prompt: `p${at}` };
      heard.push(world.submit(`r${heard.length}`, spec));
    }
    for (; served < world.calls.length; served += 1) {
      serve(world, random, world.calls[served] as OpenedCall);
    }
    world.timers.advanceTo(at);
  }
  return { world, heard };
}

describe('Silence with random pauses', () => {
  it('fails no answer of engines that pause and continue during planned work', () => {
    // Guards against any sequence of events by which a false suspicion of an engine ends an answer that it would finish.
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { world, heard } = runSeed(seed);
      expect(heard, `seed ${seed}`).to.have.length(REQUESTS);
      for (const { tokens, ends, problems } of heard) {
        expect([problems, ends], `seed ${seed}`).to.deep.equal([[], ['stop']]);
        expect(tokens, `seed ${seed}`).to.deep.equal(listWords(TOKENS));
      }
      const open = world.calls.filter(({ isCancelled }) => !isCancelled);
      expect(open.length, `seed ${seed}`).to.be.at.most(REQUESTS);
    }
  });
});
