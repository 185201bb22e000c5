/**
 * Holds callers' requests while an instance that has just started waits for its first configuration, which takes less
 * than half a second where the store answers. A caller whose instance was restarted has used up one of its few attempts
 * already; a refusal would cost it the next.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** Time after the start from which requests are refused at once: a store that has not answered by then is out. */
export const MAX_START_WAIT: Millis = 1000;
/** The configuration is the first of many keys that are read together. */
const SETTLE_TIME: Millis = 50;

export interface StartGate {
  /** Whether requests are no longer held. */
  isOpen(): boolean;
  /** Calls `resume` when the gate opens. */
  wait(resume: () => void): void;
  /**
   * A configuration is in force: the first one opens the gate for good once the engines that were read with it are known.
   */
  noteConfigured(): void;
  /** Cancels the timer. */
  stop: Unregister;
}

export function createStartGate(timers: TimerService): StartGate {
  const waiting: (() => void)[] = [];
  let isOpen = false;
  let isConfigured = false;
  let cancelTimeout = timers.registerTimeout(MAX_START_WAIT, open);

  function open(): void {
    isOpen = true;
    isConfigured = true;
    waiting.splice(0).forEach((resume) => resume());
  }

  return {
    isOpen: () => isOpen,
    wait: (resume) => waiting.push(resume),
    noteConfigured() {
      if (!isConfigured) {
        isConfigured = true;
        cancelTimeout();
        cancelTimeout = timers.registerTimeout(SETTLE_TIME, open);
      }
    },
    stop: () => cancelTimeout(),
  };
}
