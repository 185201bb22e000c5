/**
 * Searches the layout of a domain that runs the most requests at once. Where memory limits the engines, an engine that holds
 * fewer layers has far more KV cache per layer, so each copy of the weights beyond those that a loss of engines requires
 * reduces the number of requests.
 */
import type { GroupLayout } from './PlacementGroups.js';

/** The layout with the fewest groups that fit this many requests each without their largest engine; null if there is none. */
export type CreateLayout = (requests: number) => GroupLayout | null;

/** Bisection steps in the search for the most headroom, each of which searches all groupings. */
const BISECTION_STEPS = 7;
/** Layouts compared between the least headroom and the most: the number of requests that they run does not rise steadily with it. */
const SAMPLES = 12;

/**
 * The layout that runs the most requests, among those with no more sole holders of layers than the layout for `needed` requests has.
 * `most` is an upper bound of the headroom, `slots` the number of requests that an engine accepts as the first of a chain.
 */
export function findMaxCapacityLayout(
  createLayout: CreateLayout,
  needed: number,
  most: number,
  slots: number,
): GroupLayout | null {
  const least = createLayout(needed);
  if (least === null) {
    return null;
  }
  const maxSoleHolders = countSoleHolders(least);
  const createAllowed: CreateLayout = (requests) => {
    const layout = createLayout(requests);
    return layout !== null && countSoleHolders(layout) <= maxSoleHolders ? layout : null;
  };
  const end = findMostHeadroom(createAllowed, needed, Math.max(needed, most));
  let best = least;
  for (let i = 1; i <= SAMPLES; i++) {
    const layout = createAllowed(needed + ((end - needed) * i) / SAMPLES);
    if (layout !== null && countRunnable(layout, slots) > countRunnable(best, slots)) {
      best = layout;
    }
  }
  return best;
}

/** The most requests per group for which there is a layout, between `low`, for which there is one, and `high`. */
function findMostHeadroom(createLayout: CreateLayout, low: number, high: number): number {
  let feasible = low;
  let infeasible = high;
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const requests = (feasible + infeasible) / 2;
    if (createLayout(requests) === null) {
      infeasible = requests;
    } else {
      feasible = requests;
    }
  }
  return feasible;
}

/** Requests that a layout runs at once: limited by its KV cache, and by the slots of the engines that begin its chains. */
function countRunnable({ groups, capacity }: GroupLayout, slots: number): number {
  return Math.min(capacity, slots * (groups[0]?.engines.length ?? 0));
}

/** Number of engines that are the only holder of their layers. */
function countSoleHolders({ groups }: GroupLayout): number {
  return groups.filter(({ engines }) => engines.length === 1).length;
}
