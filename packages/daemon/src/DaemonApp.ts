/** Puts the daemon together: one router, its ports, and the two HTTP servers round it. */
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Unregister } from '@skylarksail/core/CoreTypes';
import { createPlatformClient } from '@skylarksail/platform/PlatformClient';
import { PlatformUse } from '@skylarksail/platform/PlatformBudget';
import type { InstanceRecord } from '@skylarksail/platform/PlatformPort';
import type { ClaimPort } from '@skylarksail/requests/RequestPorts';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';
import { AdminModule } from './DaemonAdmin.js';
import { createAdminGateway } from './DaemonAdminGateway.js';
import { createCallerGateway } from './DaemonCallerGateway.js';
import { CallersModule } from './DaemonCallers.js';
import { createDecisionLog } from './DaemonDecisions.js';
import { createEngineHttp } from './DaemonEngineHttp.js';
import { createEngineDirectory, createEngineStatusHttp } from './DaemonEngines.js';
import { startHttpServer } from './DaemonHttpServer.js';
import { createDaemonLog } from './DaemonLog.js';
import { createDaemonManifest } from './DaemonManifest.js';
import { createDaemonMetrics } from './DaemonMetrics.js';
import { createPlatformHttp } from './DaemonPlatformHttp.js';
import { createDaemonRouting, ENGINE_POLL_PERIOD } from './DaemonRouting.js';
import { createServiceHttp } from './DaemonServiceHttp.js';
import type { Settings } from './DaemonSettings.js';
import { readSecret } from './DaemonSettings.js';
import { createSystemTimers } from './DaemonTimers.js';

const STATUS_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 2000;
const LIST_PERIOD_MS = 2000;
const RANDOM_RANGE = 2 ** 31;
const MAX_MANIFEST_BYTES = 64 * 1024 * 1024;

/** A running daemon. */
export interface DaemonApp {
  /** Stops without cutting off what runs; resolves when it has ended or the grace limit passed. */
  stop(): Promise<void>;
  /** Ends at once; callers are told the truth about what was running. */
  abort(): void;
}

