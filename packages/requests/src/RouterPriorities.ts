/**
 * Priorities with recent requests, by model. Memory is reserved only for requests more important than others that do
 * occur: where all requests have the same priority, a reserve would stay unused.
 */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import { getPriorityRank, PRIORITY_ORDER } from '@skylarksail/core/CoreConstants';
import type { Millis, ModelId } from '@skylarksail/core/CoreTypes';

export interface RouterPriorities {
  /** Records a request. */
  noteRequest(model: ModelId, priority: PriorityName, now: Millis): void;
  /** Number of more important priorities with recent requests for the model. */
  countHigher(model: ModelId, priority: PriorityName, now: Millis): number;
}

/**
 * How long a priority counts as present after a request. One of 60 instances gets four requests per second. If a fifth of
 * them are of the highest priority, fewer than one of a thousand windows of this length has none.
 */
const PRESENCE_TIME: Millis = 10_000;

export function createRouterPriorities(): RouterPriorities {
  /** Time of the last request by rank, for each model. */
  const seen = new Map<ModelId, Millis[]>();
  return {
    noteRequest(model, priority, now) {
      const times = seen.get(model) ?? PRIORITY_ORDER.map(() => -Infinity);
      times[getPriorityRank(priority)] = now;
      seen.set(model, times);
    },
    countHigher: (model, priority, now) =>
      (seen.get(model) ?? [])
        .slice(getPriorityRank(priority) + 1)
        .filter((at) => now - at <= PRESENCE_TIME).length,
  };
}
