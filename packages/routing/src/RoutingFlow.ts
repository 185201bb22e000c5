/** Maximum flow through a graph of arcs with capacities, by Dinic's algorithm. */

/** A flow graph. Nodes are numbered from 0, arcs in the order in which they are added. */
export interface FlowGraph {
  addArc(from: number, to: number, capacity: number): number;
  /** Changes the capacity of an arc; its present flow stays. */
  setCapacity(arc: number, capacity: number): void;
  /** Adds the maximum additional flow from source to sink and returns it. */
  augment(source: number, sink: number): number;
  getFlow(arc: number): number;
}

const MIN_FLOW = 1e-7;

/** Creates an empty graph of `nodeCount` nodes. */
export function createFlowGraph(nodeCount: number): FlowGraph {
  // Half arc 2k is the forward direction of arc k, 2k + 1 its reverse; `residual` is the remaining capacity.
  const heads: number[] = [];
  const residual: number[] = [];
  const capacities: number[] = [];
  const outgoing: number[][] = Array.from({ length: nodeCount }, () => []);
  let level: Int32Array = new Int32Array(nodeCount);
  let nextArc: Int32Array = new Int32Array(nodeCount);

  function addHalfArc(from: number, to: number, capacity: number): void {
    outgoing[from]?.push(heads.length);
    heads.push(to);
    residual.push(capacity);
  }

  /** Sets each node's level to its distance from the source; false if the sink is unreachable. */
  function computeLevels(source: number, sink: number): boolean {
    level = new Int32Array(nodeCount).fill(-1);
    level[source] = 0;
    const queue = [source];
    for (const node of queue) {
      for (const arc of outgoing[node] ?? []) {
        const to = heads[arc] as number;
        if (level[to] === -1 && (residual[arc] as number) > MIN_FLOW) {
          level[to] = (level[node] as number) + 1;
          queue.push(to);
        }
      }
    }
    return level[sink] !== -1;
  }

  function pushFlow(node: number, sink: number, limit: number): number {
    if (node === sink) {
      return limit;
    }
    const arcs = outgoing[node] as number[];
    for (; (nextArc[node] as number) < arcs.length; nextArc[node] = (nextArc[node] as number) + 1) {
      const arc = arcs[nextArc[node] as number] as number;
      const to = heads[arc] as number;
      const available = residual[arc] as number;
      if (available > MIN_FLOW && level[to] === (level[node] as number) + 1) {
        const sent = pushFlow(to, sink, Math.min(limit, available));
        if (sent > MIN_FLOW) {
          residual[arc] = available - sent;
          // The two halves of an arc differ only in the last bit of their numbers.
          const reverseArc = arc % 2 === 0 ? arc + 1 : arc - 1;
          residual[reverseArc] = (residual[reverseArc] as number) + sent;
          return sent;
        }
      }
    }
    return 0;
  }

  return {
    addArc(from, to, capacity) {
      addHalfArc(from, to, capacity);
      addHalfArc(to, from, 0);
      capacities.push(capacity);
      return capacities.length - 1;
    },
    setCapacity(arc, capacity) {
      const before = capacities[arc] ?? 0;
      residual[2 * arc] = Math.max(0, (residual[2 * arc] ?? 0) + capacity - before);
      capacities[arc] = capacity;
    },
    augment(source, sink) {
      let total = 0;
      while (computeLevels(source, sink)) {
        nextArc = new Int32Array(nodeCount);
        for (
          let sent = pushFlow(source, sink, Infinity);
          sent > 0;
          sent = pushFlow(source, sink, Infinity)
        ) {
          total += sent;
        }
      }
      return total;
    },
    getFlow: (arc) => residual[2 * arc + 1] ?? 0,
  };
}
