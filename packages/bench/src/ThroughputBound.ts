/**
 * Upper bound of the token rate that the hardware allows, by max-flow (shortest augmenting paths). It
 * shares no code with the router's planner, so that a fault in the planner cannot also distort the bound.
 *
 * Nodes are (boundary between layers, rack); an engine is an arc over its layers, a link an arc between
 * racks at one boundary. The bound assumes that every prefix is cached and that a link has its full
 * bandwidth at each boundary, so it can only be too high.
 */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { BenchEngine, BenchShape, BenchRequestKind } from './ThroughputShapes.js';
import { BENCH_ACTIVATION_BYTES } from './ThroughputShapes.js';

interface Arc {
  readonly to: string;
  capacity: number;
  reverse: Arc | null;
}

/** Means over the requests of a workload. */
export interface WorkloadMeans {
  readonly answerTokens: number;
  /** Prompt tokens that no cache can hold, per answer token. */
  readonly ownTokensPerToken: number;
  readonly promptTokensPerToken: number;
}

const SOURCE = 'source';
const SINK = 'sink';
const MIN_AUGMENT = 1e-6;

export function getWorkloadMeans(work: readonly BenchRequestKind[]): WorkloadMeans {
  const sum = (read: (w: BenchRequestKind) => number) =>
    work.reduce((total, w) => total + w.share * read(w), 0);
  const answerTokens = sum((w) => w.answerTokens);
  return {
    answerTokens,
    ownTokensPerToken: sum((w) => w.ownTokens) / answerTokens,
    promptTokensPerToken: sum((w) => w.ownTokens + w.prefixTokens) / answerTokens,
  };
}

/** Tokens per second of the whole fleet; `getRate` returns the bytes per second between two engines. */
export function computeBound(
  shape: BenchShape,
  getRate: (from: EngineFacts, to: EngineFacts) => number,
): number {
  const means = getWorkloadMeans(shape.work);
  const graph = new Map<string, Arc[]>();
  shape.engines.forEach((engine) => {
    const { first, end } = engine.holding.layers;
    const { rack } = engine.facts;
    addArc(graph, `${first}@${rack}`, `${end}@${rack}`, getTokenRate(engine, means));
  });
  const rackFacts = new Map(shape.engines.map(({ facts }) => [facts.rack, facts]));
  const boundaries = new Set(shape.engines.flatMap(({ holding }) => [holding.layers.end]));
  const bytesPerToken = BENCH_ACTIVATION_BYTES * (1 + means.ownTokensPerToken);
  for (const from of rackFacts.values()) {
    addArc(graph, SOURCE, `0@${from.rack}`, Infinity);
    addArc(graph, `${shape.layerCount}@${from.rack}`, SINK, Infinity);
    for (const to of rackFacts.values()) {
      if (to !== from) {
        const rate = getRate(from, to) / bytesPerToken;
        boundaries.forEach((b) => addArc(graph, `${b}@${from.rack}`, `${b}@${to.rack}`, rate));
      }
    }
  }
  return computeMaxFlow(graph);
}

/** Tokens per second of one engine at full batches, including the prefill of their requests. */
function getTokenRate({ facts, holding }: BenchEngine, means: WorkloadMeans): number {
  const depth = holding.layers.end - holding.layers.first;
  // The prefill produces the first token of an answer.
  const decode = (1 - 1 / means.answerTokens) / facts.decodeLayerTokensPerSecond;
  const prefill = means.ownTokensPerToken / facts.prefillLayerTokensPerSecond;
  return 1 / (depth * (decode + prefill));
}

function addArc(graph: Map<string, Arc[]>, from: string, to: string, capacity: number): void {
  const arc: Arc = { to, capacity, reverse: null };
  const reverse: Arc = { to: from, capacity: 0, reverse: arc };
  arc.reverse = reverse;
  graph.set(from, [...(graph.get(from) ?? []), arc]);
  graph.set(to, [...(graph.get(to) ?? []), reverse]);
}

function computeMaxFlow(graph: ReadonlyMap<string, readonly Arc[]>): number {
  let flow = 0;
  for (;;) {
    const path = findPath(graph);
    const amount = path ? Math.min(...path.map(({ capacity }) => capacity)) : 0;
    if (!path || amount < MIN_AUGMENT) {
      return flow;
    }
    path.forEach((arc) => augmentArc(arc, amount));
    flow += amount;
  }
}

function augmentArc(arc: Arc, amount: number): void {
  const { reverse } = arc;
  Object.assign(arc, { capacity: arc.capacity - amount });
  if (reverse) {
    reverse.capacity += amount;
  }
}

function findPath(graph: ReadonlyMap<string, readonly Arc[]>): readonly Arc[] | null {
  const arcsToNode = new Map<string, Arc | null>([[SOURCE, null]]);
  const queue = [SOURCE];
  for (const node of queue) {
    for (const arc of graph.get(node) ?? []) {
      if (arc.capacity > MIN_AUGMENT && !arcsToNode.has(arc.to)) {
        arcsToNode.set(arc.to, arc);
        queue.push(arc.to);
      }
    }
  }
  const path: Arc[] = [];
  for (let arc = arcsToNode.get(SINK); arc; arc = arcsToNode.get(arc.reverse?.to ?? SOURCE)) {
    path.unshift(arc);
  }
  return path.length > 0 ? path : null;
}
