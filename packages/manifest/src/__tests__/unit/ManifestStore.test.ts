import { expect } from 'chai';
import type { CallFault } from '@skylarksail/store/FakeStore';
import type { StoreContext } from '../../ManifestCalls.js';
import { joinManifest } from '../../ManifestChunks.js';
import { loadManifest, readHistory, readRoot } from '../../ManifestReader.js';
import { ROOT_KEY } from '../../ManifestRoot.js';
import { submitManifest } from '../../ManifestStore.js';
import type { Bed } from '../ManifestBed.js';
import { createBed, DEADLINE } from '../ManifestBed.js';
import { createManifest } from '../ManifestFixtures.js';

async function readCurrentRoot(bed: Bed): Promise<{ revision: number; submission: string }> {
  const stored = await bed.run(readRoot(bed.connect('reader'), Infinity));
  return stored.ok && stored.value.root ? stored.value.root : { revision: 0, submission: '' };
}

/** Refuses each swap of the root as invalid, except that the first one has `fault` unless it is null. */
function refuseSwapsOfRoot(bed: Bed, client: string, fault: CallFault | null): StoreContext {
  const ctx = bed.connect(client);
  let isFirst = true;
  const swap: StoreContext['platform']['swap'] = (key, expected, value, options) => {
    if (key !== ROOT_KEY) {
      return ctx.platform.swap(key, expected, value, options);
    }
    if (fault === null || !isFirst) {
      const reason = { kind: 'invalid', detail: 'status 403' } as const;
      return Promise.resolve({ kind: 'refused', reason });
    }
    isFirst = false;
    bed.platform.injectFault(client, 'swap', fault);
    return ctx.platform.swap(key, expected, value, options);
  };
  return { ...ctx, platform: { ...ctx.platform, swap } };
}

