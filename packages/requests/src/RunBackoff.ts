/** Delays before retries. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { computeBackoff } from './RequestFailures.js';
import type { RequestEffect } from './RequestMessages.js';

/** Minimum delay before another search for a chain. */
export const MIN_RECHOOSE_DELAY: Millis = 50;
const MAX_RECHOOSE_DELAY: Millis = 250;
/** Longest backoff for whose end a request waits. For a longer one its caller is told at once, and may go elsewhere. */
export const MAX_BACKOFF_WAIT: Millis = 250;
/** Callers come back over this time, as the server takes one request first. */
const BACKOFF_SPREAD: Millis = 250;
const BUDGET_RECHECK_DELAY: Millis = 500;
const RETRY_JITTER = 0.3;
/**
 * Retry delay for a caller without a partial answer when the retry budget of this instance is exhausted. The budget is
 * exhausted after a loss of engines, and other engines hold the lost layers about three seconds later. A caller makes
 * few attempts: one that retries sooner is likely to be refused again and to give up.
 */
const CALLER_RETRY_DELAY: Millis = 3000;
/** Jitter, so that callers of one lost engine do not retry at the same time. */
const CALLER_RETRY_JITTER = 0.3;

/** Delay before a retry, or before another search for a chain, which puts no load on the engines. */
export function computeRetryDelay(
  random: Random,
  { mode, fruitless, retryAfter }: Extract<RequestEffect, { kind: 'ask-retry' }>,
): Millis {
  if (mode !== 'rechoose') {
    return computeBackoff(random, fruitless, retryAfter);
  }
  const delay = Math.min(MAX_RECHOOSE_DELAY, Math.max(MIN_RECHOOSE_DELAY, retryAfter ?? 0));
  return jitter(random, delay, RETRY_JITTER);
}

/** Delay before the retry budget is checked again. */
export function computeBudgetRecheckDelay(random: Random): Millis {
  return jitter(random, BUDGET_RECHECK_DELAY, RETRY_JITTER);
}

/** Delay after which a caller without a partial answer may retry; its retry is not charged to the budget. */
export function computeCallerRetryDelay(random: Random): Millis {
  return jitter(random, CALLER_RETRY_DELAY, CALLER_RETRY_JITTER);
}

/** Delay after which a caller may retry whose servers all asked for a backoff: not before its end, and not all at once. */
export function computeBackoffRetryDelay(random: Random, backoffLeft: Millis): Millis {
  return backoffLeft + BACKOFF_SPREAD * random.nextFloat();
}
