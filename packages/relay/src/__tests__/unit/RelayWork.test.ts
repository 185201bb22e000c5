import { pack } from 'msgpackr';
import { expect } from 'chai';
import fc from 'fast-check';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { readUpdateQuery } from '../../RelayPeerMessages.js';
import type { WorkReport } from '../../RelayWork.js';
import { createRelayWork } from '../../RelayWork.js';

const INSTANCES = 39;
/** Engines of one domain that hold the same layers, and how many requests each can run. */
const ENGINES = 6;
const ENGINE_CAPACITY = 25;
/** Requests per second that arrive at a domain in a burst, and how long each runs in ms. */
const BURST_RATE = 55;
const RUN_TIME = 2300;
/** How often an instance queries an aggregator while its engines are near their limit, in ms. */
const REPORT_PERIOD = 200;

const IDLE: WorkReport = { running: [], lost: [] };

type EstimateCalls = (instance: number, engine: string) => number;

/** Simulates twenty seconds of a burst; returns the share of arrivals that met a full engine. */
function simulateBurst(
  createEstimate: (own: readonly Map<string, number>[], now: () => number) => EstimateCalls,
): number {
  const timers = createVirtualTimers();
  const random = createRandom(7);
  const own = Array.from({ length: INSTANCES }, () => new Map<string, number>());
  const running = new Map<string, number>();
  const estimateCalls = createEstimate(own, timers.now);
  const engines = Array.from({ length: ENGINES }, (_, i) => `e${i}`);
  let arrivals = 0;
  let refused = 0;

  function addCalls(table: Map<string, number>, engine: string, by: number): void {
    table.set(engine, (table.get(engine) ?? 0) + by);
  }

  function arrive(): void {
    const instance = random.nextInt(INSTANCES);
    const [a, b] = [random.nextInt(ENGINES), random.nextInt(ENGINES)].map((i) => engines[i] ?? '');
    const chosen = estimateCalls(instance, a ?? '') <= estimateCalls(instance, b ?? '') ? a : b;
    const engine = chosen ?? '';
    const table = own[instance] ?? new Map<string, number>();
    arrivals += 1;
    if ((running.get(engine) ?? 0) >= ENGINE_CAPACITY) {
      refused += 1;
      return;
    }
    addCalls(table, engine, 1);
    addCalls(running, engine, 1);
    timers.registerTimeout(RUN_TIME, () => {
      addCalls(table, engine, -1);
      addCalls(running, engine, -1);
    });
  }

  timers.registerInterval(1000 / BURST_RATE, arrive);
  timers.advanceTo(20_000);
  return refused / arrivals;
}

function toReport(table: ReadonlyMap<string, number>): WorkReport {
  const running = [...table].map(([engine, calls]) => ({ engine, calls, kvTokens: calls * 900 }));
  return { running, lost: [] };
}

describe('RelayWork', () => {
  it('keeps few reports on an instance that nobody asks for its sums', () => {
    // Guards against memory that grows with each instance that reports its work under a new id, while this one is deaf.
    const timers = createVirtualTimers();
    const work = createRelayWork({
      timers,
      self: 'self',
      readOwnWork: () => IDLE,
      isAggregator: () => false,
      onPeerWork: () => undefined,
      onLost: () => undefined,
    });
    for (let i = 0; i < 1000; i++) {
      timers.advanceTo(i * 10_000);
      work.recordReport(`i${i}`, IDLE);
    }
    expect(work.countReports()).to.equal(1);
  });

  it('keeps the instances of a domain from sending requests to full engines in a burst', () => {
    // Guards against engines that refuse up to a third of all arrivals in a burst while others of their group have
    // capacity left. 39 instances with one or two requests each choose among six engines near their limit, and each
    // assumes that every other instance has as many requests on an engine as it has itself, which is none or one.
    const refusedByOwnWork = simulateBurst(
      (own) => (instance, engine) => (own[instance]?.get(engine) ?? 0) * INSTANCES,
    );
    const refusedByReports = simulateBurst((own, now) => {
      const timers = {
        now,
        registerTimeout: () => () => undefined,
        registerInterval: () => () => undefined,
      };
      const aggregators = own.map((table, i) =>
        createRelayWork({
          timers,
          self: `i${i}`,
          readOwnWork: () => toReport(table),
          isAggregator: () => i === 0,
          onPeerWork: () => undefined,
          onLost: () => undefined,
        }),
      );
      const reportedAt = own.map(() => -Infinity);
      return (instance, engine) => {
        // Each instance reports to the aggregator and gets its summary once per period, at a staggered time.
        own.forEach((table, i) => {
          const due = (reportedAt[i] ?? 0) + REPORT_PERIOD <= now();
          if (due) {
            reportedAt[i] = now() - (i * REPORT_PERIOD) / INSTANCES / 2;
            aggregators[0]?.recordReport(`i${i}`, toReport(table));
            aggregators[i]?.recordSummary(aggregators[0]?.summarizeFor(`i${i}`) ?? IDLE);
          }
        });
        const others = aggregators[instance]?.getPeerWork(engine)?.calls ?? 0;
        return (own[instance]?.get(engine) ?? 0) + others;
      };
    });
    // In a burst, fewer than two of a hundred arrivals may be refused.
    expect(refusedByReports).to.be.below(0.02);
    expect(refusedByReports).to.be.below(refusedByOwnWork / 2);
  });

  it('drops reports that are too old and then returns null', () => {
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

  it('sums the reports once, however many engines are looked up before the next report', () => {
    // Guards against an aggregator that sums the reports of its whole domain anew for each engine of the fleet.
    const timers = createVirtualTimers();
    const aggregator = createRelayWork({
      timers,
      self: 'aggregator',
      readOwnWork: () => IDLE,
      isAggregator: () => true,
      onPeerWork: () => undefined,
      onLost: () => undefined,
    });
    let reads = 0;
    const running = [{ engine: 'e0', calls: 2, kvTokens: 100 }];
    const work = {
      get running() {
        reads += 1;
        return running;
      },
      lost: [],
    };
    aggregator.recordReport('one', work);
    for (let i = 0; i < 100; i += 1) {
      timers.advanceTo(i);
      expect(aggregator.getPeerWork(`e${i}`)?.calls).to.equal(i === 0 ? 2 : 0);
    }
    expect(reads).to.equal(1);
  });

  it('rejects malformed update queries and arbitrary bytes without throwing', () => {
    const former = { since: 1, hold: 600, level: 2, from: 'i', work: IDLE };
    const ask = { ...former, takesWhole: true };
    expect(readUpdateQuery(pack(ask))).to.deep.equal(ask);
    // Queries of an earlier version lack `takesWhole`, and its instances do not accept whole snapshots.
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
