/** What a chain is expected to cost a request, from own work, aged reports, caches and links. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { MILLIS_PER_SECOND, Priority } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth, getKvTokens, getOwnWork, getPoolCalls } from './RoutingCalls.js';
import { getHealthShare } from './RoutingHealth.js';
import type { LinkCost } from './RoutingLinks.js';
import type { PrefixKey } from './RoutingPrefixes.js';
import { estimateCachedTokens } from './RoutingPrefixes.js';
import type { RoutingState } from './RoutingTypes.js';

/** What a request needs of a chain. */
export interface ChainQuery {
  readonly variant: ModelVariant;
  readonly layerCount: number;
  /** Domain of the instance that asks. */
  readonly domain: DomainId;
  readonly priority: PriorityName;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens of the answer for which memory is reckoned, where fewer than all. */
  readonly answerTokens?: number;
  /** From the shortest prefix to the longest. */
  readonly prefixKeys: readonly PrefixKey[];
  /** Whether a caller has part of the answer: it may use all that another domain lends. */
  readonly isBegun?: boolean;
  /** Engines not to be used, such as those that have just failed this request. */
  readonly avoidEngines: ReadonlySet<EngineId>;
  readonly now: Millis;
}

/** What one engine would cost a request. */
export interface StageCost {
  /** Time between tokens that the engine alone would allow, its health counted in; may be Infinity. */
  readonly gap: Millis;
  /** Time of one full step. */
  readonly step: Millis;
  /** Time to prefill what is not expected to be cached. */
  readonly prefill: Millis;
  readonly cachedTokens: number;
  /** Share of the answer's time that the stage is expected to cost, to compare engines of one hop. */
  readonly weight: Millis;
}

/** Age at which a report of others' work has lost two thirds of its weight. */
const REPORT_AGE_MS = 4000;

/** How far each priority may fill an engine, as a share of the time between tokens aimed at. */
const FILL_BY_PRIORITY: Readonly<Record<PriorityName, number>> = {
  [Priority.Low]: 0.96,
  [Priority.Normal]: 0.98,
  [Priority.High]: 1,
  [Priority.Urgent]: 1.02,
};

/** Longest time between tokens that a request may find on a chain that it joins. */
export function getGapLimit(state: RoutingState, priority: PriorityName): Millis {
  return state.tuning.tokenGapMs * FILL_BY_PRIORITY[priority];
}

/**
 * Calls that run on an engine, as expected now: own ones exactly, others' by the aged report. Since the
 * report the other instances are taken to have done as we did: when load rises, all of them see the
 * same room in the same late report, and each would fill it alone.
 */
export function estimateCalls(
  state: RoutingState,
  facts: EngineFacts,
  layers: LayerRange,
  now: Millis,
): number {
  const own = getOwnWork(state, facts.id).calls;
  const known = state.loads.get(facts.id);
  if (!known) {
    return own;
  }
  const { running, queued } = known.load;
  const reported = Math.max(0, running + queued - known.own.calls);
  const trust = Math.exp(-Math.max(0, now - known.seenAt) / REPORT_AGE_MS);
  const othersCount = state.tuning.instanceCount - 1;
  const joined = (getPoolCalls(state, known.poolKey) - known.ownPoolCalls) * othersCount;
  const others =
    joined === 0 ? reported : reported + joined * getPoolShare(state, facts, layers, known.poolKey);
  // Without news the others are expected to have as many as we have.
  return own + trust * Math.max(0, others) + (1 - trust) * own * othersCount;
}

/**
 * Calls that the other instances may have put on an engine since its report, if they chose as we did.
 * It only ranks engines: an engine that looked best to us looked best to all who read the same report.
 */
function estimateFollowers(state: RoutingState, engine: EngineId): number {
  const since = getOwnWork(state, engine).calls - (state.loads.get(engine)?.own.calls ?? 0);
  return Math.max(0, since) * (state.tuning.instanceCount - 1);
}

/** Share of its pool's calls that an engine is expected to get. */
function getPoolShare(
  state: RoutingState,
  facts: EngineFacts,
  layers: LayerRange,
  poolKey: string | null,
): number {
  const planned = state.plans.get(poolKey ?? '')?.plan.tokensPerSecond ?? 0;
  const rate = MILLIS_PER_SECOND / getTokenCost(state, facts, layers);
  return planned > 0 ? Math.min(1, rate / planned) : 0;
}

/** Prompt tokens to prefill for each generated token, as calls have shown it. */
export function getPromptTokensPerToken({ mix }: RoutingState): number {
  return mix.answerTokens > 0 ? mix.promptTokens / mix.answerTokens : 0;
}

/** Engine time that one generated token costs, with its part of the prompt's prefill, in ms. */
export function getTokenCost(state: RoutingState, facts: EngineFacts, layers: LayerRange): Millis {
  const depth = layers.end - layers.first;
  const decode = depth / facts.decodeLayerTokensPerSecond;
  const prefill = (depth * getPromptTokensPerToken(state)) / facts.prefillLayerTokensPerSecond;
  return (decode + prefill) * MILLIS_PER_SECOND;
}

/** What the engine would cost this ask for these layers. */
export function estimateStage(
  state: RoutingState,
  ask: ChainQuery,
  facts: EngineFacts,
  layers: LayerRange,
): StageCost {
  const { now } = ask;
  const health = getHealth(state, facts.id);
  const own = getOwnWork(state, facts.id);
  const share = getHealthShare(health, own.calls, now);
  const calls = estimateCalls(state, facts, layers, now);
  const depth = layers.end - layers.first;
  const cachedTokens = estimateCachedTokens(
    state.prefixes,
    ask.prefixKeys,
    facts.id,
    health.bootId,
    now,
  );
  const perPromptToken = (depth * MILLIS_PER_SECOND) / facts.prefillLayerTokensPerSecond;
  const prefill = Math.max(1, ask.promptTokens - cachedTokens) * perPromptToken;
  const cost = getTokenCost(state, facts, layers);
  const gap =
    share > 0 && hasMemory(state, ask, facts, depth) ? ((calls + 1) * cost) / share : Infinity;
  const step = (depth * facts.maxBatch * MILLIS_PER_SECOND) / facts.decodeLayerTokensPerSecond;
  const crowd = calls + 1 + estimateFollowers(state, facts.id);
  // A prefill holds up every call of the engine, so it weighs as many times as there are calls.
  const weight = (gap / (calls + 1)) * crowd * ask.maxTokens + prefill * crowd;
  return { gap, step, prefill, cachedTokens, weight };
}

/** Time that a link adds between tokens, and to the first one. */
export function estimateTransfer(
  link: LinkCost,
  activationBytes: number,
  promptTokens: number,
): { readonly gap: Millis; readonly prefill: Millis } {
  const perToken = (activationBytes * MILLIS_PER_SECOND) / link.bytesPerSecond;
  return { gap: link.delayMs + perToken, prefill: link.delayMs + perToken * promptTokens };
}

/** Whether the KV cache is expected to have room, by the last report and our own calls since. */
function hasMemory(
  state: RoutingState,
  ask: ChainQuery,
  facts: EngineFacts,
  depth: number,
): boolean {
  const known = state.loads.get(facts.id);
  if (!known) {
    return true;
  }
  const since = (getOwnWork(state, facts.id).kvTokens - known.own.kvTokens) * depth;
  const free = (1 - known.load.kvUsed) * facts.kvLayerTokens - since;
  return free >= getKvTokens(ask) * depth;
}
