/**
 * Client-side rate limiting of store calls with token buckets. The fleet shares the service's rate
 * limits, so each instance's share shrinks as the fleet grows. Pure functions over immutable buckets.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Purposes of calls, from the highest to the lowest priority. */
export const StoreUse = {
  Claims: 'claims',
  Leases: 'leases',
  Manifest: 'manifest',
  Membership: 'membership',
  Housekeeping: 'housekeeping',
} as const;

export type StoreUseName = (typeof StoreUse)[keyof typeof StoreUse];

/** Which of the service's two rate limits a call counts against. */
export type CallKind = 'read' | 'write';

/** Rate limits of the fleet and of one instance, and the burst that a bucket allows. */
export interface BudgetRates {
  readonly fleetWritesPerSecond: number;
  readonly fleetReadsPerSecond: number;
  /**
   * Rates for claims alone, shared in proportion to owned claim slots: a few instances own the slots of
   * a large fleet, and an equal share per instance would starve them.
   */
  readonly fleetClaimWritesPerSecond: number;
  readonly fleetClaimReadsPerSecond: number;
  /**
   * Lease writes of one instance. Not divided by the fleet size: one instance holds a lease and few
   * contend for it, and an equal share per instance would be too little to renew it in time.
   */
  readonly leaseWritesPerSecond: number;
  /** Unused calls accumulate for up to this time. */
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

/** Minimum bucket size in calls; without it, the instances of a large fleet could not call at all. */
const MIN_CAPACITY = 4;

/**
 * Share of a bucket that a use leaves to uses of higher priority. Without it, garbage collection could
 * take the tokens that the next claim needs, and keyed requests would wait during a clean-up.
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
  readonly refilledAt: Millis;
}

/** Inputs for computing an instance's share of the rates. */
export interface BudgetShares {
  /** Live instances, including this one. */
  readonly instances: number;
  /** Share of all claim slots that this instance owns, 0 to 1. */
  readonly claims: number;
}

type BucketName = CallKind | 'claim-read' | 'claim-write' | 'lease-write';

/** The token buckets of an instance. A missing bucket is full. */
export type StoreBudget = ReadonlyMap<BucketName, Bucket>;

export const FULL_BUDGET: StoreBudget = new Map();

/** Result of drawing a call: `wait` is 0 if it was granted, else the time until the next attempt. */
export interface BudgetDraw {
  readonly budget: StoreBudget;
  readonly wait: Millis;
}

/** Takes one call from the budget, or returns how long this use must wait for one. */
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
  const capacity = Math.max(MIN_CAPACITY, rate * rates.burst);
  const bucket = budget.get(name) ?? { tokens: capacity, refilledAt: now };
  const tokens = Math.min(capacity, bucket.tokens + (now - bucket.refilledAt) * rate);
  const needed = 1 + RESERVED_SHARE[use] * capacity;
  const isGranted = tokens >= needed;
  const left = isGranted ? tokens - 1 : tokens;
  return {
    budget: new Map([...budget, [name, { tokens: left, refilledAt: now }]]),
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
