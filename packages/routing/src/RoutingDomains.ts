/**
 * Limits on calls into other failure domains. Each domain offers a bounded share of its capacity, divided by
 * the number of instances in the other domains, so the limit holds without coordination and the loss of one
 * domain cannot overload the next.
 */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { MILLIS_PER_SECOND, Priority } from '@skylarksail/core/CoreConstants';
import type { CapacityPlan } from './RoutingPlanTypes.js';
import type { RoutingTuning } from './RoutingTuning.js';

/** Whether a domain is reachable, and since when. */
export interface DomainReach {
  readonly reachable: boolean;
  readonly since: Millis;
}

/** Time over which a domain that is reachable again returns to its full share. */
const RAMP_UP_MS = 20000;

/** Part of the offered share that new requests of each priority may use; the rest is for higher priorities. */
const NEW_REQUEST_SHARE: Readonly<Record<PriorityName, number>> = {
  [Priority.Low]: 0.7,
  [Priority.Normal]: 0.85,
  [Priority.High]: 1,
  [Priority.Urgent]: 1,
};

/**
 * Part that interrupted answers may use, so that a caller with half an answer does not wait for other calls to
 * end. It may exceed the share: the number of answers already running is bounded, that of new requests is not.
 */
const INTERRUPTED_SHARE = 1.5;

/** Share of the cross-domain limit that applies now: it grows linearly from 0 after a partition ends. */
export function getRampUpShare(reach: DomainReach | undefined, now: Millis): number {
  if (!reach) {
    return 1;
  }
  return reach.reachable ? Math.min(1, Math.max(0, (now - reach.since) / RAMP_UP_MS)) : 0;
}

/** Number of calls that this instance may have in another domain at once. */
export function getCrossDomainCallLimit(
  plan: CapacityPlan,
  tuning: RoutingTuning,
  priority: PriorityName,
  hasPartialAnswer: boolean,
  rampUpShare: number,
): number {
  const fullLoadCalls = (plan.tokensPerSecond * tuning.tokenGapMs) / MILLIS_PER_SECOND;
  const limit =
    (fullLoadCalls * tuning.crossDomainShare) / Math.max(1, tuning.foreignInstanceCount);
  return limit * (hasPartialAnswer ? INTERRUPTED_SHARE : NEW_REQUEST_SHARE[priority]) * rampUpShare;
}

/** Domains other than the own one, rotated to begin at `start`. */
export function orderForeignDomains(
  domains: readonly DomainId[],
  own: DomainId,
  start: number,
): readonly DomainId[] {
  const others = domains.filter((domain) => domain !== own);
  return [...others.slice(start), ...others.slice(0, start)];
}
