/** Decides whether a slow stream is moved off the engine that slows it. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestMachine.js';
import { RequestPhase } from './RequestMessages.js';
import type { RequestSpec } from './RequestTypes.js';
import { estimatePromptTokens } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';

/** A stream is slow if its tokens come this many times as slowly as is usual. */
const SLOW_FACTOR = 2.5;
const SLOW_LEAST_GAP: Millis = 20;
const SLOW_SAMPLES = 6;
/** Least time between an attempt's start and its move, so that streams do not wander. */
const MOVE_AFTER: Millis = 300;
/** Moving must save this many times what it is expected to cost. */
const MOVE_GAIN = 2;

/** The engine to replace, or null if the stream is not slow or moving would not pay. */
export function decideMove(
  shared: RouterShared,
  spec: RequestSpec,
  machine: RequestMachine,
  usualGap: Millis,
): EngineId | null {
  const now = shared.deps.timers.now();
  const { pace, chain, tokenCount } = machine;
  const isSettled = pace.samples >= SLOW_SAMPLES && now - machine.openedAt >= MOVE_AFTER;
  const isSlow = pace.mean > Math.max(SLOW_LEAST_GAP, usualGap * SLOW_FACTOR);
  const isMovable = spec.idempotent && machine.phase === RequestPhase.Running;
  if (!chain || !isMovable || !isSettled || !isSlow) {
    return null;
  }
  const left = shared.meters.estimateLength(spec.model, spec.maxTokens) - tokenCount;
  const contextTokens = estimatePromptTokens(spec.prompt) + tokenCount;
  const cost = shared.meters.estimateFirstToken(spec.model, contextTokens);
  const pays = left * (pace.mean - usualGap) > MOVE_GAIN * cost;
  return pays ? shared.progress.findSlowest(chain, now) : null;
}
