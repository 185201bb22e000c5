/**
 * Counts the engines that a request has run on by what is known of their ends. A broken stream has two causes: its
 * engine ended, or only the connection was reset. An engine that ended does not count towards the route's maximum, an
 * engine that lives does. If each broken stream counted as an end, a request whose connections are reset would run on
 * more engines than its route allows; if none did, an answer whose engines crash would be cut.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RouterShared } from './RouterShared.js';
import { EngineFate } from './RouterTypes.js';

/** Longest wait for evidence about an engine: its first health check comes within a tick and has a timeout. */
export const END_EVIDENCE_TIMEOUT: Millis = 800;
/** Interval between two checks whether evidence has arrived. */
export const END_EVIDENCE_PERIOD: Millis = 50;

/** Whether the engine of a stream that just broke may still run; false where nothing can show it. */
export function isEndUnproven({ deps }: RouterShared, engine: EngineId): boolean {
  const fate = deps.getEngineFate?.(engine, deps.timers.now()) ?? EngineFate.Ended;
  return fate !== EngineFate.Ended;
}

/** Number of further engines that a request may run on, by what is known now. */
export function countEnginesLeft({ deps }: RouterShared, machine: RequestMachine): number {
  const living = machine.unprovenEnds.filter(
    ({ engine, brokenAt }) => deps.getEngineFate?.(engine, brokenAt) !== EngineFate.Ended,
  );
  return machine.attemptsLeft - living.length;
}

/** Engines that a request has run on and that are known to live: another run there is on no further engine. */
export function listReturnEngines(
  { deps }: RouterShared,
  machine: RequestMachine,
): readonly EngineId[] {
  return machine.unprovenEnds
    .filter(({ engine, brokenAt }) => deps.getEngineFate?.(engine, brokenAt) === EngineFate.Alive)
    .map(({ engine }) => engine);
}

/** Engines of which one must be the first of the next chain; null if the request may run on a further engine. */
export function listFirstEngines(
  shared: RouterShared,
  machine: RequestMachine,
): readonly EngineId[] | null {
  return countEnginesLeft(shared, machine) > 0 ? null : listReturnEngines(shared, machine);
}
