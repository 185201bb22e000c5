/**
 * Health of engines as observed by this instance: ejection by errors and by latency outlier detection,
 * probes after an ejection, slow start, and ejection of engines in a crash loop.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface EngineHealth {
  readonly bootId: string | null;
  /** Time at which the slow start began; the engine's share grows from then on. */
  readonly slowStartSince: Millis;
  /** Failures attributed to it since its last success. */
  readonly failures: number;
  /** Exponentially smoothed time between tokens of its calls. */
  readonly gap: Millis;
  /** Number of samples in `gap`. */
  readonly gapCount: number;
  /** End of the ejection, after which it is probed; null while it is not ejected. */
  readonly ejectedUntil: Millis | null;
  /** Consecutive ejections; each doubles the next ejection time. */
  readonly ejections: number;
  /** Recent restarts. */
  readonly restarts: readonly Millis[];
  /** Share of its usual speed at which it runs, where slow engines are found by `RoutingSlowness`; 1 if omitted. */
  readonly speed?: number;
}

export const NEW_HEALTH: EngineHealth = {
  bootId: null,
  slowStartSince: -Infinity,
  failures: 0,
  gap: 0,
  gapCount: 0,
  ejectedUntil: null,
  ejections: 0,
  restarts: [],
};

/** Share of a group of peers that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.34;
const FAILURES_TO_EJECT = 2;
const SLOW_RATIO = 1.8;
const MIN_GAP_SAMPLES = 6;
const GAP_SMOOTHING = 0.25;
const FIRST_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 60000;
const SLOW_START_MS = 10000;
const MIN_SHARE = 0.2;
const CRASH_WINDOW_MS = 120000;
const RESTARTS_TO_EJECT = 2;

/** Share of its capacity that an engine may use: 0 while it is ejected. */
export function getHealthShare(health: EngineHealth, ownCalls: number, now: Millis): number {
  if (health.ejectedUntil !== null) {
    // An engine whose ejection has expired is probed with one call at a time.
    return now >= health.ejectedUntil && ownCalls === 0 ? MIN_SHARE : 0;
  }
  const progress = (now - health.slowStartSince) / SLOW_START_MS;
  return Math.min(1, MIN_SHARE + (1 - MIN_SHARE) * Math.max(0, progress)) * (health.speed ?? 1);
}

/** Whether the engine is ejected and its probe is not due yet. */
export function isEjected(health: EngineHealth, now: Millis): boolean {
  return health.ejectedUntil !== null && now < health.ejectedUntil;
}

/** Records a successful call of the engine, which also counts as a passed probe. */
export function recordSuccess(health: EngineHealth, now: Millis): EngineHealth {
  if (health.ejectedUntil === null) {
    // A long enough time since the last slow start resets the ejection backoff.
    const isStable = now - health.slowStartSince > MAX_EJECTION_MS;
    return { ...health, failures: 0, ejections: isStable ? 0 : health.ejections };
  }
  // A call that started before the ejection does not show the engine's present state.
  return now < health.ejectedUntil
    ? health
    : { ...health, failures: 0, ejectedUntil: null, slowStartSince: now };
}

/** Records a failure attributed to the engine. `mayEject` says whether its group may lose it. */
export function recordFailure(health: EngineHealth, mayEject: boolean, now: Millis): EngineHealth {
  const failures = health.failures + 1;
  const next = { ...health, failures };
  const isProbe = health.ejectedUntil !== null && now >= health.ejectedUntil;
  return isProbe || (failures >= FAILURES_TO_EJECT && mayEject && health.ejectedUntil === null)
    ? eject(next, now)
    : next;
}

/** Records the time between tokens of a call that ran on the engine. */
export function recordGap(health: EngineHealth, gap: Millis): EngineHealth {
  const smoothed = health.gapCount === 0 ? gap : health.gap + GAP_SMOOTHING * (gap - health.gap);
  return { ...health, gap: smoothed, gapCount: health.gapCount + 1 };
}

/**
 * Whether the engine is far slower than its peers. A slow engine slows all of its chains, while other engines
 * are slow only in the chains that they share with it, so comparison with the peers' median identifies it.
 */
export function isOutlier(health: EngineHealth, peers: readonly EngineHealth[]): boolean {
  return health.gapCount >= MIN_GAP_SAMPLES && isSlow(health.gap, peers);
}

/** Whether a call on an engine that is due for a probe was still far slower than its peers. */
export function isFailedProbe(
  health: EngineHealth,
  gap: Millis,
  peers: readonly EngineHealth[],
  now: Millis,
): boolean {
  return health.ejectedUntil !== null && now >= health.ejectedUntil && isSlow(gap, peers);
}

function isSlow(gap: Millis, peers: readonly EngineHealth[]): boolean {
  const gaps = peers
    .filter(({ gapCount }) => gapCount >= MIN_GAP_SAMPLES)
    .map((peer) => peer.gap)
    .sort((a, b) => a - b);
  const median = gaps[Math.floor((gaps.length - 1) / 2)];
  return median !== undefined && gap > SLOW_RATIO * median;
}

/** Ejects the engine with exponential backoff and resets its measurements. */
export function eject(health: EngineHealth, now: Millis): EngineHealth {
  const duration = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.ejections);
  return {
    ...health,
    ejectedUntil: now + duration,
    ejections: health.ejections + 1,
    failures: 0,
    gap: 0,
    gapCount: 0,
  };
}

/** Records the boot id of an engine's process. An engine that keeps restarting is ejected. */
export function recordBoot(health: EngineHealth, bootId: string, now: Millis): EngineHealth {
  if (health.bootId === null) {
    return { ...health, bootId };
  }
  if (health.bootId === bootId) {
    return health;
  }
  const restarts = [...health.restarts.filter((at) => now - at < CRASH_WINDOW_MS), now];
  const restarted = {
    ...health,
    bootId,
    restarts,
    slowStartSince: now,
    failures: 0,
    gap: 0,
    gapCount: 0,
  };
  if (restarts.length >= RESTARTS_TO_EJECT) {
    return eject(restarted, now);
  }
  return { ...restarted, ejectedUntil: null };
}

/** Begins the slow start of an engine that joins a running group. */
export function beginSlowStart(health: EngineHealth, now: Millis): EngineHealth {
  return { ...health, slowStartSince: now };
}
