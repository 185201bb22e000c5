/** Fleets and workloads of the throughput bench: those of two firms, and one with mixed accelerators. */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, Holding } from '@skylarksail/core/CoreEngine';
import { EngineDuty } from '@skylarksail/core/CoreEngine';
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import type { LinkFacts } from '@skylarksail/routing/RoutingLinks';

export interface BenchEngine {
  readonly facts: EngineFacts;
  readonly holding: Holding;
}

/** A kind of request. Lengths are drawn uniformly between 0.5 and 1.5 times the mean. */
export interface BenchRequestKind {
  readonly name: string;
  /** Share of all requests. */
  readonly share: number;
  readonly priority: PriorityName;
  /** Prompt tokens that all requests of one template share. */
  readonly prefixTokens: number;
  /** Mean number of prompt tokens after the shared prefix. */
  readonly ownTokens: number;
  readonly answerTokens: number;
  readonly templates: number;
}

export interface BenchShape {
  readonly name: string;
  readonly layerCount: number;
  readonly engines: readonly BenchEngine[];
  readonly links: readonly LinkFacts[];
  readonly domains: readonly string[];
  readonly instancesPerDomain: number;
  readonly work: readonly BenchRequestKind[];
}

interface Accelerator {
  readonly name: string;
  readonly decode: number;
  readonly prefillFactor: number;
  readonly maxBatch: number;
  readonly kvLayerTokens: number;
}

export const BENCH_VARIANT = { model: 'writer', version: 'v1', adapter: null };
export const BENCH_ACTIVATION_BYTES = 16384;
const DOMAINS = ['d1', 'd2', 'd3'];
const LAYER_COUNT = 48;

const LARGE: Accelerator = {
  name: 'large',
  decode: 32000,
  prefillFactor: 14,
  maxBatch: 24,
  kvLayerTokens: 1.2e6,
};
const MEDIUM: Accelerator = {
  name: 'medium',
  decode: 21300,
  prefillFactor: 12,
  maxBatch: 16,
  kvLayerTokens: 8e5,
};
const SMALL: Accelerator = {
  name: 'small',
  decode: 9100,
  prefillFactor: 10,
  maxBatch: 8,
  kvLayerTokens: 4e5,
};
const OLD: Accelerator = {
  name: 'old',
  decode: 6400,
  prefillFactor: 8,
  maxBatch: 6,
  kvLayerTokens: 3e5,
};

const FAST_LINK = { bytesPerSecond: 2e9, delayMs: 0.05 };
const DOMAIN_LINK = { bytesPerSecond: 2e8, delayMs: 0.4 };
const SLOW_LINK = { bytesPerSecond: 2e7, delayMs: 0.3 };

const SAFFRON_WORK: readonly BenchRequestKind[] = [
  createWork('letter', 0.4, 'low', 220, 80, 180, 6),
  createWork('question', 0.4, 'high', 120, 60, 90, 4),
  createWork('note', 0.2, 'normal', 150, 90, 120, 4),
];

const CASCADE_WORK: readonly BenchRequestKind[] = [
  createWork('summary', 0.4, 'normal', 300, 160, 240, 5),
  createWork('bulletin', 0.3, 'low', 250, 80, 160, 5),
  createWork('quote', 0.3, 'urgent', 80, 30, 24, 3),
];

export function createBenchShapes(): readonly BenchShape[] {
  return [createSaffronShape(), createCascadeShape(), createMixedShape()];
}

/** Three domains with two kinds of accelerators; the model is split into three stages. */
function createSaffronShape(): BenchShape {
  const kinds = [MEDIUM, MEDIUM, SMALL, MEDIUM, SMALL];
  return {
    name: 'saffron',
    layerCount: LAYER_COUNT,
    engines: DOMAINS.flatMap((domain, i) => assignEngines(domain, kinds, i === 0 ? 14 : 13)),
    links: [{ from: '*', to: '*', ...FAST_LINK }, ...createDomainLinks()],
    domains: DOMAINS,
    instancesPerDomain: 2,
    work: SAFFRON_WORK,
  };
}

