import { pack } from 'msgpackr';
import { expect } from 'chai';
import fc from 'fast-check';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { readUpdateQuery } from '../../RelayPeerMessages.js';
import type { WorkReport } from '../../RelayWork.js';
import { createRelayWork } from '../../RelayWork.js';

const INSTANCES = 39;
/** Engines of one domain that hold the same layers, and the requests that each has room for. */
const ENGINES = 6;
const ROOM = 25;
/** A domain's requests in a burst, a second, and how long each runs. */
const BURST = 55;
const RUN_TIME = 2300;
/** As often as an instance asks whose engines are near their limit, in ms. */
const TELL_PERIOD = 200;

const IDLE: WorkReport = { running: [], lost: [] };

type Believe = (instance: number, engine: string) => number;

/** Replays twenty seconds of a burst; gives the share of arrivals that found their engine full. */
function playBurst(
  believe: (own: readonly Map<string, number>[], now: () => number) => Believe,
): number {
  const timers = createVirtualTimers();
  const random = createRandom(7);
  const own = Array.from({ length: INSTANCES }, () => new Map<string, number>());
  const running = new Map<string, number>();
  const reckon = believe(own, timers.now);
  const engines = Array.from({ length: ENGINES }, (_, i) => `e${i}`);
  let arrivals = 0;
  let refused = 0;

  function change(table: Map<string, number>, engine: string, by: number): void {
    table.set(engine, (table.get(engine) ?? 0) + by);
  }

  function arrive(): void {
    const instance = random.nextInt(INSTANCES);
    const [a, b] = [random.nextInt(ENGINES), random.nextInt(ENGINES)].map((i) => engines[i] ?? '');
    const chosen = reckon(instance, a ?? '') <= reckon(instance, b ?? '') ? a : b;
    const engine = chosen ?? '';
    const table = own[instance] ?? new Map<string, number>();
    arrivals += 1;
    if ((running.get(engine) ?? 0) >= ROOM) {
      refused += 1;
      return;
    }
    change(table, engine, 1);
    change(running, engine, 1);
    timers.registerTimeout(RUN_TIME, () => {
      change(table, engine, -1);
      change(running, engine, -1);
    });
  }

  timers.registerInterval(1000 / BURST, arrive);
  timers.advanceTo(20_000);
  return refused / arrivals;
}

function toWork(table: ReadonlyMap<string, number>): WorkReport {
  const running = [...table].map(([engine, calls]) => ({ engine, calls, kvTokens: calls * 900 }));
  return { running, lost: [] };
}

describe('RelayWork', () => {
  it('keeps a domain’s instances from sending a burst to engines that are full', () => {
    // Symptom: engines refuse up to a third of all arrivals in a burst while others of their group have room.
    // Sequence: 39 instances with one or two requests each choose among six engines near their limit.
    // Cause: each reckons that the others have on an engine what it has itself, which is none or one.
    const byOwn = playBurst(
      (own) => (instance, engine) => (own[instance]?.get(engine) ?? 0) * INSTANCES,
    );
    const byTold = playBurst((own, now) => {
      const timers = {
        now,
        registerTimeout: () => () => undefined,
        registerInterval: () => () => undefined,
      };
      const aggregators = own.map((table, i) =>
        createRelayWork({
          timers,
          self: `i${i}`,
          readOwnWork: () => toWork(table),
          isAggregator: () => i === 0,
          onPeerWork: () => undefined,
          onLost: () => undefined,
        }),
      );
      const toldAt = own.map(() => -Infinity);
      return (instance, engine) => {
        // Each instance tells the aggregator and hears the others once a period, at its own time.
        own.forEach((table, i) => {
          const due = (toldAt[i] ?? 0) + TELL_PERIOD <= now();
          if (due) {
            toldAt[i] = now() - (i * TELL_PERIOD) / INSTANCES / 2;
            aggregators[0]?.recordReport(`i${i}`, toWork(table));
            aggregators[i]?.recordSummary(aggregators[0]?.summarizeFor(`i${i}`) ?? IDLE);
          }
        });
        const others = aggregators[instance]?.getPeerWork(engine)?.calls ?? 0;
        return (own[instance]?.get(engine) ?? 0) + others;
      };
    });
    // The goal for a burst is under two refusals in a hundred arrivals.
    expect(byTold).to.be.below(0.02);
    expect(byTold).to.be.below(byOwn / 2);
  });

  it('forgets what was told too long ago, and says that nothing is known', () => {
    const timers = createVirtualTimers();
    const lost: string[] = [];
    const create = (self: string, isAggregator: boolean) =>
      createRelayWork({
        timers,
        self,
        readOwnWork: () => IDLE,
        isAggregator: () => isAggregator,
        onPeerWork: () => undefined,
        onLost: (engine) => lost.push(`${self} ${engine}`),
      });
    const [aggregator, subscriber] = [create('aggregator', true), create('subscriber', false)];
    expect(aggregator.getPeerWork('e')).to.equal(null);
    aggregator.recordReport('one', {
      running: [{ engine: 'e', calls: 2, kvTokens: 100 }],
      lost: ['dead'],
    });
    aggregator.recordReport('two', {
      running: [{ engine: 'e', calls: 1, kvTokens: 50 }],
      lost: [],
    });
    subscriber.recordSummary(aggregator.summarizeFor('two'));
    expect(aggregator.getPeerWork('e')).to.deep.include({ calls: 3, kvTokens: 150 });
    expect(subscriber.getPeerWork('e')).to.deep.include({ calls: 2, kvTokens: 100 });
    expect(lost).to.deep.equal(['aggregator dead', 'subscriber dead']);
    expect(subscriber.getPeerWork('other')).to.deep.include({ calls: 0 });
    timers.advanceTo(4000);
    expect([aggregator.getPeerWork('e'), subscriber.getPeerWork('e')]).to.deep.equal([null, null]);
  });

  it('reads no question that makes no sense, whatever bytes come', () => {
    const former = { since: 1, hold: 600, level: 2, from: 'i', work: IDLE };
    const ask = { ...former, takesWhole: true };
    expect(readUpdateQuery(pack(ask))).to.deep.equal(ask);
    // Instances of an earlier version do not say whether they take all that there is, and do not.
    expect(readUpdateQuery(pack(former))).to.deep.equal({ ...former, takesWhole: false });
    const wrong = [
      { ...ask, takesWhole: 'yes' },
      { ...ask, since: 'x' },
      { ...ask, hold: NaN },
      { ...ask, level: 7 },
      { ...ask, work: { running: [{ engine: 'e', calls: -1, kvTokens: 0 }], lost: [] } },
      { ...ask, work: 'none' },
      { ...ask, work: { running: [], lost: [1] } },
      null,
    ];
    wrong.forEach((value) => expect(readUpdateQuery(pack(value))).to.equal(null));
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        readUpdateQuery(Buffer.from(bytes));
      }),
      { seed: 11 },
    );
  });
});
