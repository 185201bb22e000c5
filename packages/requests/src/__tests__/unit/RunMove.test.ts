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

interface SlowPlay {
  readonly world: FakeWorld;
  readonly heard: ReceivedAnswer;
  readonly slow: OpenedCall;
}

/** An answer whose events come ten times as late as those of another one, which has only its second engine apart. */
function playSlowAnswer(
  change: Partial<RequestSpec>,
  deps: Partial<RouterDeps> = {},
  engines?: readonly (readonly EngineId[])[],
  onBothOpen: () => void = () => undefined,
): SlowPlay {
  const world = createFakeWorld(deps, engines);
  const heard = world.submit('slow', { maxTokens: 400, ...change });
  const slow = world.last();
  acknowledge(slow);
  world.submit('well', { maxTokens: 400 });
  const before = world.last();
  acknowledge(before);
  before.listener.onFailure(createFailure({ place: FailurePlace.Stage, engine: 'b1' }));
  const well = world.last();
  acknowledge(well);
  onBothOpen();
  let slowTokens = 0;
  for (let i = 0; i < 160 && !slow.isCancelled; i++) {
    sendTokens(world, well, i, i + 1, 10);
    if (i < 20 || i % 10 === 0) {
      slow.listener.onToken(slowTokens, `w${slowTokens}`);
      slowTokens += 1;
    }
  }
  return { world, heard, slow };
}

describe('A slow answer', () => {
  it('is moved if another attempt is allowed', () => {
    const { world, slow } = playSlowAnswer({ maxAttempts: 2 });
    expect(slow.isCancelled).to.equal(true);
    expect(listEngines(world.last())).to.deep.equal(['a1', 'b2']);
  });

  it('goes on where it is if its attempts are used up', () => {
    // Guards against an answer that is cut because it was slow: its move was its end.
    const { heard, slow } = playSlowAnswer({ maxAttempts: 1 });
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });

  it('goes on where it is if no other chain is whole', () => {
    // Guards against a slow answer that stands still, since its engine is the only one with its layers.
    const engines = [['a1'], ['b1', 'b2']];
    const { heard, slow } = playSlowAnswer({}, {}, engines, () => engines[1]?.pop());
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });

  it('goes on where it is if the retry budget is used up', () => {
    // Guards against a slow answer that is taken from its engine and then stands still.
    const cfg = { ...DEFAULT_ROUTER_CONFIG, isRecoveryBudgeted: true };
    const { heard, slow } = playSlowAnswer({}, { cfg, getRetryBurst: () => 1 });
    expect([heard.problems, slow.isCancelled]).to.deep.equal([[], false]);
  });
});
