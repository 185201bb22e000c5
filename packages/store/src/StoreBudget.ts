/**
 * The local budget of calls. The whole fleet shares the service's rates; each instance takes its part
 * of them, so what one may call shrinks as the fleet grows. Pure functions over the buckets' state.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** What a call is made for, from the most to the least urgent. */
export const StoreUse = {
  Claims: 'claims',
  Leases: 'leases',
  Manifest: 'manifest',
  Membership: 'membership',
  Housekeeping: 'housekeeping',
} as const;

export type StoreUseName = (typeof StoreUse)[keyof typeof StoreUse];

/** Which of the service's two rates a call counts against. */
export type CallKind = 'read' | 'write';

/** Rates of the whole fleet, and how much an instance may save up. */
export interface BudgetRates {
  readonly fleetWritesPerSecond: number;
  readonly fleetReadsPerSecond: number;
  /**
   * Rates for claims alone. They are shared by slots owned and not by instances: a few instances own
   * the slots of a large fleet, and an equal part for each instance would starve them.
   */
  readonly fleetClaimWritesPerSecond: number;
  readonly fleetClaimReadsPerSecond: number;
  /**
   * Writes of one instance for leases. Not a part of the fleet's: a lease is held by one instance and
   * wanted by few, and an equal part for each of many would be too little to renew it in time.
   */
  readonly leaseWritesPerSecond: number;
  /** Unused calls are saved up for this long. */
  readonly burst: Millis;
}

export const DEFAULT_BUDGET_RATES: BudgetRates = {
  fleetWritesPerSecond: 100,
  fleetReadsPerSecond: 1100,
  fleetClaimWritesPerSecond: 200,
  fleetClaimReadsPerSecond: 400,
  leaseWritesPerSecond: 1,
  burst: 4000,
};

/** A bucket holds at least this many calls, or a large fleet's instances could not call at all. */
const LEAST_CAPACITY = 4;

/**
 * Part of a bucket that a use leaves for the more urgent ones. Without it, collecting garbage could
 * use up what the next claim needs, which would show as keyed requests waiting during a clean-up.
 */
const RESERVED_SHARE: Readonly<Record<StoreUseName, number>> = {
  [StoreUse.Claims]: 0,
  [StoreUse.Leases]: 0,
  [StoreUse.Manifest]: 0.15,
  [StoreUse.Membership]: 0.3,
  [StoreUse.Housekeeping]: 0.5,
};

interface Bucket {
  readonly tokens: number;
  readonly filledAt: Millis;
}

/** What an instance's part of the rates is worked out from. */
export interface BudgetShares {
  /** Live instances, ourselves included. */
  readonly instances: number;
  /** Part of all claim slots that are ours, 0 to 1. */
  readonly claims: number;
}

type BucketName = CallKind | 'claim-read' | 'claim-write' | 'lease-write';

/** The buckets of an instance. One that was never drawn from is full. */
export type StoreBudget = ReadonlyMap<BucketName, Bucket>;

/** A budget with full buckets. */
export const FULL_BUDGET: StoreBudget = new Map();

/** A call's share of the budget: `wait` is 0 if the call was taken from it. */
export interface BudgetDraw {
  readonly budget: StoreBudget;
  readonly wait: Millis;
}

/** Takes one call from the budget, or tells how long there will be none for this use. */
export function drawCall(
  budget: StoreBudget,
  rates: BudgetRates,
  shares: BudgetShares,
  kind: CallKind,
  use: StoreUseName,
  now: Millis,
): BudgetDraw {
  const name = getBucketName(kind, use);
  const rate = getRate(rates, name, shares) / MILLIS_PER_SECOND;
  const capacity = Math.max(LEAST_CAPACITY, rate * rates.burst);
  const bucket = budget.get(name) ?? { tokens: capacity, filledAt: now };
  const tokens = Math.min(capacity, bucket.tokens + (now - bucket.filledAt) * rate);
  const needed = 1 + RESERVED_SHARE[use] * capacity;
  const isGranted = tokens >= needed;
  const left = isGranted ? tokens - 1 : tokens;
  return {
    budget: new Map([...budget, [name, { tokens: left, filledAt: now }]]),
    wait: isGranted ? 0 : Math.max(1, Math.ceil((needed - tokens) / rate)),
  };
}

function getBucketName(kind: CallKind, use: StoreUseName): BucketName {
  if (use === StoreUse.Claims) {
    return `claim-${kind}`;
  }
  return use === StoreUse.Leases && kind === 'write' ? 'lease-write' : kind;
}

function getRate(rates: BudgetRates, name: BucketName, shares: BudgetShares): number {
  const equalShare = 1 / Math.max(1, shares.instances);
  const claimShare = Math.max(shares.claims, equalShare);
  switch (name) {
    case 'claim-read':
      return rates.fleetClaimReadsPerSecond * claimShare;
    case 'claim-write':
      return rates.fleetClaimWritesPerSecond * claimShare;
    case 'lease-write':
      return rates.leaseWritesPerSecond;
    case 'read':
      return rates.fleetReadsPerSecond * equalShare;
    default:
      return rates.fleetWritesPerSecond * equalShare;
  }
}
