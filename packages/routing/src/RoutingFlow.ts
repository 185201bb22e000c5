/** Maximum flow through a graph of arcs with capacities, by Dinic's algorithm. */

/** A graph whose nodes are numbers from 0. Its arcs are numbered in the order in which they are added. */
export interface FlowGraph {
  addArc(from: number, to: number, capacity: number): number;
  /** Changes the capacity of an arc; flow that it already carries stays. */
  setCapacity(arc: number, capacity: number): void;
  /** Sends as much more as fits from source to sink; gives what was added. */
  augment(source: number, sink: number): number;
  getFlow(arc: number): number;
}

const LEAST_FLOW = 1e-7;

/** Creates an empty graph of `nodeCount` nodes. */
export function createFlowGraph(nodeCount: number): FlowGraph {
  // Arc 2k goes forward and arc 2k + 1 back; `rest` is what each can still carry.
  const heads: number[] = [];
  const rest: number[] = [];
  const capacities: number[] = [];
  const leaving: number[][] = Array.from({ length: nodeCount }, () => []);
  let level: Int32Array = new Int32Array(nodeCount);
  let nextArc: Int32Array = new Int32Array(nodeCount);

  function addHalf(from: number, to: number, capacity: number): void {
    leaving[from]?.push(heads.length);
    heads.push(to);
    rest.push(capacity);
  }

  /** Numbers nodes by their distance from the source; false if the sink cannot be reached. */
  function levelNodes(source: number, sink: number): boolean {
    level = new Int32Array(nodeCount).fill(-1);
    level[source] = 0;
    const queue = [source];
    for (const node of queue) {
      for (const arc of leaving[node] ?? []) {
        const to = heads[arc] as number;
        if (level[to] === -1 && (rest[arc] as number) > LEAST_FLOW) {
          level[to] = (level[node] as number) + 1;
          queue.push(to);
        }
      }
    }
    return level[sink] !== -1;
  }

  function push(node: number, sink: number, limit: number): number {
    if (node === sink) {
      return limit;
    }
    const arcs = leaving[node] as number[];
    for (; (nextArc[node] as number) < arcs.length; nextArc[node] = (nextArc[node] as number) + 1) {
      const arc = arcs[nextArc[node] as number] as number;
      const to = heads[arc] as number;
      const open = rest[arc] as number;
      if (open > LEAST_FLOW && level[to] === (level[node] as number) + 1) {
        const sent = push(to, sink, Math.min(limit, open));
        if (sent > LEAST_FLOW) {
          rest[arc] = open - sent;
          // Arcs are numbered in pairs, so the partner differs in the last bit.
          const partner = arc % 2 === 0 ? arc + 1 : arc - 1;
          rest[partner] = (rest[partner] as number) + sent;
          return sent;
        }
      }
    }
    return 0;
  }

  return {
    addArc(from, to, capacity) {
      addHalf(from, to, capacity);
      addHalf(to, from, 0);
      capacities.push(capacity);
      return capacities.length - 1;
    },
    setCapacity(arc, capacity) {
      const before = capacities[arc] ?? 0;
      rest[2 * arc] = Math.max(0, (rest[2 * arc] ?? 0) + capacity - before);
      capacities[arc] = capacity;
    },
    augment(source, sink) {
      let total = 0;
      while (levelNodes(source, sink)) {
        nextArc = new Int32Array(nodeCount);
        for (
          let sent = push(source, sink, Infinity);
          sent > 0;
          sent = push(source, sink, Infinity)
        ) {
          total += sent;
        }
      }
      return total;
    },
    getFlow: (arc) => rest[2 * arc + 1] ?? 0,
  };
}
