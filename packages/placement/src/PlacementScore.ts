/** Scores a layout: first for covering every model, then for minimums, then for using the hardware by weight. */
import { getRate, sumRates } from './PlacementGoals.js';
import type { Layout, LayoutColumn, LayoutStage, ModelGoal } from './PlacementTypes.js';

const COVERED_SCORE = 100;
const MINIMUM_SCORE = 10;
/** Weight of capacity beyond a model's goal. */
const SURPLUS_WEIGHT = 0.25;
/** Weight of the capacity that remains after the worst loss of one engine. */
const AFTER_LOSS_WEIGHT = 0.12;
/**
 * Weight of the mean stage rate. It gives the search a direction where two stages tie for the slowest: speeding
 * up only one of them does not change the column's rate.
 */
const EVENNESS_WEIGHT = 0.05;
/** Cost of each stage in a chain. */
const HOP_COST = 0.004;

/** Rates of a column, in tokens per second. */
export interface ColumnRates {
  readonly tokensPerSecond: number;
  /** Tokens per second after the worst loss of one engine. */
  readonly afterLoss: number;
  /**
   * Mean stage rate, each capped at twice the column's. For a column with an empty stage, the share of its stages
   * that have engines.
   */
  readonly evenness: number;
  /** Number of stages. */
  readonly stages: number;
}

const cache = new WeakMap<LayoutColumn, ColumnRates>();

export function getStageRate({ layers, engines }: LayoutStage): number {
  return sumRates(engines) / (layers.end - layers.first);
}

/** Rates of a column, cached because columns are immutable. */
export function getColumnRates(column: LayoutColumn): ColumnRates {
  const known = cache.get(column);
  if (known) {
    return known;
  }
  const rates = column.stages.map(getStageRate);
  const tokensPerSecond = Math.min(...rates);
  const left = column.stages.map(({ layers, engines }, i) => {
    const largest = engines.reduce((most, engine) => Math.max(most, getRate(engine)), 0);
    return (rates[i] ?? 0) - largest / (layers.end - layers.first);
  });
  const limit = 2 * tokensPerSecond;
  const isWhole = tokensPerSecond > 0;
  const found = {
    tokensPerSecond,
    afterLoss: Math.max(0, Math.min(tokensPerSecond, ...left)),
    evenness: isWhole
      ? rates.reduce((sum, rate) => sum + Math.min(limit, rate), 0) / rates.length
      : rates.filter((rate) => rate > 0).length / rates.length,
    stages: rates.length,
  };
  cache.set(column, found);
  return found;
}

/** Score of a layout. Apart from coverage and minimums, 1 corresponds to the full rate of the hardware. */
export function scoreLayout(goals: readonly ModelGoal[], layout: Layout): number {
  const total = goals.reduce((sum, { goal, model }) => sum + goal * model.layers, 0);
  return goals.reduce((sum, goal) => {
    const columns = layout.filter(({ model }) => model.id === goal.model.id);
    const share = total > 0 ? (goal.goal * goal.model.layers) / total : 0;
    return sum + scoreModel(goal, columns.map(getColumnRates), share);
  }, 0);
}

function scoreModel(
  { goal, minTokensPerSecond }: ModelGoal,
  columns: readonly ColumnRates[],
  share: number,
): number {
  const sum = (read: (rates: ColumnRates) => number) =>
    columns.reduce((total, rates) => total + read(rates), 0);
  const rate = sum(({ tokensPerSecond }) => tokensPerSecond);
  if (rate <= 0 || goal <= 0) {
    return EVENNESS_WEIGHT * share * sum(({ evenness }) => evenness);
  }
  const worst = Math.max(...columns.map((rates) => rates.tokensPerSecond - rates.afterLoss));
  const minimum = minTokensPerSecond > 0 ? Math.min(1, rate / minTokensPerSecond) : 1;
  const utility =
    getUtility(rate / goal) +
    AFTER_LOSS_WEIGHT * getUtility((rate - worst) / goal) +
    EVENNESS_WEIGHT * getUtility(sum(({ evenness }) => evenness) / goal) -
    (HOP_COST * sum(({ stages }) => stages)) / columns.length;
  return COVERED_SCORE + MINIMUM_SCORE * minimum + share * utility;
}

function getUtility(goalShare: number): number {
  return goalShare <= 1 ? goalShare : 1 + SURPLUS_WEIGHT * (goalShare - 1);
}
