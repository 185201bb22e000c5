/**
 * A swap carried through until its outcome is known, or its deadline has come. After an unanswered try
 * the stored value is read. If it carries the write's id the write took effect. If it is unchanged that
 * proves nothing, since the try may still be on its way: the same value is swapped again from the same
 * revision, and of all those tries at most one can take effect.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StorePort, StoreRefusal } from './StorePort.js';

export interface SettledSwapOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly key: string;
  readonly expected: number;
  /** Carries an id that no other write carries. */
  readonly value: string;
  /** Whether a stored value is that write, or was written on top of it, as far as values tell. */
  readonly carriesWrite: (value: string) => boolean;
  /** Time for the whole. */
  readonly timeLeft: Millis;
  /** Time for each call. */
  readonly callTimeout: Millis;
}

export type SettledSwap =
  /** It took effect; `revision` is that at which it was found. */
  | { readonly kind: 'done'; readonly revision: number }
  /** The service refused it and no try can take effect any more. */
  | { readonly kind: 'refused'; readonly reason: StoreRefusal }
  /**
   * After an unanswered try another value is found. No try can take effect any more, but one may have
   * done so before that value came, unless values keep a trace of those before them.
   */
  | { readonly kind: 'overtaken'; readonly entry: StoreEntry }
  /** The deadline came. A try may have taken effect, or may yet. */
  | { readonly kind: 'open' };

const PAUSE_MS = 100;

/** Swaps and settles what was not answered. */
export async function swapSettled(options: SettledSwapOptions): Promise<SettledSwap> {
  const { port, timers, key, expected, value, carriesWrite, callTimeout } = options;
  const deadline = timers.now() + options.timeLeft;
  let unanswered = 0;
  let lastRefusal: StoreRefusal | null = null;

  function getCallOptions(): { readonly timeout: Millis } {
    return { timeout: Math.max(1, Math.min(callTimeout, deadline - timers.now())) };
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(Math.min(delay, Math.max(1, deadline - timers.now())), resolve);
    });
  }

  /** What the stored value tells of the tries so far; null if it tells nothing. */
  async function readBack(): Promise<SettledSwap | null> {
    const read = await port.get(key, getCallOptions());
    if (read.kind !== 'done') {
      return null;
    }
    const entry = read.value;
    if (carriesWrite(entry.value)) {
      return { kind: 'done', revision: entry.revision };
    }
    return entry.revision === expected ? null : { kind: 'overtaken', entry };
  }

  while (timers.now() < deadline) {
    const outcome = await port.swap(key, expected, value, getCallOptions());
    if (outcome.kind === 'done') {
      return { kind: 'done', revision: outcome.value };
    }
    if (outcome.kind === 'unknown') {
      unanswered += 1;
    } else if (unanswered === 0 && !('retryAfter' in outcome.reason)) {
      return { kind: 'refused', reason: outcome.reason };
    } else {
      lastRefusal = outcome.reason;
    }
    const told = unanswered > 0 ? await readBack() : null;
    if (told) {
      return told;
    }
    const asked =
      outcome.kind === 'refused' && 'retryAfter' in outcome.reason ? outcome.reason.retryAfter : 0;
    await sleep(Math.max(asked, PAUSE_MS));
  }
  return unanswered === 0 && lastRefusal
    ? { kind: 'refused', reason: lastRefusal }
    : { kind: 'open' };
}
