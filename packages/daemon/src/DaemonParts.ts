/** Creates and connects the components of the daemon that its HTTP ports use. */
import {
  createAnswerMemory,
  DEFAULT_ANSWER_BYTES,
} from '@skylarksail/connections/ConnectionAnswerMemory';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { StoreUse } from '@skylarksail/store/StoreBudget';
import type { MembershipChange } from '@skylarksail/membership/MembershipService';
import type { StoreClient } from '@skylarksail/store/StoreClient';
import { createStoreClient } from '@skylarksail/store/StoreClient';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';
import type { DaemonClaims } from './DaemonClaims.js';
import { createDaemonClaims } from './DaemonClaims.js';
import type { DaemonDrains } from './DaemonDrains.js';
import { createDaemonDrains } from './DaemonDrains.js';
import type { DecisionLog } from './DaemonDecisions.js';
import { createEngineHttp } from './DaemonEngineHttp.js';
import type { EngineDirectory } from './DaemonEngines.js';
import { createEngineDirectory } from './DaemonEngines.js';
import { createEngineStatusHttp } from './DaemonEngineStatus.js';
import type { DaemonFleet } from './DaemonFleet.js';
import { startDaemonFleet } from './DaemonFleet.js';
import type { DaemonLogger } from './DaemonLog.js';
import type { DaemonManifest } from './DaemonManifest.js';
import { MANIFEST_DUTIES, startDaemonManifest } from './DaemonManifest.js';
import type { DaemonMetrics } from './DaemonMetrics.js';
import { createOrderHttp } from './DaemonOrderHttp.js';
import type { DaemonPlacement } from './DaemonPlacement.js';
import { PLACEMENT_DUTY, startDaemonPlacement } from './DaemonPlacement.js';
import { createPlatformHttp } from './DaemonPlatformHttp.js';
import { startDaemonPoison } from './DaemonPoison.js';
import type { DaemonRouting } from './DaemonRouting.js';
import { createDaemonRouting } from './DaemonRouting.js';
import { createGivenUpListener } from './DaemonCloseListener.js';
import { createServiceHttp } from './DaemonServiceHttp.js';
import type { Settings } from './DaemonSettings.js';

const STATUS_TIMEOUT: Millis = 1000;

export interface DaemonParts {
  readonly platform: StoreClient;
  readonly fleet: DaemonFleet;
  readonly manifest: DaemonManifest;
  readonly routing: DaemonRouting;
  readonly directory: EngineDirectory;
  readonly claims: DaemonClaims;
  readonly router: RequestRouter;
  readonly placement: DaemonPlacement;
  /**
   * Hands the duties over to other instances; running requests and the callers' port are
   * unaffected.
   */
  startLeaving(): void;
  stop(): Promise<void>;
}

export interface DaemonPartsOptions {
  readonly settings: Settings;
  readonly peerSecret: string;
  readonly timers: TimerService;
  readonly random: Random;
  readonly wallNow: () => Millis;
  readonly logger: DaemonLogger;
  readonly metrics: DaemonMetrics;
  readonly decisions: DecisionLog;
}

