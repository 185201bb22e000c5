/** The parts of an instance that serves by routes, joined to each other round the router of requests. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { DecisionLog } from '@skylarksail/daemon/DaemonDecisions';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { ClaimPort } from '@skylarksail/requests/RequestPorts';
import type { SilenceConfig } from '@skylarksail/requests/RequestPace';
import type { LimitConfig } from '@skylarksail/requests/RequestLimits';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import { createRequestRouter } from '@skylarksail/requests/RequestRouter';
import type { RouterConfig } from '@skylarksail/requests/RouterTypes';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import type { StoreEvent, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';
import { registerFollow } from '@skylarksail/store/StoreFollow';
import type { Catalogue } from './RelayCatalogue.js';
import { createCatalogue } from './RelayCatalogue.js';
import { createRelayEngines } from './RelayEngines.js';
import type { AskPeer, RelayPeers } from './RelayPeers.js';
import { createRelayPeers } from './RelayPeers.js';
import { createMirror } from './RelayMirror.js';
import type { RelayIntake } from './RelayIntake.js';
import { createRelayIntake } from './RelayIntake.js';
import { createRelayLease, OWN_PREFIX } from './RelayLease.js';
import { createRelayPlacement } from './RelayPlacement.js';
import { createServerChooser } from './RelayServers.js';
import type {
  BackendEntry,
  BackendPorts,
  BackendView,
  InstanceEntry,
  ReadBackendKey,
  ReadContent,
  StoreContent,
} from './RelayTypes.js';

/** Bounds that the deployment sets for the whole fleet. */
export interface RelayBounds {
  /** Repeated arrivals at a service, as a share of its requests, that the whole fleet may cause. */
  readonly retryShare: number;
  /** Repeated arrivals beyond that share, for the whole fleet. */
  readonly retrySlack: number;
}

export interface RelayPartsOptions {
  readonly self: InstanceEntry;
  readonly bounds: RelayBounds;
  readonly timers: TimerService;
  readonly random: Random;
  readonly store: StoreRangePort;
  readonly readContent: ReadContent;
  readonly readBackendKey: ReadBackendKey;
  readonly askPeer: AskPeer;
  readonly createBackends: (view: BackendView) => BackendPorts;
  readonly logger: DaemonLogger;
  readonly decisions: DecisionLog;
  readonly metrics: DaemonMetrics;
}

export interface RelayParts {
  readonly intake: RelayIntake;
  readonly router: RequestRouter;
  readonly peers: RelayPeers;
  getTable(): RouteTable | null;
  /** Whether callers should be sent here. */
  isReady(): boolean;
  /** Gives duties up; running work goes on. */
  startLeaving(): void;
  stop(): void;
}

/** A watch is renewed this often: a connection that went silent must not hide a change for long. */
const WATCH_TIME: Millis = 2500;
const STORE_TIMEOUT: Millis = 700;
/** A part of the fleet's retries stays unused: instances may count each other late. */
const RETRY_CAUTION = 0.9;
/**
 * An answer that is moved pauses for longer than is on time, so a chain is given up only when it is most
 * likely dead, and soon enough for the rest to come before the caller leaves, two seconds after the last
 * event. Bounds of 120 ms moved one in four answers of a sound fleet that was reading long prompts.
 */
const SILENCE: SilenceConfig = {
  acknowledgement: { least: 350, most: 3000 },
  firstToken: { least: 350, most: 3000 },
  gap: { least: 500, most: 900 },
  mostUnclear: 0,
  leastSlowGap: 150,
};
/**
 * Engines bound what runs, by memory and by the requests that they take at once; they refuse what is too
 * much before it has run. A limit that falls with late events refused requests that engines had room for
 * whenever one domain's answers were held up by a fault.
 */
const LIMITS: LimitConfig = {
  initial: 1024,
  least: 1024,
  most: 1024,
  gapTarget: 200,
  firstTokenTarget: 2000,
};
/**
 * Answers come to a fifth of what is allowed, as events hold two tokens. Reckoned at their full length,
 * requests of a sound fleet were refused as too late for their deadline.
 */
