/**
 * What this instance knows of backend servers. Each engine is polled by one instance of its domain.
 * What changes seldom travels as a notice to the others, load as a small digest on membership's
 * messages; a starting instance asks a peer for all of it.
 */
import { z } from 'zod';
import { InstanceRole, LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { Random } from '@skylarksail/core/CoreRandom';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createCallTopic, createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import { createLoadSpread } from '@skylarksail/membership/MembershipLoad';
import type { InstanceRecord } from '@skylarksail/store/StorePort';
import type { EngineStatus, FetchEngineStatus } from './DaemonEngineStatus.js';
import { engineStatusSchema, hasReportChanged } from './DaemonEngineStatus.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** How often an engine is polled. A leaving engine must get no new work within 3 s. */
export const ENGINE_POLL_PERIOD: Millis = 2000;
const DIGEST_PERIOD: Millis = 500;
const FOREIGN_PERIOD: Millis = 5000;
const PEER_TIMEOUT: Millis = 1500;

/** Engines of another domain that are told at once; more would not fit the bytes of a node. */
const MAX_FOREIGN = 64;

interface KnownReport {
  readonly status: EngineStatus;
  readonly seenAt: Millis;
}

/** A report on its way between instances; `age` is in milliseconds. */
interface SentReport {
  readonly status: EngineStatus;
  readonly age: Millis;
}

const sentReportSchema = z.object({ status: engineStatusSchema, age: z.number().min(0) });
const REPORT_NOTICE = createNoticeTopic<SentReport>('engine-report');
const REPORTS_CALL = createCallTopic<{ readonly limit: number }, readonly SentReport[]>(
  'engine-reports',
);

/** What the directory tells its listener. */
export interface EngineListener {
  onFacts(facts: readonly EngineFacts[]): void;
  /** Reports that came together, which are cheaper to take in together. */
  onLoads(reports: readonly SeenEngineLoad[]): void;
  onLeaving(engine: EngineId): void;
  /** The engine did not answer its poll. */
  onPollUnanswered(engine: EngineId): void;
}

export interface EngineDirectory {
  /** Takes in a new reading of the instance list. */
  setRecords(records: readonly InstanceRecord[]): void;
  findAddress(id: EngineId): HostPort | null;
  /** Live backend servers of a plain service: those whose id is the service's, or `service/…`. */
  listServers(service: string): readonly EngineId[];
  listEngines(): readonly EngineFacts[];
  listReports(): readonly EngineStatus[];
  registerListener(listener: EngineListener): Unregister;
  start(): Unregister;
}

export interface EngineDirectoryOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly fleet: DaemonFleet;
  readonly fetchStatus: FetchEngineStatus;
  /** Duties that are held besides polling. */
  readonly otherDuties: readonly string[];
}

