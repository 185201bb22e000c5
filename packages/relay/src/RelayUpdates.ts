/**
 * News of the store by way of peers. Each change costs the store a call of every instance that watches it, and
 * each watch is renewed every few seconds. So a few instances watch the store and the others ask them, or each other, in turn (RelaySources);
 * whoever gets no good answer asks the store itself, within the same call.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from '@skylarksail/store/StorePort';
import type { StoreChanges, StoreRangePort } from '@skylarksail/store/StoreRange';
import type { Mirror, MirrorChanges } from './RelayMirror.js';
import type { UpdateState } from './RelayStaleness.js';
import { createStalenessTracker } from './RelayStaleness.js';
import { createStoreReads } from './RelayStoreReads.js';
import type { FanoutLevelValue, FanoutRole } from './RelayFanout.js';
import { FanoutLevel } from './RelayFanout.js';
import type { InstanceEntry } from './RelayTypes.js';
import type { RelayWork, ToldWork } from './RelayWork.js';

/** What an instance asks a source, which may hold the answer until there is news. */
export interface UpdateQuery {
  /** Everything up to this revision is known. */
  readonly since: number;
  readonly hold: Millis;
  /** How far the asking instance is from the store. */
  readonly level: FanoutLevelValue;
  /** Whether it understands an answer with all that there is. */
  readonly takesWhole: boolean;
  readonly from: InstanceId;
  readonly work: ToldWork;
}

/** What a source says. `deaf`: it does not hear the store, or not since that revision; `silent`: nothing came. */
export type UpdateAnswer =
  | {
      readonly kind: 'news';
      readonly changes: MirrorChanges;
      /** Time since the source knew all that the store held. */
      readonly age: Millis;
      /** How long it held the question. */
      readonly held: Millis;
      /** What others of the source's domain tell. */
      readonly others: ToldWork;
    }
  | { readonly kind: 'deaf' }
  | { readonly kind: 'silent' };

/** Asks a peer for news. */
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
  /** From whom this instance hears; it watches the store itself if there is nobody. */
  readonly getRole: () => FanoutRole;
  readonly work: Pick<RelayWork, 'take' | 'sumFor' | 'hear'>;
  readonly readOwnWork: () => ToldWork;
  /** Whether engines of the own domain are so full that others' work decides where there is room. */
  readonly isCrowded: () => boolean;
  /** No source had news to give, and the store is watched directly for a while. */
  readonly onDirectWatch: (sources: readonly InstanceId[]) => void;
}

export interface RelayUpdates {
  /** The store's port, with watches answered by sources where they can. */
  readonly port: StoreRangePort;
  /** What a peer that asks is told, once there is news or the hold is over. */
  answer(ask: UpdateQuery): Promise<UpdateAnswer>;
  /** The mirror holds all that was told up to a revision. */
  noteCaughtUp(revision: number): void;
  /** A peer beside the sources told all that it knew so long ago. */
  noteSynced(age: Millis): void;
  /** Whether the store, or a source that hears it, answers. */
  setReachable(isReachable: boolean): void;
  isCurrent(): boolean;
  readState(): UpdateState;
  /** This instance leaves, and is no source any longer. */
  noteLeaving(): void;
}

/**
 * How long a source holds a question. A source that was cut off from the store without knowing it answers that
 * there is nothing new; the other source is asked next, so this is what such a fault adds to the time in which
 * a change is heard, of the two to four seconds that it may take.
 */
const HOLD: Millis = 600;
/**
 * The same while engines of the own domain are near their limit: instances that hear of each other's work later than this
 * see the same room and fill it together. Asked so often at all times, questions would cost more than requests.
 */
const CROWDED_HOLD: Millis = 200;
/** Time beyond the hold after which a source is taken for gone. */
const ASK_MARGIN: Millis = 300;
/** A source that gave no answer is not asked again for so long: its entry lapses meanwhile if it is dead. */
const SILENT_PAUSE: Millis = 6000;
/**
 * After no source gave news, the store is watched for so long before they are asked again. Sources that
 * come and go would otherwise cost a call to each of them and one to the store for every piece of news.
 */
const DIRECT_TIME: Millis = 2000;
/**
 * Age of its own news from which a source answers nothing: a watch of its own or of a watcher, two questions, one of them
 * to a source that is dead, and the answers' way. One whose way to the store went silent would else go on to say that
 * there is nothing new, and each level would find out only seconds after the one before it.
 */
const LONGEST_SOURCE_AGE: Millis = 2600;
/**
 * Age of the news from which an instance does not count as hearing, though no call has failed yet: the longest watch with
 * the time in which its answer must begin, and some more. One that lends repeats must know that others may lend for it.
 */
const LONGEST_HEARING_AGE: Millis = 3500;

