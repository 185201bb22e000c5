/**
 * Decides whether something better can follow an attempt that is given up on a guess. A silent or slow engine may
 * still answer. Where no other attempt is possible its caller is served by nothing else; and where only the same
 * engines are left, a request that is taken back waits there once more, behind all that came meanwhile.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { hasBudget } from './RouterShared.js';

/** What keeps another attempt from following. */
export const FailoverBlocker = {
  /** It ran on as many engines as its route allows. */
  Attempts: 'attempts',
  /** The retry budget is used up; others may lend a repeat. */
  Budget: 'budget',
  /** No chain is whole without the engines that are to be replaced. */
  Chain: 'chain',
} as const;

export type FailoverBlockerName = (typeof FailoverBlocker)[keyof typeof FailoverBlocker];

/** Longest wait between two looks at an attempt that nothing can follow now. */
export const FAILOVER_CHECK_PERIOD: Millis = 250;

/** Whether a chain is whole without some engines of the present one. */
export type HasChainWithout = (engines: readonly EngineId[]) => boolean;

/** Finds what keeps an attempt without the `failed` engines from following the present one; null if nothing does. */
export function findFailoverBlocker(
  shared: RouterShared,
  { model }: RequestSpec,
  machine: RequestMachine,
  failed: readonly EngineId[],
  hasChainWithout: HasChainWithout,
): FailoverBlockerName | null {
  if (machine.attemptsLeft <= 1) {
    return FailoverBlocker.Attempts;
  }
  if (isRepeatPaid(shared, machine) && !hasBudget(shared, model)) {
    return FailoverBlocker.Budget;
  }
  return hasChainWithout(failed) ? null : FailoverBlocker.Chain;
}

/** Whether the attempt that follows takes from the retry budget. */
function isRepeatPaid(
  { deps }: RouterShared,
  { attemptTokens, fruitless }: RequestMachine,
): boolean {
  return deps.cfg.isRecoveryBudgeted || (attemptTokens === 0 && fruitless > 0);
}
