/**
 * Fans store updates out through peers. Each change costs the store one call per watching instance, and each watch is
 * renewed every few seconds. So a few instances watch the store and the others long-poll their update sources in
 * rotation. If no source gives updates, the instance queries the store within the same call.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreChanges, StoreRangePort } from '@skylarksail/store/StoreRange';
import { getEra } from '@skylarksail/store/StoreRevisions';
import type { Mirror, MirrorChanges } from './RelayMirror.js';
import type { UpdateState } from './RelayStaleness.js';
import { createStalenessTracker } from './RelayStaleness.js';
import { createStoreReads } from './RelayStoreReads.js';
import type { FanoutLevelValue, FanoutRole } from './RelayFanout.js';
import { FanoutLevel } from './RelayFanout.js';
import type { InstanceEntry } from './RelayTypes.js';
import type { RelayRooms } from './RelayRooms.js';
import type { RelayWork, RoomReport, WorkReport } from './RelayWork.js';

/** Long poll to an update source, which may delay its answer until there are updates. */
export interface UpdateQuery {
  /** The instance has all changes up to this revision. */
  readonly since: number;
  readonly hold: Millis;
  /** Fan-out level of the instance that asks. */
  readonly level: FanoutLevelValue;
  /** Whether it accepts a full snapshot instead of changes. */
  readonly takesWhole: boolean;
  readonly from: InstanceId;
  readonly work: WorkReport;
  /** Memory of the domains that the sender knows of; sent by aggregators to watchers. */
  readonly rooms?: readonly RoomReport[];
}

/**
 * Answer of an update source. `deaf`: it cannot serve updates, since it lost the store, is stale or leaving, is no
 * closer to the store, or lacks changes since that revision; `silent`: no valid answer arrived. Metric names contain
 * the kinds.
 */
export type UpdateAnswer =
  | {
      readonly kind: 'news';
      readonly changes: MirrorChanges;
      /** Time since the source's copy was in sync with the store. */
      readonly age: Millis;
      /** How long it delayed the answer. */
      readonly held: Millis;
      /** Work that other instances of the source's domain reported. */
      readonly others: WorkReport;
      /** Memory of the domains that the source knows of; sources of an earlier version send none. */
      readonly rooms?: readonly RoomReport[];
    }
  | { readonly kind: 'deaf' }
  | { readonly kind: 'silent' };

/** Queries a peer for updates. */
export type AskForUpdates = (
  peer: InstanceEntry,
  ask: UpdateQuery,
  timeout: Millis,
) => Promise<UpdateAnswer>;

export interface RelayUpdatesOptions {
  readonly self: InstanceId;
  readonly timers: TimerService;
  readonly store: StoreRangePort;
  readonly mirror: Mirror;
  readonly askForUpdates: AskForUpdates;
  /** Time within which an acknowledged configuration change must be in force at all instances. */
  readonly changeTime: Millis;
  /** Fan-out role of this instance; without sources it watches the store. */
  readonly getRole: () => FanoutRole;
  readonly work: Pick<RelayWork, 'recordReport' | 'summarizeFor' | 'recordSummary'>;
  readonly readOwnWork: () => WorkReport;
  readonly rooms: Pick<RelayRooms, 'list' | 'record' | 'selectWork'>;
  /** Whether engines of the own domain are so full that free capacity depends on the work of other instances. */
  readonly isCrowded: () => boolean;
  /** No source gave updates: this instance watches the store directly for a while. */
  readonly onDirectWatch: (sources: readonly InstanceId[]) => void;
}

export interface RelayUpdates {
  /** The store's port, with watches served by update sources where possible. */
  readonly port: StoreRangePort;
  /** Answers a peer's query as soon as there are updates or its hold time ends. */
  answer(ask: UpdateQuery): Promise<UpdateAnswer>;
  /** The mirror has all changes up to a revision. */
  noteCaughtUp(revision: number): void;
  /** A peer other than the sources was in sync with the store `age` ago, and its changes are applied. */
  noteSynced(age: Millis): void;
  /** Records whether the store, or a source that reaches it, answers. */
  setReachable(isReachable: boolean): void;
  /** Whether the store or a source answers, and the local copy is fresh enough. */
  isCurrent(): boolean;
  readState(): UpdateState;
  /** This instance shuts down and stops being a source. */
  noteLeaving(): void;
}

/**
 * Longest hold of a long poll, as a share of the time in which a change must be in force. A source that is cut off from
 * the store and has not detected it answers that there are no changes. The next source is asked then, so such a fault
 * delays a change by this time. Shorter holds cost more: polls are the largest part of what an idle instance does.
 */
