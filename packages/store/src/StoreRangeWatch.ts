/**
 * Follows a range of keys: reads it whole once, then by long watches. A watch that is not answered in
 * time is asked again on a new connection; lost history is mended by reading the whole range anew.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from './StorePort.js';
import type { StoreEvent, StoreItem, StoreRangePort } from './StoreRange.js';

/** Hears of the range. */
export interface FollowListener {
  /** The whole range as of a revision; keys that are missing from it are gone. */
  onSnapshot(items: readonly StoreItem[], revision: number): void;
  onEvent(event: StoreEvent): void;
  /** All that happened up to this revision has been told. */
  onCaughtUp?(revision: number): void;
  /** The store no longer answers; what was told stays the latest known. */
  onLost(): void;
  /** It answers again. `onSnapshot` or events follow. */
  onRegained(): void;
}

export interface FollowOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly prefix: string;
  /** How long the store holds a watch on which nothing happens. */
  readonly wait: Millis;
  /** How long any other answer may take. */
  readonly timeout: Millis;
  /** How long changes that come close together are gathered, so that they cost one call. */
  readonly getGatherTime: () => Millis;
  readonly listener: FollowListener;
}

const FIRST_PAUSE: Millis = 50;
/** Short beside the bound of two seconds within which a change must be in force after an outage. */
const LONGEST_PAUSE: Millis = 400;
const JITTER_SHARE = 0.5;

/** Starts to follow; the returned function ends it. */
export function registerRangeWatch(options: FollowOptions): Unregister {
  const { port, timers, random, prefix, wait, timeout, listener } = options;
  let stopped = false;
  let failures = 0;
  let isLost = false;

  function pause(): Promise<void> {
    const delay = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** Math.min(failures, 8));
    failures += 1;
    return sleep(delay);
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(jitter(random, delay, JITTER_SHARE), resolve);
    });
  }

  /** Notes whether the store answered; the value of an answer, or null. */
  function take<T>(outcome: StoreOutcome<T>): T | null {
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

  /** The revision from which changes are missing: that of the first page, since pages may disagree. */
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
      const value = stopped ? null : take(page);
      if (value === null) {
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
    // A store that is back is to be known at once, and not when a watch without news has run out.
    const held = isLost ? 0 : wait;
    const outcome = await port.watchRange(prefix, revision, held, { timeout: held + timeout });
    const changes = stopped ? null : take(outcome);
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
        await pause();
      }
    }
  }

  void run();
  return () => {
    stopped = true;
  };
}
