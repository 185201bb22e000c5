/**
 * The retry budget: retries are a bounded share of first tries, so that an outage is not multiplied by
 * those who wait it out. Each instance keeps its share of its own first tries, and with that the fleet
 * does, without a word between them.
 */

/** Tokens left; each retry takes one, each first try puts back a share of one. */
export interface RetryBudget {
  readonly tokens: number;
  readonly share: number;
  readonly burst: number;
}

/** A budget that starts full. */
export function createRetryBudget(share: number, burst: number): RetryBudget {
  return { tokens: burst, share, burst };
}

/** Notes a first try. */
export function noteFirstTry(budget: RetryBudget): RetryBudget {
  return { ...budget, tokens: Math.min(budget.burst, budget.tokens + budget.share) };
}

/** Whether a retry could be had now. */
export function hasRetry(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Takes a token for a retry, or null if there is none. */
export function takeRetry(budget: RetryBudget): RetryBudget | null {
  return budget.tokens >= 1 ? { ...budget, tokens: budget.tokens - 1 } : null;
}
