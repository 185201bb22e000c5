/**
 * Rate limits for the manifest's calls to the platform. They are not divided by the number of live
 * instances, because only two instances of the fleet read a revision's chunks at a time and submissions
 * are rare. With a budget divided by 680 instances, a change of a hundred teams would take minutes.
 */
import type { BudgetRates } from '@skylarksail/store/StoreBudget';
import type { CircuitSettings } from '@skylarksail/store/StoreCircuit';
import { DEFAULT_CIRCUIT_SETTINGS } from '@skylarksail/store/StoreCircuit';
import { DEFAULT_BUDGET_RATES } from '@skylarksail/store/StoreBudget';

/** Maximum number of instances that use these rates concurrently in normal operation. */
export const MANIFEST_CONCURRENT_CLIENTS = 4;

/** Combined budget of these instances. It needs a platform client that other calls do not use. */
export const MANIFEST_BUDGET_RATES: BudgetRates = {
  ...DEFAULT_BUDGET_RATES,
  fleetReadsPerSecond: 400,
  fleetWritesPerSecond: 200,
};

/** Only the few watchers retry during an outage, so a short pause detects its end soon at little load. */
export const MANIFEST_CIRCUIT_SETTINGS: CircuitSettings = {
  ...DEFAULT_CIRCUIT_SETTINGS,
  longestPause: 1500,
};
