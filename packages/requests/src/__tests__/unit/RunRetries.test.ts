import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { FailurePlace } from '../../RequestPorts.js';
import type { RouterDeps } from '../../RouterTypes.js';
import { DEFAULT_ROUTER_CONFIG, EngineFate } from '../../RouterTypes.js';
import type { FakeWorld } from './RequestFakes.js';
import {
  acknowledge,
  callService,
  createFailure,
  createFakeWorld,
  listEngines,
  sendTokens,
} from './RequestFakes.js';

const STEP: Millis = 1;

function createWorld(change: Partial<RouterDeps>): FakeWorld {
  return createFakeWorld({
    ...change,
    cfg: { ...DEFAULT_ROUTER_CONFIG, retryBurst: 0, ...change.cfg },
  });
}

/** Breaks the stream of the newest call after its first tokens. */
function breakStream(world: FakeWorld): void {
  const opened = world.last();
  acknowledge(opened);
  sendTokens(world, opened, 0, 2);
  const [engine = ''] = listEngines(opened);
  opened.listener.onFailure(createFailure({ place: FailurePlace.Stream, engine }));
  world.timers.advanceTo(world.timers.now() + STEP);
}

describe('Timers of a request between two attempts', () => {
  const cases: readonly (readonly [string, () => { world: FakeWorld; cancel: () => void }])[] = [
    [
      'of a begun answer that waits for the retry budget',
      () => {
        const world = createWorld({
          cfg: { ...DEFAULT_ROUTER_CONFIG, retryBurst: 0, isRecoveryBudgeted: true },
        });
        const { handle } = world.submit('r');
        breakStream(world);
        return { world, cancel: handle.cancel };
      },
    ],
    [
      'of a request that looks for a chain again',
      () => {
        const none = { kind: 'none', isFull: true, retryAfter: 200 } as const;
        const world = createWorld({ chooseChain: () => none });
        const { handle } = world.submit('r', { patience: 1000 });
        return { world, cancel: handle.cancel };
      },
    ],
    [
      'of an answer that waits for evidence about its engines',
      () => {
        const world = createWorld({ getEngineFate: () => EngineFate.Unknown });
        const { handle } = world.submit('r', { maxAttempts: 1 });
        breakStream(world);
        return { world, cancel: handle.cancel };
      },
    ],
    [
      'of a call to a plain service',
      () => {
        const world = createWorld({ cfg: { ...DEFAULT_ROUTER_CONFIG, retryBurst: 9 } });
        const { handle } = callService(world, 's', {});
        world.serviceCalls[0]?.listener.onFailure(createFailure({ place: FailurePlace.Connect }));
        return { world, cancel: handle.cancel };
      },
    ],
  ];

  for (const [name, start] of cases) {
    it(`end with the request: ${name}`, () => {
      // Guards against timers that stay after a drain and keep a process or a test from ending.
      const { world, cancel } = start();
      expect(world.timers.countPending()).to.be.above(0);
      cancel();
      world.router.stop();
      expect(world.timers.countPending()).to.equal(0);
    });
  }
});
