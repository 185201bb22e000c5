import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { Result } from '@skylarksail/core/CoreTypes';
import type { CallFailure } from '@skylarksail/membership/MembershipCalls';
import { createDaemonDrains } from '../../DaemonDrains.js';
import type { DaemonDrainsOptions } from '../../DaemonDrains.js';

const ENGINE = 'engine-1';
const MIN_DRAIN_MS = 2500;
const MAX_DRAIN_MS = 30_000;
const TICK_MS = 1000;

interface Inputs {
  /** Calls at the engine that this instance has. */
  readonly ownCalls: number;
  /** The peer's reply. */
  readonly reply: Result<unknown, CallFailure>;
}

interface Bed {
  /** Instances that got a notice. */
  readonly notices: string[];
  /** Asks each second until the engine may receive an order, and returns for how long. */
  measureDrain(): Promise<number>;
}

/** Drains of an instance with one peer; the engine's report never counts a running request. */
function createBed(inputs: Partial<Inputs> = {}): Bed {
  const { ownCalls, reply }: Inputs = { ownCalls: 0, reply: createOk({ calls: 0 }), ...inputs };
  const timers = createVirtualTimers();
  const notices: string[] = [];
  const calls = {
    registerNotice: () => () => undefined,
    registerHandler: () => () => undefined,
    call: () => Promise.resolve(reply),
    notify: (to: string) => notices.push(to),
  };
  const report = { facts: { id: ENGINE }, load: { running: 0, holding: {} } };
  const drains = createDaemonDrains({
    self: 'self',
    timers,
    fleet: { calls, listOwnDomain: () => ['self', 'peer'] },
    directory: { listReports: () => [report] },
    countCalls: () => ownCalls,
  } as unknown as DaemonDrainsOptions);
  return {
    notices,
    async measureDrain() {
      const since = timers.now();
      while (!drains.isReadyForOrder(ENGINE)) {
        await timers.advanceToAsync(timers.now() + TICK_MS);
      }
      return timers.now() - since;
    },
  };
}

describe('DaemonDrains', () => {
  // Guards against an order to an engine that still runs requests: as a later stage it counts none of them.
  it('waits for the calls of this instance, up to the limit', async () => {
    const bed = createBed({ ownCalls: 1 });
    expect(await bed.measureDrain()).to.equal(MAX_DRAIN_MS);
  });

  [
    { what: 'has calls there', reply: createOk({ calls: 2 }) },
    { what: 'does not answer', reply: createFailed({ kind: 'timeout' } as const) },
    { what: 'answers with garbage', reply: createOk('garbage') },
  ].forEach(({ what, reply }) => {
    it(`waits for a peer that ${what}, up to the limit`, async () => {
      const bed = createBed({ reply });
      expect(await bed.measureDrain()).to.equal(MAX_DRAIN_MS);
    });
  });

  it('is ready after the minimum once no instance has calls there', async () => {
    expect(await createBed().measureDrain()).to.be.within(MIN_DRAIN_MS, MIN_DRAIN_MS + TICK_MS);
  });

  it('sends a notice to a peer of a release without the call, and does not wait for it', async () => {
    const bed = createBed({ reply: createFailed({ kind: 'failed', detail: 'no such topic' }) });
    expect(await bed.measureDrain()).to.be.within(MIN_DRAIN_MS, MIN_DRAIN_MS + TICK_MS);
    expect(new Set(bed.notices)).to.deep.equal(new Set(['peer']));
  });
});
