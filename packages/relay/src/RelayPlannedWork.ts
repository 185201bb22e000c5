/**
 * Whether planned work goes on: a change of the configuration or of the settings, or this instance's own stop.
 * Planned work is to cut no answer. One whose engines fell silent then is not broken off for its caller to try
 * elsewhere, as in other times; it goes on if a chain is found before its caller leaves.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelayPlannedWork {
  /** A configuration was put in force. */
  noteConfigChange(): void;
  /** The settings changed. */
  noteSettingsChange(): void;
  /** This instance stops. */
  noteStop(): void;
  /** Whether no planned work goes on that touches a request which was taken at `takenAt`. */
  isUnaffected(takenAt: Millis): boolean;
}

/** Answers that began before a change was in force everywhere last a second more. */
const AFTER_CHANGE: Millis = 1000;
/** A large configuration is in force here before the store has acknowledged it, from when its time counts. */
const ACKNOWLEDGEMENT_LAG: Millis = 2000;
/** A request was sent by its caller before it was taken here. */
const READING_TIME: Millis = 500;

/** `changeTime` is the time after its acknowledgement in which a change is to be in force everywhere. */
export function createRelayPlannedWork(timers: TimerService, changeTime: Millis): RelayPlannedWork {
  let calmFrom = -Infinity;
  /** Requests that were taken before are touched by a change of the settings, however long they last. */
  let settledFrom = -Infinity;

  return {
    noteConfigChange() {
      const time = ACKNOWLEDGEMENT_LAG + changeTime + AFTER_CHANGE;
      calmFrom = Math.max(calmFrom, timers.now() + time);
    },
    noteSettingsChange() {
      settledFrom = timers.now() + changeTime + READING_TIME;
    },
    noteStop() {
      calmFrom = Infinity;
    },
    isUnaffected: (takenAt) => timers.now() >= calmFrom && takenAt >= settledFrom,
  };
}
