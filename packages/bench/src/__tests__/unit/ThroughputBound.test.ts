import { expect } from 'chai';
import { computeBound } from '../../ThroughputBound.js';
import { runThroughputBench } from '../../ThroughputBench.js';
import type { BenchShape } from '../../ThroughputShapes.js';
import { BENCH_ACTIVATION_BYTES, createBenchShapes } from '../../ThroughputShapes.js';

/** Two stages of two engines each in two racks, with a workload whose prompts are fully cached. */
function createTinyShape(): BenchShape {
  const [shape] = createBenchShapes();
  const [model] = shape?.engines ?? [];
  if (!shape || !model) {
    throw new Error('the bench has no shape with engines');
  }
  const engine = (rack: string, first: number, decode: number) => ({
    facts: { ...model.facts, id: `${rack}-${first}`, rack, decodeLayerTokensPerSecond: decode },
    holding: { ...model.holding, layers: { first, end: first + 10 } },
  });
  return {
    ...shape,
    layerCount: 20,
    engines: [
      engine('r1', 0, 1000),
      engine('r1', 10, 400),
      engine('r2', 0, 200),
      engine('r2', 10, 900),
    ],
    work: shape.work.slice(0, 1).map((w) => ({
      ...w,
      share: 1,
      ownTokens: 0,
      answerTokens: 1e9,
    })),
  };
}

describe('ThroughputBound', () => {
  it('equals the minimum cut of engines and links', () => {
    const shape = createTinyShape();
    // Stage one computes 100 + 20 tokens per second, stage two 40 + 90.
    expect(computeBound(shape, () => Infinity)).to.be.closeTo(120, 0.01);
    expect(computeBound(shape, () => 30 * BENCH_ACTIVATION_BYTES)).to.be.closeTo(90, 0.01);
    expect(computeBound(shape, () => 0)).to.be.closeTo(60, 0.01);
  });

  // Guards against a change to chain selection that loses a tenth of the throughput unnoticed: the whole
  // bench is only run by hand. This is a short run of its smallest shape; bounds are loose.
  it('stays near the bound, above the best baseline, with each layer run once in order', () => {
    const [line] = runThroughputBench({
      seed: 1,
      measuredMs: 1500,
      shapes: ['mixed'],
      baselines: ['least-loaded'],
    });
    expect(line?.ratio).to.be.greaterThan(0.85);
    expect(line?.ratio).to.be.lessThan(1.02);
    expect(line?.tbt_p95_ms).to.be.lessThan(80);
    expect(line?.ttft_p95_ms).to.be.lessThan(2000);
    expect(line?.layer_faults).to.equal(0);
    expect(Math.max(...Object.values(line?.baselines ?? {}))).to.be.lessThan(line?.ratio ?? 0);
  });
});
