/**
 * The local budget of calls. The whole fleet shares the service's rates; each instance takes its part
 * of them, so what one may call shrinks as the fleet grows. Pure functions over the buckets' state.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** What a call is made for, from the most to the least urgent. */
export const PlatformUse = {
  Claims: 'claims',
  Leases: 'leases',
  Manifest: 'manifest',
  Membership: 'membership',
  Housekeeping: 'housekeeping',
} as const;

export type PlatformUseName = (typeof PlatformUse)[keyof typeof PlatformUse];

/** Which of the service's two rates a call counts against. */
export type CallKind = 'read' | 'write';

/** Rates of the whole fleet, and how much an instance may save up. */
export interface BudgetRates {
  readonly fleetWritesPerSecond: number;
  readonly fleetReadsPerSecond: number;
  /** Unused calls are saved up for this long. */
  readonly burst: Millis;
}

export const DEFAULT_BUDGET_RATES: BudgetRates = {
  fleetWritesPerSecond: 300,
  fleetReadsPerSecond: 1500,
  burst: 4000,
};

/** A bucket holds at least this many calls, or a large fleet's instances could not call at all. */
const LEAST_CAPACITY = 4;

/**
 * Part of a bucket that a use leaves for the more urgent ones. Without it, collecting garbage could
 * use up what the next claim needs, which would show as keyed requests waiting during a clean-up.
 */
const RESERVED_SHARE: Readonly<Record<PlatformUseName, number>> = {
  [PlatformUse.Claims]: 0,
  [PlatformUse.Leases]: 0,
  [PlatformUse.Manifest]: 0.15,
  [PlatformUse.Membership]: 0.3,
  [PlatformUse.Housekeeping]: 0.5,
};

interface Bucket {
  readonly tokens: number;
  readonly filledAt: Millis;
}

/** Both buckets of an instance. */
export interface PlatformBudget {
  readonly read: Bucket;
  readonly write: Bucket;
}

/** Creates full buckets. */
export function createPlatformBudget(
  rates: BudgetRates,
  instances: number,
  now: Millis,
): PlatformBudget {
  return {
    read: { tokens: getCapacity(rates, 'read', instances), filledAt: now },
    write: { tokens: getCapacity(rates, 'write', instances), filledAt: now },
  };
}

/** A call's share of the budget: `wait` is 0 if the call was taken from it. */
export interface BudgetDraw {
  readonly budget: PlatformBudget;
  readonly wait: Millis;
}

/** Takes one call from the budget, or tells how long there will be none for this use. */
export function drawCall(
  budget: PlatformBudget,
  rates: BudgetRates,
  instances: number,
  kind: CallKind,
  use: PlatformUseName,
  now: Millis,
): BudgetDraw {
  const capacity = getCapacity(rates, kind, instances);
  const rate = getRate(rates, kind, instances) / MILLIS_PER_SECOND;
  const bucket = budget[kind];
  const tokens = Math.min(capacity, bucket.tokens + (now - bucket.filledAt) * rate);
  const needed = 1 + RESERVED_SHARE[use] * capacity;
  if (tokens < needed) {
    return {
      budget: { ...budget, [kind]: { tokens, filledAt: now } },
      wait: Math.max(1, Math.ceil((needed - tokens) / rate)),
    };
  }
  return { budget: { ...budget, [kind]: { tokens: tokens - 1, filledAt: now } }, wait: 0 };
}

function getRate(rates: BudgetRates, kind: CallKind, instances: number): number {
  const fleet = kind === 'write' ? rates.fleetWritesPerSecond : rates.fleetReadsPerSecond;
  return fleet / Math.max(1, instances);
}

function getCapacity(rates: BudgetRates, kind: CallKind, instances: number): number {
  const saved = (getRate(rates, kind, instances) * rates.burst) / MILLIS_PER_SECOND;
  return Math.max(LEAST_CAPACITY, saved);
}
