import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { MoveReason } from '@skylarksail/placement/PlacementTypes';
import type { DrainBed, DrainInstance } from './DaemonDrainsBed.js';
import { createDrainBed, ENGINE } from './DaemonDrainsBed.js';

/** Time in which an engine without work is drained. */
const IDLE_DRAIN: Millis = 5000;
const MAX_DRAIN: Millis = 30_000;
const LONG: Millis = 300_000;
/** Longest time from the sending of an order to its start at the engine. */
const MAX_ORDER_TIME: Millis = 7000;

function getInstance(bed: DrainBed, i: number): DrainInstance {
  const instance = bed.instances[i];
  if (!instance) {
    throw new Error(`no instance ${i}`);
  }
  return instance;
}

describe('DaemonDrains', () => {
  it('lets an order go out soon to an engine without work', async () => {
    expect(await createDrainBed(['a', 'a', 'b']).measureDrain(LONG)).to.be.at.most(IDLE_DRAIN);
    expect(await createDrainBed(['a']).measureDrain(LONG)).to.be.at.most(IDLE_DRAIN);
  });

  [
    { whose: 'this instance', i: 0 },
    { whose: 'a peer', i: 1 },
    { whose: 'an instance of another domain', i: 2 },
  ].forEach(({ whose, i }) => {
    it(`waits for a call of ${whose} for as long as it runs`, async () => {
      // Guards against an answer that breaks off as its engine, of a later stage, reports no running request.
      const bed = createDrainBed(['a', 'a', 'b']);
      getInstance(bed, i).startCall(100_000);
      expect(await bed.measureDrain(LONG)).to.be.within(100_000, 100_000 + IDLE_DRAIN);
      expect(bed.lateDrains).to.deep.equal([`${ENGINE} instance-${i}`]);
    });
  });

  it('lets an order that restores capacity go out at the limit, whatever runs', async () => {
    const bed = createDrainBed(['a', 'a']);
    getInstance(bed, 1).startCall(LONG);
    expect(await bed.measureDrain(LONG, { reason: MoveReason.Restore })).to.equal(MAX_DRAIN);
  });

  it('does not wait for the calls of an engine without layers', async () => {
    const bed = createDrainBed(['a', 'a']);
    bed.engine.holding = null;
    await bed.timers.advanceToAsync(2000);
    getInstance(bed, 1).startCall(LONG);
    expect(await bed.measureDrain(LONG)).to.equal(0);
  });

  [
    { what: 'does not answer', reply: createFailed({ kind: 'timeout' } as const) },
    { what: 'answers with garbage', reply: createOk('garbage') },
    { what: 'does not understand', reply: createOk(null) },
  ].forEach(({ what, reply }) => {
    it(`waits for a peer that ${what}, up to the limit`, async () => {
      const bed = createDrainBed(['a', 'a']);
      getInstance(bed, 1).reply = () => reply;
      expect(await bed.measureDrain(LONG)).to.be.within(MAX_DRAIN, MAX_DRAIN + IDLE_DRAIN);
    });
  });

  [0, 1].forEach((i) => {
    it(`waits until instance ${i} knows a chain without the engine, up to the limit`, async () => {
      // Guards against 503 not-run where reports come late: others hold the new version, but not that anyone there knows.
      const bed = createDrainBed(['a', 'a']);
      const late = getInstance(bed, i);
      late.isDispensable = false;
      expect(await bed.measureDrain(20_000)).to.equal(20_000);
      expect(late.drains.listClosed(false)).to.deep.equal([]);
      late.isDispensable = true;
      expect(await bed.measureDrain(LONG)).to.be.at.most(IDLE_DRAIN);
    });
  });

  it('does not wait for a chain without the engine if a move is forced, or longer than the limit', async () => {
    // Guards against a change that never comes where each layer is held once.
    const forced = createDrainBed(['a', 'a']);
    forced.instances.forEach(forgoOthers);
    expect(await forced.measureDrain(LONG, { isForced: true })).to.be.at.most(IDLE_DRAIN);
    const late = createDrainBed(['a', 'a']);
    late.instances.forEach(forgoOthers);
    expect(await late.measureDrain(LONG)).to.be.within(MAX_DRAIN, MAX_DRAIN + IDLE_DRAIN);
  });

  it('asks an instance of another domain before an order that comes after the limit', async () => {
    // Guards against one that counts as silent at the limit, as it was not asked while others still used the engine.
    const bed = createDrainBed(['a', 'a', 'b']);
    getInstance(bed, 1).startCall(40_000);
    getInstance(bed, 2).startCall(100_000);
    expect(await bed.measureDrain(LONG)).to.be.within(100_000, 100_000 + IDLE_DRAIN);
  });

  it('sends a notice to a peer of a release without the call, and does not wait for it', async () => {
    const bed = createDrainBed(['a', 'a']);
    getInstance(bed, 1).reply = () => createFailed({ kind: 'failed', detail: 'no such topic' });
    expect(await bed.measureDrain(LONG)).to.be.at.most(IDLE_DRAIN);
    expect(new Set(bed.notices)).to.deep.equal(new Set(['instance-1 engine-drain']));
  });

  it('waits for a report from after the beginning of the drain, up to the limit', async () => {
    // Guards against an old report that counts no running request while the newer ones are lost.
    const bed = createDrainBed(['a', 'a']);
    bed.stopReports();
    expect(await bed.measureDrain(LONG)).to.be.within(MAX_DRAIN, MAX_DRAIN + IDLE_DRAIN);
  });

  it('closes the engine to new requests at the limit, and to all before the order', async () => {
    // Guards against a change that never comes, since callers use the engine for as long as it is merely avoided.
    const bed = createDrainBed(['a', 'a']);
    const peer = getInstance(bed, 1);
    const readStages = (): readonly unknown[] => [
      peer.drains.listDraining().includes(ENGINE),
      peer.drains.listClosed(false).includes(ENGINE),
      peer.drains.listClosed(true).includes(ENGINE),
    ];
    peer.startCall(100_000);
    await bed.measureDrain(MAX_DRAIN - 1000);
    expect(readStages()).to.deep.equal([true, false, false]);
    await bed.measureDrain(3000);
    expect(readStages().slice(1)).to.deep.equal([true, false]);
    await bed.measureDrain(LONG);
    expect(readStages().slice(1)).to.deep.equal([true, true]);
  });

  it('asks instances without calls there seldom, and those of other domains not before the engine is closed', async () => {
    // Guards against drains that take a large domain's share of bytes: each instance hears of dozens of engines at once.
    const bed = createDrainBed(['a', 'a', 'a', 'b']);
    getInstance(bed, 1).startCall(LONG);
    await bed.measureDrain(20_000);
    const count = (id: string): number => bed.asked.filter((to) => to === id).length;
    expect(['instance-1', 'instance-2', 'instance-3'].map(count)).to.deep.equal([20, 5, 0]);
  });

  it('closes no engine whose order could not go out yet', async () => {
    // Guards against requests that are refused for the sake of engines which wait for their turn to load.
    const bed = createDrainBed(['a', 'a']);
    expect(await bed.measureDrain(LONG, {}, false)).to.equal(LONG);
    bed.instances.forEach(({ drains }) => {
      expect([drains.listDraining(), drains.listClosed(false)]).to.deep.equal([[ENGINE], []]);
    });
  });

  it('reopens an engine once it reports a later order, and when the instance that asked is gone', async () => {
    // Guards against an engine that holds the new version and gets no work.
    const bed = createDrainBed(['a', 'a']);
    const peer = getInstance(bed, 1);
    await bed.measureDrain(LONG);
    expect(peer.drains.listClosed(true)).to.deep.equal([ENGINE]);
    bed.engine.orderNumber += 1;
    await bed.timers.advanceToAsync(bed.timers.now() + 2000);
    expect(peer.drains.listClosed(true)).to.deep.equal([]);

    await bed.measureDrain(LONG);
    expect(peer.drains.listClosed(true)).to.deep.equal([ENGINE]);
    await bed.timers.advanceToAsync(bed.timers.now() + 20_000);
    expect([peer.drains.listClosed(false), peer.drains.listDraining()]).to.deep.equal([[], []]);
  });

  it('never lets an order arrive while a call runs, whatever is delayed and lost', async () => {
    // Guards against a count that was true when it was sent: the next request of that instance begins after the order.
    for (let seed = 1; seed <= 200; seed++) {
      const links = { lost: 0.1, delay: 900, pause: seed % 2 === 0 ? 0 : 8000 };
      const bed = createDrainBed(['a', 'a', 'a', 'b'], seed, links);
      const stopCalls = startCalls(bed);
      expect(await bed.measureDrain(LONG), `seed ${seed}`).to.be.below(LONG);
      const arrivesAt = bed.timers.now() + bed.random.nextFloat() * MAX_ORDER_TIME;
      while (bed.timers.now() < arrivesAt) {
        const running = bed.instances.map(({ countCalls }) => countCalls());
        expect(running, `seed ${seed}`).to.deep.equal([0, 0, 0, 0]);
        await bed.timers.advanceToAsync(Math.min(arrivesAt, bed.timers.now() + 50));
      }
      stopCalls();
    }
  });
});

function forgoOthers(instance: DrainInstance): void {
  Object.assign(instance, { isDispensable: false });
}

/** Lets each instance use the engine when routing would: short answers, some long ones, and moves of begun answers. */
function startCalls({ timers, random, instances }: DrainBed): () => void {
  return timers.registerInterval(100, () => {
    instances.forEach((instance) => {
      const isBegun = random.nextFloat() < 0.2;
      const isAvoided =
        instance.drains.listDraining().includes(ENGINE) && random.nextFloat() < 0.95;
      const isClosed = instance.drains.listClosed(isBegun).includes(ENGINE);
      if (!isAvoided && !isClosed && random.nextFloat() < 0.5) {
        instance.startCall(random.nextFloat() * (random.nextFloat() < 0.05 ? 20_000 : 400));
      }
    });
  });
}
