import { expect } from 'chai';
import { DecisionKind } from '../../PlacementOrderTypes.js';
import { PlacementPhase } from '../../PlacementRunner.js';
import type { Bed, BedOptions } from '../PlacementBed.js';
import { createBed } from '../PlacementBed.js';
import type { KindName } from '../PlacementFixtures.js';
import { createEngine, createEngines, createManifest, createModel } from '../PlacementFixtures.js';

const KINDS: readonly KindName[] = ['medium', 'medium', 'small', 'medium', 'small'];
const WRITER = createModel('writer', 48);
const SERVES = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];
const NEXT = { ...WRITER, serve: 'v2' };

function createManifests(checksFencing: boolean) {
  return {
    first: createManifest({ models: [WRITER], serves: SERVES, checksFencing }),
    next: createManifest({ models: [NEXT], serves: SERVES, checksFencing, revision: 2 }),
  };
}

function createPlacedBed(checksFencing: boolean, options: Partial<BedOptions> = {}): Bed {
  const { first } = createManifests(checksFencing);
  const engines = createEngines(14, KINDS);
  return createBed({ engines, manifest: first, isPlaced: true, ...options });
}

/** Checks that no engine accepted an order with a lower number than an earlier one. */
function expectNonDecreasingNumbers({ taken }: Bed): void {
  const highest = new Map<string, number>();
  for (const { engine, number } of taken) {
    expect(number).to.be.at.least(highest.get(engine) ?? 0);
    highest.set(engine, number);
  }
}

function countDecisions({ decisions }: Bed, kind: string): number {
  return decisions.filter((decision) => decision.kind === kind).length;
}

