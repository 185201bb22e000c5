/**
 * Keeps the local copy in sync with the store, or with peers while the store does not answer, and dispatches changes of
 * backend servers, of this instance's own keys and of the configuration.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import type { StoreEvent, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';
import type { StoreEra } from '@skylarksail/store/StorePort';
import type { StoreRevision } from '@skylarksail/store/StoreRevisions';
import { getEra, getRevisionNumber } from '@skylarksail/store/StoreRevisions';
import { registerRangeWatch } from '@skylarksail/store/StoreRangeWatch';
import type { Catalogue } from './RelayCatalogue.js';
import type { ConfirmCurrent } from './RelayConfirm.js';
import { createRelayConfirm } from './RelayConfirm.js';
import type { RelayLease } from './RelayLease.js';
import { RELAY_KEY_PREFIX } from './RelayLease.js';
import { createMirror } from './RelayMirror.js';
import type { AskForUpdates, RelayUpdates } from './RelayUpdates.js';
import { createRelayUpdates } from './RelayUpdates.js';
import type { UpdateState } from './RelayStaleness.js';
import { STORE_SOURCE } from './RelayStaleness.js';
import type { AskPeer, RelayPeers } from './RelayPeers.js';
import type { KnownBeforeReturn } from './RelayReturnedServers.js';
import { createReturnedServers } from './RelayReturnedServers.js';
import { createRelayPeers } from './RelayPeers.js';
import { createFanoutRoleCache, FanoutLevel } from './RelayFanout.js';
import type { RelayRooms } from './RelayRooms.js';
import type { RelayWork, RelayWorkOptions, WorkReport } from './RelayWork.js';
import { createRelayWork } from './RelayWork.js';
import type { InstanceEntry, ReadBackendKey, ReadContent, StoreContent } from './RelayTypes.js';

export interface RelaySyncOptions {
  readonly self: InstanceEntry;
  readonly timers: TimerService;
  readonly random: Random;
  readonly store: StoreRangePort;
  /** Time within which an acknowledged configuration change must be in force at all instances. */
  readonly changeTime: Millis;
  readonly readContent: ReadContent;
  readonly readBackendKey: ReadBackendKey;
  readonly askPeer: AskPeer;
  readonly askForUpdates: AskForUpdates;
  readonly readOwnWork: () => WorkReport;
  readonly rooms: RelayRooms;
  readonly isCrowded: () => boolean;
  /** Other instances reported their running work. */
  readonly onOthersWork: () => void;
  readonly onLost: RelayWorkOptions['onLost'];
  readonly catalogue: Catalogue;
  readonly lease: RelayLease;
  readonly logger: DaemonLogger;
  /** The entry of a backend server cannot be read; the server is not used. */
  readonly onUnreadable: (key: string, reason: string) => void;
  /** A newer configuration comes into force. */
  readonly onTable: (table: RouteTable) => void;
}

export interface RelaySync {
  readonly peers: RelayPeers;
  readonly updates: RelayUpdates;
  readonly work: RelayWork;
  /** Checks with the store whether the local copy is current. */
  readonly confirmCurrent: ConfirmCurrent;
  readonly stop: Unregister;
}

/** Longest watch before renewal: a dead connection must not hide a change for long. */
const WATCH_WAIT: Millis = 2500;
const STORE_TIMEOUT: Millis = 700;
/** Era of a store that has not come back from a copy yet. */
const FIRST_ERA: StoreEra = 1;

/** How a configuration reached this instance; written to the log under these names. */
interface ConfigArrival {
  readonly source: UpdateState['source'];
  /** Era and number of the revision that brought it. */
  readonly era: StoreEra;
  readonly revision: number;
  /** Time since the local copy was in sync with the store; null at startup. */
  readonly newsAge: Millis | null;
  readonly bytes: number;
  /** Time to parse and compile it. */
  readonly readTime: Millis | null;
}

