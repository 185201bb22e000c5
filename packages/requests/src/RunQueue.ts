/** What waits at the first engines of chains, as this instance sees it. */
import { getPriorityRank } from '@skylarksail/core/CoreConstants';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { RouterShared } from './RouterShared.js';

/** Part of the time left that a queue may take. */
const WAIT_SHARE = 0.5;

/** A request that was sent to an engine and has not begun. */
export interface QueuedRun {
  readonly engine: EngineId;
  readonly priority: PriorityName;
  readonly since: Millis;
}

/**
 * Whether a request that came to an engine now would wait for longer than until `beginBy`. One that came before it, and is
 * no less important, still waits there after as much time: engines begin the more important first, and of the others the older.
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
