/**
 * Watches a key by long polling. Repeated events are dropped. A missed event is recovered when the watch
 * times out, since its answer has the current value. Failed calls are retried with exponential, jittered
 * backoff, so that the instances do not all reconnect at once.
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
  /** Revision that the caller already has; -1 to get the current value first. */
  readonly known: number;
  /** How long the service holds a watch without changes. */
  readonly waitTime: Millis;
  /** Called with each entry whose revision differs from the previous one; values in between may be skipped. */
  readonly onEntry: (entry: StoreEntry) => void;
}

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 10_000;
const JITTER_SHARE = 0.5;

/** Starts the watch; the returned function stops it. */
export function registerWatch(options: WatchOptions): Unregister {
  const { port, timers, random, key, waitTime } = options;
  let { known } = options;
  let failures = 0;
  let stopped = false;

  function scheduleWatch(delay: Millis): void {
    timers.registerTimeout(jitter(random, delay, JITTER_SHARE), () => {
      void watchOnce();
    });
  }

  function handleOutcome(outcome: StoreOutcome<StoreEntry>, startedAt: Millis): void {
    if (outcome.kind !== 'done') {
      const retryAfter =
        outcome.kind === 'refused' && 'retryAfter' in outcome.reason
          ? outcome.reason.retryAfter
          : 0;
      const backoff = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(failures, 16));
      failures += 1;
      scheduleWatch(Math.max(retryAfter / (1 - JITTER_SHARE), backoff));
      return;
    }
    failures = 0;
    const isNew = outcome.value.revision !== known;
    known = outcome.value.revision;
    if (isNew) {
      options.onEntry(outcome.value);
    }
    // An unchanged value before the timeout is a repeated event; without a pause this would be a busy loop.
    const isEarly = timers.now() - startedAt < waitTime / 2;
    scheduleWatch(!isNew && isEarly ? INITIAL_BACKOFF_MS : 0);
  }

  async function watchOnce(): Promise<void> {
    if (stopped) {
      return;
    }
    const startedAt = timers.now();
    const outcome = await port.watch(key, known, { timeout: waitTime });
    if (!stopped) {
      handleOutcome(outcome, startedAt);
    }
  }

  void watchOnce();
  return () => {
    stopped = true;
  };
}
