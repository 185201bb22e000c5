/** Starts the components of the daemon and its two HTTP servers, and shuts them down. */
import { limitToDescriptors } from '@skylarksail/connections/ConnectionLimits';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { AdminModule } from './DaemonAdmin.js';
import { createAdminGateway } from './DaemonAdminGateway.js';
import { createCallerGateway } from './DaemonCallerGateway.js';
import { CallersModule } from './DaemonCallers.js';
import { createCloseListener } from './DaemonCloseListener.js';
import { createDecisionLog } from './DaemonDecisions.js';
import type { HttpServer } from './DaemonHttpServer.js';
import { startHttpServer } from './DaemonHttpServer.js';
import type { DaemonLogger } from './DaemonLog.js';
import { createDaemonLog } from './DaemonLog.js';
import { createDaemonMetrics } from './DaemonMetrics.js';
import { startDaemonParts } from './DaemonParts.js';
import type { Settings } from './DaemonSettings.js';
import { readSecret } from './DaemonSettings.js';
import { createSystemTimers } from './DaemonTimers.js';

const RANDOM_RANGE = 2 ** 31;
const MAX_MANIFEST_BYTES = 64 * 1024 * 1024;
/** Requests of one connection that are read before the first of them is answered. */
const REQUESTS_EACH = 8;
/** Part of the process's descriptors that connections at the admin port may use. */
const ADMIN_SHARE = 0.125;

export interface DaemonApp {
  /** Stops gracefully; resolves when all requests have ended or the grace period is over. */
  stop(): Promise<void>;
  /** Stops at once; callers get an error that states whether their request ran. */
  abort(): void;
}

/**
 * Starts a daemon. Throws a SettingsError if a secret is empty or cannot be read, and the error of
 * the operating system if the daemon cannot listen on an address.
 */
export async function startDaemon(
  settings: Settings,
  logger: DaemonLogger = createDaemonLog(settings),
): Promise<DaemonApp> {
  const peerSecret = readSecret(settings.secrets.peer, 'peer');
  const operatorToken = readSecret(settings.secrets.operator, 'operator');
  const wallNow = (): Millis => Date.now();
  const timers = createSystemTimers();
  const random = createRandom(Math.floor(Math.random() * RANDOM_RANGE));
  const metrics = createDaemonMetrics();
  const decisions = createDecisionLog(logger, wallNow);
  const parts = await startDaemonParts({
    settings,
    peerSecret,
    timers,
    random,
    wallNow,
    logger,
    metrics,
    decisions,
  });

  let isStopping = false;
  let isAccepting = true;
  let closing: Promise<void> | null = null;
  let endLag = (): void => undefined;
  const isReady = (): boolean => !isStopping && parts.manifest.getView() !== null;
  const servers = await startServers();
  logger.info({ callers: settings.callers, admin: settings.admin }, 'listening');

  async function startServers(): Promise<{
    readonly callers: HttpServer;
    readonly admin: HttpServer;
  }> {
    const {
      receiveTimeoutMs: receiveTimeout,
      bodyBytes,
      heldBytes,
      requestsAhead,
    } = settings.limits;
    const listening = { timers, metrics, logger };
    const gateway = createCallerGateway({
      timers,
      wallNow,
      manifest: parts.manifest,
      router: parts.router,
      isAccepting: () => isAccepting,
      reportError,
    });
    const adminGateway = createAdminGateway({
      settings,
      operatorToken,
      parts,
      metrics,
      decisions,
      isReady,
      isStopping: () => isStopping,
      reportError,
    });
    return {
      callers: await startHttpServer({
        module: CallersModule.create(gateway),
        listen: settings.callers,
        bodyBytes,
        receiveTimeout,
        rawBodyPrefix: '/services/',
        reportError,
        timers,
        connectionLimits: {
          connections: limitToDescriptors(settings.limits.connections),
          heldBytes,
          requestsAhead,
          requestsEach: REQUESTS_EACH,
        },
        onClosed: createCloseListener(listening, 'callers'),
      }),
      admin: await startHttpServer({
        module: AdminModule.create(adminGateway),
        listen: settings.admin,
        bodyBytes: MAX_MANIFEST_BYTES,
        receiveTimeout,
        rawBodyPrefix: null,
        reportError,
        timers,
        connectionLimits: {
          connections: limitToDescriptors(settings.limits.adminConnections, ADMIN_SHARE),
          heldBytes: 2 * MAX_MANIFEST_BYTES,
          requestsAhead,
          requestsEach: 1,
        },
        onClosed: createCloseListener(listening, 'admin'),
      }),
    };
  }

  function reportError(err: unknown, request: string): void {
    logger.error({ err, request }, 'unexpected error in a request');
  }

  async function drain(limit: Millis): Promise<void> {
    isAccepting = false;
    servers.callers.stopAccepting();
    await parts.router.drain(limit);
  }

  /** Closes everything once: an abort during a graceful stop joins the close that is under way. */
  function close(): Promise<void> {
    closing ??= closeAll();
    return closing;
  }

  async function closeAll(): Promise<void> {
    await servers.callers.close();
    await parts.stop();
    await servers.admin.close();
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
      parts.startLeaving();
      await waitThroughLag(balancerLagMs);
      await drain(graceMs - balancerLagMs);
      await close();
    },
    abort() {
      isStopping = true;
      logger.warn('stopping at once');
      endLag();
      void drain(0).then(close);
    },
  };

  /** Waits for the load balancer's lag, or until an abort ends the wait. */
  function waitThroughLag(lag: Millis): Promise<void> {
    return new Promise((resolve) => {
      const cancel = timers.registerTimeout(lag, resolve);
      endLag = () => {
        // The timer would hold the process for the rest of the lag.
        cancel();
        resolve();
      };
    });
  }
}
