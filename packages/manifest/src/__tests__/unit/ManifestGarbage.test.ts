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

/** Starts a submission that stops before it writes the root, until `release` is called. */
function submitSlowly(
  bed: Bed,
  teamCount: number,
): { readonly outcome: Promise<SubmitOutcome>; release(): void } {
  const ctx = bed.connect('slow');
  let release = (): void => undefined;
  const gate = new Promise<void>((resolve) => {
    release = resolve;
  });
  const paused: StoreContext = {
    ...ctx,
    platform: {
      ...ctx.platform,
      async swap(key, expected, value, options) {
        if (key === ROOT_KEY) {
          await gate;
        }
        return ctx.platform.swap(key, expected, value, options);
      },
    },
  };
  const options = { submissionId: 'slow', expectedRevision: null, deadline: Infinity };
  return { outcome: submitManifest(paused, createManifest(teamCount), options), release };
}

async function expectWhole(bed: Bed): Promise<void> {
  const ctx = bed.connect('reader');
  const stored = await bed.run(readRoot(ctx, Infinity));
  const root = (stored.ok && stored.value.root) || { body: '' };
  const loaded = await bed.run(loadManifest(ctx, root, new Map(), Infinity));
  expect(loaded.ok, JSON.stringify(loaded)).to.equal(true);
}

describe('ManifestGarbage', () => {
  it('leaves the chunks of a slow submitter that may still be accepted', async () => {
    // Symptom: the manifest in force names chunks that are not there. Sequence: a submitter writes its
    // chunks and pauses, a collector sees that no root names them and removes them, the submitter
    // wakes and its swap wins. Cause: age, or one look at the root, taken for proof.
    const bed = createBed();
    await bed.accept(3);
    const slow = submitSlowly(bed, 9);
    await bed.pass(1000);
    expect(await collect(bed)).to.equal(0);
    slow.release();
    await bed.pass(1000);
    expect(await slow.outcome).to.include({ kind: 'accepted', revision: 2 });
    await expectWhole(bed);
  });

  it('removes the chunks of a submitter that lost, and only those', async () => {
    const bed = createBed();
    await bed.accept(3);
    const slow = submitSlowly(bed, 9);
    await bed.pass(1000);
    await bed.accept(5);
    const garbage = await collect(bed);
    expect(garbage).to.be.above(0);
    slow.release();
    await bed.pass(1000);
    expect((await slow.outcome).kind).to.equal('conflict');
    await expectWhole(bed);
    expect(await collect(bed)).to.equal(0);
  });

  it('does not remove what a submission with an older content writes anew', async () => {
    // Symptom: as above, after a change is taken back. Sequence: the chunks of an old revision are
    // being collected, a removal is late; a submission with the same content is accepted; the removal
    // lands. Cause: a name, or a revision of a key, that is used a second time.
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
    await expectWhole(bed);
  });

  it('still reads the history and starts an instance after many revisions', async () => {
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
