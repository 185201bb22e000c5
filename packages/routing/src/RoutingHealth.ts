/**
 * Health of engines as this instance sees it: ejection by errors and by latency against peers, probing
 * back, slow start, and engines that crash again and again.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface EngineHealth {
  readonly bootId: string | null;
  /** Since when the engine takes work again; its share grows from then on. */
  readonly warmSince: Millis;
  /** Failures that were laid to it since its last success. */
  readonly failures: number;
  /** Smoothed time between tokens of calls that it had a part in, and how many there were. */
  readonly gap: Millis;
  readonly gapCount: number;
  /** Ejected until then, probed afterwards; null while it is trusted. */
  readonly ejectedUntil: Millis | null;
  /** Ejections in a row, which lengthen the next one. */
  readonly ejections: number;
  /** Restarts that were seen lately. */
  readonly restarts: readonly Millis[];
}

export const NEW_HEALTH: EngineHealth = {
  bootId: null,
  warmSince: -Infinity,
  failures: 0,
  gap: 0,
  gapCount: 0,
  ejectedUntil: null,
  ejections: 0,
  restarts: [],
};

/** Share of a group of peers that may be ejected at one time. */
export const MAX_EJECTED_SHARE = 0.34;
const FAILURES_TO_EJECT = 2;
const SLOW_RATIO = 1.8;
const GAPS_TO_JUDGE = 6;
const GAP_WEIGHT = 0.25;
const FIRST_EJECTION_MS = 2000;
const LONGEST_EJECTION_MS = 60000;
const WARM_UP_MS = 10000;
const COLDEST_SHARE = 0.2;
const CRASH_WINDOW_MS = 120000;
const CRASHES_TO_EJECT = 2;

/** Share of its capacity that an engine should be given: 0 while it is ejected. */
export function getHealthShare(health: EngineHealth, ownCalls: number, now: Millis): number {
  if (health.ejectedUntil !== null) {
    // One call at a time probes an engine whose ejection has run out.
    return now >= health.ejectedUntil && ownCalls === 0 ? COLDEST_SHARE : 0;
  }
  const warmth = (now - health.warmSince) / WARM_UP_MS;
  return Math.min(1, COLDEST_SHARE + (1 - COLDEST_SHARE) * Math.max(0, warmth));
}

/** Whether the engine is ejected and not yet due for a probe. */
export function isEjected(health: EngineHealth, now: Millis): boolean {
  return health.ejectedUntil !== null && now < health.ejectedUntil;
}

/** A call that the engine had a part in ended well: it counts as a passed probe. */
export function recordSuccess(health: EngineHealth, now: Millis): EngineHealth {
  if (health.ejectedUntil === null) {
    // A while without trouble makes the next ejection short again.
    const isCalm = now - health.warmSince > LONGEST_EJECTION_MS;
    return { ...health, failures: 0, ejections: isCalm ? 0 : health.ejections };
  }
  // A call from before the ejection says nothing of the engine as it is now.
  return now < health.ejectedUntil
    ? health
    : { ...health, failures: 0, ejectedUntil: null, warmSince: now };
}

/** A failure was laid to the engine. `mayEject` says whether its peers can bear its loss. */
export function recordFailure(health: EngineHealth, mayEject: boolean, now: Millis): EngineHealth {
  const failures = health.failures + 1;
  const next = { ...health, failures };
  const isProbe = health.ejectedUntil !== null && now >= health.ejectedUntil;
  return isProbe || (failures >= FAILURES_TO_EJECT && mayEject && health.ejectedUntil === null)
    ? eject(next, now)
    : next;
}

/** Takes in a time between tokens of a call that passed the engine. */
export function recordGap(health: EngineHealth, gap: Millis): EngineHealth {
  const smoothed = health.gapCount === 0 ? gap : health.gap + GAP_WEIGHT * (gap - health.gap);
  return { ...health, gap: smoothed, gapCount: health.gapCount + 1 };
}

/**
 * Whether the engine is far slower than its peers. Chains mix engines, so a slow one drags its chains
 * down but each of its partners only in a few of them; the median of the peers tells them apart.
 */
export function isOutlier(health: EngineHealth, peers: readonly EngineHealth[]): boolean {
  return health.gapCount >= GAPS_TO_JUDGE && isSlow(health.gap, peers);
}

/** Whether an engine that is due for a probe gave one that is as slow as before. */
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
    .filter(({ gapCount }) => gapCount >= GAPS_TO_JUDGE)
    .map((peer) => peer.gap)
    .sort((a, b) => a - b);
  const median = gaps[Math.floor((gaps.length - 1) / 2)];
  return median !== undefined && gap > SLOW_RATIO * median;
}

/** Ejects the engine, each time in a row for longer; what was measured of it starts anew. */
export function eject(health: EngineHealth, now: Millis): EngineHealth {
  const time = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.ejections);
  return {
    ...health,
    ejectedUntil: now + time,
    ejections: health.ejections + 1,
    failures: 0,
    gap: 0,
    gapCount: 0,
  };
}

/** The engine reported from a process that we had not seen. One that keeps crashing is ejected. */
export function recordBoot(health: EngineHealth, bootId: string, now: Millis): EngineHealth {
  if (health.bootId === null) {
    return { ...health, bootId };
  }
  if (health.bootId === bootId) {
    return health;
  }
  const restarts = [...health.restarts.filter((at) => now - at < CRASH_WINDOW_MS), now];
  const fresh = { ...health, bootId, restarts, warmSince: now, failures: 0, gap: 0, gapCount: 0 };
  if (restarts.length >= CRASHES_TO_EJECT) {
    return eject(fresh, now);
  }
  return { ...fresh, ejectedUntil: null };
}

/** An engine that joined a running group takes its share step by step. */
export function beginSlowStart(health: EngineHealth, now: Millis): EngineHealth {
  return { ...health, warmSince: now };
}
