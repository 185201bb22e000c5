/** Decides whether a slow stream moves off the engine that slows it. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import { RequestPhase } from './RequestMessages.js';
import type { RequestSpec } from './RequestTypes.js';
import { getPromptTokens } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import type { HasChainWithout } from './RunFailover.js';
import { findFailoverBlocker, FAILOVER_CHECK_PERIOD } from './RunFailover.js';

/** A stream is slow if its mean gap is more than this multiple of the usual gap. */
const SLOW_FACTOR = 2.5;
const MIN_SLOW_SAMPLES = 6;
/** Minimum time between the start of an attempt and its move, so that streams don't move repeatedly. */
const MIN_ATTEMPT_AGE: Millis = 300;
/** A move must save more than this multiple of its expected cost. */
const MIN_MOVE_GAIN = 2;

/** An engine is to blame if even its fastest stream has a gap above this multiple of the usual gap. */
const BLAME_FACTOR = 1.5;
/** Time after which a slow stream moves although none of its engines is slow: a link is slow. */
const SLOW_LINK_TIMEOUT: Millis = 600;
const MAX_MOVES = 4;

/** Whether a stream moves. */
export interface MoveDecision {
  /** Time since which it is slow, or time of the next check if it can't be replaced; null if it is not slow. */
  readonly slowSince: Millis | null;
  /** Engine to replace now; null if the stream stays. */
  readonly engine: EngineId | null;
}

/** Decides on a stream; `slowSince` comes from the previous decision. */
export function decideMove(
  shared: RouterShared,
  spec: RequestSpec,
  machine: RequestMachine,
  usualGap: Millis,
  slowSince: Millis | null,
  hasChainWithout: HasChainWithout,
): MoveDecision {
  const now = shared.deps.timers.now();
  const { pace, chain, tokenCount } = machine;
  const isSettled = pace.samples >= MIN_SLOW_SAMPLES && now - machine.openedAt >= MIN_ATTEMPT_AGE;
  const isSlow = pace.mean > Math.max(shared.deps.cfg.silence.leastSlowGap, usualGap * SLOW_FACTOR);
  // Limits concurrent moves: a move discards the stream's KV cache, and its prompt is prefilled again.
  const hasMoveCapacity =
    shared.recovery.countRunning() + shared.recovery.countWaiting() < MAX_MOVES;
  const isMovable = hasMoveCapacity && spec.idempotent && machine.phase === RequestPhase.Running;
  if (!chain || !isMovable || !isSettled || !isSlow) {
    return { slowSince: null, engine: null };
  }
  const since = slowSince ?? now;
  const tokensLeft = shared.meters.estimateLength(spec.model, spec.maxTokens) - tokenCount;
  const contextTokens = getPromptTokens(spec) + tokenCount;
  const cost = shared.meters.estimateFirstToken(spec.model, contextTokens);
  const isWorthwhile = tokensLeft * (pace.mean - usualGap) > MIN_MOVE_GAIN * cost;
  const slowest = shared.progress.findSlowest(chain, now);
  const isEngineToBlame = slowest !== null && slowest.bestGap > BLAME_FACTOR * usualGap;
  // The prefill of a move would only add to the load of a link that is known to be slow.
  const isLinkSlow = shared.deps.links?.isSlow(chain) ?? false;
  const isDue =
    !isLinkSlow && now >= since && (isEngineToBlame || now - since >= SLOW_LINK_TIMEOUT);
  if (!isWorthwhile || !isDue || !slowest) {
    return { slowSince: since, engine: null };
  }
  // If no other attempt is possible, an answer that is taken from its slow engine fails or stalls.
  const blocker = findFailoverBlocker(shared, spec, machine, [slowest.engine], hasChainWithout);
  return blocker === null
    ? { slowSince: since, engine: slowest.engine }
    : { slowSince: now + FAILOVER_CHECK_PERIOD, engine: null };
}
