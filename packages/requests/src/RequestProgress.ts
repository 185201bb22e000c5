/**
 * What the running streams tell of their engines. A silent or slow stream does not say which stage is to
 * blame; the other streams through the same engines do, since those that go on clear their engines.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';

interface EngineProgress {
  lastAt: Millis;
  /** Least gap in the present and in the last window. */
  best: Millis;
  lastBest: Millis;
  windowStart: Millis;
}

/** An engine that is kept off. */
interface LostEngine {
  readonly until: Millis;
  readonly isDead: boolean;
}

/** Refusals of an engine in a row, and until when it is kept off for them. */
interface Refusals {
  readonly count: number;
  readonly until: Millis;
}

/** An engine with the least gap that any stream had through it lately. */
export interface SlowEngine {
  readonly engine: EngineId;
  readonly bestGap: Millis;
}

/** Engines to keep off: the dead ones always, the silent ones if there are others. */
export interface DownEngines {
  readonly dead: readonly EngineId[];
  readonly silent: readonly EngineId[];
}

/** Progress of engines as seen from this instance. */
export interface ProgressTracker {
  /** A token came over the chain, `gap` after the one before it; null for the first of an attempt. */
  noteToken(chain: Chain, gap: Millis | null, now: Millis): void;
  /** An engine was lost under a request, or could not be reached; `isDead` unless it was only silent. */
  noteLost(engine: EngineId, isDead: boolean, now: Millis): void;
  /**
   * An engine refused work. The more often in a row, the longer it is kept off: one that leaves refuses
   * everything, one whose memory is full all that is new, and each request would find that out again. Answers
   * that run there go on and say nothing of room for others; only a new one that begins does.
   */
  noteRefused(engine: EngineId, now: Millis): void;
  /**
   * Engines lost a short while ago that have given nothing since. Without this list each request of a
   * lost rack would find out for itself, engine by engine, that they are dead.
   */
  listDown(now: Millis): DownEngines;
  /**
   * Engines of a chain through which nothing has come since `since`. All of them, or none, tells nothing:
   * then a link is slow, or no other stream is there to clear an engine.
   */
  findSilent(chain: Chain, since: Millis): readonly EngineId[];
  /** The engine of a chain whose best stream is slowest, the later of two that are equal. */
  findSlowest(chain: Chain, now: Millis): SlowEngine | null;
  /** Median over the engines of their best gap lately; null while fewer than three are known. */
  getMedianGap(now: Millis): Millis | null;
}

const WINDOW: Millis = 250;
const FORGET_AFTER: Millis = 10_000;
const LEAST_ENGINES = 3;
const DOWN_TIME: Millis = 2000;
/** Refusals of requests that were under way together are one. */
const REFUSED_TIME: Millis = 250;
const MOST_REFUSALS = 4;

/** Creates a tracker that knows nothing. */
export function createProgressTracker(): ProgressTracker {
  const engines = new Map<EngineId, EngineProgress>();
  const lost = new Map<EngineId, LostEngine>();
  const refusals = new Map<EngineId, Refusals>();

  function getBest(progress: EngineProgress, now: Millis): Millis {
    return now - progress.windowStart > 2 * WINDOW
      ? progress.best
      : Math.min(progress.best, progress.lastBest);
  }

  /** Engines that refuse; what was refused long ago is forgotten. */
  function listRefusing(now: Millis): EngineId[] {
    const refusing: EngineId[] = [];
    for (const [engine, { until }] of refusals) {
      if (now < until) {
        refusing.push(engine);
      } else if (now - until > FORGET_AFTER) {
        refusals.delete(engine);
      }
    }
    return refusing;
  }

  return {
    noteToken(chain, gap, now) {
      for (const { engine } of chain.stages) {
        const known = engines.get(engine);
        const progress = known ?? {
          lastAt: now,
          best: Infinity,
          lastBest: Infinity,
          windowStart: now,
        };
        if (!known) {
          engines.set(engine, progress);
        }
        if (now - progress.windowStart >= WINDOW) {
          progress.lastBest = progress.best;
          progress.best = Infinity;
          progress.windowStart = now;
        }
        progress.lastAt = now;
        lost.delete(engine);
        if (gap === null) {
          refusals.delete(engine);
        }
        progress.best = Math.min(progress.best, gap ?? Infinity);
      }
    },
    noteLost(engine, isDead, now) {
      lost.set(engine, { until: now + DOWN_TIME, isDead });
    },
    noteRefused(engine, now) {
      const before = refusals.get(engine);
      if (before && before.until > now) {
        return;
      }
      const count = Math.min(MOST_REFUSALS, (before?.count ?? 0) + 1);
      refusals.set(engine, { count, until: now + REFUSED_TIME * 2 ** (count - 1) });
    },
    listDown(now) {
      const dead = listRefusing(now);
      const silent: EngineId[] = [];
      for (const [engine, { until, isDead }] of lost) {
        if (now >= until) {
          lost.delete(engine);
        } else {
          (isDead ? dead : silent).push(engine);
        }
      }
      return { dead, silent };
    },
    findSilent(chain, since) {
      return chain.stages
        .map((stage) => stage.engine)
        .filter((engine) => (engines.get(engine)?.lastAt ?? -Infinity) <= since);
    },
    findSlowest(chain, now) {
      let slowest: SlowEngine | null = null;
      for (const { engine } of chain.stages) {
        const progress = engines.get(engine);
        const best = progress ? getBest(progress, now) : -Infinity;
        if (Number.isFinite(best) && best >= (slowest?.bestGap ?? 0)) {
          slowest = { engine, bestGap: best };
        }
      }
      return slowest;
    },
    getMedianGap(now) {
      const gaps: Millis[] = [];
      for (const [engine, progress] of engines) {
        if (now - progress.lastAt > FORGET_AFTER) {
          engines.delete(engine);
        } else {
          const best = getBest(progress, now);
          if (Number.isFinite(best)) {
            gaps.push(best);
          }
        }
      }
      gaps.sort((a, b) => a - b);
      return gaps.length < LEAST_ENGINES ? null : (gaps[Math.floor(gaps.length / 2)] ?? null);
    },
  };
}