/** Starts with no news; nothing is asked before the port is. */
export function createRelayUpdates(options: RelayUpdatesOptions): RelayUpdates {
  const { timers, store, mirror } = options;
  const pausedUntil = new Map<InstanceId, Millis>();
  const waiting = new Set<() => void>();
  let directUntil = -Infinity;
  let turn = 0;
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

  function wakeWaiting(): void {
    [...waiting].forEach((wake) => wake());
  }

  /** Sources that may answer, the one whose turn it is first. */
  function listAsked(): readonly InstanceEntry[] {
    const now = timers.now();
    // Who has lost the store asks the sources each time: from one that is back the news cost less than from the store.
    if (now < directUntil && lostAt === null) {
      return [];
    }
    const sources = options
      .getRole()
      .sources.filter(({ id }) => (pausedUntil.get(id) ?? -Infinity) <= now);
    turn += 1;
    const first = turn % Math.max(1, sources.length);
    return [...sources.slice(first), ...sources.slice(0, first)];
  }

  /** An aggregator that watches the store for a while, since no watcher has news, may tell other aggregators too. */
  function getLevel(): FanoutLevelValue {
    return timers.now() < directUntil ? FanoutLevel.Watcher : options.getRole().level;
  }

  function forgetFormerSources(): void {
    const ids = new Set(options.getRole().sources.map(({ id }) => id));
    [...pausedUntil.keys()].filter((id) => !ids.has(id)).forEach((id) => pausedUntil.delete(id));
  }

  async function askSource(
    source: InstanceEntry,
    since: number,
    wait: Millis,
  ): Promise<StoreChanges | null> {
    // One that was silent is to say that it is back, and not to hold up whoever waits for news once more.
    const work = options.readOwnWork();
    const longest = Math.min(wait, options.isCrowded() ? CROWDED_HOLD : HOLD);
    const hold = pausedUntil.has(source.id) ? 0 : longest;
    const { level } = options.getRole();
    const ask = { since, hold, level, takesWhole: true, from: options.self, work };
    const askedAt = timers.now();
    const answer = await options.askForUpdates(source, ask, hold + ASK_MARGIN);
    if (answer.kind === 'silent') {
      pausedUntil.set(source.id, timers.now() + SILENT_PAUSE);
      forgetFormerSources();
    } else {
      pausedUntil.delete(source.id);
    }
    if (answer.kind !== 'news') {
      return null;
    }
    // The way there and back counts in full, since nobody knows when on it the answer was given.
    age.noteAnswer(source.id, answer.age + Math.max(0, timers.now() - askedAt - answer.held));
    options.work.hear(answer.others);
    const { changes } = answer;
    return { kind: 'events', events: mirror.toEvents(changes), revision: changes.revision };
  }

  async function watchRange(
    ...args: Parameters<StoreRangePort['watchRange']>
  ): Promise<StoreOutcome<StoreChanges>> {
    const [prefix, followed, wait, callOptions] = args;
    // Peers beside the sources may have told more.
    const since = Math.max(followed, mirror.getCompleteRevision());
    const asked = listAsked();
    for (const source of asked) {
      const value = await askSource(source, since, wait);
      if (value !== null) {
        directUntil = -Infinity;
        return { kind: 'done', value };
      }
    }
    if (asked.length === 0) {
      return direct.watchRange(prefix, since, wait, callOptions);
    }
    noteDirect(asked);
    // Whether the store itself answers is to be known at once, and not when a watch without news has run out.
    return direct.watchRange(prefix, since, 0, { timeout: callOptions.timeout - wait });
  }

  /** While the store is lost, each round ends here, and the first says it for all. */
  function noteDirect(asked: readonly InstanceEntry[]): void {
    if (timers.now() >= directUntil) {
      options.onDirectWatch(asked.map(({ id }) => id));
    }
    directUntil = timers.now() + DIRECT_TIME;
  }

  function waitForNews(hold: Millis): Promise<void> {
    return new Promise((resolve) => {
      const undo = timers.registerTimeout(hold, wake);
      function wake(): void {
        undo();
        waiting.delete(wake);
        resolve();
      }
      waiting.add(wake);
    });
  }

  /**
   * Only an instance nearer to the store is a source: two that asked each other would both hear nothing, and not
   * know it. One that began later than what is asked for has not heard what was removed before, and would leave
   * the asker with keys that are gone.
   */
  function mayAnswer({ since, level, takesWhole }: UpdateQuery): boolean {
    return (
      lostAt === null &&
      age.get() <= LONGEST_SOURCE_AGE &&
      getLevel() < level &&
      !isLeaving &&
      (mirror.hasChangesSince(since) || (takesWhole && mirror.hasFullState()))
    );
  }

  /** Whether the asker knows all that this instance knows in full. */
  function isUpToDate(since: number): boolean {
    return mirror.hasChangesSince(since) && mirror.getCompleteRevision() <= since;
  }

  function readAnswer(ask: UpdateQuery, held: Millis): UpdateAnswer {
    if (!mayAnswer(ask)) {
      return { kind: 'deaf' };
    }
    return {
      kind: 'news',
      changes: mirror.readSince(ask.since, ask.takesWhole),
      age: age.get(),
      held,
      others: options.work.sumFor(ask.from),
    };
  }

  return {
    port: {
      readRange: direct.readRange,
      watchRange,
      write: (...args) => store.write(...args),
      grantLease: (...args) => store.grantLease(...args),
      keepLease: (...args) => store.keepLease(...args),
      endLease: (...args) => store.endLease(...args),
    },
    async answer(ask) {
      const { since, hold } = ask;
      const askedAt = timers.now();
      options.work.take(ask.from, ask.work);
      if (mayAnswer(ask) && isUpToDate(since) && hold > 0) {
        await waitForNews(Math.min(hold, HOLD));
      }
      return readAnswer(ask, timers.now() - askedAt);
    },
    noteCaughtUp(revision) {
      age.noteApplied();
      if (mirror.noteComplete(revision)) {
        wakeWaiting();
      }
    },
    noteSynced: age.noteSynced,
    setReachable(next) {
      if (next) {
        lostAt = null;
      } else {
        lostAt ??= timers.now();
        wakeWaiting();
      }
    },
    isCurrent: () => lostAt === null && age.get() <= LONGEST_HEARING_AGE,
    readState: age.readState,
    noteLeaving() {
      isLeaving = true;
      wakeWaiting();
    },
  };
}
