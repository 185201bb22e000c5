/**
 * What the instances of a failure domain have running on its engines. Each tells its own work to the domain's
 * aggregators with every question for news, and hears the sum of the others' with the answer. Reckoned from its own
 * work alone, an instance of 39 with one or two requests took an engine to have none or 39: in a burst on engines
 * that are 84 % full 4 of 100 arrivals met a full one, 2 with the others' work told each 200 ms (virtual time).
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';

/** Work on one engine. */
export interface EngineWork {
  readonly engine: EngineId;
  readonly calls: number;
  /** Tokens that its calls are expected to hold in the KV cache. */
  readonly kvTokens: number;
}

/** Work on an engine that is known from the context. */
export type PeerWork = Omit<EngineWork, 'engine'>;

/** What an instance tells of engines, or an aggregator of those of the whole domain. */
export interface WorkReport {
  readonly running: readonly EngineWork[];
  /** Engines that calls failed at, and that did not answer well when they were asked then. */
  readonly lost: readonly EngineId[];
}

export interface RelayWork {
  /** An instance told its work. */
  recordReport(from: InstanceId, work: WorkReport): void;
  /** What this instance and all that told it have, but for the one that asks. */
  summarizeFor(asker: InstanceId): WorkReport;
  /** An aggregator told what the others have. */
  recordSummary(others: WorkReport): void;
  /** Work of the others on an engine; null if nobody told of it lately. */
  getPeerWork(engine: EngineId): PeerWork | null;
}

export interface RelayWorkOptions {
  readonly timers: TimerService;
  readonly self: InstanceId;
  readonly readOwnWork: () => WorkReport;
  /** Whether the others tell this instance, and not an aggregator. */
  readonly isAggregator: () => boolean;
  /** An aggregator told of the others anew. */
  readonly onPeerWork: () => void;
  /**
   * Others found an engine lost. Without this word each instance would send it requests of its own to find out, and
   * spend its few repeats on them.
   */
  readonly onLost: (engine: EngineId) => void;
}

/** Answers take some two seconds: what was told longer ago has ended for the most part. */
const LONGEST_AGE: Millis = 3000;
const NO_WORK = { calls: 0, kvTokens: 0 };

interface DatedWork {
  readonly work: WorkReport;
  readonly at: Millis;
}

export function createRelayWork(options: RelayWorkOptions): RelayWork {
  const { timers, self } = options;
  const told = new Map<InstanceId, DatedWork>();
  let heard: { readonly others: ReadonlyMap<EngineId, EngineWork>; readonly at: Millis } | null =
    null;
  let sums: { readonly others: ReadonlyMap<EngineId, EngineWork>; readonly at: Millis } | null =
    null;

  function isFresh(at: Millis): boolean {
    return timers.now() - at <= LONGEST_AGE;
  }

  function forgetOld(): void {
    [...told].filter(([, { at }]) => !isFresh(at)).forEach(([id]) => told.delete(id));
  }

  function listTold(asker: InstanceId): readonly WorkReport[] {
    return [...told].flatMap(([id, { work }]) => (id === asker ? [] : [work]));
  }

  /** At an aggregator the others' work is what they told it. */
  function sumTold(): ReadonlyMap<EngineId, EngineWork> | null {
    if (sums === null || sums.at !== timers.now()) {
      forgetOld();
      sums = {
        others: sumWork(listTold(self).flatMap(({ running }) => running)),
        at: timers.now(),
      };
    }
    return told.size > 0 ? sums.others : null;
  }

  function getHeard(): ReadonlyMap<EngineId, EngineWork> | null {
    return heard !== null && isFresh(heard.at) ? heard.others : null;
  }

  return {
    recordReport(from, work) {
      told.set(from, { work, at: timers.now() });
      sums = null;
      work.lost.forEach(options.onLost);
    },
    summarizeFor(asker) {
      forgetOld();
      const all = [...listTold(asker), options.readOwnWork()];
      return {
        running: [...sumWork(all.flatMap(({ running }) => running)).values()],
        lost: [...new Set(all.flatMap(({ lost }) => lost))],
      };
    },
    recordSummary(others) {
      heard = { others: sumWork(others.running), at: timers.now() };
      options.onPeerWork();
      others.lost.forEach(options.onLost);
    },
    getPeerWork(engine) {
      const others = options.isAggregator() ? sumTold() : getHeard();
      return others === null ? null : (others.get(engine) ?? NO_WORK);
    },
  };
}

function sumWork(work: readonly EngineWork[]): ReadonlyMap<EngineId, EngineWork> {
  const sums = new Map<EngineId, EngineWork>();
  for (const { engine, calls, kvTokens } of work) {
    const before = sums.get(engine) ?? NO_WORK;
    const sum = { engine, calls: before.calls + calls, kvTokens: before.kvTokens + kvTokens };
    sums.set(engine, sum);
  }
  return sums;
}
