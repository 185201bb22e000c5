/** Gives each call to a fake store a chosen fate, so that a test forces the order of effects and answers. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { CallFate, type CallFateName } from './FakeFates.js';
import type { StoreOutcome } from './StorePort.js';

/** A call as it was made. */
export interface FakeCall {
  readonly operation: string;
  readonly startedAt: Millis;
  /** Kind of the outcome or of the refusal; `open` until the call returns. */
  outcome: string;
}

/** Calls with fates. */
export interface FakeCalls {
  /** Performs a call with the next fate of its operation; without one, it is answered. */
  call<T>(
    operation: string,
    timeout: Millis,
    effect: () => Promise<StoreOutcome<T>>,
    lapse?: () => void,
  ): Promise<StoreOutcome<T>>;
  /** While unavailable, no call has an effect or an answer. */
  setAvailable(isUp: boolean): void;
  /** Ends the process of the caller: its later calls do not arrive. */
  end(): void;
  /** `listener` gets the operation of each call, and how many calls of it there have been. */
  registerCall(listener: (operation: string, count: number) => void): void;
  list(): readonly FakeCall[];
  /** Start of the last call that was not answered normally, or end of the last outage or overlong answer. */
  getReliableSince(): Millis;
}

/** What becomes of the calls. */
export interface FakeCallsOptions {
  readonly timers: TimerService;
  readonly fates: Readonly<Record<string, readonly CallFateName[]>>;
  /** When late calls take effect; by default LATE_DELAY. */
  readonly lateDelay?: Millis | undefined;
}

/** Round-trip time of a call. */
export const CALL_LATENCY: Millis = 50;
/** When a late call takes effect, and when an overlong answer is complete. */
export const LATE_DELAY: Millis = 1300;
const ARRIVAL_DELAY: Millis = 400;
const RETRY_AFTER: Millis = 300;

/** Creates calls that have no effects of their own. */
export function createFakeCalls({
  timers,
  fates,
  lateDelay = LATE_DELAY,
}: FakeCallsOptions): FakeCalls {
  const calls: FakeCall[] = [];
  const counts = new Map<string, number>();
  const listeners: ((operation: string, count: number) => void)[] = [];
  let isUp = true;
  let isEnded = false;
  let reliableSince: Millis = 0;

  function takeFate(operation: string): CallFateName {
    const count = counts.get(operation) ?? 0;
    counts.set(operation, count + 1);
    return fates[operation]?.[count] ?? CallFate.Answered;
  }

  function getAnswerDelay(fate: CallFateName, timeout: Millis): Millis {
    if (fate === CallFate.Slow) {
      return timeout - CALL_LATENCY;
    }
    if (fate === CallFate.Delayed) {
      return ARRIVAL_DELAY + CALL_LATENCY;
    }
    return fate === CallFate.Overlong ? LATE_DELAY : CALL_LATENCY;
  }

  function getArrivalDelay(fate: CallFateName): Millis {
    if (fate === CallFate.Late) {
      return lateDelay;
    }
    return fate === CallFate.Delayed ? ARRIVAL_DELAY : CALL_LATENCY / 2;
  }

  function noteUnreliable(fate: CallFateName): void {
    if (fate === CallFate.Overlong) {
      reliableSince = Math.max(reliableSince, timers.now() + LATE_DELAY);
    } else if (fate !== CallFate.Answered || !isUp) {
      reliableSince = Math.max(reliableSince, timers.now());
    }
  }

  function perform<T>(
    fate: CallFateName,
    timeout: Millis,
    effect: () => Promise<StoreOutcome<T>>,
    lapse: () => void,
  ): Promise<StoreOutcome<T>> {
    return new Promise((resolve, reject) => {
      const cancelTimeout = timers.registerTimeout(timeout, () => resolve({ kind: 'unknown' }));
      if (fate === CallFate.LostCall || isEnded) {
        return;
      }
      const arrivesAfter = getArrivalDelay(fate);
      timers.registerTimeout(arrivesAfter, () => {
        if (!isUp) {
          return;
        }
        if (fate === CallFate.Lapsed) {
          lapse();
        }
        const outcome: Promise<StoreOutcome<T>> =
          fate === CallFate.Refused
            ? Promise.resolve({
                kind: 'refused',
                reason: { kind: 'rate-limited', retryAfter: RETRY_AFTER },
              })
            : effect();
        if (fate === CallFate.Late || fate === CallFate.LostAnswer) {
          return;
        }
        if (fate === CallFate.Overlong) {
          cancelTimeout();
        }
        timers.registerTimeout(getAnswerDelay(fate, timeout) - arrivesAfter, () => {
          cancelTimeout();
          if (fate === CallFate.Throws) {
            reject(new Error('the call failed'));
          } else {
            resolve(outcome);
          }
        });
      });
    });
  }

  return {
    async call(operation, timeout, effect, lapse = () => undefined) {
      const call = { operation, startedAt: timers.now(), outcome: 'open' };
      calls.push(call);
      const fate = takeFate(operation);
      noteUnreliable(fate);
      listeners.forEach((listener) => listener(operation, counts.get(operation) ?? 0));
      const outcome = await perform(fate, timeout, effect, lapse);
      call.outcome = outcome.kind === 'refused' ? outcome.reason.kind : outcome.kind;
      return outcome;
    },
    setAvailable(next) {
      isUp = next;
      reliableSince = Math.max(reliableSince, timers.now());
    },
    end() {
      isEnded = true;
    },
    registerCall(listener) {
      listeners.push(listener);
    },
    list: () => calls,
    getReliableSince: () => (isUp ? reliableSince : Infinity),
  };
}
