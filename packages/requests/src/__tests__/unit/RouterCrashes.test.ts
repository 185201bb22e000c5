import { expect } from 'chai';
import { createCrashId, noteCrash, noteSurvival } from '../../RequestPoison.js';
import type { RouterCrashes } from '../../RouterCrashes.js';
import { createRouterCrashes } from '../../RouterCrashes.js';

function noteCrashOf(crashes: RouterCrashes, engine: string, suspects: readonly string[]): void {
  const id = createCrashId(engine, 'boot', false);
  suspects.forEach((suspect) => crashes.note((state) => noteCrash(state, id, suspect, 0)));
}

/** Reads all batches after a position. */
function readAll(list: (after: number) => ReturnType<RouterCrashes['listObserved']>, from = 0) {
  const batches = [];
  for (let after = from, batch = list(after); batch.position > after; batch = list(after)) {
    batches.push(batch);
    after = batch.position;
  }
  return batches;
}

describe('RouterCrashes', () => {
  it('lists a large record in several batches that together are complete', () => {
    // Guards against a message over the size that peers read, which would be repeated for good.
    const crashes = createRouterCrashes(2, () => undefined);
    for (let i = 0; i < 40; i++) {
      noteCrashOf(
        crashes,
        `e${i}`,
        Array.from({ length: 130 }, (_, j) => `of e${i}: ${j}`),
      );
    }
    const batches = readAll((after) => crashes.listObserved(after, 0));
    const ids = batches.flatMap(({ reports }) => reports.map(({ crash }) => crash));
    expect(batches.length).to.equal(3);
    expect(new Set(ids).size).to.equal(40);
    expect(ids.length).to.equal(40);
  });

  it('lists again what changed after the last batch, and nothing else', () => {
    const crashes = createRouterCrashes(2, () => undefined);
    ['x', 'y', 'z'].forEach((engine) => noteCrashOf(crashes, engine, [`of ${engine}`, 'p']));
    const first = crashes.listRepeated(0, 0);
    expect(first.reports.map(({ suspects }) => suspects)).to.deep.equal([['p'], ['p'], ['p']]);
    crashes.note((state) => noteSurvival(state, 'of x'));
    expect(crashes.listRepeated(first.position, 0).reports, 'a bystander').to.deep.equal([]);
    noteCrashOf(crashes, 'w', ['of y']);
    const second = crashes.listRepeated(first.position, 0);
    expect(second.reports.map(({ crash, suspects }) => [crash, suspects])).to.deep.equal([
      ['y@boot', ['of y', 'p']],
      ['w@boot', ['of y']],
    ]);
  });

  it('reports to others only what this instance observed itself', () => {
    // Guards against reports that instances send round for good.
    const [one, other] = [0, 1].map(() => createRouterCrashes(2, () => undefined));
    if (!one || !other) {
      throw new Error('two records were created');
    }
    noteCrashOf(one, 'x', ['p']);
    other.merge(one.listObserved(0, 0), 0);
    expect(other.listObserved(0, 0).reports).to.deep.equal([]);
    expect(other.listRepeated(0, 0).reports).to.have.length(1);
    expect(other.merge(one.listObserved(0, 0), 0)).to.deep.equal([]);
  });
});