const LENGTH_SHARE = 0.2;
/** Connections are limited for all instances together; so many are reckoned with before they are seen. */
const INSTANCES_ASSUMED = 6;
const CONNECTION_SHARE = 0.9;
const LEAST_CONNECTIONS = 2;
/** A dead engine's entry lapses after three heartbeats of 1.2 s; until then its chain is kept off. */
const DOUBT_TIME: Millis = 4000;
/** Chains are filled by memory and not by pace; other domains lend all that they have. */
const ROUTING_TUNING = {
  tokenGapMs: 150,
  crossDomainShare: 3,
  isOwnDoubted: true,
  doubtTime: DOUBT_TIME,
};
/** Waiting requests of one team at one instance. */
const TEAM_QUEUE = 400;

/** No caller of these routes shows an idempotency key, so nothing is ever claimed. */
const NO_CLAIMS: ClaimPort = {
  claim: () => Promise.resolve({ kind: 'unavailable', retryAfter: 0 }),
  settle: () => undefined,
  release: () => undefined,
};

export function startRelayParts(options: RelayPartsOptions): RelayParts {
  const { self, timers, random, logger, decisions, metrics } = options;
  let table: RouteTable | null = null;
  let isLeaving = false;
  const mirror = createMirror();
  const catalogue = createCatalogue(timers);
  const routing = createDaemonRouting({
    domain: self.domain,
    timers,
    random,
    decisions,
    listDraining: () => [],
    isBrief: true,
  });
  const lease = createRelayLease({
    port: options.store,
    timers,
    random,
    self,
    listDomains: () => listDomains(catalogue),
    onError: (what) => logger.warn({ what }, 'store'),
  });
  const engines = createRelayEngines({
    timers,
    catalogue,
    routing,
    getTable: () => table,
    countOwnInstances,
  });
  const backends = options.createBackends({
    getBackend: catalogue.get,
    findByAddress: (address) => findEntry(catalogue, address)?.id ?? null,
    getMostConnections: (address) => {
      const service = findEntry(catalogue, address)?.service ?? '';
      const most = table?.findService(service)?.maxConnections ?? 0;
      const instances = Math.max(INSTANCES_ASSUMED, lease.listInstances().length);
      return Math.max(LEAST_CONNECTIONS, Math.floor((most * CONNECTION_SHARE) / instances));
    },
  });
  const router = createRequestRouter({
    cfg: createRouterConfig(options.bounds),
    timers,
    random,
    chooseChain: routing.chooseChain,
    chooseRepair: routing.chooseRepair,
    openEngineCall: routing.watchGaps(backends.openEngineCall),
    chooseServer: createServerChooser({ timers, random, domain: self.domain, catalogue }),
    openServiceCall: backends.openServiceCall,
    claims: NO_CLAIMS,
    links: routing.links,
    getRetryBurst,
    getTeamLimits: () => ({ share: 1, queueLimit: TEAM_QUEUE }),
    getKvCapacity: () => null,
    getBootId: routing.getBootId,
    onDecision: (record) => decisions.record({ ...record }),
    onCount: metrics.countRouter,
  });
  const intake = createRelayIntake({
    timers,
    random,
    router,
    getTable: () => table,
    onDecision: decisions.record,
  });
  const placement = createRelayPlacement({
    timers,
    catalogue,
    getTable: () => table,
    holds: lease.holds,
    port: backends.orders,
    onDecision: (decision) => logger.info(decision, 'placement'),
  });

  /**
   * This instance's part of the fleet's slack: first by domain, since trouble comes to a domain as a whole
   * and its answers break at its own instances, however few they are.
   */
  function getRetryBurst(): number {
    const instances = lease.listInstances();
    const domains = new Set([...listDomains(catalogue), ...instances.map(({ domain }) => domain)]);
    const share = 1 / (Math.max(1, domains.size) * countOwnInstances());
    return options.bounds.retrySlack * RETRY_CAUTION * share;
  }

  function countOwnInstances(): number {
    return lease.listInstances().filter(({ domain }) => domain === self.domain).length;
  }

  /** Takes in what the store or a peer told, unless something newer is known already. */
  function takeEvent(event: StoreEvent): void {
    if (!mirror.take(event)) {
      return;
    }
    const key = event.kind === 'written' ? event.item.key : event.key;
    if (key.startsWith(OWN_PREFIX)) {
      lease.takeEvent(event);
    } else if (event.kind === 'written') {
      takeItem(event.item);
    } else {
      const backend = options.readBackendKey(key);
      if (backend !== null) {
        catalogue.remove(backend);
      }
    }
  }

  function takeItem(item: StoreItem): void {
    const content = readItem(item);
    if (content?.kind === 'backend') {
      catalogue.put(content.entry);
    } else if (content?.kind === 'config') {
      takeConfig(createRouteTable(content.config));
    }
  }

  /** One value that makes no sense must not end the following of all others. */
  function readItem(item: StoreItem): StoreContent | null {
    try {
      return options.readContent(item);
    } catch (err) {
      logger.error({ err, key: item.key, revision: item.revision }, 'value not understood');
      return null;
    }
  }

  function takeConfig(next: RouteTable): void {
    if (table !== null && next.config.version <= table.config.version) {
      return;
    }
    logger.info(
      { version: next.config.version, before: table?.config.version ?? null },
      'configuration in force',
    );
    table = next;
    const pipelines = next.config.services.filter(({ pipeline }) => pipeline !== null);
    routing.setFleetFacts({
      models: new Map(
        pipelines.map(({ id, pipeline }) => [
          id,
          { id, activationBytes: pipeline?.activationBytes ?? 0 },
        ]),
      ),
      tuning: ROUTING_TUNING,
    });
    engines.refresh();
  }

  const peers = createRelayPeers({
    timers,
    random,
    self,
    mirror,
    askPeer: options.askPeer,
    listInstances: lease.listInstances,
    onEvent: takeEvent,
    onHeard: (peer, revision) => logger.info({ peer, revision }, 'store heard from a peer'),
  });

  const undo: Unregister[] = [
    catalogue.registerListener(engines.refresh),
    registerFollow({
      port: options.store,
      timers,
      random,
      prefix: '',
      wait: WATCH_TIME,
      timeout: STORE_TIMEOUT,
      listener: {
        onSnapshot: (items, revision) => mirror.diffSnapshot(items, revision).forEach(takeEvent),
        onEvent: takeEvent,
        onLost: () => {
          peers.noteStoreLost();
          logger.warn('store lost');
        },
        onRegained: () => {
          catalogue.noteStoreRegained();
          peers.noteStoreRegained();
          logger.info('store regained');
        },
      },
    }),
    engines.start(),
    routing.start(),
    placement.start(),
  ];
  lease.start();

  return {
    intake,
    router,
    peers,
    getTable: () => table,
    isReady: () => table !== null && !isLeaving,
    startLeaving() {
      isLeaving = true;
      lease.stop();
    },
    stop() {
      undo.forEach((stopPart) => stopPart());
      router.stop();
    },
  };
}

function createRouterConfig({ retryShare }: RelayBounds): RouterConfig {
  return {
    ...DEFAULT_ROUTER_CONFIG,
    limits: LIMITS,
    silence: SILENCE,
    lengthShare: LENGTH_SHARE,
    retryShare: retryShare * RETRY_CAUTION,
    retryBurst: 0,
    isRecoveryBudgeted: true,
  };
}

function findEntry(catalogue: Catalogue, { host, port }: HostPort): BackendEntry | null {
  const found = catalogue
    .list()
    .find(({ address }) => address.host === host && address.port === port);
  return found ?? null;
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
