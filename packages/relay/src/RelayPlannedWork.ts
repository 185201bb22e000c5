/**
 * Tracks planned work: a change of the configuration or of the settings, or the shutdown of this instance.
 * Planned work must not abort any answer. If the engines of an answer stop responding during planned work, the answer
 * is not aborted for the caller to retry elsewhere, as it is at other times; it resumes if a chain is found before the
 * caller leaves.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelayPlannedWork {
  /** Records that a configuration came into force. */
  noteConfigChange(): void;
  /** Records that the settings changed. */
  noteSettingsChange(): void;
  /** Records that this instance is shutting down. */
  noteStop(): void;
  /** Whether no planned work affects a request that was accepted at `acceptedAt`. */
  isUnaffected(acceptedAt: Millis): boolean;
}

/** Answers that began before a change was in force on all instances can last a second longer. */
const POST_CHANGE_TIME: Millis = 1000;
/**
 * A large configuration can be in force here before the store has acknowledged it. `changeTime` only starts at the
 * acknowledgement.
 */
const ACKNOWLEDGEMENT_LAG: Millis = 2000;
/** Allows for the time between the caller sending a request and this instance accepting it. */
const REQUEST_READ_TIME: Millis = 500;

/** `changeTime` is the time within which a change must be in force on all instances after its acknowledgement. */
export function createRelayPlannedWork(timers: TimerService, changeTime: Millis): RelayPlannedWork {
  let unaffectedFrom = -Infinity;
  /** A change of the settings affects all requests accepted before this time, however long they last. */
  let settingsAppliedAt = -Infinity;

  return {
    noteConfigChange() {
      const time = ACKNOWLEDGEMENT_LAG + changeTime + POST_CHANGE_TIME;
      unaffectedFrom = Math.max(unaffectedFrom, timers.now() + time);
    },
    noteSettingsChange() {
      settingsAppliedAt = timers.now() + changeTime + REQUEST_READ_TIME;
    },
    noteStop() {
      unaffectedFrom = Infinity;
    },
    isUnaffected: (acceptedAt) => timers.now() >= unaffectedFrom && acceptedAt >= settingsAppliedAt,
  };
}
