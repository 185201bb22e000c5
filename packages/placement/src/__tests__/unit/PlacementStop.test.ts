import { expect } from 'chai';
import { getPlacementLeaseKey } from '../../PlacementRunner.js';
import { createBed, type Bed } from '../PlacementBed.js';
import { createEngines, createManifest, createModel } from '../PlacementFixtures.js';

const SERVES = [{ model: 'writer', minTokensPerSecond: 1000, weight: 1 }];

function createPlacementBed(): Bed {
  return createBed({
    engines: createEngines(4, ['medium']),
    manifest: createManifest({ models: [createModel('writer', 48)], serves: SERVES }),
    seed: 1,
  });
}

/** Whether another instance can't acquire the lease. */
function isTaken({ platform, timers }: Bed): boolean {
  const key = getPlacementLeaseKey('d1');
  return platform.store.acquire(key, 'probe', 0, timers.now()).kind === 'refused';
}

/** Stops the runner; the returned function gives the time at which its stop was done, or null. */
function stopRunner({ getRunner, timers }: Bed): () => number | null {
  let doneAt: number | null = null;
  void getRunner('a')
    .stop()
    .then(() => {
      doneAt = timers.now();
    });
  return () => doneAt;
}

describe('the stop of placement', () => {
  it('stops within two seconds while the store does not answer', async () => {
    // Guards against a stop that takes longer than its grace: the drain may use all of the grace, and the stop then
    // waits for calls that were under way when it gave up.
    const bed = createBed({
      engines: createEngines(4, ['medium']),
      manifest: createManifest({ models: [createModel('writer', 48)], serves: SERVES }),
      seed: 1,
    });
    bed.platform.setFaults({ outage: true });
    bed.start('a');
    await bed.run(100);
    let isDone = false;
    void bed
      .getRunner('a')
      .stop()
      .then(() => {
        isDone = true;
      });
    await bed.run(2100);
    expect(isDone).to.equal(true);
  });

  it('is done only when its lease has ended, though the first release is lost', async () => {
    // Guards against a process that ends before its release is repeated, so that nobody places the domain for 20 s.
    const bed = createPlacementBed();
    bed.start('a');
    await bed.run(100);
    expect(isTaken(bed)).to.equal(true);
    bed.platform.setFaults({ refusesConnections: true, outage: true });
    const getDoneAt = stopRunner(bed);
    await bed.run(900);
    expect(getDoneAt()).to.equal(null);
    bed.platform.setFaults({ outage: false });
    await bed.run(1000);
    expect(isTaken(bed)).to.equal(false);
    expect(getDoneAt()).to.be.within(1000, 2000);
  });

  it('repeats a release that gets no answer within a second', async () => {
    // Guards against a process that ends while its first release still waits for an answer, which takes a long timeout.
    const bed = createPlacementBed();
    bed.start('a');
    await bed.run(100);
    bed.platform.setFaults({ outage: true });
    stopRunner(bed);
    await bed.run(700);
    bed.platform.setFaults({ outage: false });
    await bed.run(700);
    expect(isTaken(bed)).to.equal(false);
  });

  it('is done two seconds after the first release, and then calls the store no more', async () => {
    // Guards against a stop that outlasts its grace for a duty that ended before, or goes on calling afterwards.
    const bed = createPlacementBed();
    let isOnDuty = true;
    bed.start('a', { isOwnDuty: () => isOnDuty });
    await bed.run(500);
    bed.platform.setFaults({ refusesConnections: true, outage: true });
    isOnDuty = false;
    await bed.run(2000);
    const getDoneAt = stopRunner(bed);
    await bed.run(600);
    expect(getDoneAt()).to.equal(3000);
    const { writes } = bed.platform.countCalls();
    expect(writes).to.be.greaterThan(2);
    await bed.run(30_000);
    expect(bed.platform.countCalls().writes).to.equal(writes);
  });

  it('keeps the lease of a new duty while the end of the last one is not answered', async () => {
    // Guards against a domain that nobody places: the calls that end the last lease replace and release the new one.
    const bed = createPlacementBed();
    let isOnDuty = true;
    bed.platform.setFaults({ lostAnswers: 1 });
    const runner = bed.start('a', { isOwnDuty: () => isOnDuty });
    await bed.run(500);
    isOnDuty = false;
    await bed.run(2000);
    isOnDuty = true;
    bed.platform.setFaults({ lostAnswers: 0 });
    await bed.run(600);
    const { fencing } = runner.getStatus();
    expect(fencing).to.not.equal(null);
    await bed.run(20_000);
    expect(runner.getStatus().fencing).to.equal(fencing);
  });

  it('frees a lease of an earlier duty when the store refuses the one of the next', async () => {
    // Guards against a domain that nobody places for 20 s: a stopped instance has forgotten what it held before.
    const bed = createPlacementBed();
    const port = bed.platform.connect('a');
    let isOnDuty = true;
    let acquisitions = 0;
    bed.start('a', {
      isOwnDuty: () => isOnDuty,
      platform: {
        ...port,
        acquireLease: (...args) => {
          acquisitions += 1;
          return acquisitions === 2
            ? Promise.resolve({
                kind: 'refused',
                reason: { kind: 'rate-limited', retryAfter: 300 },
              })
            : port.acquireLease(...args);
        },
      },
    });
    await bed.run(500);
    bed.platform.setFaults({ outage: true });
    isOnDuty = false;
    await bed.run(1000);
    isOnDuty = true;
    await bed.run(1000);
    expect({ acquisitions, isTaken: isTaken(bed) }).to.deep.equal({
      acquisitions: 2,
      isTaken: true,
    });
    bed.platform.setFaults({ outage: false });
    stopRunner(bed);
    await bed.run(1500);
    expect(isTaken(bed)).to.equal(false);
  });

  it('leaves no timer when it is done', async () => {
    // Guards against a daemon whose process stays after its stop until the bound of the wait.
    const bed = createPlacementBed();
    const pending = bed.timers.countPending();
    bed.start('a');
    await bed.run(100);
    const getDoneAt = stopRunner(bed);
    await bed.run(400);
    expect(getDoneAt()).to.be.within(100, 200);
    expect(bed.timers.countPending()).to.equal(pending);
  });
});