const HOLD_SHARE = 0.3;
/**
 * Longest hold while engines of the own domain are near their limit. Instances that exchange their work less often see
 * the same free capacity and overfill it together. Used always, such frequent polls would cost more than requests.
 */
const MAX_CROWDED_HOLD: Millis = 200;
/** Timeout of a query beyond its hold time; the source then counts as unresponsive. */
const ANSWER_MARGIN: Millis = 300;
/** Backoff after a source did not answer; the entry of a dead source expires meanwhile. */
const SILENT_BACKOFF: Millis = 6000;
/**
 * Time of direct watching after no source gave updates. With flapping sources, each update would otherwise cost a call
 * to each of them and one to the store.
 */
const DIRECT_WATCH_TIME: Millis = 2000;
/**
 * Staleness above which a source refuses to answer. It covers a watch (its own or a watcher's), two queries, one of
 * them to a dead source, and the latency of the answers. Otherwise a source with a dead connection to the store would
 * keep answering that there are no changes, and each level would detect this seconds after the one before it.
 */
const MAX_SOURCE_AGE: Millis = 2600;
/**
 * Staleness above which an instance does not count as current, even if no call has failed yet: the longest watch, the
 * time in which its answer must begin, and a margin. A granter of retries must notice when others may grant in its
 * place.
 */
const MAX_CURRENT_AGE: Millis = 3500;

