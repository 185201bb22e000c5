/** What a chain is expected to cost a request, from own work, aged reports and links. */
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { EngineId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { RoutingState } from './RoutingState.js';
import { getOwnWork } from './RoutingState.js';

/** Age at which a report of others' work has lost two thirds of its weight. */
const REPORT_AGE_MS = 4000;

/** Calls that run on an engine, as expected now: own ones exactly, others' by the aged report. */
export function estimateCalls(state: RoutingState, engine: EngineId, now: Millis): number {
  const own = getOwnWork(state, engine).calls;
  const known = state.loads.get(engine);
  if (!known) {
    return own;
  }
  const reported = Math.max(0, known.load.running + known.load.queued - known.ownCalls);
  const trust = Math.exp(-Math.max(0, now - known.seenAt) / REPORT_AGE_MS);
  // Without news the others are expected to do as we do.
  const usual = own * (state.tuning.instanceCount - 1);
  return own + trust * reported + (1 - trust) * usual;
}

/** Engine time that one generated token costs, with its part of the prompt's prefill, in ms. */
export function getTokenCost(state: RoutingState, facts: EngineFacts, layers: LayerRange): Millis {
  const depth = layers.end - layers.first;
  const decode = depth / facts.decodeLayerTokensPerSecond;
  const prefill = (depth * state.tuning.promptTokensPerToken) / facts.prefillLayerTokensPerSecond;
  return (decode + prefill) * MILLIS_PER_SECOND;
}

/** Time between tokens that the engine alone would allow with its calls and one more. */
export function estimateTokenGap(
  state: RoutingState,
  facts: EngineFacts,
  layers: LayerRange,
  now: Millis,
): Millis {
  return (estimateCalls(state, facts.id, now) + 1) * getTokenCost(state, facts, layers);
}
