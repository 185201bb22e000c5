/** Chooses a server for a call to a plain service. */
import type { EngineId, ServiceId } from '@skylarksail/core/CoreTypes';
import type { RequestSuspects } from './RequestSuspects.js';
import type { RouterShared } from './RouterShared.js';
import type { ServerChoice } from './RouterTypes.js';
import { listAvoidSets } from './RunSuspicion.js';

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
