import { expect } from 'chai';
import { diffBodies, diffManifests, formatDiff } from '../../ManifestDiff.js';
import { readHistory, readRoot } from '../../ManifestReader.js';
import { createBed } from '../ManifestBed.js';
import { createManifest } from '../ManifestFixtures.js';

describe('ManifestDiff', () => {
  it('lists added, removed and changed values by path', () => {
    const before = createManifest(2);
    const after = {
      ...before,
      teams: before.teams.map((team) => ({ ...team, share: 2 })).slice(0, 1),
      services: [{ id: 'accounts', routes: [], timeoutMs: 5 }],
    };
    const lines = formatDiff(diffManifests(before, after));
    expect(lines).to.have.length(3);
    expect(lines[0]).to.match(/^\+ services\[accounts\]/);
    expect(lines[1]).to.equal('~ teams[team-000000].share: 1 -> 2');
    expect(lines[2]).to.match(/^- teams\[team-000001\]/);
  });

  it('compares two accepted revisions by reading only the chunks that differ', async () => {
    const bed = createBed();
    await bed.accept(2000);
    await bed.accept(2001);
    const ctx = bed.connect('reader');
    const stored = await bed.run(readRoot(ctx, Infinity));
    const root = (stored.ok && stored.value.root) || { history: '' };
    const history = await bed.run(readHistory(ctx, Infinity, root, 10));
    const [second, first] = history.ok ? history.value : [];
    const before = bed.platform.countCalls().reads;
    const diff = await bed.run(diffBodies(ctx, Infinity, first?.body ?? '', second?.body ?? ''));
    expect(diff.ok && diff.value.map(({ path }) => path)).to.deep.equal(['teams[team-002000]']);
    expect(bed.platform.countCalls().reads - before).to.be.below(10);
  });
});
