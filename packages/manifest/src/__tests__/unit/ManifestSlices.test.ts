import { expect } from 'chai';
import { checkInSlices, checkManifest } from '../../ManifestCheck.js';
import { splitInSlices, splitManifest } from '../../ManifestChunks.js';
import { runInSlices, SLICE_LENGTH } from '../../ManifestSlices.js';
import { createManifest } from '../ManifestFixtures.js';

describe('ManifestSlices', () => {
  it('pauses between slices and returns the same result as an uninterrupted run', async () => {
    // Guards against stalling all streams of an instance for a second. This happens if the instance
    // validates and splits a submitted manifest of 47,000 teams without returning to the event loop.
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

  it('reports faults of teams by their index in the manifest', () => {
    const manifest = createManifest(3);
    const teams = manifest.teams.map((team, i) => (i === 2 ? { ...team, share: -1 } : team));
    const checked = checkManifest({ ...manifest, teams });
    expect(!checked.ok && checked.error.map(({ path }) => path)).to.deep.equal(['teams[2].share']);
  });
});
