/**
 * Estimates the prefill that is pending on an engine, and the time for which a new prompt waits for it. It responds to prompts
 * that arrive, for a moment, faster than an engine prefills them.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { getOwnWork } from './RoutingCalls.js';
import type { RoutingState } from './RoutingTypes.js';

/** Maximum number of prompt tokens that an engine prefills between two decode steps. */
export const CHUNK_TOKENS = 512;

/** An engine with its part of a model, and the number of calls that are expected on it. */
export interface PrefillStage {
  readonly facts: EngineFacts;
  readonly layers: LayerRange;
  /** Number of layers of the whole model. */
  readonly layerCount: number;
  readonly calls: number;
}

/** Prompt tokens of calls without a first token that an engine has yet to prefill. */
export interface PendingPrefill {
  /** Of this instance's calls. */
  readonly own: number;
  /** Of other instances' calls, as expected now. */
  readonly others: number;
}

/** Time in which an engine prefills a token; a decode step of its running calls follows each chunk. */
export function getPrefillTokenTime({ facts, layers, calls }: PrefillStage): Millis {
  const layerCount = layers.end - layers.first;
  const batch = Math.min(calls, facts.maxBatch);
  const prefill = layerCount / facts.prefillLayerTokensPerSecond;
  const step = (layerCount * batch) / facts.decodeLayerTokensPerSecond;
  return (prefill + step / CHUNK_TOKENS) * MILLIS_PER_SECOND;
}

/** Total time that the prefill of a prompt adds to the calls on an engine, both waiting and running ones. */
export function estimatePrefillDelay(prefill: Millis, calls: number): Millis {
  return prefill * calls;
}

/**
 * Prefill that is pending on an engine. Own prompts count in full until their first token. Other instances' reported prompts
 * have been prefilled in part at each engine, the more so at the first stages, and their weight falls to zero in the time in
 * which the engine prefills them. Each other instance is assumed to have sent at least as much as this one: instances with the
 * same report would otherwise choose the same engines, and an engine that stops would look as if it had prefilled everything.
 */
export function estimatePendingPrefill(
  state: RoutingState,
  stage: PrefillStage,
  now: Millis,
): PendingPrefill {
  const { facts, layers } = stage;
  const own = Math.max(0, getOwnWork(state, facts.id).prefillTokens);
  const known = state.loads.get(facts.id);
  if (!known) {
    return { own, others: 0 };
  }
  const ownAtReport = known.own.prefillTokens;
  const reported = (known.load.prefillTokens ?? 0) - ownAtReport;
  const mirrored = own * (state.tuning.instanceCount - 1);
  // Prompts that wait hold memory as well, which bounds their number.
  const maxTokens = facts.kvLayerTokens / (layers.end - layers.first);
  // The negated comparison also holds for NaN.
  if (!(reported > 0)) {
    return { own, others: Math.min(maxTokens, mirrored) };
  }
  const remainingShare = (layers.first + layers.end) / (2 * stage.layerCount);
  const left = Math.min(maxTokens, reported) * remainingShare;
  const prefillTime = (left + ownAtReport * remainingShare) * getPrefillTokenTime(stage);
  const weight = Math.max(0, 1 - Math.max(0, now - known.seenAt) / prefillTime);
  return { own, others: Math.min(maxTokens, Math.max(weight * left, mirrored)) };
}

/** Time for which a new prompt waits at an engine until the prompts before it are prefilled. */
export function estimatePrefillWait(state: RoutingState, stage: PrefillStage, now: Millis): Millis {
  const { own, others } = estimatePendingPrefill(state, stage, now);
  return (own + others) * getPrefillTokenTime(stage);
}