export async function startDaemonParts(options: DaemonPartsOptions): Promise<DaemonParts> {
  const { settings, timers, random, wallNow, logger, metrics, decisions } = options;
  const self = { id: settings.instance, domain: settings.domain };

  let countInstances = (): number => 1;
  let getClaimShare = (): number => 0;
  let startedDrains: DaemonDrains | null = null;
  let startedPlacement: DaemonPlacement | null = null;
  const platformHttp = createPlatformHttp(settings.platform, timers);
  const platform = createStoreClient({
    port: platformHttp,
    timers,
    random,
    countInstances: () => countInstances(),
    getClaimShare: () => getClaimShare(),
  });

  const fleet = await startDaemonFleet({
    settings,
    secret: options.peerSecret,
    timers,
    random,
    wallNow,
    platform: platform.forUse(StoreUse.Membership),
  });
  countInstances = () => Math.max(1, fleet.listLive().length);

  const routing = createDaemonRouting({
    domain: settings.domain,
    timers,
    random,
    decisions,
    listDraining: () => startedDrains?.listDraining() ?? [],
    listClosed: (isBegun) => startedDrains?.listClosed(isBegun) ?? [],
    listVersions: (model) => startedPlacement?.listVersions(model) ?? [],
    isReplaced: (variant) => startedPlacement?.isReplaced(variant) ?? false,
  });
  const status = createEngineStatusHttp(STATUS_TIMEOUT);
  const directory = createEngineDirectory({
    domain: settings.domain,
    timers,
    random,
    fleet,
    fetchStatus: status.fetch,
    otherDuties: [...MANIFEST_DUTIES, PLACEMENT_DUTY],
  });
  fleet.registerListListener(directory.setRecords);

  const manifest = startDaemonManifest({ self, port: platformHttp, fleet, timers, random });
  manifest.registerListener((view) => {
    routing.setManifest(view);
    logger.info({ revision: view.revision, known_by: manifest.getKnownBy() }, 'manifest in force');
  });
  const claims = createDaemonClaims({
    instance: self.id,
    platform,
    fleet,
    timers,
    random,
    wallNow,
  });
  getClaimShare = claims.owner.getSlotShare;
  const engineHttp = createEngineHttp(directory.findAddress, timers);
  const serviceHttp = createServiceHttp(
    directory.findAddress,
    createAnswerMemory({
      maxBytes: DEFAULT_ANSWER_BYTES,
      onGivenUp: createGivenUpListener({ timers, metrics, logger }),
    }),
  );
  const orderHttp = createOrderHttp(directory.findAddress);
  const router: RequestRouter = createRequestRouter({
    cfg: DEFAULT_ROUTER_CONFIG,
    timers,
    random,
    chooseChain: routing.chooseChain,
    chooseRepair: routing.chooseRepair,
    openEngineCall: routing.trackTokenGaps(engineHttp.open),
    chooseServer: (service, avoid) => {
      const servers = directory.listServers(service).filter((id) => !avoid.includes(id));
      const server = servers[random.nextInt(Math.max(1, servers.length))];
      return server === undefined ? null : { server, release: () => undefined };
    },
    openServiceCall: serviceHttp.open,
    claims: claims.router,
    links: routing.links,
    getTeamLimits: (id) => {
      const team = manifest.getView()?.getTeam(id);
      return { share: team?.share ?? 1, queueLimit: team?.queueLimit ?? 0 };
    },
    getKvCapacity: routing.getKvCapacity,
    getBootId: routing.getBootId,
    onDecision: (record) => decisions.record({ ...record }),
    onCount: metrics.recordRouterMetric,
  });

  directory.registerListener({
    onFacts: routing.setEngineFacts,
    onLoads: (reports) => {
      routing.setEngineLoads(reports);
      reports.forEach(({ load }) => router.noteEngineAlive(load.engine, load.bootId));
    },
    onLeaving: routing.setLeaving,
    onPollUnanswered: () =>
      metrics.count('engine_polls_unanswered', 'engine polls without an answer'),
  });

  await fleet.refreshList();
  const unregisterAll: Unregister[] = [
    fleet.start(),
    directory.start(),
    startDaemonPoison({ fleet, router, timers }),
    fleet.membership.registerListener(updateRouting),
    routing.start(),
  ];

  /** Passes to routing how many instances share the engines, and which domains are reachable. */
  function updateRouting(change: MembershipChange): void {
    const own = fleet.listOwnDomain().length;
    routing.setInstanceCounts(own, fleet.listLive().length - own);
    if (change.kind === 'domain') {
      routing.setDomainReach(change.domain, change.reachable);
    }
  }

  /** Counts the own answers that need an engine, which those between two attempts do as well. */
  function countCalls(engine: EngineId): number {
    const holding = directory.findReport(engine)?.status.load.holding;
    const interrupted = holding ? router.countInterrupted(holding) : 0;
    return routing.countCalls(engine) + interrupted;
  }

  const drains = createDaemonDrains({
    self: self.id,
    domain: self.domain,
    timers,
    fleet,
    directory,
    countCalls,
    isDispensable: (engine, closed) => startedPlacement?.isDispensable(engine, closed) ?? true,
    onLate: (engine, waitingFor) =>
      logger.info({ engine, waitingFor }, 'order waits for running answers'),
  });
  startedDrains = drains;
  const placement = startDaemonPlacement({
    domain: settings.domain,
    instance: self.id,
    timers,
    random,
    platform,
    fleet,
    manifest,
    directory,
    sendOrder: orderHttp.send,
    logger,
    drains,
    weightStore: settings.weightStore,
  });
  startedPlacement = placement;

  async function stop(): Promise<void> {
    const placementStopped = placement.stop();
    drains.stop();
    unregisterAll.forEach((unregister) => unregister());
    router.stop();
    manifest.stop();
    claims.owner.stop();
    fleet.membership.stop();
    await placementStopped;
    await fleet.link.close();
    await Promise.all(
      [platformHttp, status, engineHttp, serviceHttp, orderHttp].map((http) => http.close()),
    );
  }

  return {
    platform,
    fleet,
    manifest,
    routing,
    directory,
    claims,
    router,
    placement,
    startLeaving: fleet.membership.startLeaving,
    stop,
  };
}
