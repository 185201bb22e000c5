/** Creates and connects the components of an instance that serves routes, around the request router. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DomainId, EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { ClaimPort } from '@skylarksail/requests/RequestPorts';
import type { TrialTally } from '@skylarksail/requests/RunTrials';
import { startCrashExchange } from '@skylarksail/requests/RouterCrashExchange';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import { EngineFate } from '@skylarksail/requests/RouterTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import { createHistoryPort } from '@skylarksail/store/StoreEras';
import type { PeerSlowness } from '@skylarksail/routing/RoutingSlowness';
import { createRelayArrivals } from './RelayArrivals.js';
import { createRelayPlannedWork } from './RelayPlannedWork.js';
import type { Catalogue } from './RelayCatalogue.js';
import { createCatalogue } from './RelayCatalogue.js';
import { coalesce } from './RelayCoalesce.js';
import { createCoverageCheck } from './RelayCoverage.js';
import { createPlacementDuty } from './RelayDuty.js';
import { createRelayEngines } from './RelayEngines.js';
import { listModels } from './RelayFacts.js';
import { createRelayHealth } from './RelayHealth.js';
import { createRelayIntake } from './RelayIntake.js';
import { startRelaySync } from './RelaySync.js';
import { createRelayLease } from './RelayLease.js';
import { createLinkParts } from './RelayLinkParts.js';
import { createLoopWatch } from './RelayLoopWatch.js';
import { createRelayPlacement } from './RelayPlacement.js';
import { getBackoffLeft } from './RelayBackoffs.js';
import { createRoomParts } from './RelayRoomParts.js';
import { createRelayRooms } from './RelayRooms.js';
import { createRelaySharing } from './RelaySharing.js';
import { createRelayRetryBudget } from './RelayRetryBudget.js';
import { createUnreadableLog } from './RelayUnreadable.js';
import { createStartGate } from './RelayStartGate.js';
import { createRelaySuspension } from './RelaySuspension.js';
import { createPathParts } from './RelayPathParts.js';
import { markYieldingCalls } from './RelayUrgency.js';
import { createRelayTrials } from './RelayTrials.js';
import { createServerChooser } from './RelayServers.js';
import { MAX_REPORTED } from './RelayWork.js';
import type { PeerWork, WorkReport } from './RelayWork.js';
import { createRouterConfig, ROUTING_TUNING } from './RelayTuning.js';
import type { RelayParts, RelayPartsOptions } from './RelayPartsTypes.js';
import type { BackendEntry } from './RelayTypes.js';

/** Maximum number of queued requests of one team at one instance. */
const TEAM_QUEUE_LIMIT = 400;

/** Callers of these routes send no idempotency key, so no claim is ever made. */
const NO_CLAIMS: ClaimPort = {
  claim: () => Promise.resolve({ kind: 'unavailable', retryAfter: 0 }),
  settle: () => undefined,
  release: () => undefined,
};

