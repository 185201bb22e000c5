/**
 * Shares between the instances of a failure domain how much work each has on the domain's engines. Every update
 * query to an aggregator reports the instance's own work, and the answer carries the sum of the other instances' work.
 *
 * Without these reports an instance extrapolates from its own work: in a domain of 39 instances, one with one or two
 * requests estimates the load of an engine as 0 or 39 requests. In a burst on engines at 84 % of their capacity, 4 of
 * 100 arrivals then met a full engine; with reports every 200 ms it was 2 of 100 (simulated in virtual time).
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type {
  DomainId,
  EngineId,
  InstanceId,
  Millis,
  ModelId,
  TeamId,
} from '@skylarksail/core/CoreTypes';
import type { DomainRoom } from '@skylarksail/routing/RoutingRoom';
import type { DomainUse } from '@skylarksail/routing/RoutingTypes';
import type { PeerSlowness } from '@skylarksail/routing/RoutingSlowness';
import { listHeaviest, sumTeams } from './RelayTeamSums.js';
import { createSlowReports } from './RelaySlow.js';

/** Running work of one or more instances on an engine. */
export interface EngineWork {
  readonly engine: EngineId;
  readonly calls: number;
  /** Tokens that its calls are expected to hold in the KV cache. */
  readonly kvTokens: number;
  /** Prompt tokens of calls without a first token yet; instances of an earlier version report none. */
  readonly prefillTokens?: number;
}

/** Memory that the running requests of a team are expected to hold. */
export interface TeamWork {
  readonly team: TeamId;
  readonly kvTokens: number;
}

/** An engine with its slowness as answers through it show it. */
export interface SlowEngine {
  readonly engine: EngineId;
  /** How many times slower than expected; 1 as expected, which clears an engine that others report as slow. */
  readonly factor: number;
}

/** Memory for running requests of a model in a domain, as one of its instances saw it. */
export interface RoomReport extends DomainRoom {
  readonly domain: DomainId;
  readonly model: ModelId;
  /** Time since it was observed; each instance that passes it on adds the time for which it kept it. */
  readonly age: Millis;
  /** Memory that requests of the domain hold in other domains; none if omitted. */
  readonly abroad?: readonly DomainUse[];
}

/** Running work of one or more instances on an engine that is given elsewhere. */
export type PeerWork = Omit<EngineWork, 'engine'>;

/** A report of running work and lost engines, from an instance about itself or from an aggregator about its domain. */
export interface WorkReport {
  readonly running: readonly EngineWork[];
  /** Engines at which calls failed and that then failed a health check. */
  readonly lost: readonly EngineId[];
  /** The teams with the most work, at most `MAX_REPORTED`; instances of an earlier version report none. */
  readonly teams?: readonly TeamWork[];
  /** The slowest engines, at most `MAX_REPORTED`; instances of an earlier version report none. */
  readonly slow?: readonly SlowEngine[];
}

/** Maximum number of teams, and of slow engines, in a report. */
export const MAX_REPORTED = 32;

export interface RelayWork {
  /** Records an instance's report of its own work. */
  recordReport(from: InstanceId, work: WorkReport): void;
  /** Sums this instance's own work and all recorded reports except the requester's. */
  summarizeFor(requester: InstanceId): WorkReport;
  /** Records an aggregator's summary of the other instances' work. */
  recordSummary(others: WorkReport): void;
  /** Work of the other instances on an engine; null without a recent report. */
  getPeerWork(engine: EngineId): PeerWork | null;
  /** Tokens that a team's requests of the other instances hold; null without a recent report. */
  getTeamWork(team: TeamId): number | null;
  /** Number of teams with work, at this instance (`own`) or at others. */
  countTeams(own: Iterable<TeamId>): number;
  /** Time since the other instances' work was last reported; null without a recent report. */
  getReportAge(): Millis | null;
  /** Factors of engines that other instances report on, merged; null without a recent report. */
  getSlowEngines(): PeerSlowness | null;
  /** Number of instances whose reports are kept; those that have expired go with the first report of another. */
  countReports(): number;
}

export interface RelayWorkOptions {
  readonly timers: TimerService;
  readonly self: InstanceId;
  readonly readOwnWork: () => WorkReport;
  /** Whether this instance is an aggregator, so that others report to it. */
  readonly isAggregator: () => boolean;
  /** Called after an aggregator's summary was recorded. */
  readonly onPeerWork: () => void;
  /**
   * Called for each engine that other instances report as lost. Otherwise each instance would notice the loss only
   * by failed requests of its own, and would spend its few retries on them.
   */
  readonly onLost: (engine: EngineId) => void;
}

