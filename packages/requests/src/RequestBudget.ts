/**
 * The retry budget: repeats are a bounded share of first tries, and a few more, in any window of time, so
 * that an outage is not multiplied by those who wait it out. Each instance keeps its part, and with that
 * the fleet does, without a word between them.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** What was counted in one slice of time. */
interface BudgetSlice {
  readonly index: number;
  readonly firstTries: number;
  readonly repeats: number;
}

/** What a budget allows. */
export interface BudgetTerms {
  /** Repeats for each first try in a window. */
  readonly share: number;
  /** Repeats beyond that in a window. */
  readonly burst: number;
  /** Any span of this length is kept within the budget. */
  readonly window: Millis;
}

export interface RetryBudget extends BudgetTerms {
  readonly slices: readonly BudgetSlice[];
}

/** Counts are kept by slices of this length: one more or less in a window is the error that is borne. */
const SLICE: Millis = 500;

/** A budget of which nothing is used. */
export function createRetryBudget(terms: BudgetTerms): RetryBudget {
  return { ...terms, slices: [] };
}

/** The same counts under another burst, as instances come and go. */
export function setBurst(budget: RetryBudget, burst: number): RetryBudget {
  return burst === budget.burst ? budget : { ...budget, burst };
}

/** Notes a first try. */
export function noteFirstAttempt(budget: RetryBudget, now: Millis): RetryBudget {
  return count(budget, now, 1, 0);
}

/** Whether a repeat could be had now. */
export function hasRetry(budget: RetryBudget, now: Millis): boolean {
  const index = Math.floor(now / SLICE);
  // The slice that the window begins in counts whole against us and not at all for us.
  const first = index - countSlices(budget);
  const repeats = sum(budget, first, ({ repeats: seen }) => seen);
  const firstTries = sum(budget, first + 1, ({ firstTries: seen }) => seen);
  return repeats + 1 <= budget.burst + budget.share * firstTries;
}

/** Takes a repeat, or null if there is none. */
export function takeRetry(budget: RetryBudget, now: Millis): RetryBudget | null {
  return hasRetry(budget, now) ? count(budget, now, 0, 1) : null;
}

/** Gives a repeat back that never reached an engine. */
export function refundRetry(budget: RetryBudget, now: Millis): RetryBudget {
  return count(budget, now, 0, -1);
}

function countSlices({ window }: RetryBudget): number {
  return Math.ceil(window / SLICE);
}

function sum({ slices }: RetryBudget, from: number, read: (slice: BudgetSlice) => number): number {
  return slices.reduce((total, slice) => total + (slice.index >= from ? read(slice) : 0), 0);
}

function count(budget: RetryBudget, now: Millis, firstTries: number, repeats: number): RetryBudget {
  const index = Math.floor(now / SLICE);
  const kept = budget.slices.filter((slice) => slice.index >= index - countSlices(budget));
  const last = kept.at(-1);
  const isCurrent = last !== undefined && last.index >= index;
  const before = isCurrent ? last : { index, firstTries: 0, repeats: 0 };
  const slice = {
    index: before.index,
    firstTries: before.firstTries + firstTries,
    repeats: before.repeats + repeats,
  };
  return { ...budget, slices: [...(isCurrent ? kept.slice(0, -1) : kept), slice] };
}
