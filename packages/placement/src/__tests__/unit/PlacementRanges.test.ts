import { expect } from 'chai';
import fc from 'fast-check';
import type { RangeEngine, RangePlan } from '../../PlacementRanges.js';
import { findGaps, planRanges } from '../../PlacementRanges.js';

const GB = 1e9;
const MODEL = { layers: 80, layerBytes: 1.75 * GB };
/** Memory of one domain's engines, of four kinds. */
const MEMORY = [72, 36, 21.6, 21.6, 21.6, 21.6, 21.6, 14.4, 14.4, 14.4, 14.4, 14.4, 14.4, 14.4];

function createEngines(memory: readonly number[] = MEMORY): RangeEngine[] {
  return memory.map((gb, i) => ({
    id: `e${String(i).padStart(2, '0')}`,
    memoryBytes: gb * GB,
    held: null,
  }));
}

function apply(engines: readonly RangeEngine[], plan: RangePlan | null): RangeEngine[] {
  return engines.map((engine) => ({ ...engine, held: plan?.get(engine.id) ?? engine.held }));
}

describe('PlacementRanges', () => {
  it('covers every layer once, and leaves each engine the same memory for a request', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    expect(findGaps(placed, MODEL)).to.deep.equal([]);
    const layers = placed.map(({ held }) => (held ? held.end - held.first : 0));
    expect(layers.reduce((a, b) => a + b, 0)).to.equal(80);
    const rooms = placed.map(({ memoryBytes }, i) => memoryBytes / (layers[i] ?? 1) / GB - 1.75);
    expect(Math.min(...rooms)).to.be.greaterThan(0.8);
  });

  it('never gives an engine more weights than it holds, whatever the fleet', () => {
    fc.assert(
      fc.property(fc.array(fc.constantFrom(14.4, 21.6, 36, 72), { maxLength: 20 }), (memory) => {
        const engines = createEngines(memory);
        const plan = planRanges(engines, MODEL, true);
        const placed = apply(engines, plan);
        placed.forEach(({ memoryBytes, held }) => {
          const bytes = held ? (held.end - held.first) * MODEL.layerBytes : 0;
          expect(bytes).to.be.at.most(memoryBytes);
        });
        expect(plan === null || findGaps(placed, MODEL).length === 0).to.equal(true);
      }),
    );
  });

  it('leaves a domain that is whole as it is', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    expect(planRanges(placed, MODEL, true)).to.equal(null);
  });

  it('gives the layers of a lost engine to the one that comes in its place, and moves no other', () => {
    // Symptom: the loss of one engine reloads a dozen.
    // Sequence: an engine crashes and is back empty under a new id.
    // Cause: the domain is cut anew, by which every boundary moves.
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    const lost = placed[4];
    const back = placed.map((engine) =>
      engine === lost ? { ...engine, id: 'new', held: null } : engine,
    );
    const plan = planRanges(back, MODEL, false);
    expect([...(plan ?? [])]).to.deep.equal([['new', lost?.held]]);
  });

  it('shares a gap’s layers out to few engines next to it', () => {
    // Symptom: each lost engine costs its domain five seconds without a chain while others lose theirs.
    // Sequence: engines of every domain leave at once; no empty one is there.
    // Cause: each domain was cut anew, thirty loads that all share the weight store.
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    placed.forEach((lost) => {
      const left = placed.filter((engine) => engine !== lost);
      const plan = planRanges(left, MODEL, true);
      const mended = apply(left, plan);
      expect(findGaps(mended, MODEL)).to.deep.equal([]);
      mended.forEach(({ memoryBytes, held }) => {
        const bytes = held ? (held.end - held.first) * MODEL.layerBytes : 0;
        expect(bytes).to.be.at.most(0.85 * memoryBytes);
      });
      const moved = mended.filter(({ held }, i) => held !== left[i]?.held);
      const isLarge = lost.memoryBytes > 40 * GB;
      expect(moved.length).to.be.at.most(isLarge ? left.length : 6);
    });
  });

  it('cuts anew only where it may, when no engine is free for the missing layers', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    const left = placed.slice(0, -1);
    expect(planRanges(left, MODEL, false)).to.equal(null);
    const recut = apply(left, planRanges(left, MODEL, true));
    expect(findGaps(recut, MODEL)).to.deep.equal([]);
  });

  it('orders nothing where the engines cannot hold the model', () => {
    expect(planRanges(createEngines([14.4, 14.4]), MODEL, true)).to.equal(null);
    expect(planRanges([], MODEL, true)).to.equal(null);
  });
});
