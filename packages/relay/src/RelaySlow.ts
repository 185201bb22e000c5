/**
 * Merges what the instances of a failure domain report of slow engines. An instance reports a factor for each engine of which its
 * own answers show the pace, 1 if the engine is as fast as expected. Reports are merged by aggregators and passed on with the sum of
 * work; an instance never reports what others reported to it, so a false report ends with its evidence.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ObservedEngine, PeerSlowness } from '@skylarksail/routing/RoutingSlowness';
import { clampFactor, UNCONFIRMED_FACTOR } from '@skylarksail/routing/RoutingSlowness';

/**
 * The factor at this quantile of all reports on an engine counts. With a tenth of all engines slow, a third of the chains through a
 * healthy engine are slow because of another one, so about a third of the reports on it are wrong.
 */
const REPORT_QUANTILE = 0.4;
/** How long a merged list is used: each aggregator answers a hundred queries per second when memory is short. */
const MERGED_MS: Millis = 100;
const MAX_AGE: Millis = 3000;

export interface SlowReports {
  /** Records an instance's report of what its own answers show; this instance's own report is recorded too. */
  recordReport(from: InstanceId, slow: readonly ObservedEngine[] | undefined): void;
  /** Records an aggregator's merged list. */
  recordSummary(slow: readonly ObservedEngine[] | undefined): void;
  /** Merges all recorded reports. */
  listMerged(): readonly ObservedEngine[];
  /** Slow engines by this aggregator's reports or by the last summary; null without a recent one. */
  read(isAggregator: boolean): PeerSlowness | null;
}

export interface SlowReportsOptions {
  readonly timers: TimerService;
  readonly self: InstanceId;
  /** Maximum number of engines that are read from a report, and of engines in a merged list. */
  readonly limit: number;
}

interface TimedSlow {
  readonly slow: readonly ObservedEngine[];
  readonly at: Millis;
}

export function createSlowReports(options: SlowReportsOptions): SlowReports {
  const { timers, self, limit } = options;
  const reports = new Map<InstanceId, TimedSlow>();
  let summary: { readonly slow: PeerSlowness; readonly at: Millis } | null = null;
  let merged: TimedSlow | null = null;

  function isFresh({ at }: { readonly at: Millis }): boolean {
    return timers.now() - at <= MAX_AGE;
  }

  function listMerged(): readonly ObservedEngine[] {
    const now = timers.now();
    if (merged === null || now - merged.at >= MERGED_MS) {
      [...reports].filter(([, report]) => !isFresh(report)).forEach(([id]) => reports.delete(id));
      const lists = [...reports.values()].map(({ slow }) => slow);
      merged = { slow: mergeSlow(lists, limit), at: now };
    }
    return merged.slow;
  }

  return {
    recordReport(from, slow) {
      if (!reports.has(from)) {
        [...reports].filter(([, report]) => !isFresh(report)).forEach(([id]) => reports.delete(id));
      }
      reports.set(from, { slow: slow ?? [], at: timers.now() });
    },
    recordSummary(slow) {
      summary = { slow: toMap(slow ?? []), at: timers.now() };
    },
    listMerged,
    read(isAggregator) {
      if (isAggregator) {
        const slow = listMerged();
        return [...reports.keys()].some((id) => id !== self) ? toMap(slow) : null;
      }
      return summary !== null && isFresh(summary) ? summary.slow : null;
    },
  };
}

/**
 * Engines that are slow by at least one report, slowest first. An engine that the other reports show to be fast is listed with factor 1,
 * so that instances with evidence on it continue to report it. The report of a single instance counts up to `UNCONFIRMED_FACTOR`.
 */
export function mergeSlow(
  reports: readonly (readonly ObservedEngine[])[],
  limit: number,
): readonly ObservedEngine[] {
  const factorsByEngine = new Map<EngineId, number[]>();
  reports.forEach((report) =>
    toMap(report.slice(0, limit)).forEach((factor, engine) => {
      const known = factorsByEngine.get(engine);
      if (known) {
        known.push(factor);
      } else {
        factorsByEngine.set(engine, [factor]);
      }
    }),
  );
  return [...factorsByEngine]
    .filter(([, factors]) => factors.some((factor) => factor > 1))
    .map(([engine, factors]) => ({ engine, factor: chooseFactor(factors) }))
    .sort((a, b) => b.factor - a.factor || (a.engine < b.engine ? -1 : 1))
    .slice(0, limit);
}

function chooseFactor(factors: readonly number[]): number {
  const sorted = [...factors].sort((a, b) => a - b);
  const chosen = sorted[Math.floor(REPORT_QUANTILE * sorted.length)] ?? 1;
  return sorted.length === 1 ? Math.min(UNCONFIRMED_FACTOR, chosen) : chosen;
}

/** Factors by engine; of several entries for one engine the first counts, and absurd factors are limited. */
function toMap(slow: readonly ObservedEngine[]): ReadonlyMap<EngineId, number> {
  const factors = new Map<EngineId, number>();
  slow.forEach(({ engine, factor }) => {
    if (!factors.has(engine)) {
      factors.set(engine, clampFactor(factor));
    }
  });
  return factors;
}
