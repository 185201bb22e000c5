/**
 * Adaptive concurrency limit of this instance. The limit rises while it is reached and tokens are in time,
 * and falls when tokens are late or engines refuse requests. Each instance adapts independently; additive
 * increase with multiplicative decrease (AIMD) converges to equal shares.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** The limit, and the measurements of the current window. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Whether the limit has never been lowered; until then, each increase doubles it. */
  readonly isStarting: boolean;
  /** Lowest recent mean gap between tokens, an estimate for engines without contention. */
  readonly baseGap: Millis;
  readonly windowStart: Millis;
  readonly gaps: number;
  readonly gapSum: Millis;
  readonly lateGaps: number;
  readonly firstTokens: number;
  readonly lateFirstTokens: number;
  readonly refusals: number;
  readonly reached: boolean;
}

/** Bounds and targets of the limit. */
export interface LimitConfig {
  readonly initial: number;
  readonly least: number;
  readonly most: number;
  /** Target gap between tokens, to be met by 95 in 100 gaps. */
  readonly gapTarget: Millis;
  /** Target time from submission to first token, to be met by 95 in 100 requests. */
  readonly firstTokenTarget: Millis;
}

export const DEFAULT_LIMIT_CONFIG: LimitConfig = {
  initial: 128,
  least: 4,
  most: 4096,
  gapTarget: 78,
  firstTokenTarget: 2000,
};

const WINDOW: Millis = 500;
const LATE_SHARE = 0.05;
const DECREASE_FACTOR = 0.85;
const INCREASE_SHARE = 0.05;
/**
 * Gaps up to this multiple of the base gap are never late: engines that miss the target even without
 * contention would otherwise drive the limit to its minimum.
 */
const BASE_GAP_FACTOR = 1.6;
/** Share of the first-token target allowed between admission and first token; the rest is for queueing. */
const ADMITTED_TARGET_SHARE = 0.5;
/** Growth of the base gap per window, so that it can follow engines that become slower. */
const BASE_GAP_DRIFT = 1.02;
const MIN_SAMPLES = 20;

/** Creates the initial limit with an empty window. */
export function createConcurrencyLimit(cfg: LimitConfig, now: Millis): ConcurrencyLimit {
  return {
    limit: cfg.initial,
    isStarting: true,
    baseGap: Infinity,
    windowStart: now,
    gaps: 0,
    gapSum: 0,
    lateGaps: 0,
    firstTokens: 0,
    lateFirstTokens: 0,
    refusals: 0,
    reached: false,
  };
}

/** Records the gap between two tokens. */
export function noteGap(limit: ConcurrencyLimit, cfg: LimitConfig, gap: Millis): ConcurrencyLimit {
  const allowed = Number.isFinite(limit.baseGap)
    ? Math.max(cfg.gapTarget, limit.baseGap * BASE_GAP_FACTOR)
    : cfg.gapTarget;
  // Hot path, called for each token: listing the fields is many times faster than an object spread.
  return {
    limit: limit.limit,
    isStarting: limit.isStarting,
    baseGap: limit.baseGap,
    windowStart: limit.windowStart,
    gaps: limit.gaps + 1,
    gapSum: limit.gapSum + gap,
    lateGaps: limit.lateGaps + (gap > allowed ? 1 : 0),
    firstTokens: limit.firstTokens,
    lateFirstTokens: limit.lateFirstTokens,
    refusals: limit.refusals,
    reached: limit.reached,
  };
}

/** Records the time from admission to first token. */
export function noteFirstToken(
  limit: ConcurrencyLimit,
  cfg: LimitConfig,
  wait: Millis,
): ConcurrencyLimit {
  const isLate = wait > cfg.firstTokenTarget * ADMITTED_TARGET_SHARE;
  return {
    ...limit,
    firstTokens: limit.firstTokens + 1,
    lateFirstTokens: limit.lateFirstTokens + (isLate ? 1 : 0),
  };
}

/** Records that engines refused a request or had no memory for it. */
export function noteRefusal(limit: ConcurrencyLimit): ConcurrencyLimit {
  return { ...limit, refusals: limit.refusals + 1 };
}

/** Records that a request had to wait because of the limit. */
export function noteReached(limit: ConcurrencyLimit): ConcurrencyLimit {
  return limit.reached ? limit : { ...limit, reached: true };
}

/** Adjusts the limit at the end of each window. */
export function adaptLimit(
  limit: ConcurrencyLimit,
  cfg: LimitConfig,
  now: Millis,
): ConcurrencyLimit {
  if (now - limit.windowStart < WINDOW) {
    return limit;
  }
  const meanGap = limit.gaps > 0 ? limit.gapSum / limit.gaps : Infinity;
  const isLate =
    (limit.gaps >= MIN_SAMPLES && limit.lateGaps > LATE_SHARE * limit.gaps) ||
    (limit.firstTokens > 0 && limit.lateFirstTokens > LATE_SHARE * limit.firstTokens + 1);
  const isOverloaded = isLate || limit.refusals > LATE_SHARE * (limit.firstTokens + limit.refusals);
  return {
    ...createConcurrencyLimit(cfg, now),
    limit: computeNextLimit(limit, cfg, isOverloaded),
    isStarting: limit.isStarting && !isOverloaded,
    baseGap: Math.min(limit.baseGap * BASE_GAP_DRIFT, meanGap),
  };
}

function computeNextLimit(
  limit: ConcurrencyLimit,
  cfg: LimitConfig,
  isOverloaded: boolean,
): number {
  if (isOverloaded) {
    return Math.max(cfg.least, limit.limit * DECREASE_FACTOR);
  }
  if (!limit.reached) {
    return limit.limit;
  }
  const raised = limit.isStarting
    ? limit.limit * 2
    : limit.limit + Math.max(1, limit.limit * INCREASE_SHARE);
  return Math.min(cfg.most, raised);
}
