import { expect } from 'chai';
import { createChain } from '@skylarksail/core/CoreChain';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { OpenEngineCall } from '@skylarksail/requests/RequestPorts';
import type { ChainRequest } from '@skylarksail/requests/RequestTypes';
import { createPermitChoices } from '../../RelayPermits.js';
import type { BackendView } from '../../RelayPorts.js';
import { createLimitFleet } from './RelayLimitFleet.js';
import type { PartsBed } from './RelayPartsBed.js';
import { createPartsBed } from './RelayPartsBed.js';

const ANSWER_TIME: Millis = 100;
const SETTLE_TIME: Millis = 5000;
/** The limit holds in each window of this length. */
const WINDOW: Millis = 4000;
/** From this time after an engine first named its limit. */
const STABLE_TIME: Millis = 3000;
/** An instance that has passed on an answer counts from this time after it. */
const TOLD_TIME: Millis = 500;

/** Period in which one of seven instances tries to send a request. */
const SEND_PERIOD: Millis = 20;

interface Arrival {
  readonly at: Millis;
  readonly isTold: boolean;
}

/** Most requests in a window from instances that had been told, from the time at which the limit must hold. */
function findMostInWindow(arrivals: readonly Arrival[], from: Millis): number {
  const counted = arrivals.filter(({ at, isTold }) => isTold && at >= from);
  return Math.max(
    0,
    ...counted.map(
      ({ at: start }) => counted.filter(({ at }) => at >= start && at < start + WINDOW).length,
    ),
  );
}

function getAllowed(limit: number): number {
  return 1.5 * limit * (WINDOW / 1000) + 5;
}

/** Seven instances before engines of which the first, `e0`, names a limit. */
async function createLimitBed(limit: number) {
  const arrivals: Arrival[] = [];
  const toldAt = new Map<string, Millis>();
  let started: PartsBed | null = null;
  const openCallOf =
    (instance: string, view: BackendView): OpenEngineCall =>
    (call, listener) => {
      const [first] = call.chain.stages;
      const { timers } = started as PartsBed;
      if (first?.engine === 'e0') {
        const told = toldAt.get(instance) ?? Infinity;
        arrivals.push({ at: timers.now(), isTold: told + TOLD_TIME <= timers.now() });
      }
      return timers.registerTimeout(ANSWER_TIME, () => {
        if (first?.engine === 'e0') {
          toldAt.set(instance, Math.min(toldAt.get(instance) ?? Infinity, timers.now()));
        }
        view.noteRequestLimit(first?.engine ?? '', first?.engine === 'e0' ? limit : null);
        listener.onAcknowledged({ variant: call.chain.variant, stages: call.chain.stages });
        listener.onToken(call.resumeTokens.length, 'w');
        listener.onEnd('stop', call.resumeTokens.length + 1);
      });
    };
  const bed = createPartsBed(openCallOf);
  started = bed;
  const instances = Array.from({ length: 7 }, (_, i) => `i${i}`);
  instances.forEach((id) => bed.start(id));
  await bed.timers.advanceToAsync(SETTLE_TIME);

  /** Sends requests at a rate for a time, each to the next of some instances; returns the refusals. */
  async function sendRequests(to: readonly string[], perSecond: number, seconds: number) {
    const start = bed.timers.now();
    const refusals = [];
    for (let i = 0; i < perSecond * seconds; i++) {
      refusals.push(bed.call(to[i % to.length] ?? '', `/letters/${i}`));
      await bed.timers.advanceToAsync(start + ((i + 1) * 1000) / perSecond);
    }
    await bed.timers.advanceToAsync(bed.timers.now() + SETTLE_TIME);
    return refusals.flat();
  }

  return { bed, instances, arrivals, sendRequests };
}

