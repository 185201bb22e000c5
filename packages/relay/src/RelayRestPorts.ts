/**
 * Ports that keep to the rests of backend servers: nothing is sent to one that asked for rest, over whichever path, and
 * whatever an answer asks for is kept. What waited since a server was chosen may find that it rests by now.
 */
import type { EngineId, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  OpenEngineCall,
  OpenServiceCall,
  ServiceAnswer,
} from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createUnreachedFailure } from '@skylarksail/requests/RequestFailures';
import { parseRetryAfter } from '@skylarksail/requests/ServiceCalls';
import type { BackendPorts } from './RelayPorts.js';
import type { RelayRests } from './RelayRests.js';

/** HTTP status with which a server asks for rest. */
const UNAVAILABLE = 503;

/** Keeps the rests that answers to calls ask for. */
export function createRestNotingPorts(own: BackendPorts, rests: RelayRests): BackendPorts {
  function noteFailure({ status, engine, retryAfter }: AttemptFailure, server: EngineId): void {
    if (status === UNAVAILABLE && retryAfter !== null) {
      rests.noteAsked(engine ?? server, retryAfter);
    }
  }

  function noteAnswer(answer: ServiceAnswer, server: EngineId): void {
    const time = answer.status === UNAVAILABLE ? parseRetryAfter(answer) : null;
    if (time === null) {
      rests.noteTaken(server);
    } else {
      rests.noteAsked(server, time);
    }
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const server = call.chain.stages[0]?.engine ?? '';
    return own.openEngineCall(call, {
      ...listener,
      onAcknowledged(acknowledgement) {
        call.chain.stages.forEach(({ engine }) => rests.noteTaken(engine));
        listener.onAcknowledged(acknowledgement);
      },
      onFailure(failure) {
        noteFailure(failure, server);
        listener.onFailure(failure);
      },
    });
  };

  const openServiceCall: OpenServiceCall = (call, listener) =>
    own.openServiceCall(call, {
      ...listener,
      onAnswer(answer) {
        noteAnswer(answer, call.server);
        listener.onAnswer(answer);
      },
      onFailure(failure) {
        noteFailure(failure, call.server);
        listener.onFailure(failure);
      },
    });

  return { ...own, openEngineCall, openServiceCall };
}

/** Sends nothing to a server in its rest. */
export function createRestingPorts(ports: BackendPorts, rests: RelayRests): BackendPorts {
  const noting = createRestNotingPorts(ports, rests);

  function isResting(server: EngineId): boolean {
    return rests.getTimeLeft(server) > 0;
  }

  function refuse(
    onFailure: (failure: AttemptFailure) => void,
    failure: AttemptFailure,
  ): Unregister {
    let isCancelled = false;
    queueMicrotask(() => {
      if (!isCancelled) {
        onFailure(failure);
      }
    });
    return () => {
      isCancelled = true;
    };
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const { stages } = call.chain;
    const resting = stages.find(({ engine }) => isResting(engine))?.engine ?? null;
    const onFailure = (failure: AttemptFailure): void => listener.onFailure(withoutRest(failure));
    if (resting !== null) {
      return refuse(onFailure, createRestFailure(resting));
    }
    stages.forEach(({ engine }) => rests.noteSent(engine));
    return noting.openEngineCall(call, { ...listener, onFailure });
  };

  const openServiceCall: OpenServiceCall = (call, listener) => {
    const onFailure = (failure: AttemptFailure): void => listener.onFailure(withoutRest(failure));
    if (isResting(call.server)) {
      // It was not sent, so it goes to another server at once, and takes no retry.
      return refuse(onFailure, createUnreachedFailure(call.server));
    }
    rests.noteSent(call.server);
    return noting.openServiceCall(call, { ...listener, onFailure });
  };

  const readHealth: BackendPorts['readHealth'] = (entry, timeout) =>
    isResting(entry.id) ? Promise.resolve({ kind: 'resting' }) : noting.readHealth(entry, timeout);

  const orders: BackendPorts['orders'] = {
    readStatus: (entry, timeout) =>
      isResting(entry.id) ? Promise.resolve(null) : noting.orders.readStatus(entry, timeout),
    order: (entry, range, orderCount, timeout) =>
      isResting(entry.id)
        ? Promise.resolve('refused')
        : noting.orders.order(entry, range, orderCount, timeout),
  };

  return { ...noting, openEngineCall, openServiceCall, readHealth, orders };
}

/** The delay that a server asked for is its own, which is kept: the refused request may go to another at once. */
function withoutRest(failure: AttemptFailure): AttemptFailure {
  return failure.status === UNAVAILABLE ? { ...failure, retryAfter: null } : failure;
}

/** Failure of a call that was not sent, as a server of its chain rests. */
function createRestFailure(engine: EngineId): AttemptFailure {
  return {
    place: FailurePlace.Refused,
    engine,
    status: UNAVAILABLE,
    retryAfter: null,
    provenNotRun: true,
  };
}
