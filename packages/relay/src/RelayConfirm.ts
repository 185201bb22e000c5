/**
 * Checks the store before a caller gets a not-found answer. Callers don't retry after such an answer, and the local
 * copy may lack a change that must already be in force: it can be late by up to the length of a watch without changes.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEvent, StoreRangePort } from '@skylarksail/store/StoreRange';

export interface RelayConfirmOptions {
  readonly timers: TimerService;
  readonly store: Pick<StoreRangePort, 'watchRange'>;
  /** Revision up to which the local copy is complete. */
  readonly getCompleteRevision: () => number;
  /** Applies the changes since then. */
  readonly onEvents: (events: readonly StoreEvent[]) => void;
  /** The local copy was in sync with the store `age` ago. */
  readonly onSynced: (age: Millis) => void;
}

/** Queries the store; `done` receives whether the local copy is current. */
export type ConfirmCurrent = (done: (isCurrent: boolean) => void) => void;

/** Timeout of the query; on expiry the caller gets a retryable refusal. */
const ANSWER_TIMEOUT: Millis = 400;
/** Backoff after a failure, so that not every caller queries a failing store again. */
const FAILURE_BACKOFF: Millis = 500;

/** Creates the check; calls during a pending query share its result. */
export function createRelayConfirm(options: RelayConfirmOptions): ConfirmCurrent {
  const { timers, store } = options;
  let waiting: ((isCurrent: boolean) => void)[] = [];
  let backoffUntil = -Infinity;

  async function readChanges(): Promise<boolean> {
    const askedAt = timers.now();
    const outcome = await store.watchRange('', options.getCompleteRevision(), 0, {
      timeout: ANSWER_TIMEOUT,
    });
    if (outcome.kind !== 'done' || outcome.value.kind !== 'events') {
      backoffUntil = timers.now() + FAILURE_BACKOFF;
      return false;
    }
    options.onEvents(outcome.value.events);
    options.onSynced(timers.now() - askedAt);
    return true;
  }

  function notifyWaiters(isCurrent: boolean): void {
    const notified = waiting;
    waiting = [];
    notified.forEach((callback) => callback(isCurrent));
  }

  return (done) => {
    if (timers.now() < backoffUntil) {
      done(false);
      return;
    }
    waiting.push(done);
    if (waiting.length === 1) {
      void readChanges().then(notifyWaiters, () => notifyWaiters(false));
    }
  };
}
