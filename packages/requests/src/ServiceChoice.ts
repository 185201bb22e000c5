/** Chooses a server for a call to a plain service. */
import type { EngineId, Millis, ServiceId } from '@skylarksail/core/CoreTypes';
import type { RequestSuspects } from './RequestSuspects.js';
import type { ProblemKindName } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';
import type { ServerChoice } from './RouterTypes.js';
import { computeBackoffRetryDelay, MAX_BACKOFF_WAIT } from './RunBackoff.js';
import { listAvoidSets } from './RunSuspicion.js';

/** What happens to a call for which there is no server now. */
export type NoServerPlan =
  | { readonly kind: 'wait'; readonly delay: Millis }
  | { readonly kind: 'fail'; readonly problem: ProblemKindName; readonly retryAfter: Millis };

const NO_SERVER_RETRY_DELAY: Millis = 1000;

/** Chooses a server, if possible none to avoid, and none that runs another suspect of the same crash; null if there is none. */
export function chooseServerFor(
  shared: RouterShared,
  service: ServiceId,
  suspects: RequestSuspects,
  avoid: readonly EngineId[],
): ServerChoice | null {
  const avoidSets = listAvoidSets(shared, suspects).map((avoidSet) => [...avoid, ...avoidSet]);
  return [...avoidSets, avoid, []].reduce<ServerChoice | null>(
    (chosen, avoidSet) => chosen ?? shared.deps.chooseServer(service, avoidSet),
    null,
  );
}

/** Whether there is a server beside some: a call that is sent to the same one again queues there behind later calls. */
export function hasOtherServer(
  { deps }: RouterShared,
  service: ServiceId,
  servers: readonly EngineId[],
): boolean {
  const other = deps.chooseServer(service, servers);
  other?.release({ kind: 'cancelled' });
  return other !== null;
}

/** Waits for the end of a backoff that is nearly over; else the caller is told at once when to come back. */
export function planWithoutServer({ deps }: RouterShared, service: ServiceId): NoServerPlan {
  const backoffLeft = deps.getBackoffLeft?.(service) ?? null;
  if (backoffLeft === null) {
    return { kind: 'fail', problem: ProblemKind.NoChain, retryAfter: NO_SERVER_RETRY_DELAY };
  }
  if (backoffLeft <= MAX_BACKOFF_WAIT) {
    return { kind: 'wait', delay: Math.ceil(backoffLeft) };
  }
  const retryAfter = computeBackoffRetryDelay(deps.random, backoffLeft);
  return { kind: 'fail', problem: ProblemKind.Overloaded, retryAfter };
}
