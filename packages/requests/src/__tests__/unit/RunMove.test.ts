import { expect } from 'chai';
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { RequestSpec } from '../../RequestTypes.js';
import type { RouterDeps } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer, OpenedCall } from './RequestFakes.js';
import {
  acknowledge,
  createFailure,
  createFakeWorld,
  sendTokens,
  listEngines,
} from './RequestFakes.js';
import { FailurePlace } from '../../RequestPorts.js';

interface SlowCase {
  readonly world: FakeWorld;
  readonly heard: ReceivedAnswer;
  readonly slow: OpenedCall;
}

/** Runs an answer with gaps ten times those of another answer, which shares its first engine but not its second. */
function runSlowAnswer(
  change: Partial<RequestSpec>,
  deps: Partial<RouterDeps> = {},
  engines?: readonly (readonly EngineId[])[],
  onBothOpen: () => void = () => undefined,
): SlowCase {
  const world = createFakeWorld(deps, engines);
  const heard = world.submit('slow', { maxTokens: 400, ...change });
  const slow = world.last();
  acknowledge(slow);
  world.submit('well', { maxTokens: 400 });
  const before = world.last();
  acknowledge(before);
  before.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
  const fast = world.last();
  acknowledge(fast);
  onBothOpen();
  let slowTokens = 0;
  for (let i = 0; i < 160 && !slow.isCancelled; i++) {
    sendTokens(world, fast, i, i + 1, 10);
    if (i < 20 || i % 10 === 0) {
      slow.listener.onToken(slowTokens, `w${slowTokens}`);
      slowTokens += 1;
    }
  }
  return { world, heard, slow };
}

describe('A slow answer', () => {
  it('moves if another attempt is allowed', () => {
    const { world, slow } = runSlowAnswer({ maxAttempts: 2 });
    expect(slow.isCancelled).to.equal(true);
    expect(listEngines(world.last())).to.deep.equal(['a1', 'b2']);
  });

  it('stays if its attempts are used up', () => {
    // Guards against a slow answer that is moved although no attempt is left, and so fails.
    const { heard, slow } = runSlowAnswer({ maxAttempts: 1 });
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });

  it('stays if no other chain is complete', () => {
    // Guards against a slow answer that stalls because it was moved off the only engine with its layers.
    const engines = [['a1'], ['b1', 'b2']];
    const { heard, slow } = runSlowAnswer({}, {}, engines, () => engines[1]?.pop());
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });

  it('stays if the retry budget is exhausted', () => {
    // Guards against a slow answer that is withdrawn from its engine and then stalls.
    const cfg = { ...DEFAULT_ROUTER_CONFIG, isRecoveryBudgeted: true };
    const { heard, slow } = runSlowAnswer({}, { cfg, getRetryBurst: () => 1 });
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });
});
