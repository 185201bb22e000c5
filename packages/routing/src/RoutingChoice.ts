/** Chooses the chain that a request runs on. Pure: state, ask and random numbers in, choice out. */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import { createChain, formatChain } from '@skylarksail/core/CoreChain';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, EngineId, Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { coverLayers } from './RoutingCover.js';
import type { PoolMember } from './RoutingPools.js';
import { getPool } from './RoutingPools.js';
import { estimateTokenGap } from './RoutingScore.js';
import type { RoutingState } from './RoutingState.js';

/** A prefix of a prompt that engines may have in their cache. */
export interface PrefixKey {
  readonly key: string;
  readonly tokens: number;
}

/** What a request needs of a chain. */
export interface ChainAsk {
  readonly variant: ModelVariant;
  readonly layerCount: number;
  /** Domain of the instance that asks. */
  readonly domain: DomainId;
  readonly priority: PriorityName;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** From the shortest prefix to the longest. */
  readonly prefixKeys: readonly PrefixKey[];
  /** Engines not to be used, such as those that have just failed this request. */
  readonly avoidEngines: ReadonlySet<EngineId>;
  readonly now: Millis;
}

/** A chain that was weighed, for the decision log. */
export interface ChainCandidate {
  readonly chain: string;
  /** Expected time to the end of the answer in ms; less is better. */
  readonly score: number;
  readonly reason: string;
}

export interface ChainChoice {
  readonly chain: Chain;
  readonly candidates: readonly ChainCandidate[];
  readonly crossedDomain: boolean;
}

/** Why no chain can be had. Nothing was sent, so the request is proven not to have run. */
export type RoutingRefusal =
  /** Engines hold the model, but all that could serve it are full. */
  | { readonly kind: 'no-capacity'; readonly retryAfter: Millis }
  /** No engine that can be reached holds the model, version and adapter. */
  | { readonly kind: 'model-not-held'; readonly retryAfter: Millis }
  /** Engines hold it, but leave a gap from this layer on. */
  | { readonly kind: 'layers-missing'; readonly layer: number; readonly retryAfter: Millis }
  /** Only other domains hold it, and they are cut off or lend no more. */
  | { readonly kind: 'cut-off'; readonly retryAfter: Millis };

const CANDIDATE_COUNT = 3;
const RETRY_AFTER_MS = 1000;

/** The chain with the least expected finish among few random ones, or why there is none. */
export function selectChain(
  state: RoutingState,
  ask: ChainAsk,
  random: Random,
): Result<ChainChoice, RoutingRefusal> {
  const members = selectMembers(state, ask, ask.domain);
  if (members.length === 0) {
    return createFailed({ kind: 'model-not-held', retryAfter: RETRY_AFTER_MS });
  }
  const found: { chain: Chain; score: number }[] = [];
  for (let i = 0; i < CANDIDATE_COUNT; i++) {
    const stages = coverLayers(members, { first: 0, end: ask.layerCount }, (options) =>
      pickOfTwo(state, ask, options, random),
    );
    if (!stages) {
      return createFailed({ kind: 'layers-missing', layer: 0, retryAfter: RETRY_AFTER_MS });
    }
    const chain = buildChain(ask, stages);
    found.push({ chain, score: scoreChain(state, ask, chain) });
  }
  const best = found.reduce((a, b) => (b.score < a.score ? b : a));
  const gap = best.score / ask.maxTokens;
  if (gap > state.tuning.tokenGapMs) {
    return createFailed({ kind: 'no-capacity', retryAfter: RETRY_AFTER_MS });
  }
  const candidates = found.map(({ chain, score }) => ({
    chain: formatChain(chain),
    score,
    reason: 'least expected finish',
  }));
  return createOk({ chain: best.chain, candidates, crossedDomain: false });
}

/** Members of the domain's pool that may take new work of this ask. */
export function selectMembers(
  state: RoutingState,
  ask: ChainAsk,
  domain: DomainId,
): readonly PoolMember[] {
  const { adapter } = ask.variant;
  const pool = getPool(state.pools, ask.variant, domain);
  return (pool?.members ?? []).filter(
    ({ id, holding }) =>
      !state.leaving.has(id) &&
      !ask.avoidEngines.has(id) &&
      (adapter === null || holding.adapters.includes(adapter)),
  );
}

/** Of two random members the one that would keep the shorter time between tokens. */
export function pickOfTwo(
  state: RoutingState,
  ask: ChainAsk,
  options: readonly PoolMember[],
  random: Random,
): PoolMember {
  const a = options[random.nextInt(options.length)];
  const b = options[random.nextInt(options.length)];
  invariant(a && b, 'there is an option to pick');
  const gapA = estimateTokenGap(state, a.facts, a.holding.layers, ask.now);
  const gapB = estimateTokenGap(state, b.facts, b.holding.layers, ask.now);
  return gapB < gapA ? b : a;
}

/** Expected time to the end of the answer. */
export function scoreChain(state: RoutingState, ask: ChainAsk, chain: Chain): number {
  const gaps = chain.stages.map(({ engine, layers }) => {
    const facts = state.engines.get(engine);
    invariant(facts, 'a chosen engine is known');
    return estimateTokenGap(state, facts, layers, ask.now);
  });
  return ask.maxTokens * Math.max(...gaps);
}

/** A chain of stages that are known to cover the model. */
export function buildChain(ask: ChainAsk, stages: readonly Stage[]): Chain {
  const chain = createChain(ask.variant, ask.layerCount, stages);
  invariant(chain.ok, 'stages that cover the layers form a chain');
  return chain.value;
}
