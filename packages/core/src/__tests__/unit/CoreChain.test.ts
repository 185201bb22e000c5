import { expect } from 'chai';
import { createChain } from '../../CoreChain.js';
import type { Stage } from '../../CoreChain.js';

const variant = { model: 'letters', version: 'v1', adapter: null };

function createStage(engine: string, first: number, end: number): Stage {
  return { engine, layers: { first, end } };
}

describe('CoreChain', () => {
  it('accepts stages that cover every layer once and in order', () => {
    const result = createChain(variant, 8, [createStage('a', 0, 3), createStage('b', 3, 8)]);
    expect(result.ok).to.equal(true);
  });

  // Guards against a response that is computed without some layers, or with some of them twice: engines load other
  // ranges between two load reports, and a chain is built from both reports with stages that are not contiguous.
  it('rejects gaps, overlaps, chains that are too short or too long, repeated engines and empty chains', () => {
    const kinds = [
      [createStage('a', 0, 3), createStage('b', 4, 8)],
      [createStage('a', 0, 3), createStage('b', 2, 8)],
      [createStage('a', 0, 3)],
      [createStage('a', 0, 9)],
      [createStage('a', 0, 3), createStage('a', 3, 8)],
      [],
    ].map((stages) => {
      const result = createChain(variant, 8, stages);
      return result.ok ? 'ok' : result.error.kind;
    });
    expect(kinds).to.deep.equal(['gap', 'overlap', 'short', 'long', 'repeated-engine', 'empty']);
  });
});
