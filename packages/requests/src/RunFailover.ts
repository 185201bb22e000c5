/**
 * Decides whether another attempt can replace one whose engines are only suspected of failure. A silent or slow
 * engine may still answer. Where no other attempt is possible, giving up the present one leaves the caller unserved;
 * where only the same engines are left, a request that is withdrawn queues there again, behind all later ones.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import { hasBudget } from './RouterShared.js';
import { countEnginesLeft, listReturnEngines } from './RunEnds.js';

/** Why no other attempt can replace the present one. */
export const FailoverBlocker = {
  /** The request has used all attempts that its route allows. */
  Attempts: 'attempts',
  /** The retry budget is exhausted; other instances may grant a retry. */
  Budget: 'budget',
  /** There is no complete chain without the engines to be replaced. */
  Chain: 'chain',
} as const;

export type FailoverBlockerName = (typeof FailoverBlocker)[keyof typeof FailoverBlocker];

/** Maximum interval between two checks of an attempt that cannot be replaced at present. */
export const FAILOVER_CHECK_PERIOD: Millis = 250;

/**
 * Whether there is a complete chain without some engines of the present one, which begins with one of `firstEngines`
 * if these are given.
 */
export type HasChainWithout = (
  engines: readonly EngineId[],
  firstEngines: readonly EngineId[] | null,
) => boolean;

/** Finds why no attempt without the `failed` engines can replace the present one; null if one can. */
export function findFailoverBlocker(
  shared: RouterShared,
  { model }: RequestSpec,
  machine: RequestMachine,
  failed: readonly EngineId[],
  hasChainWithout: HasChainWithout,
): FailoverBlockerName | null {
  // Giving up the present attempt takes one of the engines that are left.
  const isLast = countEnginesLeft(shared, machine) <= 1;
  const firstEngines = isLast ? listReturnEngines(shared, machine) : null;
  if (machine.attemptsLeft <= 1 || firstEngines?.length === 0) {
    return FailoverBlocker.Attempts;
  }
  if (isNextAttemptBudgeted(shared, machine) && !hasBudget(shared, model)) {
    return FailoverBlocker.Budget;
  }
  return hasChainWithout(failed, firstEngines) ? null : FailoverBlocker.Chain;
}

/** Whether the next attempt takes from the retry budget. */
function isNextAttemptBudgeted(
  { deps }: RouterShared,
  { attemptTokens, fruitless }: RequestMachine,
): boolean {
  return deps.cfg.isRecoveryBudgeted || (attemptTokens === 0 && fruitless > 0);
}
