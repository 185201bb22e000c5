import { expect } from 'chai';
import fc from 'fast-check';
import type { RangeEngine, RangePlan } from '../../PlacementRanges.js';
import { findGaps, planRanges } from '../../PlacementRanges.js';

const GB = 1e9;
const MODEL = { layers: 80, layerBytes: 1.75 * GB };
/** Memory in GB of one domain's engines, of four kinds. */
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
  it('covers every layer once and leaves similar KV cache per layer on each engine', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    expect(findGaps(placed, MODEL)).to.deep.equal([]);
    const layers = placed.map(({ held }) => (held ? held.end - held.first : 0));
    expect(layers.reduce((a, b) => a + b, 0)).to.equal(80);
    const rooms = placed.map(({ memoryBytes }, i) => memoryBytes / (layers[i] ?? 1) / GB - 1.75);
    expect(Math.min(...rooms)).to.be.greaterThan(0.8);
  });

  it('never exceeds the memory of an engine', () => {
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

  it('does not change a domain that was just partitioned', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    expect(planRanges(placed, MODEL, true)).to.equal(null);
  });

  it('assigns the layers of a lost engine to its replacement and moves no other engine', () => {
    // Guards against the loss of one engine reloading a dozen. An engine crashes and returns empty under a new
    // ID; the fault is to repartition the domain, which moves every boundary.
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    const lost = placed[4];
    const back = placed.map((engine) =>
      engine === lost ? { ...engine, id: 'new', held: null } : engine,
    );
    const plan = planRanges(back, MODEL, false);
    expect([...(plan ?? [])]).to.deep.equal([['new', lost?.held]]);
  });

  it('distributes the layers of a gap among a few engines around it', () => {
    // Guards against five seconds without a chain per lost engine while other domains lose theirs too. Engines
    // of every domain leave at once and no engine is empty; the fault is to repartition each domain, which
    // makes thirty loads share the weight store.
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    placed.forEach((lost) => {
      const left = placed.filter((engine) => engine !== lost);
      const plan = planRanges(left, MODEL, true);
      const filled = apply(left, plan);
      expect(findGaps(filled, MODEL)).to.deep.equal([]);
      filled.forEach(({ memoryBytes, held }) => {
        const bytes = held ? (held.end - held.first) * MODEL.layerBytes : 0;
        expect(bytes).to.be.at.most(0.85 * memoryBytes);
      });
      const moved = filled.filter(({ held }, i) => held !== left[i]?.held);
      const isLarge = lost.memoryBytes > 40 * GB;
      expect(moved.length).to.be.at.most(isLarge ? left.length : 6);
    });
  });

  it('changes held ranges only if permitted when no spare engine can take the missing layers', () => {
    const engines = createEngines();
    const placed = apply(engines, planRanges(engines, MODEL, true));
    const left = placed.slice(0, -1);
    expect(planRanges(left, MODEL, false)).to.equal(null);
    const recut = apply(left, planRanges(left, MODEL, true));
    expect(findGaps(recut, MODEL)).to.deep.equal([]);
  });

  it('plans nothing if the engines cannot hold the model', () => {
    expect(planRanges(createEngines([14.4, 14.4]), MODEL, true)).to.equal(null);
    expect(planRanges([], MODEL, true)).to.equal(null);
  });
});
