/** What waits at the first engines of chains, as this instance sees it. */
import { getPriorityRank } from '@skylarksail/core/CoreConstants';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RouterShared } from './RouterShared.js';

/** Part of the time until an answer must begin that a queue may take; the rest is for reading the prompt. */
const WAIT_SHARE = 0.5;

/** A request that was sent to an engine and has not begun. */
export interface QueuedRun {
  readonly engine: EngineId;
  readonly priority: PriorityName;
  readonly since: Millis;
}

/**
 * Whether an engine's queue is too long for a request that must begin by `beginBy`. Engines begin the more important
 * requests first, and of those that are equal the older: as long as one that is no less important has waited there,
 * a new one is likely to wait as well.
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
      now - queued.since >= WAIT_SHARE * (beginBy - now)
    );
  });
}