describe('ManifestStore', () => {
  it('loads the manifest that was submitted', async () => {
    const bed = createBed();
    const accepted = await bed.run(bed.submit('a', 'first', 0, 300));
    expect(accepted).to.include({ kind: 'accepted', revision: 1, repeated: false });
    const ctx = bed.connect('reader');
    const stored = await bed.run(readRoot(ctx, Infinity));
    const root = stored.ok ? stored.value.root : null;
    const loaded = await bed.run(loadManifest(ctx, root ?? { body: '' }, new Map(), Infinity));
    if (!loaded.ok) {
      expect.fail(loaded.error.kind);
    }
    const { tree, fetched } = loaded.value;
    expect(joinManifest(tree, (ref) => fetched.get(ref))).to.deep.equal(createManifest(300));
  });

  it('accepts exactly one of several concurrent submissions and reports it to the others', async () => {
    // Guards against the loss of an accepted change. It happens if several submitters read the same root
    // and write concurrently, and acceptance is not a single compare-and-swap.
    const bed = createBed();
    await bed.run(bed.submit('a', 'first', 0, 10));
    const racers = ['r1', 'r2', 'r3', 'r4'].map((id, i) => bed.submit(id, id, 1, 20 + i));
    const outcomes = await bed.run(Promise.all(racers));
    const winners = outcomes.filter(({ kind }) => kind === 'accepted');
    expect(winners).to.have.length(1);
    const { submission } = await readCurrentRoot(bed);
    outcomes
      .filter(({ kind }) => kind !== 'accepted')
      .forEach((lost) => expect(lost).to.deep.equal({ kind: 'conflict', revision: 2, submission }));
  });

  it('returns the first result for a repeated submission, even after later ones', async () => {
    const bed = createBed();
    await bed.run(bed.submit('a', 'first', 0, 10));
    await bed.run(bed.submit('a', 'second', 1, 11));
    const again = await bed.run(bed.submit('b', 'first', 0, 10));
    expect(again).to.include({ kind: 'accepted', revision: 1, repeated: true });
    const withoutExpectedRevision = await bed.run(bed.submit('b', 'first', null, 10));
    expect(withoutExpectedRevision).to.include({ kind: 'accepted', revision: 1, repeated: true });
    const other = await bed.run(bed.submit('b', 'first', 0, 12));
    expect(other).to.deep.equal({ kind: 'id-reused', revision: 1 });
    expect((await readCurrentRoot(bed)).revision).to.equal(2);
  });

  it('detects that its own swap succeeded after the response was lost', async () => {
    // Guards against reporting a conflict of a submission with itself, or applying a change twice. It
    // happens if the swap takes effect, its response is lost, and the conflict of the retry is attributed
    // to another submission.
    const bed = createBed();
    bed.platform.setFaults({ lostAnswers: 0.4 }, 'a');
    const outcome = await bed.run(bed.submit('a', 'first', 0, 10));
    expect(outcome).to.include({ kind: 'accepted', revision: 1 });
    const ctx = bed.connect('reader');
    const stored = await bed.run(readRoot(ctx, Infinity));
    const root = stored.ok ? stored.value.root : null;
    const history = await bed.run(readHistory(ctx, Infinity, root ?? { history: '' }, 10));
    expect(history.ok && history.value).to.have.length(1);
  });

  it('reports unknown, not failure, while a timed-out swap may still take effect', async () => {
    // Guards against reporting "not accepted" for a change that is in force seconds later. It happens if
    // the swap is delayed beyond its timeout, the root is read back unchanged, and then the swap takes
    // effect. Reading the root says nothing about writes that are still in flight.
    const bed = createBed();
    await bed.run(bed.submit('a', 'first', 0, 10));
    const { platform } = bed;
    const ctx = bed.connect('slow');
    const delayed: StoreContext = {
      ...ctx,
      platform: {
        ...ctx.platform,
        swap(key, expected, value, options) {
          if (key === ROOT_KEY) {
            platform.injectFault('slow', 'swap', { kind: 'late', delay: 2 * DEADLINE });
          }
          return ctx.platform.swap(key, expected, value, options);
        },
      },
    };
    const outcome = submitManifest(delayed, createManifest(11), {
      submissionId: 'late',
      expectedRevision: 1,
      deadline: bed.timers.now() + DEADLINE,
    });
    await bed.timers.advanceToAsync(bed.timers.now() + 1.5 * DEADLINE);
    expect(await outcome).to.deep.equal({ kind: 'unknown' });
    expect((await readCurrentRoot(bed)).submission).to.equal('first');
    expect((await readCurrentRoot(bed)).submission).to.equal('late');
    const again = await bed.run(bed.submit('b', 'late', 1, 11));
    expect(again).to.include({ kind: 'accepted', revision: 2, repeated: true });
  });

  const unansweredSwaps: readonly (readonly [CallFault, number])[] = [
    [{ kind: 'lost-answer' }, 1],
    [{ kind: 'late', delay: DEADLINE }, 1],
    [{ kind: 'lost-call' }, 0],
  ];
  unansweredSwaps.forEach(([fault, revision]) => {
    it(`reports unknown if a swap (${fault.kind}) is sent again and refused as invalid`, async () => {
      // Guards against reporting "not accepted" for a change that is in force or comes into force: only a
      // conflict of the second swap proves that the first can no longer take effect.
      const bed = createBed();
      const outcome = await bed.run(
        submitManifest(refuseSwapsOfRoot(bed, 'a', fault), createManifest(10), {
          submissionId: 'first',
          expectedRevision: 0,
          deadline: DEADLINE,
        }),
      );
      expect((await readCurrentRoot(bed)).revision).to.equal(revision);
      expect(outcome).to.deep.equal({ kind: 'unknown' });
      const again = await bed.run(bed.submit('a', 'first', 0, 10));
      expect(again).to.include({ kind: 'accepted', revision: 1, repeated: revision === 1 });
    });
  });

  it('reports unavailable if its only swap is refused as invalid', async () => {
    const bed = createBed();
    const outcome = await bed.run(
      submitManifest(refuseSwapsOfRoot(bed, 'a', null), createManifest(10), {
        submissionId: 'first',
        expectedRevision: 0,
        deadline: DEADLINE,
      }),
    );
    expect(outcome).to.deep.equal({ kind: 'unavailable', fault: { kind: 'unavailable' } });
    expect((await readCurrentRoot(bed)).revision).to.equal(0);
  });

  it('reports unavailable and changes nothing if an outage precedes the write of the root', async () => {
    const bed = createBed();
    bed.platform.setFaults({ outage: true });
    const outcome = await bed.run(bed.submit('a', 'first', null, 10));
    expect(outcome).to.deep.equal({ kind: 'unavailable', fault: { kind: 'unavailable' } });
    bed.platform.setFaults({ outage: false });
    expect((await readCurrentRoot(bed)).revision).to.equal(0);
  });

  it('rejects an invalid manifest as a whole and writes nothing', async () => {
    const bed = createBed();
    const manifest = createManifest(3);
    const teams = manifest.teams.map((team) => ({ ...team, models: ['no-such-model'] }));
    const options = { submissionId: 'bad', expectedRevision: 0, deadline: DEADLINE };
    const input = { ...manifest, teams };
    const outcome = await bed.run(submitManifest(bed.connect('a'), input, options));
    expect(outcome.kind).to.equal('invalid');
    expect(bed.platform.countCalls().writes).to.equal(0);
  });

  it('writes only the changed chunks when one team is added', async () => {
    const bed = createBed();
    await bed.run(bed.submit('a', 'first', 0, 2000));
    const before = bed.platform.countCalls().bytesWritten;
    const outcome = await bed.run(bed.submit('a', 'second', 1, 2001));
    expect(outcome).to.include({ kind: 'accepted', writtenChunks: 4 });
    expect(bed.platform.countCalls().bytesWritten - before).to.be.below(30_000);
  });
});
