/**
 * Detection of slow hops between racks. One late stream does not show the cause; many late streams that
 * share a hop but no single engine show that the hop is slow. A slow hop is avoided where there is another
 * path. Otherwise it carries one prompt at a time, and none while its streams are late: each prompt on a
 * slow link blocks every stream behind it (head-of-line blocking), so a saturated link would never recover.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getEntry, withEntry } from './RoutingBucketMap.js';
import type { RoutingState } from './RoutingTypes.js';

/** Progress of a running stream since the last check. */
export interface StreamPace {
  readonly chain: Chain;
  /** Longest time between tokens, including the time since the last one. */
  readonly gap: Millis;
}

/** Observed state of a hop; only hops with recent late streams are kept. */
export interface HopHealth {
  /** Exponentially smoothed share of its streams that are late. */
  readonly lateShare: number;
  /** Number of own prompts that may cross it at once while it is considered slow; null while it is not. */
  readonly promptLimit: number | null;
  /** When the limit was set, or when the hop last had too many late streams. */
  readonly since: Millis;
}

/** A stream is late if it waits longer than this for a token: the latency target for 95 % of gaps. */
const LATE_GAP: Millis = 78;
const LATE_SMOOTHING = 0.4;
/** A hop is considered slow once its smoothed share of late streams reaches this. */
const SLOW_SHARE = 0.4;
/** A slow hop admits no prompt while its smoothed share of late streams is above this. */
const CLOSED_SHARE = 0.1;
const CLEARED_SHARE = 0.02;
const MIN_LATE = 3;
/** Maximum share of the late streams on one engine; above it, the engine is the likely cause. */
const MAX_PER_ENGINE = 0.75;
/** Time without late streams after which the prompt limit of a slow hop doubles. */
const PROBE_MS = 2000;
/** A hop whose prompt limit would exceed this is no longer considered slow. */
const RECOVERED_PROMPTS = 16;

interface HopCount {
  readonly streams: number;
  /** Engines of each late stream. */
  readonly late: readonly (readonly EngineId[])[];
}

/** Records the progress of the running streams. Call it a few times per second with all of them. */
export function recordPaces(
  state: RoutingState,
  paces: readonly StreamPace[],
  now: Millis,
): RoutingState {
  const counts = countHops(state, paces);
  const hops = new Map<string, HopHealth>();
  for (const key of new Set([...counts.keys(), ...state.hops.keys()])) {
    const health = updateHop(state.hops.get(key), counts.get(key), now);
    if (health) {
      hops.set(key, health);
    }
  }
  return hops.size === 0 && state.hops.size === 0 ? state : { ...state, hops };
}

/** Whether a chain crosses a hop that is considered slow. */
export function isOnSlowHop(state: RoutingState, chain: Chain): boolean {
  return state.hops.size > 0 && listHops(state, chain).some((key) => isSlowHop(state, key));
}

/** Whether a new prompt may cross the hop between two engines now. */
export function isHopOpen(state: RoutingState, from: EngineFacts, to: EngineFacts): boolean {
  const key = state.hops.size > 0 ? getHopName(from, to) : null;
  if (key === null || !isSlowHop(state, key)) {
    return true;
  }
  const { lateShare = 0, promptLimit = null } = state.hops.get(key) ?? {};
  return lateShare <= CLOSED_SHARE && (getEntry(state.hopPrompts, key) ?? 0) < (promptLimit ?? 1);
}

/** Changes the number of prompts that are crossing each hop of a chain. */
export function countHopPrompts(state: RoutingState, chain: Chain, change: number): RoutingState {
  const hopPrompts = listHops(state, chain).reduce((table, key) => {
    const count = Math.max(0, (getEntry(table, key) ?? 0) + change);
    return withEntry(table, key, count > 0 ? count : undefined);
  }, state.hopPrompts);
  return { ...state, hopPrompts };
}

function isSlowHop(state: RoutingState, key: string): boolean {
  return (state.hops.get(key)?.promptLimit ?? null) !== null;
}

function updateHop(
  known: HopHealth | undefined,
  count: HopCount | undefined,
  now: Millis,
): HopHealth | null {
  const observedShare = count && isHopLikelyCause(count) ? count.late.length / count.streams : 0;
  const before = known ?? { lateShare: 0, promptLimit: null, since: now };
  const lateShare = before.lateShare + LATE_SMOOTHING * (observedShare - before.lateShare);
  if (lateShare >= SLOW_SHARE) {
    return { lateShare, promptLimit: 1, since: now };
  }
  if (before.promptLimit === null) {
    return lateShare >= CLEARED_SHARE ? { ...before, lateShare } : null;
  }
  if (lateShare > CLOSED_SHARE) {
    return { ...before, lateShare, since: now };
  }
  return now - before.since < PROBE_MS
    ? { ...before, lateShare }
    : probeHop(before, lateShare, now);
}

/** Doubles the prompt limit of a slow hop, or removes the limit. */
function probeHop(before: HopHealth, lateShare: number, now: Millis): HopHealth | null {
  const promptLimit = 2 * (before.promptLimit ?? 1);
  return promptLimit > RECOVERED_PROMPTS ? null : { lateShare, promptLimit, since: now };
}

/** False if most late streams share one engine, which is then the likely cause. */
function isHopLikelyCause({ late }: HopCount): boolean {
  const byEngine = new Map<EngineId, number>();
  late.flat().forEach((engine) => byEngine.set(engine, (byEngine.get(engine) ?? 0) + 1));
  return late.length >= MIN_LATE && Math.max(...byEngine.values()) <= MAX_PER_ENGINE * late.length;
}

function countHops(
  state: RoutingState,
  paces: readonly StreamPace[],
): ReadonlyMap<string, HopCount> {
  const counts = new Map<string, HopCount>();
  for (const { chain, gap } of paces) {
    const engines = chain.stages.map(({ engine }) => engine);
    for (const key of listHops(state, chain)) {
      const { streams, late } = counts.get(key) ?? { streams: 0, late: [] };
      const lateSoFar = gap > LATE_GAP ? [...late, engines] : late;
      counts.set(key, { streams: streams + 1, late: lateSoFar });
    }
  }
  return counts;
}

function listHops(state: RoutingState, { stages }: Chain): readonly string[] {
  const keys: string[] = [];
  stages.forEach(({ engine }, i) => {
    const from = state.engines.get(engine);
    const to = state.engines.get(stages[i + 1]?.engine ?? '');
    const key = from && to ? getHopName(from, to) : null;
    if (key !== null) {
      keys.push(key);
    }
  });
  return keys;
}

/** Name of the hop between two racks; null within a rack. */
function getHopName(from: EngineFacts, to: EngineFacts): string | null {
  return from.rack === to.rack ? null : `${from.rack}>${to.rack}`;
}
