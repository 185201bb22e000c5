/**
 * Ports that keep to the backoffs that servers ask for: nothing is sent to such a server, over whichever path. A call that
 * waited after its server was chosen may find that the server asked meanwhile.
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
import type { RelayBackoffs } from './RelayBackoffs.js';

/** HTTP status with which a server asks for a backoff. */
const UNAVAILABLE = 503;

/** Notes the backoffs that answers to calls ask for. */
export function createBackoffNotingPorts(own: BackendPorts, backoffs: RelayBackoffs): BackendPorts {
  function noteFailure({ status, engine, retryAfter }: AttemptFailure, server: EngineId): void {
    if (status === UNAVAILABLE && retryAfter !== null) {
      backoffs.noteRequested(engine ?? server, retryAfter);
    }
  }

  function noteAnswer(answer: ServiceAnswer, server: EngineId): void {
    const time = answer.status === UNAVAILABLE ? parseRetryAfter(answer) : null;
    if (time === null) {
      backoffs.noteTaken(server);
    } else {
      backoffs.noteRequested(server, time);
    }
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const server = call.chain.stages[0]?.engine ?? '';
    return own.openEngineCall(call, {
      ...listener,
      onAcknowledged(acknowledgement) {
        call.chain.stages.forEach(({ engine }) => backoffs.noteTaken(engine));
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

/** Sends nothing to a server from which this instance backs off. */
export function createBackoffPorts(ports: BackendPorts, backoffs: RelayBackoffs): BackendPorts {
  const noting = createBackoffNotingPorts(ports, backoffs);

  function isHeldBack(server: EngineId): boolean {
    return backoffs.getTimeLeft(server) > 0;
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
    const backedOff = stages.find(({ engine }) => isHeldBack(engine))?.engine ?? null;
    const onFailure = (failure: AttemptFailure): void =>
      listener.onFailure(withoutBackoff(failure));
    if (backedOff !== null) {
      return refuse(onFailure, createBackoffFailure(backedOff));
    }
    stages.forEach(({ engine }) => backoffs.noteSent(engine));
    return noting.openEngineCall(call, { ...listener, onFailure });
  };

  const openServiceCall: OpenServiceCall = (call, listener) => {
    const onFailure = (failure: AttemptFailure): void =>
      listener.onFailure(withoutBackoff(failure));
    if (isHeldBack(call.server)) {
      // It was not sent, so it goes to another server at once, and takes no retry.
      return refuse(onFailure, createUnreachedFailure(call.server));
    }
    backoffs.noteSent(call.server);
    return noting.openServiceCall(call, { ...listener, onFailure });
  };

  const readHealth: BackendPorts['readHealth'] = (entry, timeout) =>
    isHeldBack(entry.id)
      ? Promise.resolve({ kind: 'backed-off' })
      : noting.readHealth(entry, timeout);

  const orders: BackendPorts['orders'] = {
    readStatus: (entry, timeout) =>
      isHeldBack(entry.id) ? Promise.resolve(null) : noting.orders.readStatus(entry, timeout),
    order: (entry, range, orderCount, timeout) =>
      isHeldBack(entry.id)
        ? Promise.resolve('refused')
        : noting.orders.order(entry, range, orderCount, timeout),
  };

  return { ...noting, openEngineCall, openServiceCall, readHealth, orders };
}

/** The delay that a server asked for is its own, which is kept: the refused request may go to another at once. */
function withoutBackoff(failure: AttemptFailure): AttemptFailure {
  return failure.status === UNAVAILABLE ? { ...failure, retryAfter: null } : failure;
}

/** Failure of a call that was not sent, as this instance backs off from a server of its chain. */
function createBackoffFailure(engine: EngineId): AttemptFailure {
  return {
    place: FailurePlace.Refused,
    engine,
    status: UNAVAILABLE,
    retryAfter: null,
    provenNotRun: true,
  };
}
