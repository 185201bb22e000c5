/** The time that callers' requests have waited, unread and since they were read. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Route } from '@skylarksail/routes/RouteTypes';
import { RouteKind } from '@skylarksail/routes/RouteTypes';
import type { RelayCall } from './RelayTypes.js';

/**
 * A caller whose request may be repeated leaves if it is not read within this time, or within a share of the time that it has.
 * A request that is held for as long is refused, as its caller is better served elsewhere.
 */
const UNREAD_LIMIT: Millis = 1000;
const UNREAD_LIMIT_SHARE = 1 / 3;

/** Maximum time for which a request waited unread: its caller leaves if it waits for longer than it allows. */
export function getUnreadTime(call: RelayCall, { kind, isResumable }: Route): Millis {
  const isIdempotent = kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
  return Math.min(call.waited ?? 0, isIdempotent ? getUnreadLimit(call) : Infinity);
}

/** Longest time for which the caller of a request that may be repeated lets it wait unread. */
export function getUnreadLimit({ timeLeft }: RelayCall): Millis {
  return Math.min(UNREAD_LIMIT, UNREAD_LIMIT_SHARE * (timeLeft ?? Infinity));
}

/** A call that was held for a while since it was read. */
export function holdFor(call: RelayCall, time: Millis): RelayCall {
  const timeLeft = call.timeLeft === null ? null : Math.max(0, call.timeLeft - time);
  return { ...call, timeLeft, held: (call.held ?? 0) + time };
}
