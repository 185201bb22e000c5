/**
 * Directory of the backend servers. Each engine is polled by one instance of its domain, which notifies the
 * others when a rarely changing field changes; load spreads in small digests on membership messages. An instance that
 * has heard nothing of an engine for longer polls it itself. Reports on engines of another domain are queried from one
 * of its instances.
 */
import { z } from 'zod';
import { InstanceRole, LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createCallTopic, createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import { createLoadGossip } from '@skylarksail/membership/MembershipLoad';
import type { InstanceRecord } from '@skylarksail/store/StorePort';
import type { EngineStatus, FetchEngineStatus } from './DaemonEngineStatus.js';
import { engineStatusSchema, hasReportChanged } from './DaemonEngineStatus.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** Polling period of an engine. New work to a leaving engine must stop within 3 s. */
export const ENGINE_POLL_PERIOD: Millis = 2000;
const DIGEST_PERIOD: Millis = 500;
/**
 * Age of a report at which an instance polls an engine that another one should poll. Routing takes an engine for gone
 * soon after, but the reports may be late because of the instance that polls it, or of the way from there.
 */
const STALE_REPORT_AGE: Millis = 4000;
/** Maximum number of such polls at a time, so that a domain whose reports are all late is not flooded. */
const MAX_STALE_POLLS = 2;
const FOREIGN_QUERY_PERIOD: Millis = 5000;
const PEER_TIMEOUT: Millis = 1500;

/** Maximum number of reports in a reply to another domain; more would exceed the byte limit per instance. */
const MAX_FOREIGN_REPORTS = 64;

/** The latest report of an engine, and when it was made, on the clock of this instance. */
export interface KnownReport {
  readonly status: EngineStatus;
  readonly seenAt: Millis;
}

/** A report as sent between instances; `age` is in milliseconds, since clocks differ between instances. */
interface SentReport {
  readonly status: EngineStatus;
  readonly age: Millis;
}

const sentReportSchema = z.object({ status: engineStatusSchema, age: z.number().min(0) });
const REPORT_NOTICE = createNoticeTopic<SentReport>('engine-report');
const REPORTS_CALL = createCallTopic<{ readonly limit: number }, readonly SentReport[]>(
  'engine-reports',
);

/** Listener for changes of the directory. */
export interface EngineListener {
  onFacts(facts: readonly EngineFacts[]): void;
  /** Receives load reports in batches, since processing them together is cheaper. */
  onLoads(reports: readonly SeenEngineLoad[]): void;
  onLeaving(engine: EngineId): void;
  /** A poll of the engine failed, or returned the report of another engine. */
  onPollUnanswered(engine: EngineId): void;
}

export interface EngineDirectory {
  /** Replaces the platform's instance list, which includes engines and the servers of plain services. */
  setRecords(records: readonly InstanceRecord[]): void;
  findAddress(id: EngineId): HostPort | null;
  /** Live backend servers of a plain service: those whose ID equals the service's, or starts with `service/`. */
  listServers(service: string): readonly EngineId[];
  listEngines(): readonly EngineFacts[];
  listReports(): readonly EngineStatus[];
  findReport(id: EngineId): KnownReport | null;
  registerListener(listener: EngineListener): Unregister;
  start(): Unregister;
}

export interface EngineDirectoryOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly fleet: DaemonFleet;
  readonly fetchStatus: FetchEngineStatus;
  /** Duties besides polling; they are assigned together with the polling duties. */
  readonly otherDuties: readonly string[];
}

