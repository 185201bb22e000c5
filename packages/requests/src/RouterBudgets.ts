/** The retry budgets of a router, by model or service. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RetryBudget } from './RequestBudget.js';
import { createRetryBudget, isUnused, setBurst } from './RequestBudget.js';
import type { RouterDeps } from './RouterTypes.js';

/** Retry budgets by name. */
export interface RouterBudgets {
  /** The budget of a model or service, with its present burst. */
  get(name: string): RetryBudget;
  set(name: string, budget: RetryBudget): void;
  /** Number of budgets that are kept; a first use of a name drops those that were not used for a window. */
  count(): number;
}

/** Starts without budgets. */
export function createRouterBudgets({
  cfg,
  timers,
  getRetryBurst,
}: Pick<RouterDeps, 'cfg' | 'timers' | 'getRetryBurst'>): RouterBudgets {
  const budgets = new Map<string, RetryBudget>();

  /** A budget that was not used for a window equals a new one. */
  function dropUnused(now: Millis): void {
    [...budgets]
      .filter(([, budget]) => isUnused(budget, now))
      .forEach(([name]) => budgets.delete(name));
  }

  return {
    get(name) {
      const burst = getRetryBurst?.(name) ?? cfg.retryBurst;
      const terms = { share: cfg.retryShare, burst, window: cfg.retryWindow };
      return setBurst(budgets.get(name) ?? createRetryBudget(terms), burst);
    },
    set(name, budget) {
      if (!budgets.has(name)) {
        dropUnused(timers.now());
      }
      budgets.set(name, budget);
    },
    count: () => budgets.size,
  };
}
