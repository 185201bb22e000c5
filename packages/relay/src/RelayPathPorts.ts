/**
 * Ports to backend servers that take this instance's own link, or go through a peer where that is cut. All that sends to a
 * server uses them: calls, health checks, reports and orders. So an instance that has lost its links goes on as it did,
 * and holds nothing against engines that others reach.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  EngineCallListener,
  OpenEngineCall,
  OpenServiceCall,
  ServiceCallListener,
} from '@skylarksail/requests/RequestPorts';
import { createUnreachedFailure, isUnreached } from '@skylarksail/requests/RequestFailures';
import type { ForwardFrame } from './RelayForwardTypes.js';
import type { ForwardTaskListener, RelayForwarding } from './RelayForwarding.js';
import { createLinkFailure } from './RelayForwarding.js';
import type { RelayPaths } from './RelayPaths.js';
import type { BackendPorts } from './RelayPorts.js';

/** Wraps the ports of this instance's own links, so that what its calls show of them is known. */
export function createWatchedPorts(own: BackendPorts, paths: RelayPaths): BackendPorts {
  function noteFailure(failure: AttemptFailure, server: EngineId): void {
    if (isUnreached(failure)) {
      paths.noteOwnFailure(server);
    }
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const server = call.chain.stages[0]?.engine ?? '';
    let cancel: Unregister = () => undefined;
    const watch = paths.watch(server, () => {
      cancel();
      listener.onFailure(createLinkFailure(server));
    });
    cancel = own.openEngineCall(call, {
      onConnection: (isSent) => listener.onConnection?.(isSent),
      onAcknowledged(acknowledgement) {
        watch.noteSign();
        listener.onAcknowledged(acknowledgement);
      },
      onToken(index, token) {
        watch.noteSign();
        listener.onToken(index, token);
      },
      onEnd(reason, tokenCount) {
        watch.noteSign();
        watch.end();
        listener.onEnd(reason, tokenCount);
      },
      onFailure(failure) {
        watch.end();
        noteFailure(failure, server);
        listener.onFailure(failure);
      },
    });
    return () => {
      watch.end();
      cancel();
    };
  };

  /** A call that may have run is left to its answer: the link may carry again before its deadline. */
  const openServiceCall: OpenServiceCall = (call, listener) => {
    const watch = paths.watch(call.server, () => undefined);
    let isConnecting = false;
    const cancel = own.openServiceCall(call, {
      onConnection(isSent) {
        isConnecting = !isSent;
        listener.onConnection?.(isSent);
      },
      onAnswer(answer) {
        watch.noteSign();
        watch.end();
        listener.onAnswer(answer);
      },
      onFailure(failure) {
        watch.end();
        noteFailure(failure, call.server);
        listener.onFailure(failure);
      },
    });
    return () => {
      watch.end();
      cancel();
      if (isConnecting) {
        // Its caller had no more time for this server, so nothing else shows whether the link is cut.
        paths.suspect(call.server);
      }
    };
  };

  return { ...own, openEngineCall, openServiceCall };
}

export interface PathPortsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  /** Ports of this instance's own links. */
  readonly own: BackendPorts;
  readonly paths: RelayPaths;
  readonly forwarding: RelayForwarding;
  /** Whether calls to a server need permits, as far as this instance knows; it has taken one then. */
  readonly isLimited: (server: EngineId) => boolean;
}