export async function startDaemon(settings: Settings): Promise<DaemonApp> {
  const secrets = {
    peer: readSecret(settings.secrets.peer, 'peer'),
    operator: readSecret(settings.secrets.operator, 'operator'),
  };
  const wallNow = (): number => Date.now();
  const timers = createSystemTimers();
  const random = createRandom(Math.floor(Math.random() * RANDOM_RANGE));
  const logger = createDaemonLog(settings);
  const metrics = createDaemonMetrics();
  const decisions = createDecisionLog(logger, wallNow);
  const cleanUps: (Unregister | (() => Promise<void>))[] = [];

  const platformHttp = createPlatformHttp(settings.platform);
  let instances: readonly InstanceRecord[] = [];
  const platform = createPlatformClient({
    port: platformHttp,
    timers,
    random,
    countInstances: () => Math.max(1, instances.filter(({ role }) => role === 'entry').length),
  });

  const routing = createDaemonRouting({ domain: settings.domain, timers, random, decisions });
  const status = createEngineStatusHttp(STATUS_TIMEOUT_MS);
  const directory = createEngineDirectory({
    timers,
    fetchStatus: status.fetch,
    pollPeriod: ENGINE_POLL_PERIOD,
    isPollOwner: () => true,
    listener: {
      onFacts: routing.setFacts,
      onLoad: routing.setEngineLoad,
      onLeaving: routing.setLeaving,
      onSilent: () => metrics.count('engine_polls_unanswered', 'engine polls without an answer'),
    },
  });
  const engineHttp = createEngineHttp(directory.findAddress);
  const serviceHttp = createServiceHttp(directory.findAddress);

  const manifest = createDaemonManifest(
    {
      platform: platform.forUse(PlatformUse.Manifest),
      timers,
      random,
      callTimeout: CALL_TIMEOUT_MS,
    },
    timers,
  );
  manifest.registerListener(({ revision, manifest: content }) => {
    routing.setManifest(content);
    logger.info({ revision }, 'manifest in force');
  });

  const claims: ClaimPort = {
    claim: () => Promise.resolve({ kind: 'unavailable', retryAfter: 1000 }),
    settle: () => undefined,
    release: () => undefined,
  };

  const router = createRequestRouter({
    cfg: DEFAULT_ROUTER_CONFIG,
    timers,
    random,
    chooseChain: routing.chooseChain,
    chooseRepair: routing.chooseRepair,
    openEngineCall: engineHttp.open,
    chooseServer: (service, avoid) => {
      const servers = directory.listServers(service).filter((id) => !avoid.includes(id));
      const server = servers[random.nextInt(Math.max(1, servers.length))];
      return server === undefined ? null : { server, release: () => undefined };
    },
    openServiceCall: serviceHttp.open,
    claims,
    getTeamLimits: (team) => {
      const found = manifest.getInForce()?.manifest.teams.find(({ id }) => id === team);
      return { share: found?.share ?? 1, queueLimit: found?.queueLimit ?? 0 };
    },
    getKvCapacity: routing.getKvCapacity,
    getBootId: routing.getBootId,
    onDecision: (record) => decisions.record({ ...record }),
    onCount: metrics.countRouter,
  });

  let isAccepting = true;
  let isStopping = false;

  async function refreshInstances(): Promise<void> {
    const listed = await platform
      .forUse(PlatformUse.Housekeeping)
      .listInstances({ timeout: CALL_TIMEOUT_MS });
    if (listed.kind === 'done') {
      instances = listed.value;
      directory.setRecords(instances);
    }
  }

  const isReady = (): boolean => !isStopping && manifest.getInForce() !== null;
  const gateway = createCallerGateway({
    timers,
    wallNow,
    manifest,
    router,
    isAccepting: () => isAccepting,
  });
  const adminGateway = createAdminGateway({
    settings,
    operatorToken: secrets.operator,
    manifest,
    router,
    directory,
    routing,
    metrics,
    decisions,
    isReady,
    isStopping: () => isStopping,
    countMembers: () => instances.filter(({ role }) => role === 'entry').length,
  });

  await refreshInstances();
  cleanUps.push(
    timers.registerInterval(LIST_PERIOD_MS, () => {
      void refreshInstances();
    }),
    directory.start(),
    manifest.start(),
    router.stop,
    platformHttp.close,
    status.close,
    engineHttp.close,
    serviceHttp.close,
  );
  const callers = await startHttpServer({
    module: CallersModule.create(gateway),
    listen: settings.callers,
    bodyBytes: settings.limits.bodyBytes,
    receiveTimeout: settings.limits.receiveTimeoutMs,
    rawBodyPrefix: '/services/',
  });
  const admin = await startHttpServer({
    module: AdminModule.create(adminGateway),
    listen: settings.admin,
    bodyBytes: MAX_MANIFEST_BYTES,
    receiveTimeout: settings.limits.receiveTimeoutMs,
    rawBodyPrefix: null,
  });
  logger.info({ callers: settings.callers, admin: settings.admin }, 'listening');

  async function drain(limit: number): Promise<void> {
    isAccepting = false;
    callers.stopAccepting();
    await router.drain(limit);
  }

  async function close(): Promise<void> {
    await Promise.all([callers.close(), admin.close()]);
    await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
    logger.info('stopped');
  }

  return {
    async stop() {
      if (isStopping) {
        return;
      }
      isStopping = true;
      const { balancerLagMs, graceMs } = settings.shutdown;
      logger.info({ balancerLagMs, graceMs }, 'stopping: not ready, serving through the lag');
      await new Promise<void>((resolve) => {
        timers.registerTimeout(balancerLagMs, resolve);
      });
      await drain(graceMs - balancerLagMs);
      await close();
    },
    abort() {
      isStopping = true;
      logger.warn('stopping at once');
      void drain(0).then(close);
    },
  };
}
