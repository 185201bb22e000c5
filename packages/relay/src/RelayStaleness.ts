/**
 * How old an instance's news is: the time since all that the store held was known. An instance that does not know its
 * news to be old answers 404 for new routes, and tells others that there is nothing new.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';

/** Stands for the store itself among the sources. */
export const STORE_SOURCE = 'store';

/** From whom an instance heard last, and how long ago it heard all that there was. */
export interface UpdateState {
  /** An instance, or the store; null before the first answer. */
  readonly source: InstanceId | typeof STORE_SOURCE | null;
  /** Time since a source, or the store, last told all that it held; infinite before the first answer. */
  readonly age: Millis;
}

export interface StalenessTracker {
  /** An answer has come whose sender knew all so long ago. What it tells may not be taken in yet. */
  noteAnswer(source: UpdateState['source'], age: Millis): void;
  /** What the last answer told has been taken in. */
  noteApplied(): void;
  /** A peer beside the sources told all that it knew so long ago, and that has been taken in. */
  noteSynced(age: Millis): void;
  get(): Millis;
  readState(): UpdateState;
}

export function createStalenessTracker(timers: TimerService): StalenessTracker {
  let source: UpdateState['source'] = null;
  /** As of when the last answer told all. */
  let answerAsOf = -Infinity;
  /** All that the store held at this time is known. */
  let knownAsOf = -Infinity;

  function get(): Millis {
    return timers.now() - knownAsOf;
  }

  return {
    noteAnswer(next, age) {
      source = next;
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
