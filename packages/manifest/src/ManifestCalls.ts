/** Repeats calls to the platform that may safely be made again, until a deadline. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { CallOptions, StoreOutcome, StorePort } from '@skylarksail/store/StorePort';
import type { Pause } from './ManifestSlices.js';

/** What the manifest's store needs from outside. */
export interface StoreContext {
  readonly platform: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  /** Limit of a single call. */
  readonly callTimeout: Millis;
  /** Lets other work of the loop run while a large manifest is checked and cut; none does it at once. */
  readonly pause?: Pause;
}

/** Calls made at the same time, so that one submission does not take the platform's whole rate. */
const MAX_PARALLEL_CALLS = 16;
const FIRST_BACKOFF: Millis = 20;
const MAX_BACKOFF: Millis = 1000;
const BACKOFF_JITTER = 0.5;

const NOT_CALLED = {
  kind: 'refused',
  reason: { kind: 'over-budget', retryAfter: 0 },
} as const;

/** The last outcome of a repeated call. */
export interface RepeatedOutcome<T> {
  readonly outcome: StoreOutcome<T>;
  /** True if the outcome of any of the calls was unknown, so that one may have taken effect. */
  readonly mayHaveApplied: boolean;
}

/**
 * Makes a call again while its outcome is unknown or it is told to wait. Only for calls whose second
 * effect equals the first. Gives the last outcome there was by the deadline (a time of `timers`).
 */
export async function callWithRetry<T>(
  ctx: StoreContext,
  deadline: Millis,
  call: (options: CallOptions) => Promise<StoreOutcome<T>>,
): Promise<RepeatedOutcome<T>> {
  let backoff = FIRST_BACKOFF;
  let isUnsure = false;
  let outcome: StoreOutcome<T> = NOT_CALLED;
  for (;;) {
    const timeLeft = deadline - ctx.timers.now();
    if (timeLeft <= 0) {
      return { outcome: isUnsure ? { kind: 'unknown' } : outcome, mayHaveApplied: isUnsure };
    }
    outcome = await call({ timeout: Math.min(ctx.callTimeout, timeLeft) });
    const wait = getWait(outcome);
    if (wait === null) {
      return { outcome, mayHaveApplied: isUnsure };
    }
    isUnsure ||= outcome.kind === 'unknown';
    await sleep(ctx, Math.max(wait, jitter(ctx.random, backoff, BACKOFF_JITTER)));
    backoff = Math.min(backoff * 2, MAX_BACKOFF);
  }
}

function getWait<T>(outcome: StoreOutcome<T>): Millis | null {
  if (outcome.kind === 'unknown') {
    return 0;
  }
  if (outcome.kind === 'done') {
    return null;
  }
  const { reason } = outcome;
  return 'retryAfter' in reason ? reason.retryAfter : null;
}

/** Lets `delay` milliseconds pass. */
export function sleep(ctx: StoreContext, delay: Millis): Promise<void> {
  return new Promise((resolve) => {
    ctx.timers.registerTimeout(delay, resolve);
  });
}

/** Runs `work` for each element, a bounded number at a time; results in the order of the elements. */
export async function mapBounded<T, R>(
  elements: readonly T[],
  work: (element: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = new Array<R>(elements.length);
  let next = 0;
  async function runLane(): Promise<void> {
    while (next < elements.length) {
      const i = next;
      next += 1;
      results[i] = await work(elements[i] as T);
    }
  }
  const lanes = Math.min(MAX_PARALLEL_CALLS, elements.length);
  await Promise.all(Array.from({ length: lanes }, runLane));
  return results;
}
