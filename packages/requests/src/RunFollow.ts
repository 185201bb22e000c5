/**
 * Decides whether something better than the end of an answer can follow an attempt that is given up on a guess. A
 * silent or slow engine may still finish the answer. A caller with a part of it is served by nothing else, and
 * one that has nothing yet is told, and can go elsewhere.
 */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { hasBudget } from './RouterShared.js';

/** What keeps another attempt from following. */
export const FollowBar = {
  /** It ran on as many engines as its route allows. */
  Attempts: 'attempts',
  /** The retry budget is used up; others may lend a repeat. */
  Budget: 'budget',
  /** No chain is whole without the engines that are to be replaced. */
  Chain: 'chain',
} as const;

export type FollowBarName = (typeof FollowBar)[keyof typeof FollowBar];

/** Whether a chain is whole without some engines of the present one. */
export type HasChainWithout = (engines: readonly EngineId[]) => boolean;

/** Finds what keeps an attempt without the `failed` engines from following the present one; null if nothing does. */
export function findFollowBar(
  shared: RouterShared,
  { model }: RequestSpec,
  { attemptsLeft, tokenCount }: RequestMachine,
  failed: readonly EngineId[],
  hasChainWithout: HasChainWithout,
): FollowBarName | null {
  if (tokenCount === 0) {
    return null;
  }
  if (attemptsLeft <= 1) {
    return FollowBar.Attempts;
  }
  if (shared.deps.cfg.isRecoveryBudgeted && !hasBudget(shared, model)) {
    return FollowBar.Budget;
  }
  return hasChainWithout(failed) ? null : FollowBar.Chain;
}