export function startRelaySync(options: RelaySyncOptions): RelaySync {
  const { timers, random, catalogue, lease, logger } = options;
  const mirror = createMirror();
  const role = createFanoutRoleCache(options.self, lease.listInstances);
  const servers = createReturnedServers(timers, catalogue);
  let version: number | null = null;
  /** Era of the latest change; null before the first. */
  let era: StoreEra | null = null;

  /** Applies an event of the store or a peer, unless a newer revision of the key is known. */
  function applyEvent(event: StoreEvent, origin: UpdateState): void {
    const { key, revision } = event.kind === 'written' ? event.item : event;
    noteEra(getEra(revision), origin);
    const before = readBeforeReturn(key, revision);
    if (!mirror.apply(event)) {
      return;
    }
    if (key.startsWith(RELAY_KEY_PREFIX)) {
      lease.applyEvent(event);
    } else if (event.kind === 'written') {
      applyItem(event.item, origin, before);
    } else {
      const backend = options.readBackendKey(key);
      if (backend !== null) {
        servers.remove(backend);
      }
    }
  }

  function noteEra(next: StoreEra, origin: UpdateState): void {
    if (era !== null && next <= era) {
      return;
    }
    if (era === null && next > FIRST_ERA) {
      // A process that has just started can't tell whether a holder still relies on a claim that was lost.
      lease.noteStoreReturned();
    }
    if (era !== null) {
      logger.warn({ era: next, before: era, source: origin.source }, 'store came back from a copy');
      catalogue.noteStoreReturned();
      lease.noteStoreReturned();
    }
    era = next;
  }

  /** What an earlier history told of a server's key; null if it told nothing, or a later one has told of it since. */
  function readBeforeReturn(key: string, revision: StoreRevision): KnownBeforeReturn | null {
    const known = mirror.getRevision(key);
    if (known === 0 || getEra(known) >= getEra(revision) || options.readBackendKey(key) === null) {
      return null;
    }
    const item = mirror.getItem(key);
    const content = item && readItem(item);
    return { entry: content?.kind === 'backend' ? content.entry : null };
  }

  function applyItem(item: StoreItem, origin: UpdateState, before: KnownBeforeReturn | null): void {
    const startedAt = timers.now();
    const content = readItem(item);
    if (content?.kind === 'backend') {
      servers.put(content.entry, before);
    } else if (content?.kind === 'unreadable') {
      options.onUnreadable(item.key, content.reason);
      catalogue.drop(content.server);
    } else if (content?.kind === 'config') {
      applyConfig(createRouteTable(content.config), {
        source: origin.source,
        era: getEra(item.revision),
        revision: getRevisionNumber(item.revision),
        newsAge: roundMillis(origin.age),
        bytes: item.value.length,
        readTime: roundMillis(timers.now() - startedAt),
      });
    }
  }

  /** One malformed value must not stop the sync of all others. */
  function readItem(item: StoreItem): StoreContent | null {
    try {
      return options.readContent(item);
    } catch (err) {
      logger.error({ err, key: item.key, revision: item.revision }, 'value not understood');
      return null;
    }
  }

  /** Versions only increase: a late arrival does not revert the configuration. */
  function applyConfig(next: RouteTable, arrival: ConfigArrival): void {
    const { config } = next;
    if (version !== null && config.version <= version) {
      return;
    }
    logger.info({ version: config.version, before: version, ...arrival }, 'configuration in force');
    version = config.version;
    options.onTable(next);
  }

  const work = createRelayWork({
    timers,
    self: options.self.id,
    readOwnWork: options.readOwnWork,
    isAggregator: () => role.get().level !== FanoutLevel.Subscriber,
    onPeerWork: options.onOthersWork,
    onLost: options.onLost,
  });
  const news = createRelayUpdates({
    self: options.self.id,
    work,
    readOwnWork: options.readOwnWork,
    rooms: options.rooms,
    isCrowded: options.isCrowded,
    timers,
    store: options.store,
    changeTime: options.changeTime,
    mirror,
    askForUpdates: options.askForUpdates,
    getRole: role.get,
    onDirectWatch: (asked) =>
      logger.info({ asked }, 'no source has news: the store is watched directly'),
  });
  const peers = createRelayPeers({
    timers,
    random,
    self: options.self,
    mirror,
    askPeer: options.askPeer,
    listInstances: lease.listInstances,
    onEvent: (event, peer) => applyEvent(event, { ...news.readState(), source: peer }),
    listObserved: catalogue.listObserved,
    onObserved: catalogue.observe,
    getStaleness: () => news.readState().age,
    onSynced: (age) => {
      news.noteSynced(age);
      catalogue.notePeerNews(age);
    },
    onRevision: (peer, revision) =>
      logger.info(
        { peer, era: getEra(revision), revision: getRevisionNumber(revision) },
        'store heard from a peer',
      ),
  });
  const confirmNews = createRelayConfirm({
    timers,
    store: options.store,
    getCompleteRevision: mirror.getCompleteRevision,
    onEvents: (events) =>
      events.forEach((event) => applyEvent(event, { ...news.readState(), source: STORE_SOURCE })),
    onSynced: news.noteSynced,
  });
  const stop = registerRangeWatch({
    port: news.port,
    timers,
    random,
    prefix: '',
    wait: WATCH_WAIT,
    timeout: STORE_TIMEOUT,
    getGatherTime: role.getGatherTime,
    listener: {
      onSnapshot(items, revision) {
        mirror
          .toEvents({ isWhole: true, items, removed: [], revision })
          .forEach((event) => applyEvent(event, news.readState()));
      },
      onEvent: (event) => applyEvent(event, news.readState()),
      onCaughtUp: news.noteCaughtUp,
      onLost: () => {
        news.setReachable(false);
        catalogue.noteStoreLost();
        peers.noteStoreLost();
        logger.warn('store lost');
      },
      onRegained: () => {
        news.setReachable(true);
        catalogue.noteStoreRegained();
        peers.noteStoreRegained();
        logger.info('store regained');
      },
    },
  });
  return {
    peers,
    updates: news,
    work,
    confirmCurrent: confirmNews,
    stop() {
      peers.noteStoreRegained();
      stop();
    },
  };
}

/** For the log; null for an infinite time. */
function roundMillis(time: Millis): Millis | null {
  return Number.isFinite(time) ? Math.round(time) : null;
}
