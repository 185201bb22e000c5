/**
 * Follows a key by long watches. Repeated events are dropped; a missed one is healed when the watch
 * runs out and its answer carries the value as it is; a service that does not answer is asked again at
 * growing, jittered pauses, so that a fleet does not come back all at once.
 */
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StoreOutcome, StorePort } from './StorePort.js';

export interface WatchOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly key: string;
  /** Revision that is known already; -1 to be told the value as it is first. */
  readonly known: number;
  /** How long the service holds a watch on which nothing happens. */
  readonly waitTime: Millis;
  /** Hears each value whose revision differs from the one before; values in between may be missed. */
  readonly onEntry: (entry: StoreEntry) => void;
}

const FIRST_PAUSE_MS = 200;
const LONGEST_PAUSE_MS = 10_000;
const JITTER_SHARE = 0.5;

/** Starts to watch; the returned function ends it. */
export function registerWatch(options: WatchOptions): Unregister {
  const { port, timers, random, key, waitTime } = options;
  let { known } = options;
  let failures = 0;
  let stopped = false;

  function pauseAndWatch(pause: Millis): void {
    timers.registerTimeout(jitter(random, pause, JITTER_SHARE), () => {
      void watchOnce();
    });
  }

  function handle(outcome: StoreOutcome<StoreEntry>, startedAt: Millis): void {
    if (outcome.kind !== 'done') {
      const asked =
        outcome.kind === 'refused' && 'retryAfter' in outcome.reason
          ? outcome.reason.retryAfter
          : 0;
      const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(failures, 16));
      failures += 1;
      pauseAndWatch(Math.max(asked / (1 - JITTER_SHARE), pause));
      return;
    }
    failures = 0;
    const isNew = outcome.value.revision !== known;
    known = outcome.value.revision;
    if (isNew) {
      options.onEntry(outcome.value);
    }
    // An unchanged value that comes early is a repeated event; without a pause it would be a loop.
    const isEarly = timers.now() - startedAt < waitTime / 2;
    pauseAndWatch(!isNew && isEarly ? FIRST_PAUSE_MS : 0);
  }

  async function watchOnce(): Promise<void> {
    if (stopped) {
      return;
    }
    const startedAt = timers.now();
    const outcome = await port.watch(key, known, { timeout: waitTime });
    if (!stopped) {
      handle(outcome, startedAt);
    }
  }

  void watchOnce();
  return () => {
    stopped = true;
  };
}
