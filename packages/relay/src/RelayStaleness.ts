/**
 * Staleness of the local copy: the time since it was last in sync with the store. An instance that does not detect
 * that its copy is stale answers 404 for new routes, and answers peers that there are no changes.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';

/** Names the store itself as a source. */
export const STORE_SOURCE = 'store';

/** Source of the last update, and staleness of the local copy. */
export interface UpdateState {
  /** An instance, or the store; null before the first answer. */
  readonly source: InstanceId | typeof STORE_SOURCE | null;
  /** Time since the local copy was in sync with the store; infinite before the first answer. */
  readonly age: Millis;
}

export interface StalenessTracker {
  /** An answer arrived whose sender was in sync `age` ago. Its changes may not be applied yet. */
  noteAnswer(source: UpdateState['source'], age: Millis): void;
  /** The changes of the last answer are applied. */
  noteApplied(): void;
  /** A peer other than the sources was in sync `age` ago, and its changes are applied. */
  noteSynced(age: Millis): void;
  get(): Millis;
  readState(): UpdateState;
}

export function createStalenessTracker(timers: TimerService): StalenessTracker {
  let source: UpdateState['source'] = null;
  /** Time at which the sender of the last answer was in sync. */
  let answerAsOf = -Infinity;
  /** Time at which the local copy was in sync with the store. */
  let knownAsOf = -Infinity;

  function get(): Millis {
    return timers.now() - knownAsOf;
  }

  return {
    noteAnswer(answerSource, age) {
      source = answerSource;
      answerAsOf = timers.now() - age;
    },
    noteApplied() {
      knownAsOf = Math.max(knownAsOf, answerAsOf);
    },
    noteSynced(age) {
      knownAsOf = Math.max(knownAsOf, timers.now() - age);
    },
    get,
    readState: () => ({ source, age: get() }),
  };
}
