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

/** An engine with the least gap that any stream had through it lately. */
export interface SlowEngine {
  readonly engine: EngineId;
  readonly bestGap: Millis;
}

/** Progress of engines as seen from this instance. */
export interface ProgressTracker {
  /** A token came over the chain, `gap` after the one before it. */
  noteToken(chain: Chain, gap: Millis | null, now: Millis): void;
  /** An engine was lost under a request, or could not be reached. */
  noteLost(engine: EngineId, now: Millis): void;
  /**
   * Engines lost a short while ago that have given nothing since. Without this list each request of a
   * lost rack would find out for itself, engine by engine, that they are dead.
   */
  listDown(now: Millis): readonly EngineId[];
  /** Engines of a chain through which nothing has come since `since`; all of them if each is cleared. */
  findSilent(chain: Chain, since: Millis): readonly EngineId[];
  /** The engine of a chain whose best stream is slowest, the later of two that are equal. */
  findSlowest(chain: Chain, now: Millis): SlowEngine | null;
  /** Median over the engines of their best gap lately; null while fewer than three are known. */
  getUsualGap(now: Millis): Millis | null;
}

const WINDOW: Millis = 250;
const FORGET_AFTER: Millis = 10_000;
const LEAST_ENGINES = 3;
const DOWN_TIME: Millis = 2000;

/** Creates a tracker that knows nothing. */
export function createProgressTracker(): ProgressTracker {
  const engines = new Map<EngineId, EngineProgress>();
  const lostAt = new Map<EngineId, Millis>();

  function getBest(progress: EngineProgress, now: Millis): Millis {
    return now - progress.windowStart > 2 * WINDOW
      ? progress.best
      : Math.min(progress.best, progress.lastBest);
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
        lostAt.delete(engine);
        progress.best = Math.min(progress.best, gap ?? Infinity);
      }
    },
    noteLost(engine, now) {
      lostAt.set(engine, now);
    },
    listDown(now) {
      const down: EngineId[] = [];
      for (const [engine, at] of lostAt) {
        if (now - at < DOWN_TIME) {
          down.push(engine);
        } else {
          lostAt.delete(engine);
        }
      }
      return down;
    },
    findSilent(chain, since) {
      const all = chain.stages.map((stage) => stage.engine);
      const silent = all.filter((engine) => (engines.get(engine)?.lastAt ?? -Infinity) <= since);
      return silent.length > 0 ? silent : all;
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
    getUsualGap(now) {
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
