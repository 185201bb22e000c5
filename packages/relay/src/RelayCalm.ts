/**
 * Whether planned work goes on: a change of the configuration or of the settings, or this instance's own stop.
 * Planned work is to cut no answer. One whose engines fell silent then is not broken off for its caller to try
 * elsewhere, as in other times; it goes on if a chain is found before its caller leaves.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface RelayCalm {
  /** A change was put in force. */
  noteChange(): void;
  /** This instance stops. */
  noteStop(): void;
  isCalm(): boolean;
}

/** A change is in force everywhere within some four seconds; answers that began before it last a second more. */
const CHANGE_TIME: Millis = 5000;

export function createRelayCalm(timers: TimerService): RelayCalm {
  let calmFrom = -Infinity;

  return {
    noteChange() {
      calmFrom = Math.max(calmFrom, timers.now() + CHANGE_TIME);
    },
    noteStop() {
      calmFrom = Infinity;
    },
    isCalm: () => timers.now() >= calmFrom,
  };
}
