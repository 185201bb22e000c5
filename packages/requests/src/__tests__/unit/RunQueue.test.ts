import { expect } from 'chai';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestSpec } from '../../RequestTypes.js';
import { DEFAULT_ROUTER_CONFIG } from '../../RouterTypes.js';
import type { FakeWorld, ReceivedAnswer } from './RequestFakes.js';
import { acknowledge, createFakeWorld, sendTokens, listEngines } from './RequestFakes.js';

const PATIENCE: Millis = 1700;

/** Creates a world whose engines may be silent for longer than callers wait. */
function createQueueWorld(engines: readonly (readonly EngineId[])[]): FakeWorld {
  const bounds = { least: 5000, most: 5000 };
  const silence = { ...DEFAULT_ROUTER_CONFIG.silence, acknowledgement: bounds, firstToken: bounds };
  return createFakeWorld({ cfg: { ...DEFAULT_ROUTER_CONFIG, silence } }, engines);
}

function submit(world: FakeWorld, id: string, change: Partial<RequestSpec> = {}): ReceivedAnswer {
  return world.submit(id, { patience: PATIENCE, breakAfter: PATIENCE, ...change });
}

describe('A queue that is too long', () => {
  it('is not joined: the caller gets an error at once that says that its request has not run', () => {
    // Guards against callers that leave unserved from a queue in which they could not have begun in time.
    const world = createQueueWorld([['a1'], ['b1']]);
    submit(world, 'older');
    world.timers.advanceTo(PATIENCE / 2 - 10);
    expect(submit(world, 'in time').problems).to.deep.equal([]);
    world.timers.advanceTo(PATIENCE / 2 + 10);
    const late = submit(world, 'late');
    expect(late.problems.map(({ kind, run }) => [kind, run])).to.deep.equal([
      ['no-chain', 'not-run'],
    ]);
    expect(world.calls).to.have.length(2);
  });

  it('is skipped for an engine that can begin sooner', () => {
    // Guards against a caller that is refused while another engine has room for its request.
    const world = createQueueWorld([['a1', 'a2'], ['b1']]);
    submit(world, 'older');
    world.timers.advanceTo(PATIENCE - 10);
    const heard = submit(world, 'new');
    expect([heard.problems, listEngines(world.last())]).to.deep.equal([[], ['a2', 'b1']]);
  });

  it('is joined by a request of a higher priority than those that wait there', () => {
    // Guards against an urgent request that is refused because requests of lower priority wait.
    const world = createQueueWorld([['a1'], ['b1']]);
    submit(world, 'older', { priority: 'low' });
    world.timers.advanceTo(PATIENCE - 10);
    expect(submit(world, 'urgent', { priority: 'urgent' }).problems).to.deep.equal([]);
    expect(submit(world, 'low', { priority: 'low' }).problems).to.have.length(1);
  });

  it('is joined again once the requests that waited there have begun', () => {
    // Guards against an engine that is avoided because of a queue that has ended.
    const world = createQueueWorld([['a1'], ['b1']]);
    submit(world, 'older');
    world.timers.advanceTo(PATIENCE - 10);
    acknowledge(world.last());
    sendTokens(world, world.last(), 0, 1);
    expect(submit(world, 'new').problems).to.deep.equal([]);
  });
});
