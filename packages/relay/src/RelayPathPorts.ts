/**
 * Ports to backend servers that take this instance's own link, or go through a peer where that is cut. All that sends to a
 * server uses them: calls, health checks, reports and orders. So an instance that has lost its links goes on as it did,
 * and holds nothing against engines that others reach.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  AttemptFailure,
  EngineCallListener,
  OpenEngineCall,
  OpenServiceCall,
  ServiceCallListener,
} from '@skylarksail/requests/RequestPorts';
import { createUnreachedFailure, isUnreached } from '@skylarksail/requests/RequestFailures';
import type { ForwardFrame, ForwardTask } from './RelayForwardTypes.js';
import type { ForwardTaskListener, RelayForwarding } from './RelayForwarding.js';
import { createLinkFailure } from './RelayForwarding.js';
import type { RelayPaths } from './RelayPaths.js';
import type { BackendPorts, HealthAnswer } from './RelayPorts.js';

/** Time for a health check through a peer after one over the own link has failed; longer ones are ignored as late. */
const LATE_HEALTH_TIMEOUT: Millis = 80;

export interface PathPortsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  /** Ports of this instance's own links. */
  readonly own: BackendPorts;
  readonly paths: RelayPaths;
  readonly forwarding: RelayForwarding;
  /** Whether calls to a server need permits, as far as this instance knows; it has taken one then. */
  readonly isLimited: (server: EngineId) => boolean;
  /** An answer that came through a peer says that its server leaves. */
  readonly onSaidLeaving: (server: EngineId) => void;
}

/** A call that can be opened over either path. */
interface EitherCall {
  readonly openOwn: (onFailure: (failure: AttemptFailure) => void) => Unregister;
  /** The call as a task for a peer, `elapsed` after it was opened. */
  readonly createTask: (elapsed: Millis, hasPermit: boolean) => ForwardTask;
  /** Receives the task's events; `unreached` is the failure if no peer reaches the server. */
  readonly createListener: (unreached: AttemptFailure) => ForwardTaskListener;
  readonly onFailure: (failure: AttemptFailure) => void;
}

export function createPathPorts(options: PathPortsOptions): BackendPorts {
  const { timers, own, paths, forwarding, isLimited, onSaidLeaving } = options;

  /** Opens a call over the own link, or, if that is cut or its connection fails, through a peer. */
  function openEither(server: EngineId, call: EitherCall): Unregister {
    const openedAt = timers.now();
    const unreached = createUnreachedFailure(server);
    let cancel: Unregister = () => undefined;
    let isCancelled = false;

    function goAround(failure: AttemptFailure): Unregister {
      const task = call.createTask(timers.now() - openedAt, isLimited(server));
      return forwarding.open(task, call.createListener(failure));
    }

    if (!paths.mayReach(server)) {
      // Nobody reached it a moment ago: another wait for its connection would only use up the caller's time.
      queueMicrotask(() => {
        if (!isCancelled) {
          call.onFailure(unreached);
        }
      });
      return () => {
        isCancelled = true;
      };
    }
    if (paths.isCut(server) || paths.hasOwnFailed(server)) {
      return goAround(unreached);
    }
    const cancelOwn = call.openOwn((failure) => {
      if (!isCancelled && isUnreached(failure)) {
        cancel = goAround(failure);
      } else {
        call.onFailure(failure);
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
    return openEither(server, {
      openOwn: (onFailure) => own.openEngineCall(call, { ...listener, onFailure }),
      createTask: (elapsed, hasPermit) => ({
        kind: 'engine-call',
        call: { ...call, timeLeft: call.timeLeft - elapsed },
        hasPermit,
      }),
      createListener: (unreached) => toEngineListener(listener, server, unreached, onSaidLeaving),
      onFailure: (failure) => listener.onFailure(failure),
    });
  };

  const openServiceCall: OpenServiceCall = (call, listener) =>
    openEither(call.server, {
      openOwn: (onFailure) => own.openServiceCall(call, { ...listener, onFailure }),
      createTask: (elapsed, hasPermit) => ({
        kind: 'service-call',
        call: { ...call, timeLeft: call.timeLeft - elapsed },
        hasPermit,
      }),
      createListener: (unreached) =>
        toServiceListener(listener, call.server, unreached, onSaidLeaving),
      onFailure: (failure) => listener.onFailure(failure),
    });

  async function readHealthThroughPeer(server: EngineId, timeout: Millis): Promise<HealthAnswer> {
    const frame = await forwarding.ask({ kind: 'health', server }, 'health', timeout);
    return frame?.health ?? { kind: 'silent' };
  }

  const readHealth: BackendPorts['readHealth'] = async (entry, timeout) => {
    const server = entry.id;
    if (paths.isCut(server)) {
      return readHealthThroughPeer(server, timeout);
    }
    const health = await own.readHealth(entry, timeout);
    if (health.kind === 'silent' && paths.isCut(server)) {
      // The link was found cut meanwhile. Its silence would count against the engine.
      return readHealthThroughPeer(server, LATE_HEALTH_TIMEOUT);
    }
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
  onSaidLeaving: (server: EngineId) => void,
): ForwardTaskListener {
  return {
    onFrame(frame: ForwardFrame) {
      switch (frame.kind) {
        case 'connection':
          listener.onConnection?.(frame.isSent);
          break;
        case 'acknowledged':
          if (frame.acknowledgement.head?.isLeaving) {
            onSaidLeaving(server);
          }
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
  onSaidLeaving: (server: EngineId) => void,
): ForwardTaskListener {
  return {
    onFrame(frame: ForwardFrame) {
      switch (frame.kind) {
        case 'connection':
          listener.onConnection?.(frame.isSent);
          break;
        case 'answer':
          if (frame.answer.isLeaving) {
            onSaidLeaving(server);
          }
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
