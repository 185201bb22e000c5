/**
 * Crossing into other failure domains: which may be asked, and how many calls this instance may have
 * there. Each domain lends a bounded share, split over the instances of the others by count alone, so
 * the limit holds without any talk between them, and the loss of one domain cannot bring down the next.
 */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { MILLIS_PER_SECOND, Priority } from '@skylarksail/core/CoreConstants';
import type { CapacityPlan } from './RoutingPlanTypes.js';
import type { RoutingTuning } from './RoutingTuning.js';

/** Whether a domain can be reached, and since when that is so. */
export interface DomainReach {
  readonly reachable: boolean;
  readonly since: Millis;
}

/** Time over which a domain that can be reached again lends up to its full share. */
const HEALING_MS = 20000;

/** The part of the lent share that new requests of each priority may fill: what waits worst goes first. */
const CROSSING_SHARE: Readonly<Record<PriorityName, number>> = {
  [Priority.Low]: 0.7,
  [Priority.Normal]: 0.85,
  [Priority.High]: 1,
  [Priority.Urgent]: 1,
};

/**
 * The part that begun answers may fill. Without one of their own, they wait until others have ended while
 * a caller has half an answer before him. They may go beyond the share, since they are a bounded number
 * that was running anyway: new requests, which could follow without end, may not.
 */
const BEGUN_SHARE = 1.5;

/** Share of the lending limit that holds now: it grows from nothing after a cut has healed. */
export function getRampUpShare(reach: DomainReach | undefined, now: Millis): number {
  if (!reach) {
    return 1;
  }
  return reach.reachable ? Math.min(1, Math.max(0, (now - reach.since) / HEALING_MS)) : 0;
}

/** Calls that this instance may have in another domain at one time. */
export function getCrossDomainCallLimit(
  plan: CapacityPlan,
  tuning: RoutingTuning,
  priority: PriorityName,
  isBegun: boolean,
  healedShare: number,
): number {
  const atFullUse = (plan.tokensPerSecond * tuning.tokenGapMs) / MILLIS_PER_SECOND;
  const lent = (atFullUse * tuning.crossDomainShare) / Math.max(1, tuning.foreignInstanceCount);
  return lent * (isBegun ? BEGUN_SHARE : CROSSING_SHARE[priority]) * healedShare;
}

/** Domains other than the own one, in the order of `names` turned by a random start. */
export function orderForeignDomains(
  names: readonly DomainId[],
  own: DomainId,
  start: number,
): readonly DomainId[] {
  const others = names.filter((name) => name !== own);
  return [...others.slice(start), ...others.slice(0, start)];
}
