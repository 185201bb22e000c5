/** Queues at the first engines of chains, as known to this instance. */
import { getPriorityRank } from '@skylarksail/core/CoreConstants';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RouterShared } from './RouterShared.js';

/** Maximum share of the time until an answer must begin for waiting in a queue; the rest is for prefill. */
const MAX_QUEUE_SHARE = 0.5;

/** A request that was sent to an engine and has produced no token yet. */
export interface QueuedRun {
  readonly engine: EngineId;
  readonly priority: PriorityName;
  readonly since: Millis;
}

/**
 * Whether an engine's queue is too long for a request that must begin by `beginBy`. Engines start requests in order
 * of priority, then of age, so a new request is likely to wait at least as long as one of the same or a higher
 * priority has waited there.
 */
export function isQueueTooLong(
  shared: RouterShared,
  engine: EngineId,
  priority: PriorityName,
  beginBy: Millis,
): boolean {
  const now = shared.deps.timers.now();
  const rank = getPriorityRank(priority);
  return [...shared.runs.values()].some((run) => {
    const queued = run.getQueued();
    return (
      queued !== null &&
      queued.engine === engine &&
      getPriorityRank(queued.priority) >= rank &&
      now - queued.since >= MAX_QUEUE_SHARE * (beginBy - now)
    );
  });
}