/** Starts without data; sends no query before the port is used. */
export function createRelayUpdates(options: RelayUpdatesOptions): RelayUpdates {
  const { timers, store, mirror } = options;
  const longestHold = HOLD_SHARE * options.changeTime;
  const backoffUntil = new Map<InstanceId, Millis>();
  const waiting = new Set<() => void>();
  let directWatchUntil = -Infinity;
  let rotation = 0;
  let lostAt: Millis | null = null;
  let isLeaving = false;
  const age = createStalenessTracker(timers);
  const direct = createStoreReads({
    timers,
    store,
    mirror,
    age,
    isShared: () => options.getRole().isShared,
    getLostAt: () => lostAt,
  });

  function releaseWaiters(): void {
    [...waiting].forEach((release) => release());
  }

  /** Sources to ask, rotated by one with each call. */
  function listCandidates(): readonly InstanceEntry[] {
    const now = timers.now();
    // An instance that has lost the store asks the sources each time: a recovered source is cheaper than the store.
    if (now < directWatchUntil && lostAt === null) {
      return [];
    }
    const sources = options
      .getRole()
      .sources.filter(({ id }) => (backoffUntil.get(id) ?? -Infinity) <= now);
    rotation += 1;
    const first = rotation % Math.max(1, sources.length);
    return [...sources.slice(first), ...sources.slice(0, first)];
  }

  /** An aggregator that watches the store directly, since no watcher gives updates, may serve other aggregators too. */
  function getLevel(): FanoutLevelValue {
    return timers.now() < directWatchUntil ? FanoutLevel.Watcher : options.getRole().level;
  }

  function pruneBackoffs(): void {
    const ids = new Set(options.getRole().sources.map(({ id }) => id));
    [...backoffUntil.keys()].filter((id) => !ids.has(id)).forEach((id) => backoffUntil.delete(id));
  }

  /** Field `rooms` of a message; none where no model's memory is shared, so that messages are as before. */
  function listRooms(): { readonly rooms?: readonly RoomReport[] } {
    const rooms = options.rooms.list();
    return rooms.length > 0 ? { rooms } : {};
  }

  async function askSource(
    source: InstanceEntry,
    since: number,
    wait: Millis,
  ): Promise<StoreChanges | null> {
    const work = options.readOwnWork();
    const maxHold = Math.min(wait, options.isCrowded() ? MAX_CROWDED_HOLD : longestHold);
    // A source that did not answer last time is asked without a hold, so that a second failure causes no long delay.
    const hold = backoffUntil.has(source.id) ? 0 : maxHold;
    const { level } = options.getRole();
    const sent = level === FanoutLevel.Aggregator ? listRooms() : {};
    const query = { since, hold, level, takesWhole: true, from: options.self, work, ...sent };
    const askedAt = timers.now();
    const answer = await options.askForUpdates(source, query, hold + ANSWER_MARGIN);
    if (answer.kind === 'silent') {
      backoffUntil.set(source.id, timers.now() + SILENT_BACKOFF);
      pruneBackoffs();
    } else {
      backoffUntil.delete(source.id);
    }
    if (answer.kind !== 'news' || getEra(answer.changes.revision) < getEra(since)) {
      return null;
    }
    // The full network round trip counts as age, since the time at which the source answered is unknown.
    const transit = Math.max(0, timers.now() - askedAt - answer.held);
    age.noteAnswer(source.id, answer.age + transit);
    options.work.recordSummary(answer.others);
    options.rooms.record(answer.rooms ?? [], transit);
    const { changes } = answer;
    return { kind: 'events', events: mirror.toEvents(changes), revision: changes.revision };
  }

  async function watchRange(
    ...args: Parameters<StoreRangePort['watchRange']>
  ): Promise<StoreOutcome<StoreChanges>> {
    const [prefix, followedRevision, wait, callOptions] = args;
    // Other peers may have given later changes.
    const since = Math.max(followedRevision, mirror.getCompleteRevision());
    const asked = listCandidates();
    for (const source of asked) {
      const value = await askSource(source, since, wait);
      if (value !== null) {
        directWatchUntil = -Infinity;
        return { kind: 'done', value };
      }
    }
    if (asked.length === 0) {
      return direct.watchRange(prefix, since, wait, callOptions);
    }
    startDirectWatch(asked);
    // Without a wait, so that a failure of the store is detected at once and not after a watch without changes.
    return direct.watchRange(prefix, since, 0, { timeout: callOptions.timeout - wait });
  }

  /** While the store is lost, each round ends here; only the first is reported. */
  function startDirectWatch(asked: readonly InstanceEntry[]): void {
    if (timers.now() >= directWatchUntil) {
      options.onDirectWatch(asked.map(({ id }) => id));
    }
    directWatchUntil = timers.now() + DIRECT_WATCH_TIME;
  }

  function waitForUpdates(hold: Millis): Promise<void> {
    return new Promise((resolve) => {
      const cancelTimeout = timers.registerTimeout(hold, release);
      function release(): void {
        cancelTimeout();
        waiting.delete(release);
        resolve();
      }
      waiting.add(release);
    });
  }

  /**
   * Only an instance closer to the store may answer: two that polled each other would both miss all changes undetected.
   * One that started after the requested revision lacks earlier removals, and would leave deleted keys at the other.
   * One that has not seen the era of the requested revision knows nothing of what is in force.
   */
  function canAnswer({ since, level, takesWhole }: UpdateQuery): boolean {
    return (
      lostAt === null &&
      age.get() <= MAX_SOURCE_AGE &&
      getLevel() < level &&
      !isLeaving &&
      hasEraOf(since) &&
      (mirror.hasChangesSince(since) || (takesWhole && mirror.hasFullState()))
    );
  }

  /**
   * Whether this instance knows the era of a peer's revision. A peer whose revision has none while this one's has runs
   * an earlier version, which would take each answer for a change; it then asks the store.
   */
  function hasEraOf(since: number): boolean {
    const era = getEra(since);
    const own = getEra(mirror.getCompleteRevision());
    return era <= own && (era > 0 || own === 0);
  }

  /** Whether this instance has nothing new for a peer at this revision. */
  function isUpToDate(since: number): boolean {
    return mirror.hasChangesSince(since) && mirror.getCompleteRevision() <= since;
  }

  function createAnswer(ask: UpdateQuery, held: Millis): UpdateAnswer {
    if (!canAnswer(ask)) {
      return { kind: 'deaf' };
    }
    return {
      kind: 'news',
      changes: mirror.readSince(ask.since, ask.takesWhole),
      age: age.get(),
      held,
      others: options.work.summarizeFor(ask.from),
      ...listRooms(),
    };
  }

  return {
    port: {
      readRange: direct.readRange,
      watchRange,
      write: (...args) => store.write(...args),
      grantLease: (...args) => store.grantLease(...args),
      renewLease: (...args) => store.renewLease(...args),
      revokeLease: (...args) => store.revokeLease(...args),
    },
    async answer(ask) {
      const { since, hold } = ask;
      const askedAt = timers.now();
      options.work.recordReport(ask.from, options.rooms.selectWork(ask.from, ask.work));
      // The time that the query took to arrive is unknown here, but short compared with the age at which rooms expire.
      options.rooms.record(ask.rooms ?? [], 0);
      if (canAnswer(ask) && isUpToDate(since) && hold > 0) {
        await waitForUpdates(Math.min(hold, longestHold));
      }
      return createAnswer(ask, timers.now() - askedAt);
    },
    noteCaughtUp(revision) {
      age.noteApplied();
      if (mirror.noteComplete(revision)) {
        releaseWaiters();
      }
    },
    noteSynced: age.noteSynced,
    setReachable(isReachable) {
      if (isReachable) {
        lostAt = null;
      } else {
        lostAt ??= timers.now();
        releaseWaiters();
      }
    },
    isCurrent: () => lostAt === null && age.get() <= MAX_CURRENT_AGE,
    readState: age.readState,
    noteLeaving() {
      isLeaving = true;
      releaseWaiters();
    },
  };
}
