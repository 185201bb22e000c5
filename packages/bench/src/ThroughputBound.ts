/**
 * The most tokens a second that the hardware allows, by max-flow (shortest augmenting paths). It shares
 * no code with the router's planner, so that a mistake there cannot hide itself here.
 *
 * Nodes are (boundary between layers, rack); an engine is an arc over its layers, a link an arc between
 * racks at one boundary. Every prefix is taken as cached, and a link as free for each boundary anew, so
 * the bound errs only upwards.
 */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { BenchEngine, BenchShape, BenchRequestKind } from './ThroughputShapes.js';
import { BENCH_ACTIVATION_BYTES } from './ThroughputShapes.js';

interface Arc {
  readonly to: string;
  capacity: number;
  back: Arc | null;
}

/** Means over a workload. */
export interface WorkloadMeans {
  readonly answerTokens: number;
  /** Prompt tokens that no cache can hold, for each token of answer. */
  readonly ownTokensPerToken: number;
  readonly promptTokensPerToken: number;
}

const SOURCE = 'source';
const SINK = 'sink';
const LEAST_AUGMENT = 1e-6;

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

/** Tokens a second of the whole fleet; `getRate` gives bytes a second between two engines. */
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
  const places = new Map(shape.engines.map(({ facts }) => [facts.rack, facts]));
  const boundaries = new Set(shape.engines.flatMap(({ holding }) => [holding.layers.end]));
  const bytes = BENCH_ACTIVATION_BYTES * (1 + means.ownTokensPerToken);
  for (const from of places.values()) {
    addArc(graph, SOURCE, `0@${from.rack}`, Infinity);
    addArc(graph, `${shape.layerCount}@${from.rack}`, SINK, Infinity);
    for (const to of places.values()) {
      if (to !== from) {
        const rate = getRate(from, to) / bytes;
        boundaries.forEach((b) => addArc(graph, `${b}@${from.rack}`, `${b}@${to.rack}`, rate));
      }
    }
  }
  return computeMaxFlow(graph);
}

/** Tokens a second of one engine at full batches, with the prefill that they bring. */
function getTokenRate({ facts, holding }: BenchEngine, means: WorkloadMeans): number {
  const depth = holding.layers.end - holding.layers.first;
  // The first token of an answer comes out of the prefill.
  const decode = (1 - 1 / means.answerTokens) / facts.decodeLayerTokensPerSecond;
  const prefill = means.ownTokensPerToken / facts.prefillLayerTokensPerSecond;
  return 1 / (depth * (decode + prefill));
}

function addArc(graph: Map<string, Arc[]>, from: string, to: string, capacity: number): void {
  const arc: Arc = { to, capacity, back: null };
  const back: Arc = { to: from, capacity: 0, back: arc };
  arc.back = back;
  graph.set(from, [...(graph.get(from) ?? []), arc]);
  graph.set(to, [...(graph.get(to) ?? []), back]);
}

function computeMaxFlow(graph: ReadonlyMap<string, readonly Arc[]>): number {
  let flow = 0;
  for (;;) {
    const path = findPath(graph);
    const amount = path ? Math.min(...path.map(({ capacity }) => capacity)) : 0;
    if (!path || amount < LEAST_AUGMENT) {
      return flow;
    }
    path.forEach((arc) => moveCapacity(arc, amount));
    flow += amount;
  }
}

function moveCapacity(arc: Arc, amount: number): void {
  const { back } = arc;
  Object.assign(arc, { capacity: arc.capacity - amount });
  if (back) {
    back.capacity += amount;
  }
}

function findPath(graph: ReadonlyMap<string, readonly Arc[]>): readonly Arc[] | null {
  const reached = new Map<string, Arc | null>([[SOURCE, null]]);
  const queue = [SOURCE];
  for (const node of queue) {
    for (const arc of graph.get(node) ?? []) {
      if (arc.capacity > LEAST_AUGMENT && !reached.has(arc.to)) {
        reached.set(arc.to, arc);
        queue.push(arc.to);
      }
    }
  }
  const path: Arc[] = [];
  for (let arc = reached.get(SINK); arc; arc = reached.get(arc.back?.to ?? SOURCE)) {
    path.unshift(arc);
  }
  return path.length > 0 ? path : null;
}
