/**
 * Tracks the progress of engines across all running streams. A silent or slow stream does not show which stage is at
 * fault. Other streams through the same engines do: each one that progresses rules its engines out.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';

interface EngineProgress {
  lastTokenAt: Millis;
  /** Smallest gap in the current window; `previousBestGap` is that of the window before. */
  bestGap: Millis;
  previousBestGap: Millis;
  windowStart: Millis;
}

/** A lost engine, excluded until the given time. */
interface LostEngine {
  readonly until: Millis;
  readonly isDead: boolean;
}

/** Number of consecutive refusals of an engine, and the time until which it is excluded. */
interface Refusals {
  readonly count: number;
  readonly until: Millis;
}

/** An engine, with the smallest recent gap of any stream through it. */
export interface SlowEngine {
  readonly engine: EngineId;
  readonly bestGap: Millis;
}

/** Engines to avoid: dead ones always, silent ones if there are others. */
export interface DownEngines {
  readonly dead: readonly EngineId[];
  readonly silent: readonly EngineId[];
}

/** Progress of engines as observed by this instance. */
export interface ProgressTracker {
  /** Records a token from the chain; `gap` is the time since the previous token, null for the first of an attempt. */
  noteToken(chain: Chain, gap: Millis | null, now: Millis): void;
  /** Records that an engine was lost during a request or was unreachable; `isDead` is false if it was only silent. */
  noteLost(engine: EngineId, isDead: boolean, now: Millis): void;
  /**
   * Records that an engine answers a health check. If its stream broke, only the connection was reset; if it was silent,
   * it is still too busy for new work.
   */
  noteAlive(engine: EngineId): void;
  /** Whether an engine was lost recently and has produced nothing since. */
  isLost(engine: EngineId, now: Millis): boolean;
  /** Records that an engine was never lost, but the link to it. */
  forgetLost(engine: EngineId): void;
  /**
   * Records that an engine refused work, and excludes it for longer with each consecutive refusal. A draining engine
   * refuses everything, and one with full memory all new work; without the exclusion each request would repeat the
   * attempt. Only the first token of an attempt resets the count: answers already running there do not show that the
   * engine has capacity for new ones.
   */
  noteRefused(engine: EngineId, now: Millis): void;
  /**
   * Lists engines that were lost or refused work recently and have produced nothing since. Without this list, each
   * request on a lost rack would detect the dead engines itself, one by one.
   */
  listDown(now: Millis): DownEngines;
  /**
   * Returns the engines of a chain that have produced no token since `since`. A result of all engines or none is
   * inconclusive: a link is slow, or there is no other stream to rule an engine out.
   */
  findSilent(chain: Chain, since: Millis): readonly EngineId[];
  /** Returns the engine of a chain with the largest best gap, the later one in the chain on a tie. */
  findSlowest(chain: Chain, now: Millis): SlowEngine | null;
  /** Returns the median over engines of their recent best gap; null if fewer than three are known. */
  getMedianGap(now: Millis): Millis | null;
  /** Number of lost engines that are kept; none stays for long after its exclusion. */
  countLost(): number;
}

const GAP_WINDOW: Millis = 250;
const FORGET_AFTER: Millis = 10_000;
const MIN_ENGINES = 3;
const LOST_ENGINE_COOLDOWN: Millis = 2000;
/** Exclusion after a first refusal; refusals of concurrent requests during an exclusion are not counted again. */
const REFUSAL_COOLDOWN: Millis = 250;
const MAX_REFUSALS = 4;

/** Creates an empty tracker. */
export function createProgressTracker(): ProgressTracker {
  const engines = new Map<EngineId, EngineProgress>();
  const lost = new Map<EngineId, LostEngine>();
  const refusalsByEngine = new Map<EngineId, Refusals>();

  function getBestGap(progress: EngineProgress, now: Millis): Millis {
    return now - progress.windowStart > 2 * GAP_WINDOW
      ? progress.bestGap
      : Math.min(progress.bestGap, progress.previousBestGap);
  }

  /** Lists the engines excluded for refusals, and removes old entries. */
  function listRefusing(now: Millis): EngineId[] {
    const refusing: EngineId[] = [];
    for (const [engine, { until }] of refusalsByEngine) {
      if (now < until) {
        refusing.push(engine);
      } else if (now - until > FORGET_AFTER) {
        refusalsByEngine.delete(engine);
      }
    }
    return refusing;
  }

  /** Other instances report lost engines also to one that has no requests, and so never lists them. */
  function dropOverdueLosses(now: Millis): void {
    for (const [engine, { until }] of lost) {
      if (now >= until) {
        lost.delete(engine);
      }
    }
  }

  return {
    noteToken(chain, gap, now) {
      for (const { engine } of chain.stages) {
        const known = engines.get(engine);
        const progress = known ?? {
          lastTokenAt: now,
          bestGap: Infinity,
          previousBestGap: Infinity,
          windowStart: now,
        };
        if (!known) {
          engines.set(engine, progress);
        }
        if (now - progress.windowStart >= GAP_WINDOW) {
          progress.previousBestGap = progress.bestGap;
          progress.bestGap = Infinity;
          progress.windowStart = now;
        }
        progress.lastTokenAt = now;
        lost.delete(engine);
        if (gap === null) {
          refusalsByEngine.delete(engine);
        }
        progress.bestGap = Math.min(progress.bestGap, gap ?? Infinity);
      }
    },
    noteLost(engine, isDead, now) {
      dropOverdueLosses(now);
      lost.set(engine, { until: now + LOST_ENGINE_COOLDOWN, isDead });
    },
    noteAlive(engine) {
      if (lost.get(engine)?.isDead) {
        lost.delete(engine);
      }
    },
    isLost: (engine, now) => (lost.get(engine)?.until ?? -Infinity) > now,
    forgetLost: (engine) => lost.delete(engine),
    noteRefused(engine, now) {
      const before = refusalsByEngine.get(engine);
      if (before && before.until > now) {
        return;
      }
      const count = Math.min(MAX_REFUSALS, (before?.count ?? 0) + 1);
      refusalsByEngine.set(engine, { count, until: now + REFUSAL_COOLDOWN * 2 ** (count - 1) });
    },
    listDown(now) {
      const dead = listRefusing(now);
      const silent: EngineId[] = [];
      dropOverdueLosses(now);
      for (const [engine, { isDead }] of lost) {
        (isDead ? dead : silent).push(engine);
      }
      return { dead, silent };
    },
    countLost: () => lost.size,
    findSilent(chain, since) {
      return chain.stages
        .map((stage) => stage.engine)
        .filter((engine) => (engines.get(engine)?.lastTokenAt ?? -Infinity) <= since);
    },
    findSlowest(chain, now) {
      let slowest: SlowEngine | null = null;
      for (const { engine } of chain.stages) {
        const progress = engines.get(engine);
        const best = progress ? getBestGap(progress, now) : -Infinity;
        if (Number.isFinite(best) && best >= (slowest?.bestGap ?? 0)) {
          slowest = { engine, bestGap: best };
        }
      }
      return slowest;
    },
    getMedianGap(now) {
      const gaps: Millis[] = [];
      for (const [engine, progress] of engines) {
        if (now - progress.lastTokenAt > FORGET_AFTER) {
          engines.delete(engine);
        } else {
          const best = getBestGap(progress, now);
          if (Number.isFinite(best)) {
            gaps.push(best);
          }
        }
      }
      gaps.sort((a, b) => a - b);
      return gaps.length < MIN_ENGINES ? null : (gaps[Math.floor(gaps.length / 2)] ?? null);
    },
  };
}
