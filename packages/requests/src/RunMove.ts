/** Decides whether a slow stream is moved off the engine that slows it. */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import { RequestPhase } from './RequestMessages.js';
import type { RequestSpec } from './RequestTypes.js';
import { getPromptTokens } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import type { HasChainWithout } from './RunFailover.js';
import { findFailoverBlocker, FAILOVER_CHECK_PERIOD } from './RunFailover.js';

/** A stream is slow if its tokens come this many times as slowly as is usual. */
const SLOW_FACTOR = 2.5;
const SLOW_SAMPLES = 6;
/** Least time between an attempt's start and its move, so that streams do not wander. */
const MOVE_AFTER: Millis = 300;
/** Moving must save this many times what it is expected to cost. */
const MOVE_GAIN = 2;

/** An engine is to blame if even its best stream is this many times as slow as is usual. */
const BLAME_FACTOR = 1.5;
/** Time after which a slow stream is moved though each of its engines does well: a link is slow. */
const LINK_PATIENCE: Millis = 600;
const MAX_MOVES = 4;

/** Whether a stream is to be moved. */
export interface MoveDecision {
  /** Since when it has been slow, or when to look at it next where nothing can follow it; null if it is not slow. */
  readonly slowSince: Millis | null;
  /** Engine to replace now; null if it stays. */
  readonly engine: EngineId | null;
}

/** Decides on a stream that was slow since `slowSince`. */
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
  const isSettled = pace.samples >= SLOW_SAMPLES && now - machine.openedAt >= MOVE_AFTER;
  const isSlow = pace.mean > Math.max(shared.deps.cfg.silence.leastSlowGap, usualGap * SLOW_FACTOR);
  // Few at a time: a stream gives up what it has, and its prompt is read again.
  const isRoom = shared.recovery.countRunning() + shared.recovery.countWaiting() < MAX_MOVES;
  const isMovable = isRoom && spec.idempotent && machine.phase === RequestPhase.Running;
  if (!chain || !isMovable || !isSettled || !isSlow) {
    return { slowSince: null, engine: null };
  }
  const since = slowSince ?? now;
  const left = shared.meters.estimateLength(spec.model, spec.maxTokens) - tokenCount;
  const contextTokens = getPromptTokens(spec) + tokenCount;
  const cost = shared.meters.estimateFirstToken(spec.model, contextTokens);
  const pays = left * (pace.mean - usualGap) > MOVE_GAIN * cost;
  const slowest = shared.progress.findSlowest(chain, now);
  const isClear = slowest !== null && slowest.bestGap > BLAME_FACTOR * usualGap;
  // Where it is known that a link is slow, a move by way of the same link would only add to its load.
  const isLinkSlow = shared.deps.links?.isSlow(chain) ?? false;
  const isDue = !isLinkSlow && now >= since && (isClear || now - since >= LINK_PATIENCE);
  if (!pays || !isDue || !slowest) {
    return { slowSince: since, engine: null };
  }
  // A slow answer that is moved where nothing can follow ends there, or stands still.
  const bar = findFailoverBlocker(shared, spec, machine, [slowest.engine], hasChainWithout);
  return bar === null
    ? { slowSince: since, engine: slowest.engine }
    : { slowSince: now + FAILOVER_CHECK_PERIOD, engine: null };
}
