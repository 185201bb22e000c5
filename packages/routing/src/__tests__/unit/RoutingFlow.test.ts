import { expect } from 'chai';
import fc from 'fast-check';
import { createFlowGraph } from '../../RoutingFlow.js';

interface TestArc {
  readonly from: number;
  readonly to: number;
  readonly capacity: number;
}

const NODES = 6;

/** Capacity of the minimum cut, by brute force over all sets of nodes on the source's side. */
function findMinimumCut(arcs: readonly TestArc[]): number {
  let least = Infinity;
  for (let side = 0; side < 2 ** NODES; side++) {
    const isInside = (node: number) => Math.floor(side / 2 ** node) % 2 === 1;
    if (isInside(0) && !isInside(1)) {
      const cut = arcs.filter(({ from, to }) => isInside(from) && !isInside(to));
      least = Math.min(
        least,
        cut.reduce((sum, { capacity }) => sum + capacity, 0),
      );
    }
  }
  return least;
}

describe('RoutingFlow', () => {
  it('finds a flow equal to the minimum cut, also if capacity is added later', () => {
    const node = fc.nat(NODES - 1);
    const arc = fc.record({ from: node, to: node, capacity: fc.nat(20) });
    fc.assert(
      fc.property(fc.array(arc, { maxLength: 16 }), fc.nat(16), (arcs, lateStart) => {
        const graph = createFlowGraph(NODES);
        const numbers = arcs.map(({ from, to, capacity }, i) =>
          graph.addArc(from, to, i < lateStart ? capacity : 0),
        );
        let total = graph.augment(0, 1);
        arcs.forEach(({ capacity }, i) => graph.setCapacity(numbers[i] ?? 0, capacity));
        total += graph.augment(0, 1);
        expect(total).to.equal(findMinimumCut(arcs));
        arcs.forEach(({ capacity }, i) =>
          expect(graph.getFlow(numbers[i] ?? 0)).to.be.within(0, capacity),
        );
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
