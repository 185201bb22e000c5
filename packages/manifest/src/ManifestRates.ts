/**
 * Rates of the manifest's use of the platform. They are not divided by the live instances: only two
 * instances of the fleet read a revision's chunks at a time, and submissions are few. Divided by 680, a
 * budget would let a change of a hundred teams take minutes.
 */
import type { BudgetRates } from '@skylarksail/store/StoreBudget';
import type { CircuitSettings } from '@skylarksail/store/StoreCircuit';
import { DEFAULT_CIRCUIT_SETTINGS } from '@skylarksail/store/StoreCircuit';
import { DEFAULT_BUDGET_RATES } from '@skylarksail/store/StoreBudget';

/** Instances that use the manifest's rates at the same time, at the most, on an ordinary day. */
export const MANIFEST_CONCURRENT_CLIENTS = 4;

/** Reads and writes of all sharers together; pass them to a platform client of their own. */
export const MANIFEST_BUDGET_RATES: BudgetRates = {
  ...DEFAULT_BUDGET_RATES,
  fleetReadsPerSecond: 400,
  fleetWritesPerSecond: 200,
};

/** Only the few watchers try again in an outage, so they may do it often enough to notice its end soon. */
export const MANIFEST_CIRCUIT_SETTINGS: CircuitSettings = {
  ...DEFAULT_CIRCUIT_SETTINGS,
  longestPause: 1500,
};
