import { expect } from 'chai';
import { checkInSlices, checkManifest } from '../../ManifestCheck.js';
import { splitInSlices, splitManifest } from '../../ManifestChunks.js';
import { runInSlices, SLICE_LENGTH } from '../../ManifestSlices.js';
import { createManifest } from '../ManifestFixtures.js';

describe('ManifestSlices', () => {
  it('lets other work run between slices and comes to the same result', async () => {
    // Symptom: every stream of an instance stands still for a second. Sequence: a manifest of 47,000
    // teams is submitted through it. Cause: checking and cutting it in one go on the only loop.
    const manifest = createManifest(4 * SLICE_LENGTH);
    let pauses = 0;
    const pause = (): Promise<void> => {
      pauses += 1;
      return Promise.resolve();
    };
    const checked = await runInSlices(checkInSlices(manifest), pause);
    expect(checked).to.deep.equal(checkManifest(manifest));
    expect(pauses).to.be.at.least(4);
    const split = await runInSlices(splitInSlices(manifest, null, 0), pause);
    expect(split).to.deep.equal(splitManifest(manifest, null, 0));
    expect(pauses).to.be.at.least(12);
  });

  it('names faults of teams by their place in the whole', () => {
    const manifest = createManifest(3);
    const teams = manifest.teams.map((team, i) => (i === 2 ? { ...team, share: -1 } : team));
    const checked = checkManifest({ ...manifest, teams });
    expect(!checked.ok && checked.error.map(({ path }) => path)).to.deep.equal(['teams[2].share']);
  });
});