describe('RelayLimits', () => {
  it('keeps what seven instances send to an engine within the limit that it names, and refuses nobody', async () => {
    // Guards against an engine in need that gets as many requests as before it asked for fewer.
    const { bed, instances, arrivals, sendRequests } = await createLimitBed(1.8);
    bed.addEngine('second-0', { first: 0, end: 2 });
    const refusals = await sendRequests(instances, 20, 20);
    const [first] = arrivals;
    expect(findMostInWindow(arrivals, (first?.at ?? 0) + STABLE_TIME)).to.be.at.most(
      getAllowed(1.8),
    );
    expect(arrivals.length).to.be.at.least(0.5 * 1.8 * 20);
    expect(refusals).to.deep.equal([]);
  });

  it('lets the instance that has the callers use the whole limit', async () => {
    // Guards against even shares, which refuse requests that an engine without a substitute would take.
    const { instances, arrivals, sendRequests } = await createLimitBed(5);
    const refusals = await sendRequests(instances.slice(0, 1), 4, 20);
    expect(refusals).to.deep.equal([]);
    expect(arrivals.length).to.equal(80);
  });

  [7, 680].forEach((size) => {
    it(`bounds what ${size} instances send while answers are lost, late and repeated and issuers restart`, async () => {
      // Guards against a bound that grows with the fleet, and against two issuers at a time.
      for (const limit of size === 7 ? [0, 1.8, 20] : [1.8]) {
        const fleet = createLimitFleet(size, 1, { lost: 0.2, delay: 100, repeated: 0.2 });
        fleet.name(limit);
        fleet.tellAll();
        for (let i = 0; i < (size === 7 ? 1200 : 500); i++) {
          for (let j = 0; j < size / 7; j++) {
            fleet.send(fleet.random.nextInt(size));
          }
          if (i % 200 === 199) {
            fleet.restart(fleet.findIssuer());
            fleet.tellAll();
          }
          await fleet.timers.advanceToAsync((i + 1) * SEND_PERIOD);
        }
        const arrivals = fleet.arrivals.map((at) => ({ at, isTold: true }));
        const most = findMostInWindow(arrivals, 0);
        expect(most, `limit ${limit}`).to.be.at.most(getAllowed(limit));
        expect(arrivals.length, `limit ${limit}`).to.be.at.least(1);
      }
    });
  });

  it('uses a server without bounds again once its answers name no limit', async () => {
    // Guards against an engine that is left aside for good after its need has ended.
    const fleet = createLimitFleet(7, 1, { lost: 0, delay: 5, repeated: 0 });
    fleet.name(1);
    fleet.tellAll();
    await fleet.timers.advanceToAsync(1000);
    fleet.name(null);
    for (let i = 0; i < 100; i++) {
      fleet.send(i);
      await fleet.timers.advanceToAsync(1000 + (i + 1) * SEND_PERIOD);
    }
    expect(fleet.countBlocked()).to.equal(0);
  });

  it('sends a request now and then to a server that takes none, and so learns of the end', async () => {
    // Guards against a limit of zero that nobody can see ending, as no request is sent.
    const fleet = createLimitFleet(7, 1, { lost: 0, delay: 5, repeated: 0 });
    fleet.name(0);
    fleet.tellAll();
    for (let i = 0; i < 400; i++) {
      fleet.send(i);
      await fleet.timers.advanceToAsync((i + 1) * SEND_PERIOD);
    }
    expect(fleet.arrivals.length).to.be.within(2, 10);
    fleet.name(null);
    for (let i = 400; i < 800; i++) {
      fleet.send(i);
      await fleet.timers.advanceToAsync((i + 1) * SEND_PERIOD);
    }
    expect(fleet.countBlocked()).to.equal(0);
  });

  it('sends no repaired chain to a first engine without a permit', () => {
    // Guards against continued answers that reach a limited engine past the permits, since a repair keeps it.
    const chain = createChain({ model: 'm', version: '1', adapter: null }, 2, [
      { engine: 'e0', layers: { first: 0, end: 2 } },
    ]);
    if (!chain.ok) {
      throw new Error('the stage forms a chain');
    }
    const released: string[] = [];
    const { limitChoice } = createPermitChoices({
      backoffs: { listBackedOff: () => [], getTimeLeft: () => 0 },
      limits: { listBlocked: () => ['e0'], reserve: () => null },
      isFirst: () => true,
    });
    const choose = limitChoice<ChainRequest>(() => ({
      kind: 'chain',
      chain: chain.value,
      importFrom: [],
      hold: { noteFirstToken: () => undefined, release: ({ kind }) => released.push(kind) },
    }));
    expect(choose({ avoid: [] } as unknown as ChainRequest).kind).to.equal('none');
    expect(released).to.deep.equal(['cancelled']);
  });
});
