/** Estimates a chain's cost for a request from own work, load reports weighted by age, caches and links. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { MILLIS_PER_SECOND, Priority } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth, getKvTokens, getOwnWork, getPoolCalls } from './RoutingCalls.js';
import { getHealthShare } from './RoutingHealth.js';
import type { LinkCost } from './RoutingLinks.js';
import { estimatePrefillDelay, estimatePrefillWait } from './RoutingPrefill.js';
import type { PrefixKey } from './RoutingPrefixes.js';
import { estimateCachedTokens } from './RoutingPrefixes.js';
import type { RoutingState } from './RoutingTypes.js';

/** Requirements of a request on its chain. */
export interface ChainQuery {
  readonly variant: ModelVariant;
  readonly layerCount: number;
  /** Domain of the instance that selects the chain. */
  readonly domain: DomainId;
  readonly priority: PriorityName;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Answer tokens for which memory is reserved, if fewer than `maxTokens`. */
  readonly answerTokens?: number;
  /** Ordered from the shortest prefix to the longest. */
  readonly prefixKeys: readonly PrefixKey[];
  /** Whether the caller already has part of the answer, which raises the limits on load and cross-domain calls. */
  readonly isBegun?: boolean;
  /** Engines that must not be used, such as those that just failed this request. */
  readonly avoidEngines: ReadonlySet<EngineId>;
  readonly now: Millis;
}

/** Expected cost of one engine for a request. */
export interface StageCost {
  /** Expected time between tokens of this engine alone, adjusted for its health; may be Infinity. */
  readonly gap: Millis;
  /** Time of one step with a full batch. */
  readonly step: Millis;
  /** Time to prefill the tokens that are not expected to be cached. */
  readonly prefill: Millis;
  /** Time for which the prompt waits until others before it are prefilled; 0 unless the model's memory is shared. */
  readonly wait: Millis;
  readonly cachedTokens: number;
  /** Expected contribution of the stage to the time of the answer, for comparing engines of one hop. */
  readonly weight: Millis;
}

/** Time constant of a load report's exponential decay: at this age it has lost two thirds of its weight. */
const REPORT_DECAY_MS = 4000;

/**
 * Weight of the wait for prefill relative to the rest of the answer's time. The target for the first token is far shorter than
 * an answer, so a delay of the same length misses it more often. docs/design/prompt-lengths.md compares other weights.
 */
const WAIT_WEIGHT = 3;

/** How far each priority may load an engine, as a share of the target time between tokens. */
const FILL_BY_PRIORITY: Readonly<Record<PriorityName, number>> = {
  [Priority.Low]: 0.96,
  [Priority.Normal]: 0.98,
  [Priority.High]: 1,
  [Priority.Urgent]: 1.02,
};

/** Maximum expected time between tokens of a chain that a request of this priority may use. */
export function getGapLimit(state: RoutingState, priority: PriorityName): Millis {
  return state.tuning.tokenGapMs * FILL_BY_PRIORITY[priority];
}

/**
 * Expected calls on an engine: own calls exactly, calls of other instances from the load report weighted by
 * its age. Since the report, each other instance is assumed to have added as many calls as this one: when
 * load rises, all see the same free capacity in the same stale report, and each would fill it alone.
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
  const reportWeight = Math.exp(-Math.max(0, now - known.seenAt) / REPORT_DECAY_MS);
  const othersCount = state.tuning.instanceCount - 1;
  const mirrored = (getPoolCalls(state, known.poolKey) - known.ownPoolCalls) * othersCount;
  const others =
    mirrored === 0
      ? reported
      : reported + mirrored * getPoolShare(state, facts, layers, known.poolKey);
  // As the report ages, the estimate approaches the own calls for each other instance.
  return own + reportWeight * Math.max(0, others) + (1 - reportWeight) * own * othersCount;
}

/**
 * Calls that other instances have added to an engine since its report if they chose as this one did: the
 * engine that ranks best here ranks best at all instances with the same report. Used for ranking only.
 */