export function startRelayParts(options: RelayPartsOptions): RelayParts {
  const { self, timers, random, logger, decisions, metrics } = options;
  let table: RouteTable | null = null;
  let isLeaving = false;
  const catalogue = createCatalogue(timers, isUsable);
  const suspension = createRelaySuspension(timers, options.wallNow);
  const loop = createLoopWatch({
    timers,
    wallNow: options.wallNow,
    afterTurn: options.afterTurn,
    onLate: (turn) => {
      metrics.count('late_turns', 'turns of the event loop that were late');
      logger.warn({ turnMs: Math.round(turn) }, 'event loop late');
    },
  });
  const startGate = createStartGate(timers);
  const calm = createRelayPlannedWork(timers, options.changeTime);
  const routing = createDaemonRouting({
    domain: self.domain,
    timers,
    random,
    decisions,
    listDraining: () => [],
    isBrief: true,
    onChosen: (relation) =>
      metrics.count(
        `chains_${relation.replace('-', '_')}`,
        `chains of models with shared memory, by domain: ${relation}`,
      ),
    readPeerSlowness,
  });
  const store = createHistoryPort(options.store, (next, before) => {
    metrics.count('store_history_changes', 'times that the store answered from another history');
    logger.warn({ ...next, before }, 'store answers from another history');
  });
  const lease = createRelayLease({
    port: store,
    timers,
    random,
    self,
    minLeaseTime: options.minLeaseTime,
    listDomains: () => listDomains(catalogue),
    onError: (what) => logger.warn({ what }, 'store'),
  });
  const rooms = createRelayRooms({
    timers,
    domain: self.domain,
    readOwnRooms: () => routing.listOwnRooms(),
    isKnown: (domain, model) =>
      options.domains.includes(domain) &&
      (routing.getState().models.get(model)?.isMemoryShared ?? false),
    getDomain: (id) => lease.listInstances().find((other) => other.id === id)?.domain ?? null,
    isShared: (engine) =>
      routing.getState().models.get(catalogue.get(engine)?.service ?? '')?.isMemoryShared ?? false,
    onRooms: (known) => routing.setRooms(known),
    onAbsurd: (report) => logger.warn({ report }, 'absurd room of a domain ignored'),
  });
  const sharing = createRelaySharing({
    setting: options.shareMemory,
    countInstances: () => lease.listInstances().length,
    onBegin: setModels,
  });
  const engines = createRelayEngines({
    domain: self.domain,
    timers,
    catalogue,
    routing,
    getTable: () => table,
    countOwnInstances,
    getOthersWork,
    beforeRefresh: sharing.refresh,
  });
  const sync = startRelaySync({
    self,
    timers,
    random,
    store,
    changeTime: options.changeTime,
    readContent: options.readContent,
    readBackendKey: options.readBackendKey,
    askPeer: options.askPeer,
    askForUpdates: options.askForUpdates,
    readOwnWork,
    rooms,
    isCrowded: () => engines.isCrowded(),
    onLost: noteLost,
    onOthersWork: () => engines.refreshOwnLoads(),
    catalogue,
    lease,
    logger,
    onUnreadable: createUnreadableLog(logger, metrics),
    onTable: (next) => {
      table = next;
      calm.noteConfigChange();
      catalogue.noteServicesChanged();
      setModels();
      engines.refresh();
      startGate.noteConfigured();
    },
  });

  const { limits, backoffs, permits, linkPorts } = createLinkParts({
    ...options,
    catalogue,
    listInstances: lease.listInstances,
    countOwnInstances,
    getTable: () => table,
    isFirst: canBeginChain,
    noteSaidLeaving,
  });
  const paths = createPathParts({
    timers,
    random,
    self,
    listInstances: lease.listInstances,
    catalogue,
    limits,
    linkPorts,
    backoffs,
    loop,
    openForward: options.openForward,
    onCut: noteReachable,
    onSaidLeaving: noteSaidLeaving,
    logger,
    decisions,
    metrics,
  });
  const { backends } = paths;
  const health = createRelayHealth({
    timers,
    domain: self.domain,
    catalogue,
    port: { readHealth: backends.readHealth, readStatus: backends.orders.readStatus },
    isIsolated: () => sync.peers.isIsolated(),
    onHealthy: noteAlive,
    onUnhealthy: (seen) => {
      metrics.count(`health_${seen.health}`, `engines that answered ${seen.health} when asked`);
      logger.warn(seen, 'engine asked about its health');
    },
  });
  const repeats = createRelayRetryBudget({
    timers,
    self,
    bounds: options.bounds,
    domains: options.domains,
    listInstances: lease.listInstances,
    isCurrent: sync.updates.isCurrent,
    askGrant: options.askGrant,
  });
  const trials = createRelayTrials({
    timers,
    self,
    listInstances: lease.listInstances,
    tallyCrashes,
    askForTrial: options.askForTrial,
  });
  const { room, watchChoice, readTeams } = createRoomParts({
    domain: self.domain,
    timers,
    getState: routing.getState,
    catalogue,
    countOwnInstances,
    work: sync.work,
    getSpillShares: routing.getSpillShares,
    metrics,
  });
  const router = createRequestRouter({
    cfg: createRouterConfig(options.bounds),
    timers,
    random,
    chooseChain: permits.limitChoice(watchChoice(routing.chooseChain)),
    chooseRepair: permits.limitChoice(watchChoice(routing.chooseRepair)),
    openEngineCall: permits.usePermits(
      health.watchCalls(
        routing.trackTokenGaps(
          markYieldingCalls(backends.openEngineCall, {
            random,
            getModel: (model) => routing.getState().models.get(model),
          }),
        ),
      ),
    ),
    chooseServer: permits.limitServers(
      createServerChooser({ timers, random, domain: self.domain, catalogue }).choose,
    ),
    openServiceCall: health.watchServiceCalls(backends.openServiceCall),
    getBackoffLeft: (service) => getBackoffLeft(catalogue, backoffs, service),
    claims: NO_CLAIMS,
    links: routing.links,
    getRetryBurst: repeats.getBurst,
    requestRetries: repeats.request,
    mayBreakOff: calm.isUnaffected,
    requestTrial: trials.request,
    getTeamLimits: () => ({ share: 1, queueLimit: TEAM_QUEUE_LIMIT }),
    readRoom: room.read,
    isRoomShort: room.isShort,
    getKvCapacity: () => null,
    getBootId: getIncarnation,
    isEnding,
    getEngineFate: (engine, since) =>
      isEnding(engine) ? EngineFate.Ended : health.getFate(engine, since),
    onSilent: health.noteSilent,
    onSweep: paths.sweep,
    onDecision: (record) => decisions.record({ ...record }),
    onCount: metrics.recordRouterMetric,
  });
  const intake = createRelayIntake({
    timers,
    random,
    router,
    getTable: () => table,
    getStaleness: readStaleness,
    changeTime: options.changeTime,
    confirmCurrent: sync.confirmCurrent,
    startGate,
    arrivals: createRelayArrivals({ timers, loop, afterTurn: options.afterTurn }),
    onDecision: decisions.record,
  });
  const isPlacing = createPlacementDuty({
    self,
    lease,
    peers: sync.peers,
    isLeaving: () => isLeaving,
  });
  const placement = createRelayPlacement({
    timers,
    catalogue,
    getTable: () => table,
    hasDuty: isPlacing,
    domains: options.domains,
    port: backends.orders,
    mostCopies: options.mostCopies,
    isMemoryShared: sharing.isShared,
    onDecision: (decision) => {
      metrics.count(
        `orders_${decision.outcome}`,
        `orders to engines that ended ${decision.outcome}`,
      );
      logger.info(decision, 'placement');
    },
  });

  /** Whether a server may be the first of a chain, or serves a plain service; only such a server names a limit. */
  function canBeginChain(server: EngineId): boolean {
    const layers = catalogue.get(server)?.layers ?? null;
    return layers === null || layers.first === 0;
  }

  /** Whether an engine leaves, or its incarnation is no longer registered. */
  function isEnding(engine: EngineId): boolean {
    return catalogue.get(engine)?.state !== LifeState.Live;
  }

  function noteSaidLeaving(server: EngineId): void {
    if (catalogue.get(server)?.state === LifeState.Live) {
      logger.info({ server }, 'server said that it leaves');
    }
    catalogue.noteSaidLeaving(server);
  }

  /** What this instance held against an engine was due to its own link. */
  function noteReachable(engine: EngineId): void {
    routing.noteReachable(engine);
    router.noteEngineReached(engine);
  }

  /** The catalogue lists each start of a server under an id of its own. */
  function getIncarnation(engine: EngineId): string {
    return engine;
  }

  function noteAlive(engine: EngineId): void {
    router.noteEngineAlive(engine, getIncarnation(engine));
  }

  /**
   * Whether the configuration names the service of a server, and its model has the layers that the server claims. Others
   * are not used, whoever registered them.
   */
  function isUsable({ service, layers }: BackendEntry): boolean {
    const known = table?.findService(service) ?? null;
    const layerCount = known?.pipeline?.layers ?? Infinity;
    return table === null || (known !== null && (layers === null || layers.end <= layerCount));
  }

  /** The staleness, or Infinity if the last update may predate a suspension of this process. */
  function readStaleness(): Millis {
    const { age } = sync.updates.readState();
    return timers.now() - age >= suspension.getResumedAt() ? age : Infinity;
  }

  function readOwnWork(): WorkReport {
    const slow = routing.listSlowEngines().slice(0, MAX_REPORTED);
    return {
      running: engines.readOwnWork(),
      lost: health.listLost(),
      ...readTeams(),
      ...(slow.length > 0 ? { slow } : {}),
    };
  }

  function readPeerSlowness(): PeerSlowness | null {
    return sync.work.getSlowEngines();
  }

  function tallyCrashes(suspect: string): TrialTally {
    return router.tallyCrashes(suspect);
  }

  function noteLost(engine: EngineId): void {
    router.noteEngineLost(engine);
  }

  function getOthersWork(engine: EngineId): PeerWork | null {
    return sync.work.getPeerWork(engine);
  }

  /** Tells routing of the models, and for which of them requests share memory. */
  function setModels(): void {
    if (table !== null) {
      const models = listModels(table, sharing.isShared);
      routing.setFleetFacts({ models, tuning: ROUTING_TUNING });
    }
  }

  function countOwnInstances(): number {
    return lease.listInstances().filter(({ domain }) => domain === self.domain).length;
  }

  const checkCoverage = createCoverageCheck({
    domain: self.domain,
    catalogue,
    getTable: () => table,
    onChange: (coverage) => logger.info(coverage, 'layers held'),
  });
  const cleanups: Unregister[] = [
    catalogue.registerListener(
      coalesce(timers, () => {
        engines.refresh();
        checkCoverage();
      }),
    ),
    engines.start(),
    routing.start(),
    placement.start(),
    health.stop,
    paths.stop,
    loop.stop,
    startGate.stop,
    repeats.start(),
    startCrashExchange({
      timers,
      self,
      router,
      listInstances: lease.listInstances,
      hasAddress: ({ address }) => address !== null,
      sendCrashReports: options.sendCrashReports,
    }),
  ];
  lease.start();

  return {
    intake,
    router,
    peers: sync.peers,
    updates: sync.updates,
    retries: repeats,
    limits,
    trials,
    forwarding: { serve: paths.serve },
    loop,
    getTable: () => table,
    readState: () => ({
      version: table?.config.version ?? 0,
      instances: lease.listInstances().length,
      backends: catalogue.list().length,
      observed: catalogue.listObserved().length,
      duties: listDomains(catalogue).filter(isPlacing).length,
      isIsolated: sync.peers.isIsolated(),
      newsAge: sync.updates.readState().age,
      store: store.getHistory(),
    }),
    isReady: () => table !== null && !isLeaving,
    noteSettingsChanged: calm.noteSettingsChange,
    startLeaving() {
      isLeaving = true;
      calm.noteStop();
      paths.startLeaving();
      sync.peers.noteLeaving();
      sync.updates.noteLeaving();
      lease.stop();
    },
    async waitForLeaseEnds(limit) {
      const cancel = timers.registerTimeout(limit, lease.close);
      await lease.waitForEnds();
      cancel();
    },
    waitForTasks: paths.waitForTasks,
    stop() {
      lease.close();
      sync.stop();
      cleanups.forEach((cleanup) => cleanup());
      router.stop();
    },
  };
}

function listDomains(catalogue: Catalogue): readonly DomainId[] {
  return [
    ...new Set(
      catalogue
        .list()
        .filter(({ accelerator }) => accelerator !== null)
        .map(({ domain }) => domain),
    ),
  ];
}