describe('placement orders', () => {
  for (const checksFencing of [true, false]) {
    const name = checksFencing
      ? 'engines that check fencing numbers'
      : 'engines that ignore fencing numbers';

    it(`places an empty domain and hands it over at a planned stop: ${name}`, async () => {
      const bed = createBed({
        engines: createEngines(14, KINDS),
        manifest: createManifests(checksFencing).first,
        deps: { weights: { bytesPerSecond: 1e13, burst: 1000 } },
      });
      bed.start('a');
      bed.start('b');
      await bed.run(60_000);
      expect(bed.getCapacity('writer')).to.be.above(4000);
      expect(bed.countMovesLeft()).to.equal(0);
      const [holder, other] = ['a', 'b'].sort(
        (x, y) =>
          (bed.getRunner(y).getStatus().fencing ?? 0) - (bed.getRunner(x).getStatus().fencing ?? 0),
      ) as [string, string];
      const before = bed.taken.length;
      const stoppedAt = bed.timers.now();
      bed.getRunner(holder).stop();
      bed.setManifest(createManifests(checksFencing).next);
      await bed.run(200_000);
      const orders = bed.taken.slice(before);
      expect(orders.every(({ by }) => by === other)).to.equal(true);
      expect(bed.countMovesLeft()).to.equal(0);
      const wait = (orders[0]?.at ?? 0) - stoppedAt;
      expect(wait).to.be.above(checksFencing ? 0 : 7000);
      expect(wait).to.be.below(checksFencing ? 12_000 : 16_000);
      expectNonDecreasingNumbers(bed);
    });

    it(`a holder paused past its lease sends nothing after it resumes: ${name}`, async () => {
      // Guards against engines that revert to an old plan: the holder is paused, its lease lapses, a
      // successor places a newer manifest, and the holder resumes with overdue timers. It must not act
      // on what it read of its lease before the pause.
      const bed = createPlacedBed(checksFencing);
      bed.start('a');
      await bed.run(20_000);
      bed.start('b');
      bed.setManifest(createManifests(checksFencing).first, 'a');
      bed.pause('a');
      const { next } = createManifests(checksFencing);
      bed.setManifest(next, 'b');
      await bed.run(300_000);
      const before = bed.taken.length;
      bed.resume('a');
      await bed.run(60_000);
      expect(before).to.be.above(0);
      expect(bed.taken.slice(before).filter(({ by }) => by === 'a')).to.deep.equal([]);
      expect(bed.getRunner('a').getStatus().fencing).to.equal(null);
      expect(bed.getHolding('e000')).to.include({ version: 'v2' });
    });
  }

  it('engines that check fencing numbers refuse an order that a pause of its holder delayed', async () => {
    // Guards against an engine that loads an old version again: the holder reads its lease, is paused
    // before the order is sent, and resumes long after. A check of the lease cannot cover a later pause.
    const bed = createPlacedBed(true);
    bed.start('a');
    await bed.run(60_000);
    bed.setManifest(createManifests(true).next);
    bed.holdOrders('a');
    await bed.run(1500);
    bed.pause('a');
    bed.start('b');
    await bed.run(600_000);
    bed.setManifest(createManifests(true).first);
    await bed.run(300_000);
    const before = bed.taken.length;
    bed.releaseOrders('a');
    bed.resume('a');
    await bed.run(30_000);
    expect(bed.refused.map(({ by }) => by)).to.include('a');
    expect(bed.taken.length).to.equal(before);
    expect(bed.countMovesLeft()).to.equal(0);
    expectNonDecreasingNumbers(bed);
  });

  it('settles an order by the report if its answer is lost, without a second order', async () => {
    // Guards against an engine that loads the same layers twice: it carries out an order, the answer is
    // lost, and the holder takes a missing answer to mean that the order had no effect.
    const bed = createPlacedBed(false);
    bed.start('a');
    await bed.run(20_000);
    createEngines(14, KINDS).forEach(({ facts }) =>
      bed.setFaults(facts.id, { losesAnswers: true }),
    );
    bed.setManifest(createManifests(false).next);
    await bed.run(1_500_000);
    expect(bed.taken.length).to.equal(14);
    expect(countDecisions(bed, DecisionKind.Settled)).to.equal(14);
    expect(bed.countMovesLeft()).to.equal(0);
  });

  for (const share of [0.4, 0.6]) {
    it(`keeps a minimum of ${share} of the capacity while the version and the lease holder change`, async () => {
      // Guards against requests that wait during a version rollout: orders are done, reports still show
      // the previous holdings, and another instance takes over half-way. If engines that already load
      // count as serving, too many are ordered to load.
      const serves = [{ model: 'writer', minTokensPerSecond: share * 4900, weight: 1 }];
      const manifest = createManifest({ models: [WRITER], serves });
      const bed = createBed({ engines: createEngines(14, KINDS), manifest, isPlaced: true });
      bed.start('a');
      await bed.run(60_000);
      bed.setManifest(createManifest({ models: [NEXT], serves, revision: 2 }));
      for (let i = 0; i < 2000 && bed.countMovesLeft() > 0; i++) {
        await bed.run(100);
        expect(bed.getCapacity('writer')).to.be.at.least(share * 4900);
        if (i === 40) {
          bed.start('b');
          bed.getRunner('a').stop();
        }
      }
      expect(bed.getHolding('e000')).to.include({ version: 'v2' });
      expect(bed.countMovesLeft()).to.equal(0);
    });
  }

  it('sends an order again that its engine never received', async () => {
    const bed = createPlacedBed(true);
    bed.setFaults('e003', { losesOrders: true });
    bed.start('a');
    bed.setManifest(createManifests(true).next);
    await bed.run(400_000);
    expect(countDecisions(bed, DecisionKind.NotTaken)).to.be.above(0);
    bed.setFaults('e003', { losesOrders: false });
    await bed.run(900_000);
    expect(bed.getHolding('e003')).to.include({ version: 'v2' });
    expect(bed.countMovesLeft()).to.equal(0);
  });

  for (const [name, faults] of [
    ['refuses orders', { refuses: true }],
    ['loads only part of its layers', { halfFinishes: true }],
    ['crashes in a loop', { crashesOnLoad: true }],
    ['is leaving', { isLeaving: true }],
    ['is gone', { isGone: true }],
  ] as const) {
    it(`plans around an engine that ${name}, and uses it again once it recovers`, async () => {
      const bed = createPlacedBed(true);
      bed.start('a');
      await bed.run(20_000);
      const [first, second] = ['e000', 'e001'];
      bed.setFaults(first, faults);
      bed.crash(first);
      if (name === 'refuses orders') {
        bed.crash(second);
      }
      await bed.run(300_000);
      const toFaulty = [...bed.taken, ...bed.refused].filter(({ engine }) => engine === first);
      expect(toFaulty.length).to.be.at.most(8);
      expect(bed.getCapacity('writer')).to.be.above(3000);
      expect(bed.getRunner('a').getStatus().enginesPlannedAround).to.include(first);
      bed.setFaults(first, {
        refuses: false,
        halfFinishes: false,
        crashesOnLoad: false,
        isLeaving: false,
        isGone: false,
      });
      await bed.run(1_500_000);
      expect(bed.getHolding(first)).to.not.equal(null);
      expect(bed.countMovesLeft()).to.equal(0);
    });
  }

  it('stays within the weight store rate and spends it on restore moves first', async () => {
    // Guards against a lost stage that waits behind a version rollout: a stage fails during the rollout,
    // and the store's rate is spent in the order in which the moves were found.
    const rate = 1e9;
    const bed = createPlacedBed(true, {
      deps: { weights: { bytesPerSecond: rate, burst: 60_000 } },
    });
    bed.start('a');
    await bed.run(70_000);
    bed.setManifest(createManifests(true).next);
    await bed.run(60_000);
    const startedAt = bed.timers.now();
    const before = bed.taken.length;
    const first = bed.getHolding('e000');
    createEngines(14, KINDS)
      .filter(({ facts }) => bed.getHolding(facts.id)?.layers.first === first?.layers.first)
      .forEach(({ facts }) => bed.setFaults(facts.id, { isGone: true }));
    await bed.run(120_000);
    const orders = bed.taken.slice(before);
    expect(orders.length).to.be.above(0);
    const reasons = bed.decisions
      .filter(({ kind, at }) => kind === DecisionKind.Ordered && at > startedAt)
      .map(({ reason }) => reason);
    const [from, to] = [reasons.indexOf('restore'), reasons.lastIndexOf('restore')];
    expect(to).to.be.above(from);
    expect(new Set(reasons.slice(from, to + 1))).to.deep.equal(new Set(['restore']));
    expect(bed.getCapacity('writer')).to.be.at.least(1000);
    const bytes = bed.taken.reduce((sum, order) => sum + order.bytes, 0);
    const largest = Math.max(...bed.taken.map((order) => order.bytes));
    expect(bytes).to.be.at.most((bed.timers.now() / 1000) * rate + largest);
  });

  it('a holder cut off from the platform stops when its lease ends, and no engine reverts', async () => {
    // Guards against engines that switch back and forth after a partition: the holder cannot renew its
    // lease, another instance takes it under a newer manifest, and the first reconnects. The first must
    // not continue to place under its old manifest.
    const bed = createPlacedBed(false);
    bed.start('a');
    await bed.run(60_000);
    bed.setManifest(createManifests(false).first, 'a');
    bed.platform.setFaults({ outage: true }, 'a');
    bed.crash('e000');
    await bed.run(9000);
    // While its lease lasts, it still restores what the crash lost.
    expect(bed.taken.filter(({ by }) => by === 'a').length).to.be.above(0);
    await bed.run(20_000);
    expect(bed.getRunner('a').getStatus().phase).to.equal(PlacementPhase.Stopped);
    bed.start('b');
    bed.setManifest(createManifests(false).next, 'b');
    const before = bed.taken.length;
    await bed.run(300_000);
    expect(bed.taken.slice(before).every(({ by }) => by === 'b')).to.equal(true);
    bed.setManifest(createManifests(false).next);
    bed.platform.setFaults({ outage: false }, 'a');
    const takenBeforeReconnect = bed.taken.length;
    await bed.run(120_000);
    expect(bed.taken.length).to.equal(takenBeforeReconnect);
    expect(bed.countMovesLeft()).to.equal(0);
  });

  it('a fencing number that the platform never issued does not stop placement', async () => {
    // Guards against a domain that is never placed again: a foreign program sends an engine an order
    // with a huge number, and each holder trusts that number over the platform and considers its own
    // lease outdated.
    const bed = createPlacedBed(true);
    bed.start('a');
    await bed.run(60_000);
    bed.setHighestOrderNumber('e002', Number.MAX_SAFE_INTEGER);
    bed.addEngine(createEngine('new', 'medium'));
    bed.crash('e001');
    await bed.run(100_000);
    expect(countDecisions(bed, DecisionKind.SteppedDown)).to.equal(1);
    expect(bed.getHolding('new')).to.not.equal(null);
    expect(bed.getHolding('e001')).to.not.equal(null);
  });

  it('logs a crash loop with the order that it ends', async () => {
    // Guards against a log that doesn't say what an engine was to load when it crashed again and again.
    const bed = createPlacedBed(true);
    bed.start('a');
    await bed.run(20_000);
    bed.setFaults('e003', { crashesOnLoad: true });
    bed.crash('e003');
    await bed.run(300_000);
    const ofEngine = bed.decisions.filter(({ engine }) => engine === 'e003');
    const at = ofEngine.findIndex(({ kind }) => kind === DecisionKind.CrashLoop);
    const order = ofEngine.slice(0, at).findLast(({ kind }) => kind === DecisionKind.Ordered);
    expect(order?.want).to.include({ model: 'writer' });
    expect(ofEngine[at]).to.deep.include({
      number: order?.number,
      want: order?.want,
      reason: order?.reason,
    });
  });

  it('logs which lease was lost or given up', async () => {
    // Guards against a log from which the end of a lease can't be matched with the orders under it.
    const bed = createPlacedBed(true);
    bed.start('a');
    await bed.run(60_000);
    bed.setHighestOrderNumber('e002', Number.MAX_SAFE_INTEGER);
    await bed.run(60_000);
    bed.platform.setFaults({ outage: true }, 'a');
    await bed.run(60_000);
    const leases = bed.decisions.filter(({ engine }) => engine === null);
    const [first, second] = leases.filter(({ kind }) => kind === DecisionKind.LeaseGained);
    expect(first?.number).to.be.below(second?.number ?? 0);
    expect(leases.map(({ kind, number }) => [kind, number])).to.deep.equal([
      [DecisionKind.LeaseGained, first?.number],
      [DecisionKind.SteppedDown, first?.number],
      [DecisionKind.LeaseGained, second?.number],
      [DecisionKind.LeaseLost, second?.number],
    ]);
  });

  it('corrects a late order from a paused holder in bounded time at engines that ignore fencing numbers', async () => {
    // Guards against an engine that holds what no plan asks for: the holder reads its lease and is paused
    // before the order is sent, its successor orders something else, and then the old order arrives.
    // Such an engine accepts any order, and a holder cannot check the time during its own pause.
    const bed = createPlacedBed(false);
    bed.start('a');
    await bed.run(60_000);
    bed.setManifest(createManifests(false).next);
    bed.holdOrders('a');
    await bed.run(1500);
    bed.pause('a');
    bed.start('b');
    await bed.run(600_000);
    expect(bed.countMovesLeft()).to.equal(0);
    bed.setManifest(createManifests(false).first);
    await bed.run(300_000);
    expect(bed.countMovesLeft()).to.equal(0);
    const before = bed.taken.length;
    const resumedAt = bed.timers.now();
    bed.releaseOrders('a');
    bed.resume('a');
    await bed.run(100);
    const late = bed.taken.slice(before);
    expect(late.map(({ by }) => by)).to.include('a');
    let correctedAt = 0;
    for (let i = 0; i < 120 && correctedAt === 0; i++) {
      await bed.run(1000);
      correctedAt =
        bed.countMovesLeft() === 0 && bed.getHolding(late[0]?.engine ?? '') ? bed.timers.now() : 0;
    }
    // The bound covers loading what the late order says, the age of reports, a tick, and loading the right
    // layers again.
    const layers = (late[0]?.want?.layers.end ?? 0) - (late[0]?.want?.layers.first ?? 0);
    expect(correctedAt - resumedAt).to.be.above(0);
    expect(correctedAt - resumedAt).to.be.at.most(2 * layers * 200 + 3000 + 4000);
    expect(countDecisions(bed, DecisionKind.Overwritten)).to.be.above(0);
  });
});
