/** Retries idempotent calls to the platform until a deadline. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { CallOptions, StoreOutcome, StorePort } from '@skylarksail/store/StorePort';
import type { Pause } from './ManifestSlices.js';

/** Dependencies of the manifest store. */
export interface StoreContext {
  readonly platform: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  /** Timeout of a single call. */
  readonly callTimeout: Millis;
  /**
   * Yields to the event loop while a large manifest is checked and split into chunks; if absent, this
   * runs without a break.
   */
  readonly pause?: Pause;
}

/** Limit on concurrent calls, so that one submission does not use up the platform's whole rate limit. */
const MAX_PARALLEL_CALLS = 16;
const FIRST_BACKOFF: Millis = 20;
const MAX_BACKOFF: Millis = 1000;
const BACKOFF_JITTER = 0.5;

const NOT_CALLED = {
  kind: 'refused',
  reason: { kind: 'over-budget', retryAfter: 0 },
} as const;

/** The last outcome of a call that may have been retried. */
export interface RepeatedOutcome<T> {
  readonly outcome: StoreOutcome<T>;
  /** Whether the outcome of any try was unknown, so that the call may have taken effect. */
  readonly mayHaveApplied: boolean;
}

/**
 * Retries a call with exponential backoff while its outcome is unknown or it is refused with a
 * `retryAfter`. Only for idempotent calls. Returns the last outcome by the deadline, which is a time of
 * `timers`; the outcome at the deadline is `unknown` if that of any try was.
 */
export async function callWithRetry<T>(
  ctx: StoreContext,
  deadline: Millis,
  call: (options: CallOptions) => Promise<StoreOutcome<T>>,
): Promise<RepeatedOutcome<T>> {
  let backoff = FIRST_BACKOFF;
  let mayHaveApplied = false;
  let outcome: StoreOutcome<T> = NOT_CALLED;
  for (;;) {
    const timeLeft = deadline - ctx.timers.now();
    if (timeLeft <= 0) {
      return { outcome: mayHaveApplied ? { kind: 'unknown' } : outcome, mayHaveApplied };
    }
    outcome = await call({ timeout: Math.min(ctx.callTimeout, timeLeft) });
    const retryDelay = getRetryDelay(outcome);
    if (retryDelay === null) {
      return { outcome, mayHaveApplied };
    }
    mayHaveApplied ||= outcome.kind === 'unknown';
    await sleep(ctx, Math.max(retryDelay, jitter(ctx.random, backoff, BACKOFF_JITTER)));
    backoff = Math.min(backoff * 2, MAX_BACKOFF);
  }
}

function getRetryDelay<T>(outcome: StoreOutcome<T>): Millis | null {
  if (outcome.kind === 'unknown') {
    return 0;
  }
  if (outcome.kind === 'done') {
    return null;
  }
  const { reason } = outcome;
  return 'retryAfter' in reason ? reason.retryAfter : null;
}

/** Resolves after `delay` milliseconds. */
export function sleep(ctx: StoreContext, delay: Millis): Promise<void> {
  return new Promise((resolve) => {
    ctx.timers.registerTimeout(delay, resolve);
  });
}

/** Runs `work` for each element with bounded concurrency; returns results in the order of the elements. */
export async function mapBounded<T, R>(
  elements: readonly T[],
  work: (element: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = new Array<R>(elements.length);
  let next = 0;
  async function runWorker(): Promise<void> {
    while (next < elements.length) {
      const i = next;
      next += 1;
      results[i] = await work(elements[i] as T);
    }
  }
  const workerCount = Math.min(MAX_PARALLEL_CALLS, elements.length);
  await Promise.all(Array.from({ length: workerCount }, runWorker));
  return results;
}
