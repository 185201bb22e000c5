/**
 * Watches a range of keys: reads the whole range once, then long-polls for changes. A watch that is not
 * answered in time is repeated on a new connection; after compaction the whole range is read again.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from './StorePort.js';
import type { StoreEvent, StoreItem, StoreRangePort } from './StoreRange.js';
import { isSameEra } from './StoreRevisions.js';

/** Receives the contents and changes of the range. */
export interface RangeWatchListener {
  /** The whole range as of a revision; keys that it does not contain no longer exist. */
  onSnapshot(items: readonly StoreItem[], revision: number): void;
  onEvent(event: StoreEvent): void;
  /** All changes up to this revision have been delivered. */
  onCaughtUp?(revision: number): void;
  /** The store no longer answers; the contents delivered so far remain the latest known. */
  onLost(): void;
  /** The store answers again. Missed changes follow as `onSnapshot` or `onEvent` calls. */
  onRegained(): void;
}

export interface RangeWatchOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly prefix: string;
  /** How long the store holds a watch without changes. */
  readonly wait: Millis;
  /** Timeout of other calls; for a watch, added to `wait`. */
  readonly timeout: Millis;
  /** Delay before the next watch after a change, so that one call fetches all changes of that time. */
  readonly getGatherTime: () => Millis;
  readonly listener: RangeWatchListener;
}

const INITIAL_BACKOFF: Millis = 50;
/** Short relative to the 2 s within which a change must be in force after an outage. */
const MAX_BACKOFF: Millis = 400;
const JITTER_SHARE = 0.5;

/** Starts the watch; the returned function stops it. */
export function registerRangeWatch(options: RangeWatchOptions): Unregister {
  const { port, timers, random, prefix, wait, timeout, listener } = options;
  let stopped = false;
  let failures = 0;
  let isLost = false;

  function backOff(): Promise<void> {
    const delay = Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** Math.min(failures, 8));
    failures += 1;
    return sleep(delay);
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(jitter(random, delay, JITTER_SHARE), resolve);
    });
  }

  /** Tracks whether the store answers, and returns the value of an answer or null. */
  function recordOutcome<T>(outcome: StoreOutcome<T>): T | null {
    const isAnswered = outcome.kind === 'done';
    if (isAnswered) {
      failures = 0;
    }
    if (isAnswered === isLost) {
      isLost = !isAnswered;
      (isLost ? listener.onLost : listener.onRegained)();
    }
    return isAnswered ? outcome.value : null;
  }

  /**
   * Reads the range and returns the revision to watch from, or null if a read failed. The watch starts at
   * the revision of the first page, since later pages may be of later revisions. Pages of two eras are no range: the
   * store came back from a copy between them.
   */
  async function readAll(): Promise<number | null> {
    const items: StoreItem[] = [];
    let from: number | null = null;
    let after: string | null = null;
    do {
      const page: StoreOutcome<{
        items: readonly StoreItem[];
        next: string | null;
        revision: number;
      }> = await port.readRange(prefix, after, { timeout });
      const value = stopped ? null : recordOutcome(page);
      if (value === null) {
        return null;
      }
      if (from !== null && !isSameEra(from, value.revision)) {
        return null;
      }
      items.push(...value.items);
      from ??= value.revision;
      after = value.next;
    } while (after !== null);
    listener.onSnapshot(items, from);
    listener.onCaughtUp?.(from);
    return from;
  }

  async function watchOnce(revision: number): Promise<number | null> {
    // While the store does not answer, each watch has a hold time of 0, so that the next answer is
    // detected at once and not when a watch without changes ends.
    const holdTime = isLost ? 0 : wait;
    const outcome = await port.watchRange(prefix, revision, holdTime, {
      timeout: holdTime + timeout,
    });
    const changes = stopped ? null : recordOutcome(outcome);
    if (changes === null) {
      return revision;
    }
    if (changes.kind === 'compacted') {
      return null;
    }
    changes.events.forEach((event) => listener.onEvent(event));
    listener.onCaughtUp?.(changes.revision);
    if (changes.events.length > 0) {
      await sleep(options.getGatherTime());
    }
    return changes.revision;
  }

  async function run(): Promise<void> {
    let revision: number | null = null;
    while (!stopped) {
      revision = revision === null ? await readAll() : await watchOnce(revision);
      if (!stopped && (isLost || revision === null)) {
        await backOff();
      }
    }
  }

  void run();
  return () => {
    stopped = true;
  };
}
