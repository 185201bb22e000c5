/** Waits before a request goes on. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { computeBackoff } from './RequestFailures.js';
import type { RequestEffect } from './RequestMessages.js';

/** Least wait before another look for a chain. */
export const MIN_RECHOOSE_DELAY: Millis = 50;
const RECHOOSE_MOST: Millis = 250;
const BUDGET_WAIT: Millis = 500;
const RETRY_JITTER = 0.3;
/**
 * When a caller that has nothing of its answer comes back after the budget was spent here. The budget is spent where
 * engines were lost, and others hold their layers some three seconds later. A caller has few tries: one that comes
 * back sooner is likely to be refused again, and for good.
 */
const RETURN_WAIT: Millis = 3000;
/** Spread, so that callers of one lost engine do not return together. */
const RETURN_JITTER = 0.3;

/** Wait before a retry, or before another look for a chain, which costs the engines nothing. */
export function computeRetryDelay(
  random: Random,
  { mode, fruitless, retryAfter }: Extract<RequestEffect, { kind: 'ask-retry' }>,
): Millis {
  if (mode !== 'rechoose') {
    return computeBackoff(random, fruitless, retryAfter);
  }
  const wait = Math.min(RECHOOSE_MOST, Math.max(MIN_RECHOOSE_DELAY, retryAfter ?? 0));
  return jitter(random, wait, RETRY_JITTER);
}

/** Wait before the retry budget is asked again. */
export function computeBudgetRecheckDelay(random: Random): Millis {
  return jitter(random, BUDGET_WAIT, RETRY_JITTER);
}

/** When a caller whose request has not run may come back; its next try takes nothing from the budget. */
export function computeCallerRetryDelay(random: Random): Millis {
  return jitter(random, RETURN_WAIT, RETURN_JITTER);
}