export function createEngineDirectory(options: EngineDirectoryOptions): EngineDirectory {
  const { domain, timers, random, fleet } = options;
  const listeners = new Set<EngineListener>();
  const records = new Map<string, InstanceRecord>();
  const reports = new Map<EngineId, KnownReport>();
  const pollsInFlight = new Set<EngineId>();
  const polledAt = new Map<EngineId, Millis>();
  const loadSpread = createLoadGossip();

  function setRecords(list: readonly InstanceRecord[]): void {
    records.clear();
    list
      .filter(({ role }) => role !== InstanceRole.Entry)
      .forEach((record) => records.set(record.id, record));
    const gone = [...reports.keys()].filter((id) => !records.has(id));
    gone.forEach((id) => reports.delete(id));
    [...polledAt.keys()].filter((id) => !records.has(id)).forEach((id) => polledAt.delete(id));
    if (gone.length > 0) {
      notifyFacts();
    }
    const engines = listOwnEngines();
    fleet.duties.setDuties([...options.otherDuties, ...engines.map(({ id }) => getPollDuty(id))]);
    [...records.values()]
      .filter(({ role, state }) => role === InstanceRole.Engine && state === LifeState.Leaving)
      .forEach(({ id }) => notifyListeners((listener) => listener.onLeaving(id)));
    pollUnknown();
  }

  function listOwnEngines(): readonly InstanceRecord[] {
    return [...records.values()].filter(
      (record) => record.role === InstanceRole.Engine && record.domain === domain,
    );
  }

  function notifyListeners(act: (listener: EngineListener) => void): void {
    listeners.forEach(act);
  }

  function notifyFacts(): void {
    const facts = [...reports.values()].map(({ status }) => status.facts);
    notifyListeners((listener) => listener.onFacts(facts));
  }

  async function poll(record: InstanceRecord): Promise<void> {
    // Polls of an engine that hangs must not accumulate.
    if (pollsInFlight.has(record.id)) {
      return;
    }
    pollsInFlight.add(record.id);
    polledAt.set(record.id, timers.now());
    const status = await options.fetchStatus(record.address);
    pollsInFlight.delete(record.id);
    if (!status || status.load.engine !== record.id || !records.has(record.id)) {
      notifyListeners((listener) => listener.onPollUnanswered(record.id));
      return;
    }
    const { domain: ownDomain, rack, address } = record;
    const facts = { ...status.facts, domain: ownDomain, rack, address };
    const polled = { ...status, facts };
    const hasChanged = hasReportChanged(reports.get(record.id)?.status, polled);
    storeReport(polled, timers.now());
    loadSpread.recordLoad(polled.load, timers.now());
    if (hasChanged && fleet.duties.isOwn(getPollDuty(record.id))) {
      notifyPeers(polled);
    }
  }

  function storeReport(status: EngineStatus, seenAt: Millis): void {
    const { id } = status.facts;
    const known = reports.get(id);
    if (known && known.seenAt > seenAt) {
      return;
    }
    reports.set(id, { status, seenAt });
    if (!known || JSON.stringify(known.status.facts) !== JSON.stringify(status.facts)) {
      notifyFacts();
    }
    notifyListeners((listener) => listener.onLoads([{ load: status.load, seenAt }]));
  }

  function notifyPeers(status: EngineStatus): void {
    fleet
      .listOwnDomain()
      .forEach((peer) => fleet.calls.notify(peer, REPORT_NOTICE, { status, age: 0 }));
  }

  /** Polls engines without a report, which covers the first start and lost notices. */
  function pollUnknown(): void {
    listOwnEngines()
      .filter(({ id }) => !reports.has(id))
      .forEach((record) => {
        void poll(record);
      });
  }

  function pollOwned(): void {
    listOwnEngines()
      .filter(({ id }) => fleet.duties.isOwn(getPollDuty(id)))
      .forEach((record) => {
        void poll(record);
      });
  }

  /** Polls the engines whose reports are oldest, if those are stale, each no more often than its owner would. */
  function pollStale(): void {
    const now = timers.now();
    const getSeenAt = (id: EngineId): Millis => reports.get(id)?.seenAt ?? now;
    listOwnEngines()
      .filter(({ id }) => now - getSeenAt(id) >= STALE_REPORT_AGE)
      .filter(({ id }) => now - (polledAt.get(id) ?? -Infinity) >= ENGINE_POLL_PERIOD)
      .sort((a, b) => getSeenAt(a.id) - getSeenAt(b.id))
      .slice(0, MAX_STALE_POLLS)
      .forEach((record) => {
        void poll(record);
      });
  }

  /** Applies load digests to the reports of engines that other instances poll. */
  function applyDigests(): void {
    const updates: SeenEngineLoad[] = [];
    const now = timers.now();
    reports.forEach(({ status, seenAt }, id) => {
      const told = loadSpread.getLoad(id, now);
      if (told && told.seenAt > seenAt) {
        const { running, queued, kvUsed, state } = told;
        const load = { ...status.load, running, queued, kvUsed, state };
        reports.set(id, { status: { ...status, load }, seenAt: told.seenAt });
        updates.push({ load, seenAt: told.seenAt });
      }
    });
    if (updates.length > 0) {
      notifyListeners((listener) => listener.onLoads(updates));
    }
  }

  /** Queries one instance of each other domain, so that requests can run on engines of that domain if needed. */
  async function queryForeignDomains(): Promise<void> {
    const live = fleet.membership.getLiveInstances().filter((peer) => peer.domain !== domain);
    const domains = [...new Set(live.map((peer) => peer.domain))];
    await Promise.all(
      domains.map((foreign) =>
        queryPeer(live.filter((peer) => peer.domain === foreign).map(({ id }) => id)),
      ),
    );
  }

  async function queryPeer(candidates: readonly string[]): Promise<void> {
    const [peer] = sampleElements(random, candidates, 1);
    if (peer === undefined) {
      return;
    }
    const query = { limit: MAX_FOREIGN_REPORTS };
    const reply = await fleet.calls.call(peer, REPORTS_CALL, query, PEER_TIMEOUT);
    const parsed = z.array(sentReportSchema).safeParse(reply.ok ? reply.value : null);
    if (parsed.success) {
      parsed.data.forEach(receiveReport);
    }
  }

  function receiveReport({ status, age }: SentReport): void {
    // A report of an engine that is not in the instance list is out of date.
    if (records.has(status.facts.id)) {
      storeReport(status, timers.now() - age);
    }
  }

  function sendReports(limit: number): readonly SentReport[] {
    const own = [...reports.values()].filter(({ status }) => status.facts.domain === domain);
    return sampleElements(random, own, Math.min(limit, MAX_FOREIGN_REPORTS)).map(
      ({ status, seenAt }) => ({
        status,
        age: timers.now() - seenAt,
      }),
    );
  }

  function start(): Unregister {
    const undo = [
      fleet.membership.registerTopic(loadSpread.topic),
      fleet.calls.registerHandler(REPORTS_CALL, ({ limit }) => sendReports(Number(limit) || 0)),
      fleet.calls.registerNotice(REPORT_NOTICE, (sent) => {
        const parsed = sentReportSchema.safeParse(sent);
        if (parsed.success) {
          receiveReport(parsed.data);
        }
      }),
      timers.registerInterval(ENGINE_POLL_PERIOD, pollOwned),
      timers.registerInterval(DIGEST_PERIOD, () => {
        applyDigests();
        pollStale();
      }),
      timers.registerInterval(FOREIGN_QUERY_PERIOD, () => {
        void queryForeignDomains();
        pollUnknown();
      }),
    ];
    pollUnknown();
    return () => undo.forEach((stop) => stop());
  }

  return {
    setRecords,
    findAddress: (id) => records.get(id)?.address ?? null,
    listServers: (service) =>
      [...records.values()]
        .filter(
          ({ id, role, state }) =>
            role === InstanceRole.Service &&
            state === LifeState.Live &&
            (id === service || id.startsWith(`${service}/`)),
        )
        .map(({ id }) => id),
    listEngines: () => [...reports.values()].map(({ status }) => status.facts),
    registerListener(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    listReports: () => [...reports.values()].map(({ status }) => status),
    findReport: (id) => reports.get(id) ?? null,
    start,
  };
}

function getPollDuty(engine: EngineId): string {
  return `poll/${engine}`;
}
