/** A simulated plain service that reports its effects, and loses answers or is down while a fault is active. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { OpenServiceCall, ServiceCallListener } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { HistoryFaultName } from './HistoryPlan.js';
import { HistoryFaultKind } from './HistoryPlan.js';

export interface ServiceOptions {
  readonly timers: TimerService;
  readonly hasFault: (kind: HistoryFaultName) => boolean;
  /** Whether the server currently cannot be reached. */
  readonly isCut: (server: string) => boolean;
  readonly onEffect: (request: string) => void;
}

const ONE_WAY_DELAY: Millis = 1;
const WORK_TIME: Millis = 20;
const STATUS_OK = 200;

/** Opens calls to the service, which echoes the body of each request. */
export function createServiceCalls(options: ServiceOptions): OpenServiceCall {
  const { timers, hasFault, isCut, onEffect } = options;

  function fail(
    listener: ServiceCallListener,
    place: typeof FailurePlace.Connect | typeof FailurePlace.Stream,
  ): void {
    const provenNotRun = place === FailurePlace.Connect;
    listener.onFailure({ place, engine: null, status: null, retryAfter: null, provenNotRun });
  }

  return (call, listener) => {
    let isCancelled = false;
    function answer(): void {
      if (isCancelled || isCut(call.server)) {
        return;
      }
      if (hasFault(HistoryFaultKind.ServiceAnswersLost)) {
        fail(listener, FailurePlace.Stream);
      } else {
        listener.onAnswer({ status: STATUS_OK, headers: {}, body: call.body });
      }
    }
    timers.registerTimeout(ONE_WAY_DELAY, () => {
      if (isCancelled || isCut(call.server)) {
        return;
      }
      if (hasFault(HistoryFaultKind.ServiceDown)) {
        fail(listener, FailurePlace.Connect);
        return;
      }
      timers.registerTimeout(WORK_TIME, () => {
        onEffect(call.request);
        timers.registerTimeout(ONE_WAY_DELAY, answer);
      });
    });
    return () => {
      isCancelled = true;
    };
  };
}