export function createEngineDirectory(options: EngineDirectoryOptions): EngineDirectory {
  const { domain, timers, random, fleet } = options;
  const listeners = new Set<EngineListener>();
  const records = new Map<string, InstanceRecord>();
  const reports = new Map<EngineId, KnownReport>();
  const polling = new Set<EngineId>();
  const loads = createLoadSpread();

  function setRecords(list: readonly InstanceRecord[]): void {
    records.clear();
    list
      .filter(({ role }) => role !== InstanceRole.Entry)
      .forEach((record) => records.set(record.id, record));
    const gone = [...reports.keys()].filter((id) => !records.has(id));
    gone.forEach((id) => reports.delete(id));
    if (gone.length > 0) {
      tellFacts();
    }
    const engines = listOwnEngines();
    fleet.duties.setDuties([...options.otherDuties, ...engines.map(({ id }) => getPollDuty(id))]);
    [...records.values()]
      .filter(({ role, state }) => role === InstanceRole.Engine && state === LifeState.Leaving)
      .forEach(({ id }) => tell((listener) => listener.onLeaving(id)));
    pollUnknown();
  }

  function listOwnEngines(): readonly InstanceRecord[] {
    return [...records.values()].filter(
      (record) => record.role === InstanceRole.Engine && record.domain === domain,
    );
  }

  function tell(act: (listener: EngineListener) => void): void {
    listeners.forEach(act);
  }

  function tellFacts(): void {
    const facts = [...reports.values()].map(({ status }) => status.facts);
    tell((listener) => listener.onFacts(facts));
  }

  async function poll(record: InstanceRecord): Promise<void> {
    // An engine that hangs must not collect one waiting poll after another.
    if (polling.has(record.id)) {
      return;
    }
    polling.add(record.id);
    const status = await options.fetchStatus(record.address);
    polling.delete(record.id);
    if (!status || status.load.engine !== record.id || !records.has(record.id)) {
      tell((listener) => listener.onPollUnanswered(record.id));
      return;
    }
    const { domain: ownDomain, rack, address } = record;
    const facts = { ...status.facts, domain: ownDomain, rack, address };
    const polled = { ...status, facts };
    const isNews = hasReportChanged(reports.get(record.id)?.status, polled);
    takeReport(polled, timers.now());
    loads.recordLoad(polled.load, timers.now());
    if (isNews && fleet.duties.isOwn(getPollDuty(record.id))) {
      tellPeers(polled);
    }
  }

  function takeReport(status: EngineStatus, seenAt: Millis): void {
    const { id } = status.facts;
    const known = reports.get(id);
    if (known && known.seenAt > seenAt) {
      return;
    }
    reports.set(id, { status, seenAt });
    if (!known || JSON.stringify(known.status.facts) !== JSON.stringify(status.facts)) {
      tellFacts();
    }
    tell((listener) => listener.onLoads([{ load: status.load, seenAt }]));
  }

  function tellPeers(status: EngineStatus): void {
    fleet
      .listOwnDomain()
      .forEach((peer) => fleet.calls.notify(peer, REPORT_NOTICE, { status, age: 0 }));
  }

  /** Polls what nobody has told of yet, so that the first start and a lost notice heal by themselves. */
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

  /** Brings what digests say into the reports of engines that others poll. */
  function readDigests(): void {
    const news: SeenEngineLoad[] = [];
    reports.forEach(({ status, seenAt }, id) => {
      const told = loads.getLoad(id);
      if (told && told.seenAt > seenAt) {
        const { running, queued, kvUsed, state } = told;
        const load = { ...status.load, running, queued, kvUsed, state };
        reports.set(id, { status: { ...status, load }, seenAt: told.seenAt });
        news.push({ load, seenAt: told.seenAt });
      }
    });
    if (news.length > 0) {
      tell((listener) => listener.onLoads(news));
    }
  }

  /** Asks one instance of each other domain, so that its engines can be borrowed when it comes to that. */
  async function askForeign(): Promise<void> {
    const live = fleet.membership.getLiveInstances().filter((peer) => peer.domain !== domain);
    const domains = [...new Set(live.map((peer) => peer.domain))];
    await Promise.all(
      domains.map((foreign) =>
        askPeer(live.filter((peer) => peer.domain === foreign).map(({ id }) => id)),
      ),
    );
  }

  async function askPeer(candidates: readonly string[]): Promise<void> {
    const [peer] = sampleElements(random, candidates, 1);
    if (peer === undefined) {
      return;
    }
    const question = { limit: MAX_FOREIGN };
    const reply = await fleet.calls.call(peer, REPORTS_CALL, question, PEER_TIMEOUT);
    const parsed = z.array(sentReportSchema).safeParse(reply.ok ? reply.value : null);
    if (parsed.success) {
      parsed.data.forEach(receiveReport);
    }
  }

  function receiveReport({ status, age }: SentReport): void {
    // Only what the platform lists is an engine; a report of anything else is out of date.
    if (records.has(status.facts.id)) {
      takeReport(status, timers.now() - age);
    }
  }

  function sendReports(limit: number): readonly SentReport[] {
    const own = [...reports.values()].filter(({ status }) => status.facts.domain === domain);
    return sampleElements(random, own, Math.min(limit, MAX_FOREIGN)).map(({ status, seenAt }) => ({
      status,
      age: timers.now() - seenAt,
    }));
  }

  function start(): Unregister {
    const undo = [
      fleet.membership.registerTopic(loads.topic),
      fleet.calls.registerHandler(REPORTS_CALL, ({ limit }) => sendReports(Number(limit) || 0)),
      fleet.calls.registerNotice(REPORT_NOTICE, (sent) => {
        const parsed = sentReportSchema.safeParse(sent);
        if (parsed.success) {
          receiveReport(parsed.data);
        }
      }),
      timers.registerInterval(ENGINE_POLL_PERIOD, pollOwned),
      timers.registerInterval(DIGEST_PERIOD, readDigests),
      timers.registerInterval(FOREIGN_PERIOD, () => {
        void askForeign();
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
    start,
  };
}

function getPollDuty(engine: EngineId): string {
  return `poll/${engine}`;
}
