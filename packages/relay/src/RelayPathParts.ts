/** Creates and connects what takes calls to backend servers over the own links or through peers. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { DecisionLog } from '@skylarksail/daemon/DaemonDecisions';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import type { Catalogue } from './RelayCatalogue.js';
import { createCaughtUpPorts } from './RelayCaughtUpPorts.js';
import { createForwardPeers } from './RelayForwardPeers.js';
import type { ForwardServer } from './RelayForwardServer.js';
import { createForwardServer } from './RelayForwardServer.js';
import type { ForwardTask, OpenForward, ServeForward } from './RelayForwardTypes.js';
import type { RelayForwarding } from './RelayForwarding.js';
import { createRelayForwarding } from './RelayForwarding.js';
import type { LoopWatch } from './RelayLoopWatch.js';
import type { RelayLimits } from './RelayLimits.js';
import { createPathPorts } from './RelayPathPorts.js';
import { createRelayPaths } from './RelayPaths.js';
import type { BackendPorts } from './RelayPorts.js';
import { createBackoffPorts, createBackoffNotingPorts } from './RelayBackoffPorts.js';
import type { RelayBackoffs } from './RelayBackoffs.js';
import { createWatchedPorts } from './RelayWatchedPorts.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface PathPartsOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly catalogue: Pick<Catalogue, 'get'>;
  readonly limits: Pick<RelayLimits, 'isLimited' | 'listBlocked' | 'reserve'>;
  /** Ports of this instance's own links. */
  readonly linkPorts: BackendPorts;
  readonly backoffs: RelayBackoffs;
  readonly loop: Pick<LoopWatch, 'getUnreadTime' | 'whenRead'>;
  readonly openForward: OpenForward;
  /** The own link to a server is cut, and a peer reaches it. */
  readonly onCut: (server: EngineId) => void;
  /** A server said in an answer, which may have come through a peer, that it leaves. */
  readonly onSaidLeaving: (server: EngineId) => void;
  readonly logger: Pick<DaemonLogger, 'info' | 'warn'>;
  readonly decisions: Pick<DecisionLog, 'record'>;
  readonly metrics: Pick<DaemonMetrics, 'count'>;
}

export interface PathParts {
  /** Ports to the backend servers, over whichever path carries. */
  readonly backends: BackendPorts;
  /** Carries out tasks of peers. */
  readonly serve: ServeForward;
  /** Watches the calls that run; called every 100 ms while there are any. */
  sweep(): void;
  /** Takes no more tasks of peers. */
  startLeaving(): void;
  /** Waits until the tasks of peers have ended, for at most `limit`. */
  waitForTasks(limit: Millis): Promise<void>;
  readonly stop: Unregister;
}

/** Time for peers to check a link: two that don't reach the server, one after the other. */
const PEER_CHECK_TIMEOUT: Millis = 500;

export function createPathParts(options: PathPartsOptions): PathParts {
  const { timers, random, self, catalogue, limits, backoffs, linkPorts, logger, metrics } = options;
  let startedServer: ForwardServer | null = null;
  const paths = createRelayPaths({
    timers,
    checkOwnLink: async (id) => {
      const entry = catalogue.get(id);
      return entry !== null && (await linkPorts.checkConnection(entry));
    },
    checkThroughPeers,
    isKnown: (id) => catalogue.get(id) !== null,
    isServingPeers: () => (startedServer?.countTasks() ?? 0) > 0,
    onCut: (id) => {
      logger.warn({ server: id }, 'own link cut');
      options.onCut(id);
    },
    onRestored: (id) => logger.info({ server: id }, 'own link restored'),
  });
  const own = createBackoffNotingPorts(
    createCaughtUpPorts(createWatchedPorts(linkPorts, paths), options),
    backoffs,
  );
  const forwarding: RelayForwarding = createRelayForwarding({
    timers,
    peers: createForwardPeers({ timers, random, self, listInstances: options.listInstances }),
    openForward: options.openForward,
    onReached: paths.noteReachedByPeer,
    onUnreached: paths.noteUnreached,
    onStep: (task, peer, what) => recordTask('through-peer', task, { peer, what }),
  });
  const server = createForwardServer({
    timers,
    own,
    catalogue,
    isCut: paths.isCut,
    mayReach: (id) => paths.mayReach(id) && !paths.hasOwnFailed(id),
    takePermit,
    backoffs,
    getUnreadTime: options.loop.getUnreadTime,
    onTask: (task, what) => recordTask('for-peer', task, { what }),
  });
  startedServer = server;

  function takePermit(id: EngineId): boolean {
    const isBlocked = limits.listBlocked().includes(id);
    if (!isBlocked) {
      limits.reserve(id)?.use();
    }
    return !isBlocked;
  }

  async function checkThroughPeers(id: EngineId): Promise<boolean> {
    const task = { kind: 'check', server: id } as const;
    const frame = await forwarding.ask(task, 'checked', PEER_CHECK_TIMEOUT);
    return frame?.isReached ?? false;
  }

  /** Logs a task under the id of its request, here and at the peer; questions are only counted. */
  function recordTask(
    decision: string,
    task: ForwardTask,
    fields: Readonly<Record<string, string>>,
  ): void {
    metrics.count(
      `${decision}_${fields.what}`.replaceAll('-', '_'),
      `tasks ${decision}: ${fields.what}`,
    );
    if ('call' in task) {
      options.decisions.record({ request: task.call.request, decision, ...fields });
    }
  }

  return {
    backends: createBackoffPorts(
      createPathPorts({
        timers,
        own,
        paths,
        forwarding,
        isLimited: limits.isLimited,
        onSaidLeaving: options.onSaidLeaving,
      }),
      backoffs,
    ),
    serve: server.serve,
    sweep: paths.sweep,
    startLeaving: server.startLeaving,
    waitForTasks: server.waitForEnds,
    stop: paths.stop,
  };
}
