/**
 * Slow hops between racks. A stream that is late does not say why; many that share a hop, but no one
 * engine, say that the hop is slow. Such a hop is kept off where there is another way; where there is
 * none it takes one prompt at a time, and none while its streams are late: each prompt that crosses a
 * slow link holds up every stream on it, and without this rule a link at its limit never gets free.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getEntry, withEntry } from './RoutingBucketMap.js';
import type { RoutingState } from './RoutingTypes.js';

/** How a running stream got on since it was last looked at. */
export interface StreamPace {
  readonly chain: Chain;
  /** Longest time between tokens, the present silence included. */
  readonly gap: Millis;
}

/** What is learned of a hop; only hops that were late lately are kept. */
export interface HopHealth {
  /** Smoothed share of its streams that are late. */
  readonly lateShare: number;
  /** Own prompts that it may take at once while it is held to be slow; null while it is only watched. */
  readonly promptLimit: number | null;
  /** When the limit was set, or was last found to be too much. */
  readonly since: Millis;
}

/** A stream is late if it has waited longer for a token: the time that 95 in 100 must keep. */
const LATE_GAP: Millis = 78;
const LATE_WEIGHT = 0.4;
/** Smoothed share of late streams at which a hop is slow, and above which it takes nothing new. */
const SLOW_SHARE = 0.4;
const CLOSED_SHARE = 0.1;
const FORGOTTEN_SHARE = 0.02;
const LEAST_LATE = 3;
/** Share of the late streams that one engine may have: beyond it, the engine is to blame. */
const MOST_SHARED = 0.75;
/** Time without lateness after which a slow hop is probed with twice as many prompts. */
const PROBE_MS = 2000;
/** A hop that bears so many prompts at once is no longer held to be slow. */
const MENDED_PROMPTS = 16;

interface HopCount {
  readonly streams: number;
  /** Engines of each late stream. */
  readonly late: readonly (readonly EngineId[])[];
}

/** Takes in how the running streams got on. To be called a few times a second with all of them. */
export function recordPaces(
  state: RoutingState,
  paces: readonly StreamPace[],
  now: Millis,
): RoutingState {
  const counts = countHops(state, paces);
  const hops = new Map<string, HopHealth>();
  for (const key of new Set([...counts.keys(), ...state.hops.keys()])) {
    const health = judgeHop(state.hops.get(key), counts.get(key), now);
    if (health) {
      hops.set(key, health);
    }
  }
  return hops.size === 0 && state.hops.size === 0 ? state : { ...state, hops };
}

/** Whether a chain crosses a hop that is held to be slow. */
export function isOnSlowHop(state: RoutingState, chain: Chain): boolean {
  return state.hops.size > 0 && listHops(state, chain).some((key) => isHeldSlow(state, key));
}

/** Whether a new prompt may cross between two engines now. */
export function isHopOpen(state: RoutingState, from: EngineFacts, to: EngineFacts): boolean {
  const key = state.hops.size > 0 ? getHopName(from, to) : null;
  if (key === null || !isHeldSlow(state, key)) {
    return true;
  }
  const { lateShare = 0, promptLimit = null } = state.hops.get(key) ?? {};
  return lateShare <= CLOSED_SHARE && (getEntry(state.hopPrompts, key) ?? 0) < (promptLimit ?? 1);
}

/** Counts a prompt that begins or ends to cross the hops of a chain. */
export function countHopPrompts(state: RoutingState, chain: Chain, change: number): RoutingState {
  const hopPrompts = listHops(state, chain).reduce((table, key) => {
    const count = Math.max(0, (getEntry(table, key) ?? 0) + change);
    return withEntry(table, key, count > 0 ? count : undefined);
  }, state.hopPrompts);
  return { ...state, hopPrompts };
}

function isHeldSlow(state: RoutingState, key: string): boolean {
  return (state.hops.get(key)?.promptLimit ?? null) !== null;
}

function judgeHop(
  known: HopHealth | undefined,
  count: HopCount | undefined,
  now: Millis,
): HopHealth | null {
  const seen = count && isHopToBlame(count) ? count.late.length / count.streams : 0;
  const before = known ?? { lateShare: 0, promptLimit: null, since: now };
  const lateShare = before.lateShare + LATE_WEIGHT * (seen - before.lateShare);
  if (lateShare >= SLOW_SHARE) {
    return { lateShare, promptLimit: 1, since: now };
  }
  if (before.promptLimit === null) {
    return lateShare >= FORGOTTEN_SHARE ? { ...before, lateShare } : null;
  }
  if (lateShare > CLOSED_SHARE) {
    return { ...before, lateShare, since: now };
  }
  return now - before.since < PROBE_MS
    ? { ...before, lateShare }
    : probeHop(before, lateShare, now);
}

/** Lets a slow hop bear more, or forgets that it was slow. */
function probeHop(before: HopHealth, lateShare: number, now: Millis): HopHealth | null {
  const promptLimit = 2 * (before.promptLimit ?? 1);
  return promptLimit > MENDED_PROMPTS ? null : { lateShare, promptLimit, since: now };
}

/** Late streams that share one engine say that the engine is slow, not the hop. */
function isHopToBlame({ late }: HopCount): boolean {
  const byEngine = new Map<EngineId, number>();
  late.flat().forEach((engine) => byEngine.set(engine, (byEngine.get(engine) ?? 0) + 1));
  return late.length >= LEAST_LATE && Math.max(...byEngine.values()) <= MOST_SHARED * late.length;
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
      const nowLate = gap > LATE_GAP ? [...late, engines] : late;
      counts.set(key, { streams: streams + 1, late: nowLate });
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

/** Name of the way between two racks; null within one. */
function getHopName(from: EngineFacts, to: EngineFacts): string | null {
  return from.rack === to.rack ? null : `${from.rack}>${to.rack}`;
}