export function createPathPorts(options: PathPortsOptions): BackendPorts {
  const { timers, own, paths, forwarding, isLimited } = options;

  /** Opens a call over the own link, or, if that is cut or its connection fails, through a peer. */
  function openEither(
    server: EngineId,
    openOwn: (onFailure: (failure: AttemptFailure) => void) => Unregister,
    goAround: (failure: AttemptFailure) => Unregister,
    onFailure: (failure: AttemptFailure) => void,
  ): Unregister {
    const unreached = createUnreachedFailure(server);
    let cancel: Unregister = () => undefined;
    let isCancelled = false;
    if (!paths.mayReach(server)) {
      // Nobody reached it a moment ago: another wait for its connection would only use up the caller's time.
      queueMicrotask(() => {
        if (!isCancelled) {
          onFailure(unreached);
        }
      });
      return () => {
        isCancelled = true;
      };
    }
    if (paths.isCut(server) || paths.hasOwnFailed(server)) {
      return goAround(unreached);
    }
    const cancelOwn = openOwn((failure) => {
      if (!isCancelled && isUnreached(failure)) {
        cancel = goAround(failure);
      } else {
        onFailure(failure);
      }
    });
    return () => {
      isCancelled = true;
      cancelOwn();
      cancel();
    };
  }

  const openEngineCall: OpenEngineCall = (call, listener) => {
    const server = call.chain.stages[0]?.engine ?? '';
    const openedAt = timers.now();
    return openEither(
      server,
      (onFailure) => own.openEngineCall(call, { ...listener, onFailure }),
      (failure) =>
        forwarding.open(
          {
            kind: 'engine-call',
            call: { ...call, timeLeft: call.timeLeft - (timers.now() - openedAt) },
            hasPermit: isLimited(server),
          },
          toEngineListener(listener, server, failure),
        ),
      (failure) => listener.onFailure(failure),
    );
  };

  const openServiceCall: OpenServiceCall = (call, listener) => {
    const { server } = call;
    const openedAt = timers.now();
    return openEither(
      server,
      (onFailure) => own.openServiceCall(call, { ...listener, onFailure }),
      (failure) =>
        forwarding.open(
          {
            kind: 'service-call',
            call: { ...call, timeLeft: call.timeLeft - (timers.now() - openedAt) },
            hasPermit: isLimited(server),
          },
          toServiceListener(listener, server, failure),
        ),
      (failure) => listener.onFailure(failure),
    );
  };

  const readHealth: BackendPorts['readHealth'] = async (entry, timeout) => {
    const server = entry.id;
    if (paths.isCut(server)) {
      const frame = await forwarding.ask({ kind: 'health', server }, 'health', timeout);
      return frame?.health ?? { kind: 'silent' };
    }
    const health = await own.readHealth(entry, timeout);
    if (health.kind === 'silent') {
      paths.suspect(server);
    }
    return health;
  };

  const readStatus: BackendPorts['orders']['readStatus'] = async (entry, timeout) => {
    const server = entry.id;
    if (paths.isCut(server)) {
      const frame = await forwarding.ask({ kind: 'status', server }, 'status', timeout);
      return frame?.status ?? null;
    }
    const status = await own.orders.readStatus(entry, timeout);
    if (status === null) {
      paths.suspect(server);
    }
    return status;
  };

  const order: BackendPorts['orders']['order'] = async (entry, range, orderCount, timeout) => {
    const server = entry.id;
    if (paths.isCut(server)) {
      const task = { kind: 'order', server, range, orderCount } as const;
      const frame = await forwarding.ask(task, 'ordered', timeout);
      return frame?.outcome ?? 'unknown';
    }
    const outcome = await own.orders.order(entry, range, orderCount, timeout);
    if (outcome === 'unknown') {
      paths.suspect(server);
    }
    return outcome;
  };

  return { ...own, openEngineCall, openServiceCall, readHealth, orders: { readStatus, order } };
}

function toEngineListener(
  listener: EngineCallListener,
  server: EngineId,
  unreached: AttemptFailure,
): ForwardTaskListener {
  return {
    onFrame(frame: ForwardFrame) {
      switch (frame.kind) {
        case 'connection':
          listener.onConnection?.(frame.isSent);
          break;
        case 'acknowledged':
          listener.onAcknowledged(frame.acknowledgement);
          break;
        case 'token':
          listener.onToken(frame.index, frame.token);
          break;
        case 'end':
          listener.onEnd(frame.reason, frame.tokenCount);
          break;
        case 'failure':
          listener.onFailure(frame.failure);
          break;
        default:
          listener.onFailure(createLinkFailure(server));
      }
    },
    onNobody: () => listener.onFailure(unreached),
    onLost: () => listener.onFailure(createLinkFailure(server)),
  };
}

function toServiceListener(
  listener: ServiceCallListener,
  server: EngineId,
  unreached: AttemptFailure,
): ForwardTaskListener {
  return {
    onFrame(frame: ForwardFrame) {
      switch (frame.kind) {
        case 'connection':
          listener.onConnection?.(frame.isSent);
          break;
        case 'answer':
          listener.onAnswer(frame.answer);
          break;
        case 'failure':
          listener.onFailure(frame.failure);
          break;
        default:
          listener.onFailure(createLinkFailure(server));
      }
    },
    onNobody: () => listener.onFailure(unreached),
    onLost: () => listener.onFailure(createLinkFailure(server)),
  };
}
