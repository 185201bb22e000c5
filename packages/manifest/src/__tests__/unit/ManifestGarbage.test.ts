import { expect } from 'chai';
import type { StoreContext } from '../../ManifestCalls.js';
import { collectGarbage, RETAINED_REVISIONS } from '../../ManifestGarbage.js';
import { loadManifest, readRoot } from '../../ManifestReader.js';
import { ROOT_KEY } from '../../ManifestRoot.js';
import type { SubmitOutcome } from '../../ManifestStore.js';
import { submitManifest } from '../../ManifestStore.js';
import type { Bed } from '../ManifestBed.js';
import { createBed, DEADLINE } from '../ManifestBed.js';
import { createManifest } from '../ManifestFixtures.js';

async function collect(bed: Bed): Promise<number> {
  const options = { deadline: bed.timers.now() + DEADLINE, maxRemovals: 1000 };
  const report = await bed.run(collectGarbage(bed.connect('collector'), options));
  if (!report.ok) {
    expect.fail(report.error.kind);
  }
  return report.value.removed;
}

/** Starts a submission that pauses before it swaps the root, until `release` is called. */
function submitWithDelayedSwap(
  bed: Bed,
  teamCount: number,
): { readonly outcome: Promise<SubmitOutcome>; release(): void } {
  const ctx = bed.connect('slow');
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const delayed: StoreContext = {
    ...ctx,
    platform: {
      ...ctx.platform,
      async swap(key, expected, value, options) {
        if (key === ROOT_KEY) {
          await released;
        }
        return ctx.platform.swap(key, expected, value, options);
      },
    },
  };
  const options = { submissionId: 'slow', expectedRevision: null, deadline: Infinity };
  return { outcome: submitManifest(delayed, createManifest(teamCount), options), release };
}

async function expectLoadable(bed: Bed): Promise<void> {
  const ctx = bed.connect('reader');
  const stored = await bed.run(readRoot(ctx, Infinity));
  const root = (stored.ok && stored.value.root) || { body: '' };
  const loaded = await bed.run(loadManifest(ctx, root, new Map(), Infinity));
  expect(loaded.ok, JSON.stringify(loaded)).to.equal(true);
}

describe('ManifestGarbage', () => {
  it('keeps the chunks of a slow submission that may still be accepted', async () => {
    // Guards against a manifest in force that references missing chunks. It happens if a submitter
    // writes its chunks and pauses, a collector removes them because no root references them, and then
    // the submitter's swap succeeds. Neither a chunk's age nor one read of the root proves it is garbage.
    const bed = createBed();
    await bed.accept(3);
    const slow = submitWithDelayedSwap(bed, 9);
    await bed.pass(1000);
    expect(await collect(bed)).to.equal(0);
    slow.release();
    await bed.pass(1000);
    expect(await slow.outcome).to.include({ kind: 'accepted', revision: 2 });
    await expectLoadable(bed);
  });

  it('removes the chunks of a submission that lost to another one, and no others', async () => {
    const bed = createBed();
    await bed.accept(3);
    const slow = submitWithDelayedSwap(bed, 9);
    await bed.pass(1000);
    await bed.accept(5);
    const garbage = await collect(bed);
    expect(garbage).to.be.above(0);
    slow.release();
    await bed.pass(1000);
    expect((await slow.outcome).kind).to.equal('conflict');
    await expectLoadable(bed);
    expect(await collect(bed)).to.equal(0);
  });

  it('keeps chunks that a submission with the content of an old revision writes again', async () => {
    // Guards against missing chunks after a change is reverted. They can occur if the removal of an old
    // revision's chunks is delayed, a submission with the same content is accepted, and then the removal
    // takes effect. This requires that a chunk name, or a revision of a key, is used twice.
    const bed = createBed();
    await bed.accept(3);
    for (let i = 0; i < RETAINED_REVISIONS + 2; i++) {
      await bed.accept(10 + i);
    }
    for (let i = 0; i < 10; i++) {
      bed.platform.injectFault('collector', 'remove', { kind: 'late', delay: 5000 });
    }
    const options = { deadline: bed.timers.now() + DEADLINE, maxRemovals: 1000 };
    const round = collectGarbage(bed.connect('collector'), options);
    await bed.pass(1000);
    const back = bed.submit('pipeline', 'back', null, 3);
    await bed.pass(1000);
    expect((await back).kind).to.equal('accepted');
    await bed.pass(30_000);
    const report = await round;
    expect(report.ok && report.value.garbage).to.be.above(0);
    await expectLoadable(bed);
  });

  it('keeps the history readable and lets instances start after many revisions', async () => {
    const bed = createBed();
    for (let i = 0; i < 40; i++) {
      await bed.accept(2 + i);
    }
    expect(await collect(bed)).to.be.above(40);
    bed.fleet.startAll();
    await bed.pass(5000);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([40]));
    const again = await bed.run(bed.submit('pipeline', 'teams-2', null, 2));
    expect(again).to.include({ kind: 'accepted', revision: 1, repeated: true });
  });
});
