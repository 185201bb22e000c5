/**
 * Retry budget: in any time window, retries are limited to a share of the first attempts plus a burst, so
 * that retries do not amplify the load of an outage. Each instance enforces its own part, which bounds
 * the retries of the whole fleet without coordination.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Counts of one time slice. */
interface BudgetSlice {
  readonly index: number;
  readonly firstAttempts: number;
  readonly retries: number;
}

/** Limits of a budget. */
export interface RetryBudgetConfig {
  /** Retries per first attempt in a window. */
  readonly share: number;
  /** Additional retries in a window. */
  readonly burst: number;
  /** Length of the sliding window. */
  readonly window: Millis;
}

export interface RetryBudget extends RetryBudgetConfig {
  readonly slices: readonly BudgetSlice[];
}

/** Length of a time slice; windows are accurate to one slice. */
const SLICE_LENGTH: Millis = 500;

/** Creates an unused budget. */
export function createRetryBudget(cfg: RetryBudgetConfig): RetryBudget {
  return { ...cfg, slices: [] };
}

/** Changes the burst and keeps the counts; the burst depends on the number of instances. */
export function setBurst(budget: RetryBudget, burst: number): RetryBudget {
  return burst === budget.burst ? budget : { ...budget, burst };
}

/** Counts a first attempt. */
export function noteFirstAttempt(budget: RetryBudget, now: Millis): RetryBudget {
  return addCounts(budget, now, 1, 0);
}

/** Whether the budget allows a retry now. */
export function hasRetry(budget: RetryBudget, now: Millis): boolean {
  const index = Math.floor(now / SLICE_LENGTH);
  // Conservative for the slice in which the window begins: its retries count, its first attempts do not.
  const windowIndex = index - countSlices(budget);
  const retries = sum(budget, windowIndex, ({ retries: seen }) => seen);
  const firstAttempts = sum(budget, windowIndex + 1, ({ firstAttempts: seen }) => seen);
  return retries + 1 <= budget.burst + budget.share * firstAttempts;
}

/** Counts a retry, or returns null if the budget allows none. */
export function takeRetry(budget: RetryBudget, now: Millis): RetryBudget | null {
  return hasRetry(budget, now) ? addCounts(budget, now, 0, 1) : null;
}

/** Refunds a retry that never reached an engine. */
export function refundRetry(budget: RetryBudget, now: Millis): RetryBudget {
  return addCounts(budget, now, 0, -1);
}

/** Whether nothing was counted in the window before now, so that the budget equals a new one. */
export function isUnused(budget: RetryBudget, now: Millis): boolean {
  const windowIndex = Math.floor(now / SLICE_LENGTH) - countSlices(budget);
  return budget.slices.every(({ index }) => index < windowIndex);
}

function countSlices({ window }: RetryBudget): number {
  return Math.ceil(window / SLICE_LENGTH);
}

function sum({ slices }: RetryBudget, from: number, read: (slice: BudgetSlice) => number): number {
  return slices.reduce((total, slice) => total + (slice.index >= from ? read(slice) : 0), 0);
}

function addCounts(
  budget: RetryBudget,
  now: Millis,
  firstAttempts: number,
  retries: number,
): RetryBudget {
  const index = Math.floor(now / SLICE_LENGTH);
  const kept = budget.slices.filter((slice) => slice.index >= index - countSlices(budget));
  const last = kept.at(-1);
  const isCurrent = last !== undefined && last.index >= index;
  const before = isCurrent ? last : { index, firstAttempts: 0, retries: 0 };
  const slice = {
    index: before.index,
    firstAttempts: before.firstAttempts + firstAttempts,
    retries: before.retries + retries,
  };
  return { ...budget, slices: [...(isCurrent ? kept.slice(0, -1) : kept), slice] };
}
