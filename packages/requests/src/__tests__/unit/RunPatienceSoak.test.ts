import { expect } from 'chai';
import type { Random } from '@skylarksail/core/CoreRandom';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer, OpenedCall } from './RequestFakes.js';
import { acknowledge, createFailure, createFakeWorld, listEngines } from './RequestFakes.js';

const SEEDS = 60;
const REQUESTS = 20;
const TOKENS = 10;
const GAP: Millis = 30;
const PATIENCE: Millis = 1700;
/** Tolerance for a late error to a caller, because the test's clock advances in steps. */
const MAX_ERROR_DELAY: Millis = 50;
/** Exceeds the patience of callers. */
const MAX_QUEUE_TIME: Millis = 4000;
const STEP: Millis = 10;
const END: Millis = 30_000;

/** Draws the outcome of a call: it begins after a time in a queue, is refused, breaks, or stays silent. */
function serve(world: FakeWorld, random: Random, opened: OpenedCall): void {
  const { call, listener } = opened;
  const [engine = ''] = listEngines(opened);
  const outcome = random.nextFloat();
  const give = (index: number): void => {
    if (opened.isCancelled) {
      return;
    }
    if (index >= TOKENS) {
      listener.onEnd('stop', TOKENS);
      return;
    }
    listener.onToken(index, `w${index}`);
    world.timers.registerTimeout(GAP, () => give(index + 1));
  };
  world.timers.registerTimeout(random.nextFloat() ** 2 * MAX_QUEUE_TIME, () => {
    if (opened.isCancelled || outcome < 0.1) {
      return;
    }
    if (outcome < 0.3) {
      const retryAfter = random.nextFloat() < 0.3 ? 3000 : null;
      const refusal = { place: FailurePlace.Refused, provenNotRun: true, status: 503, retryAfter };
      listener.onFailure(createFailure({ ...refusal, engine }));
    } else if (outcome < 0.4) {
      listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
    } else if (outcome < 0.5) {
      listener.onFailure(
        createFailure({ place: FailurePlace.Connect, provenNotRun: true, engine }),
      );
    } else {
      acknowledge(opened);
      give(call.resumeTokens.length);
    }
  });
}

interface Caller {
  readonly heard: ReceivedAnswer;
  readonly leavesAt: Millis;
}

function runSeed(seed: number): { world: FakeWorld; callers: Caller[]; late: string[] } {
  const random = createRandom(seed);
  const cfg = {
    ...DEFAULT_ROUTER_CONFIG,
    silence: { ...DEFAULT_ROUTER_CONFIG.silence, mostUnclear: random.nextInt(3) },
    isRecoveryBudgeted: true,
    keepsOffRefusing: random.nextFloat() < 0.5,
  };
  const burst = random.nextInt(REQUESTS);
  const engines = random.nextFloat() < 0.5 ? [['a1'], ['b1']] : undefined;
  const world = createFakeWorld({ cfg, getRetryBurst: () => burst }, engines);
  const callers: Caller[] = [];
  const late: string[] = [];
  let served = 0;
  for (let at = 0; at < END; at += STEP) {
    if (callers.length < REQUESTS && random.nextFloat() < 0.05) {
      const maxAttempts = 1 + random.nextInt(3);
      const spec = { maxTokens: TOKENS, maxAttempts, patience: PATIENCE, breakAfter: PATIENCE };
      const heard = world.submit(`r${callers.length}`, { ...spec, prompt: `p${at}` });
      callers.push({ heard, leavesAt: world.timers.now() + PATIENCE + MAX_ERROR_DELAY });
    }
    for (; served < world.calls.length; served += 1) {
      serve(world, random, world.calls[served] as OpenedCall);
    }
    world.timers.advanceTo(at);
    callers.forEach(({ heard: { tokens, problems, ends }, leavesAt }, i) => {
      const hasReceived = tokens.length + problems.length + ends.length > 0;
      if (at >= leavesAt && !hasReceived && !late.includes(`r${i}`)) {
        late.push(`r${i}`);
      }
    });
  }
  return { world, callers, late };
}

describe('Caller patience with random outcomes', () => {
  it('sends every caller a token or an error before its patience ends', () => {
    // Guards against any sequence of events by which a request without an answer outlasts its caller's patience.
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { callers, late } = runSeed(seed);
      expect(callers, `seed ${seed}`).to.have.length(REQUESTS);
      expect(late, `seed ${seed}`).to.deep.equal([]);
      for (const { heard } of callers) {
        expect(heard.ends.length + heard.problems.length, `seed ${seed}`).to.equal(1);
      }
    }
  });
});
