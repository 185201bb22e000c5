/**
 * Finds out what the store holds now, before a caller is told that what it asked for is not there. News can be older
 * than the time in which a change is to be in force, by as much as a watch without news lasts, and no caller repeats a
 * request after such an answer.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEvent, StoreRangePort } from '@skylarksail/store/StoreRange';

export interface RelayConfirmOptions {
  readonly timers: TimerService;
  readonly store: Pick<StoreRangePort, 'watchRange'>;
  /** Revision up to which everything is known. */
  readonly getCompleteRevision: () => number;
  /** Takes in what has changed since. */
  readonly onEvents: (events: readonly StoreEvent[]) => void;
  /** All that the store held so long ago is known. */
  readonly onSynced: (age: Millis) => void;
}

/** Asks the store; `done` hears whether all that it held just now is known here. */
export type ConfirmCurrent = (done: (isCurrent: boolean) => void) => void;

/** A caller waits so long: it is told to come back a little later otherwise. */
const ANSWER_TIME: Millis = 400;
/** A store that gave no answer is not asked again at once, by each caller. */
const FAILURE_PAUSE: Millis = 500;

/** Creates the question; all who ask while one is on its way get its answer. */
export function createRelayConfirm(options: RelayConfirmOptions): ConfirmCurrent {
  const { timers, store } = options;
  let waiting: ((isCurrent: boolean) => void)[] = [];
  let pausedUntil = -Infinity;

  async function ask(): Promise<boolean> {
    const askedAt = timers.now();
    const outcome = await store.watchRange('', options.getCompleteRevision(), 0, {
      timeout: ANSWER_TIME,
    });
    if (outcome.kind !== 'done' || outcome.value.kind !== 'events') {
      pausedUntil = timers.now() + FAILURE_PAUSE;
      return false;
    }
    options.onEvents(outcome.value.events);
    options.onSynced(timers.now() - askedAt);
    return true;
  }

  function answer(isCurrent: boolean): void {
    const heard = waiting;
    waiting = [];
    heard.forEach((tell) => tell(isCurrent));
  }

  return (done) => {
    if (timers.now() < pausedUntil) {
      done(false);
      return;
    }
    waiting.push(done);
    if (waiting.length === 1) {
      void ask().then(answer, () => answer(false));
    }
  };
}
