/** A plain service that does what it is told, counts its effects, and loses answers when told to. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { OpenServiceCall, ServiceCallListener } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { HistoryFaultName } from './HistoryPlan.js';
import { HistoryFaultKind } from './HistoryPlan.js';

export interface ServiceOptions {
  readonly timers: TimerService;
  readonly hasFault: (kind: HistoryFaultName) => boolean;
  /** Whether the server can be reached now. */
  readonly isCut: (server: string) => boolean;
  readonly onEffect: (request: string) => void;
}

const HALF_WAY: Millis = 1;
const WORK: Millis = 20;
const STATUS_OK = 200;

/** The answer to a request: its body, given back. */
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
    timers.registerTimeout(HALF_WAY, () => {
      if (isCancelled || isCut(call.server)) {
        return;
      }
      if (hasFault(HistoryFaultKind.ServiceDown)) {
        fail(listener, FailurePlace.Connect);
        return;
      }
      timers.registerTimeout(WORK, () => {
        onEffect(call.request);
        timers.registerTimeout(HALF_WAY, answer);
      });
    });
    return () => {
      isCancelled = true;
    };
  };
}