/** Three domains with three kinds of accelerators and three stages; one domain is larger than the others. */
function createCascadeShape(): BenchShape {
  const kinds = [LARGE, MEDIUM, SMALL, MEDIUM, SMALL];
  return {
    name: 'cascade',
    layerCount: LAYER_COUNT,
    engines: DOMAINS.flatMap((domain, i) => assignEngines(domain, kinds, i === 0 ? 16 : 12)),
    links: [{ from: '*', to: '*', ...FAST_LINK }, ...createDomainLinks()],
    domains: DOMAINS,
    instancesPerDomain: 2,
    work: CASCADE_WORK,
  };
}

/**
 * Four kinds of accelerators with different layer ranges: large engines hold half of the model, the
 * others a quarter. The last rack of each domain is behind a link that is a hundred times slower.
 */
function createMixedShape(): BenchShape {
  const half = [range(0, 24), range(24, 48)];
  const quarter = [range(0, 12), range(12, 24), range(24, 36), range(36, 48)];
  const engines = DOMAINS.flatMap((domain) => [
    ...half.map((layers, i) => createEngine(domain, 1, `large${i}`, LARGE, layers)),
    ...quarter.map((layers, i) => createEngine(domain, 1, `medium${i}`, MEDIUM, layers)),
    ...quarter.map((layers, i) => createEngine(domain, 2, `small${i}`, SMALL, layers)),
    ...quarter.map((layers, i) => createEngine(domain, 3, `old${i}`, OLD, layers)),
  ]);
  const slow = DOMAINS.map((domain) => ({ from: `${domain}-r3`, to: '*', ...SLOW_LINK }));
  return {
    name: 'mixed',
    layerCount: LAYER_COUNT,
    engines,
    links: [{ from: '*', to: '*', ...FAST_LINK }, ...createDomainLinks(), ...slow],
    domains: DOMAINS,
    instancesPerDomain: 2,
    work: CASCADE_WORK,
  };
}

/**
 * Spreads the engines of a domain over three racks, fastest first. Each gets the layer range with the
 * lowest total decode rate so far.
 */
function assignEngines(
  domain: string,
  kinds: readonly Accelerator[],
  count: number,
): readonly BenchEngine[] {
  const ranges = [range(0, 16), range(16, 32), range(32, 48)];
  const rates = ranges.map(() => 0);
  const chosen = Array.from({ length: count }, (_, i) => kinds[i % kinds.length] as Accelerator);
  const fastestFirst = chosen.sort((a, b) => b.decode - a.decode);
  return fastestFirst.map((kind, i) => {
    const lowest = rates.indexOf(Math.min(...rates));
    rates[lowest] = (rates[lowest] ?? 0) + kind.decode;
    return createEngine(domain, (i % 3) + 1, `e${i}`, kind, ranges[lowest] as LayerRange);
  });
}

function createEngine(
  domain: string,
  rack: number,
  name: string,
  kind: Accelerator,
  layers: LayerRange,
): BenchEngine {
  return {
    facts: {
      id: `${domain}-${name}`,
      domain,
      rack: `${domain}-r${rack}`,
      address: { host: '127.0.0.1', port: 1 },
      accelerator: kind.name,
      decodeLayerTokensPerSecond: kind.decode,
      prefillLayerTokensPerSecond: kind.decode * kind.prefillFactor,
      weightBytes: 1e11,
      kvLayerTokens: kind.kvLayerTokens,
      maxBatch: kind.maxBatch,
    },
    holding: {
      model: BENCH_VARIANT.model,
      version: BENCH_VARIANT.version,
      adapters: [],
      layers,
      duty: EngineDuty.Mixed,
    },
  };
}

function createDomainLinks(): readonly LinkFacts[] {
  return DOMAINS.flatMap((from, i) =>
    DOMAINS.slice(i + 1).map((to) => ({ from, to, ...DOMAIN_LINK })),
  );
}

function createWork(
  name: string,
  share: number,
  priority: PriorityName,
  prefixTokens: number,
  ownTokens: number,
  answerTokens: number,
  templates: number,
): BenchRequestKind {
  return { name, share, priority, prefixTokens, ownTokens, answerTokens, templates };
}

function range(first: number, end: number): LayerRange {
  return { first, end };
}