function estimateMirroredCalls(state: RoutingState, engine: EngineId): number {
  const callsSinceReport =
    getOwnWork(state, engine).calls - (state.loads.get(engine)?.own.calls ?? 0);
  return Math.max(0, callsSinceReport) * (state.tuning.instanceCount - 1);
}

/** Expected share of an engine in the calls of its pool. */
function getPoolShare(
  state: RoutingState,
  facts: EngineFacts,
  layers: LayerRange,
  poolKey: string | null,
): number {
  const plannedRate = state.plans.get(poolKey ?? '')?.plan.tokensPerSecond ?? 0;
  const rate = MILLIS_PER_SECOND / getTokenCost(state, facts, layers);
  return plannedRate > 0 ? Math.min(1, rate / plannedRate) : 0;
}

/** Prompt tokens to prefill per generated token, from the observed workload mix. */
export function getPromptTokensPerToken({ mix }: RoutingState): number {
  return mix.answerTokens > 0 ? mix.promptTokens / mix.answerTokens : 0;
}

/** Engine time per generated token including its part of the prefill, in ms. */
export function getTokenCost(state: RoutingState, facts: EngineFacts, layers: LayerRange): Millis {
  const layerCount = layers.end - layers.first;
  const decode = layerCount / facts.decodeLayerTokensPerSecond;
  const prefill = (layerCount * getPromptTokensPerToken(state)) / facts.prefillLayerTokensPerSecond;
  return (decode + prefill) * MILLIS_PER_SECOND;
}

/** Expected cost of an engine for these layers and this request. */
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
  const layerCount = layers.end - layers.first;
  const cachedTokens = estimateCachedTokens(
    state.prefixes,
    ask.prefixKeys,
    facts.id,
    health.bootId,
    now,
  );
  const perPromptToken = (layerCount * MILLIS_PER_SECOND) / facts.prefillLayerTokensPerSecond;
  const prefill = Math.max(1, ask.promptTokens - cachedTokens) * perPromptToken;
  const cost = getTokenCost(state, facts, layers);
  const gap =
    share > 0 && hasMemory(state, ask, facts, layerCount) ? ((calls + 1) * cost) / share : Infinity;
  const step = (layerCount * facts.maxBatch * MILLIS_PER_SECOND) / facts.decodeLayerTokensPerSecond;
  const expectedCalls = calls + 1 + estimateMirroredCalls(state, facts.id);
  const wait = state.models.get(ask.variant.model)?.isMemoryShared
    ? estimatePrefillWait(state, { facts, layers, layerCount: ask.layerCount, calls }, now)
    : 0;
  // A prefill delays every call on the engine, so it counts once per call.
  const weight =
    (gap / (calls + 1)) * expectedCalls * ask.maxTokens +
    estimatePrefillDelay(prefill, expectedCalls) +
    wait * WAIT_WEIGHT;
  return { gap, step, prefill, wait, cachedTokens, weight };
}

/** Time that a link adds between tokens, and before the first one. */
export function estimateTransfer(
  link: LinkCost,
  activationBytes: number,
  promptTokens: number,
): { readonly gap: Millis; readonly prefill: Millis } {
  const perToken = (activationBytes * MILLIS_PER_SECOND) / link.bytesPerSecond;
  return { gap: link.delayMs + perToken, prefill: link.delayMs + perToken * promptTokens };
}

/** Whether the KV cache is expected to have room, by the last report and the own calls since. */
function hasMemory(
  state: RoutingState,
  ask: ChainQuery,
  facts: EngineFacts,
  layerCount: number,
): boolean {
  const known = state.loads.get(facts.id);
  if (!known) {
    return true;
  }
  const addedLayerTokens = (getOwnWork(state, facts.id).kvTokens - known.own.kvTokens) * layerCount;
  const freeLayerTokens = (1 - known.load.kvUsed) * facts.kvLayerTokens - addedLayerTokens;
  return freeLayerTokens >= getKvTokens(ask) * layerCount;
}
