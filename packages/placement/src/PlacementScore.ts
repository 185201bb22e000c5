/** How good a layout is: every model covered, then minimums, then use of the hardware by weight. */
import { getRate, sumRates } from './PlacementGoals.js';
import type { Layout, LayoutColumn, LayoutStage, ModelGoal } from './PlacementTypes.js';

const COVERED_WORTH = 100;
const MINIMUM_WORTH = 10;
/** Worth of capacity beyond a model's goal. */
const BEYOND_GOAL = 0.25;
/** Worth of the capacity that is left when the worst engine dies. */
const SPARE_WORTH = 0.12;
/** Worth of stages that are faster than the slowest: it shows the way where two are the slowest. */
const EVENNESS_WORTH = 0.05;
/** Cost of each further hop in a chain. */
const HOP_COST = 0.004;

/** What a column can do. */
export interface ColumnRates {
  readonly tokensPerSecond: number;
  /** The same after the loss of the engine that matters most. */
  readonly afterLoss: number;
  /** Mean over stages of what each could do, up to twice the column's. */
  readonly evenness: number;
  readonly stages: number;
}

const cache = new WeakMap<LayoutColumn, ColumnRates>();

export function getStageRate({ layers, engines }: LayoutStage): number {
  return sumRates(engines) / (layers.end - layers.first);
}

/** Rates of a column; columns never change, so each is worked out once. */
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

/** Score of a layout; 1 within the whole is all of the hardware's rate. */
export function scoreLayout(goals: readonly ModelGoal[], layout: Layout): number {
  const total = goals.reduce((sum, { goal, model }) => sum + goal * model.layers, 0);
  return goals.reduce((sum, goal) => {
    const columns = layout.filter(({ model }) => model.id === goal.model.id);
    const part = total > 0 ? (goal.goal * goal.model.layers) / total : 0;
    return sum + scoreModel(goal, columns.map(getColumnRates), part);
  }, 0);
}

function scoreModel(
  { goal, minTokensPerSecond }: ModelGoal,
  columns: readonly ColumnRates[],
  part: number,
): number {
  const sum = (read: (rates: ColumnRates) => number) =>
    columns.reduce((total, rates) => total + read(rates), 0);
  const rate = sum(({ tokensPerSecond }) => tokensPerSecond);
  if (rate <= 0 || goal <= 0) {
    return EVENNESS_WORTH * part * sum(({ evenness }) => evenness);
  }
  const worst = Math.max(...columns.map((rates) => rates.tokensPerSecond - rates.afterLoss));
  const minimum = minTokensPerSecond > 0 ? Math.min(1, rate / minTokensPerSecond) : 1;
  const use =
    getUse(rate / goal) +
    SPARE_WORTH * getUse((rate - worst) / goal) +
    EVENNESS_WORTH * getUse(sum(({ evenness }) => evenness) / goal) -
    (HOP_COST * sum(({ stages }) => stages)) / columns.length;
  return COVERED_WORTH + MINIMUM_WORTH * minimum + part * use;
}

function getUse(share: number): number {
  return share <= 1 ? share : 1 + BEYOND_GOAL * (share - 1);
}
