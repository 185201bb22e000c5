/**
 * Repeats a compare-and-swap until its outcome is known or its deadline has passed. After an unanswered
 * try it reads the stored value. If the value contains the write's id, the write took effect. An unchanged
 * value proves nothing, since the try may still be in flight: the same value is swapped again from the
 * same revision, so that at most one of the tries can take effect.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEntry, StorePort, StoreRefusal } from './StorePort.js';

export interface SettledSwapOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly key: string;
  readonly expected: number;
  /** Contains an id that is unique to this write. */
  readonly value: string;
  /** Whether a stored value is this write's or builds on it, as far as the values show this. */
  readonly carriesWrite: (value: string) => boolean;
  /** Time limit for the whole operation. */
  readonly timeLeft: Millis;
  /** Timeout of each call. */
  readonly callTimeout: Millis;
}

export type SettledSwap =
  /** The write took effect; `revision` is the one that the swap returned or that was read back. */
  | { readonly kind: 'done'; readonly revision: number }
  /** The swap was refused and no try can take effect any more. */
  | { readonly kind: 'refused'; readonly reason: StoreRefusal }
  /**
   * Another value was read after an unanswered try. No try can take effect any more, but one may have
   * taken effect before that value was written, unless values record the writes that precede them.
   */
  | { readonly kind: 'overtaken'; readonly entry: StoreEntry }
  /** The deadline passed. A try may have taken effect, or may still do so. */
  | { readonly kind: 'open' };

const RETRY_DELAY_MS = 100;

/** Swaps the value, and resolves unanswered tries by reading back and swapping again. */
export async function swapSettled(options: SettledSwapOptions): Promise<SettledSwap> {
  const { port, timers, key, expected, value, carriesWrite, callTimeout } = options;
  const deadline = timers.now() + options.timeLeft;
  let unansweredSwaps = 0;
  let lastRefusal: StoreRefusal | null = null;

  function getCallOptions(): { readonly timeout: Millis } {
    return { timeout: Math.max(1, Math.min(callTimeout, deadline - timers.now())) };
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(Math.min(delay, Math.max(1, deadline - timers.now())), resolve);
    });
  }

  /** Determines the outcome of the tries so far from the stored value; null if it is still open. */
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
      unansweredSwaps += 1;
    } else if (unansweredSwaps === 0 && !('retryAfter' in outcome.reason)) {
      return { kind: 'refused', reason: outcome.reason };
    } else {
      lastRefusal = outcome.reason;
    }
    const readResult = unansweredSwaps > 0 ? await readBack() : null;
    if (readResult) {
      return readResult;
    }
    const retryAfter =
      outcome.kind === 'refused' && 'retryAfter' in outcome.reason ? outcome.reason.retryAfter : 0;
    await sleep(Math.max(retryAfter, RETRY_DELAY_MS));
  }
  return unansweredSwaps === 0 && lastRefusal
    ? { kind: 'refused', reason: lastRefusal }
    : { kind: 'open' };
}
