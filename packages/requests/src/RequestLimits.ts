/**
 * How many requests may run at once through this instance. The limit follows the measured capacity:
 * it rises while it is reached and tokens come in time, and falls when they come late or engines refuse.
 * Each instance adapts alone; additive rise and multiplicative fall bring them to equal parts.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Limit with what was seen since it was last set. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Whether the limit has never had to fall: it doubles until then. */
  readonly isStarting: boolean;
  /** Least mean gap seen lately: what the engines do without crowding. */
  readonly baseGap: Millis;
  readonly windowStart: Millis;
  readonly gaps: number;
  readonly gapSum: Millis;
  readonly lateGaps: number;
  readonly firsts: number;
  readonly lateFirsts: number;
  readonly refusals: number;
  readonly reached: boolean;
}

/** Bounds and targets of the limit. */
export interface LimitConfig {
  readonly initial: number;
  readonly least: number;
  readonly most: number;
  /** Gap between tokens that 95 in 100 must keep. */
  readonly gapTarget: Millis;
  /** Time from submission to first token that 95 in 100 must keep. */
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
const FALL = 0.85;
const RISE_SHARE = 0.05;
/** Engines slower than the target by themselves must not drive the limit to nothing. */
const BASE_GAPS = 1.6;
/** Share of the first-token target that may pass between admission and first token. */
const ADMITTED_SHARE = 0.5;
const BASE_GAP_DRIFT = 1.02;
const LEAST_SAMPLES = 20;

/** The limit before anything was seen. */
export function createConcurrencyLimit(cfg: LimitConfig, now: Millis): ConcurrencyLimit {
  return {
    limit: cfg.initial,
    isStarting: true,
    baseGap: Infinity,
    windowStart: now,
    gaps: 0,
    gapSum: 0,
    lateGaps: 0,
    firsts: 0,
    lateFirsts: 0,
    refusals: 0,
    reached: false,
  };
}

/** Takes in the gap between two tokens. */
export function noteGap(limit: ConcurrencyLimit, cfg: LimitConfig, gap: Millis): ConcurrencyLimit {
  const allowed = Number.isFinite(limit.baseGap)
    ? Math.max(cfg.gapTarget, limit.baseGap * BASE_GAPS)
    : cfg.gapTarget;
  // Once a token: naming the fields is many times cheaper than a spread with some replaced.
  return {
    limit: limit.limit,
    isStarting: limit.isStarting,
    baseGap: limit.baseGap,
    windowStart: limit.windowStart,
    gaps: limit.gaps + 1,
    gapSum: limit.gapSum + gap,
    lateGaps: limit.lateGaps + (gap > allowed ? 1 : 0),
    firsts: limit.firsts,
    lateFirsts: limit.lateFirsts,
    refusals: limit.refusals,
    reached: limit.reached,
  };
}

/** Takes in the time from admission to first token. */
export function noteFirstToken(
  limit: ConcurrencyLimit,
  cfg: LimitConfig,
  wait: Millis,
): ConcurrencyLimit {
  const isLate = wait > cfg.firstTokenTarget * ADMITTED_SHARE;
  return {
    ...limit,
    firsts: limit.firsts + 1,
    lateFirsts: limit.lateFirsts + (isLate ? 1 : 0),
  };
}

/** Takes in that engines refused work, or had no memory for it. */
export function noteRefusal(limit: ConcurrencyLimit): ConcurrencyLimit {
  return { ...limit, refusals: limit.refusals + 1 };
}

/** Takes in that work waited because the limit was reached. */
export function noteReached(limit: ConcurrencyLimit): ConcurrencyLimit {
  return limit.reached ? limit : { ...limit, reached: true };
}

/** Sets the limit anew once a window is full. */
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
    (limit.gaps >= LEAST_SAMPLES && limit.lateGaps > LATE_SHARE * limit.gaps) ||
    (limit.firsts > 0 && limit.lateFirsts > LATE_SHARE * limit.firsts + 1);
  const isOver = isLate || limit.refusals > LATE_SHARE * (limit.firsts + limit.refusals);
  return {
    ...createConcurrencyLimit(cfg, now),
    limit: moveLimit(limit, cfg, isOver),
    isStarting: limit.isStarting && !isOver,
    baseGap: Math.min(limit.baseGap * BASE_GAP_DRIFT, meanGap),
  };
}

function moveLimit(limit: ConcurrencyLimit, cfg: LimitConfig, isOver: boolean): number {
  if (isOver) {
    return Math.max(cfg.least, limit.limit * FALL);
  }
  if (!limit.reached) {
    return limit.limit;
  }
  const risen = limit.isStarting
    ? limit.limit * 2
    : limit.limit + Math.max(1, limit.limit * RISE_SHARE);
  return Math.min(cfg.most, risen);
}
