/**
 * Keeps the rooms (memory for running requests) of the other domains, which instances pass on with their queries for updates and the
 * answers: the youngest report by domain and model.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, InstanceId, Millis, ModelId } from '@skylarksail/core/CoreTypes';
import type { OwnRoom } from '@skylarksail/daemon/DaemonRouting';
import { MAX_ROOM_AGE } from '@skylarksail/routing/RoutingSpillover';
import type { DomainUse, KnownRoom } from '@skylarksail/routing/RoutingTypes';
import type { RoomReport, WorkReport } from './RelayWork.js';

export interface RelayRoomsOptions {
  readonly timers: TimerService;
  /** Domain of this instance. */
  readonly domain: DomainId;
  readonly readOwnRooms: () => readonly OwnRoom[];
  /** Whether the deployment has the domain, and the configuration the model with shared memory. */
  readonly isKnown: (domain: DomainId, model: ModelId) => boolean;
  /** Domain of another instance; null if it is not known. */
  readonly getDomain: (instance: InstanceId) => DomainId | null;
  /** Whether requests share the memory of an engine's model. */
  readonly isShared: (engine: EngineId) => boolean;
  /** Called after younger rooms were recorded. */
  readonly onRooms: (rooms: readonly KnownRoom[]) => void;
  /** Called for the first report with absurd values of each domain and model. */
  readonly onAbsurd: (report: RoomReport) => void;
}

export interface RelayRooms {
  /** Rooms of the own and other domains, with their age. */
  list(): readonly RoomReport[];
  /** Records rooms that another instance sent; `transit` is the longest time that they may have taken to arrive. */
  record(reports: readonly RoomReport[], transit: Millis): void;
  /**
   * The part of an instance's work that counts for the own domain. Aggregators of other domains report to watchers too,
   * and their work is counted in the rooms of their domains.
   */
  selectWork(from: InstanceId, work: WorkReport): WorkReport;
}

/**
 * Use over capacity above which a report is absurd. Requests that wait count as use, so after the loss of most of its
 * engines, a domain's use may be several times its capacity.
 */
const MAX_SHARE = 100;

export function createRelayRooms(options: RelayRoomsOptions): RelayRooms {
  const { timers, domain: own } = options;
  const known = new Map<string, KnownRoom>();
  const loggedKeys = new Set<string>();

  function isFresh({ seenAt }: { readonly seenAt: Millis }): boolean {
    return timers.now() - seenAt <= MAX_ROOM_AGE;
  }

  /**
   * Drops rooms of domains and models that were removed. Expired ones stay, so that a
   * domain's next report shows the end of an interruption.
   */
  function dropRemoved(): void {
    [...known]
      .filter(([, { domain, model }]) => !options.isKnown(domain, model))
      .forEach(([key]) => known.delete(key));
  }

  /** Records a report if it is younger than the known one; returns whether it is. */
  function recordOne(report: RoomReport, transit: Millis): boolean {
    const { domain, model, capacity, used, age } = report;
    if (domain === own || !options.isKnown(domain, model)) {
      return false;
    }
    const key = JSON.stringify([domain, model]);
    if (isAbsurd(report)) {
      if (!loggedKeys.has(key)) {
        loggedKeys.add(key);
        options.onAbsurd(report);
      }
      return false;
    }
    const seenAt = timers.now() - age - transit;
    const before = known.get(key);
    if (!isFresh({ seenAt }) || (before && before.seenAt >= seenAt)) {
      return false;
    }
    const since = before && !isFresh(before) ? timers.now() : (before?.since ?? -Infinity);
    const abroad = selectUses(report);
    known.set(key, { domain, model, capacity, used, abroad, seenAt, since });
    return true;
  }

  /** Uses of known domains, each once. */
  function selectUses({ abroad = [], domain, model }: RoomReport): readonly DomainUse[] {
    const used = new Map(abroad.map((use) => [use.domain, use.used]));
    return [...used]
      .filter(([other]) => other !== domain && options.isKnown(other, model))
      .map(([other, tokens]) => ({ domain: other, used: tokens }));
  }

  function listOwn(): readonly RoomReport[] {
    return options
      .readOwnRooms()
      .filter(isFresh)
      .map(({ seenAt, ...room }) => ({ ...room, domain: own, age: timers.now() - seenAt }));
  }

  return {
    list() {
      const others = [...known.values()].filter(isFresh);
      return [
        ...listOwn(),
        ...others.map(({ domain, model, capacity, used, abroad, seenAt }) => ({
          domain,
          model,
          capacity,
          used,
          abroad,
          age: timers.now() - seenAt,
        })),
      ];
    },
    record(reports, transit) {
      if (reports.filter((report) => recordOne(report, transit)).length > 0) {
        dropRemoved();
        options.onRooms([...known.values()]);
      }
    },
    selectWork(from, work) {
      const domain = options.getDomain(from);
      if (domain === null || domain === own) {
        return work;
      }
      // Teams are counted on the engines of the reporter's own domain only.
      const { teams, ...others } = work;
      const running = work.running.filter(({ engine }) => !options.isShared(engine));
      return { ...others, running };
    },
  };
}

function isAbsurd({ capacity, used, age, abroad = [] }: RoomReport): boolean {
  const counts = [capacity, used, age, ...abroad.map((use) => use.used)];
  return (
    !counts.every((value) => Number.isFinite(value) && value >= 0) || used > MAX_SHARE * capacity
  );
}