/** Answers take about two seconds, so most of the work in an older report has ended. */
const MAX_REPORT_AGE: Millis = 3000;
const NO_WORK: PeerWork = { calls: 0, kvTokens: 0 };

interface TimedReport {
  readonly work: WorkReport;
  readonly at: Millis;
}

/** Work of the other instances. */
interface PeerSums {
  readonly others: ReadonlyMap<EngineId, EngineWork>;
  readonly teams: ReadonlyMap<TeamId, number>;
  /** When the latest report that they contain arrived. */
  readonly at: Millis;
}

interface ExpiringSums extends PeerSums {
  readonly expiresAt: Millis;
}

export function createRelayWork(options: RelayWorkOptions): RelayWork {
  const { timers, self } = options;
  const told = new Map<InstanceId, TimedReport>();
  const slowReports = createSlowReports({ timers, self, limit: MAX_REPORTED });
  let summary: PeerSums | null = null;
  /** Sums of all reports, valid until another report arrives or one of them expires. */
  let cachedSums: ExpiringSums | null = null;

  function isFresh(at: Millis): boolean {
    return timers.now() - at <= MAX_REPORT_AGE;
  }

  function dropExpiredReports(): void {
    [...told].filter(([, { at }]) => !isFresh(at)).forEach(([id]) => told.delete(id));
  }

  function listReports(requester: InstanceId): readonly WorkReport[] {
    return [...told].flatMap(([id, { work }]) => (id === requester ? [] : [work]));
  }

  /** The other instances' work by their reports to this aggregator; null without a report. */
  function sumReports(): PeerSums | null {
    if (cachedSums === null || cachedSums.expiresAt < timers.now()) {
      dropExpiredReports();
      const reports = listReports(self);
      const times = [...told.values()].map(({ at }) => at);
      cachedSums = {
        others: sumWork(reports.flatMap(({ running }) => running)),
        teams: sumTeams(reports, MAX_REPORTED),
        at: Math.max(...times),
        expiresAt: Math.min(...times) + MAX_REPORT_AGE,
      };
    }
    return told.size > 0 ? cachedSums : null;
  }

  function getSums(): PeerSums | null {
    if (options.isAggregator()) {
      return sumReports();
    }
    return summary !== null && isFresh(summary.at) ? summary : null;
  }

  return {
    recordReport(from, work) {
      if (!told.has(from)) {
        dropExpiredReports();
      }
      told.set(from, { work, at: timers.now() });
      cachedSums = null;
      slowReports.recordReport(from, work.slow);
      work.lost.forEach(options.onLost);
    },
    summarizeFor(requester) {
      dropExpiredReports();
      const own = options.readOwnWork();
      const all = [...listReports(requester), own];
      const teams = listHeaviest(sumTeams(all, MAX_REPORTED), MAX_REPORTED);
      slowReports.recordReport(self, own.slow);
      const slow = slowReports.listMerged();
      return {
        running: [...sumWork(all.flatMap(({ running }) => running)).values()],
        lost: [...new Set(all.flatMap(({ lost }) => lost))],
        ...(teams.length > 0 ? { teams } : {}),
        ...(slow.length > 0 ? { slow } : {}),
      };
    },
    recordSummary(others) {
      summary = {
        others: sumWork(others.running),
        teams: sumTeams([others], MAX_REPORTED),
        at: timers.now(),
      };
      slowReports.recordSummary(others.slow);
      options.onPeerWork();
      others.lost.forEach(options.onLost);
    },
    getPeerWork(engine) {
      const sums = getSums();
      return sums === null ? null : (sums.others.get(engine) ?? NO_WORK);
    },
    getTeamWork(team) {
      const sums = getSums();
      return sums === null ? null : (sums.teams.get(team) ?? 0);
    },
    countTeams(own) {
      const teams = getSums()?.teams ?? new Map<TeamId, number>();
      const added = [...own].filter((team) => !teams.has(team));
      return teams.size + added.length;
    },
    getReportAge() {
      const sums = getSums();
      return sums === null ? null : timers.now() - sums.at;
    },
    getSlowEngines: () => slowReports.read(options.isAggregator()),
    countReports: () => told.size,
  };
}

function sumWork(work: readonly EngineWork[]): ReadonlyMap<EngineId, EngineWork> {
  const sums = new Map<EngineId, EngineWork>();
  for (const { engine, calls, kvTokens, prefillTokens = 0 } of work) {
    const before = sums.get(engine) ?? NO_WORK;
    sums.set(engine, {
      engine,
      calls: before.calls + calls,
      kvTokens: before.kvTokens + kvTokens,
      prefillTokens: (before.prefillTokens ?? 0) + prefillTokens,
    });
  }
  return sums;
}
