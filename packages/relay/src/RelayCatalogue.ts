/**
 * The registered backend servers. During a store outage the last known entries are kept. An entry that lapsed
 * in the outage is kept for a grace period afterwards: its server may be alive, and only its heartbeats were lost. The
 * grace period starts anew if the store is lost within it for long enough that entries may lapse again.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { getServerName, isEarlierIncarnation } from './RelayIncarnations.js';
import type { BackendEntry } from './RelayTypes.js';

/**
 * Grace period after the store recovers, during which removed entries are kept. By the platform's specification, every
 * live server is registered again within this time. Without a grace period, all servers would be removed at once when
 * an outage ends.
 */
export const LAPSED_ENTRY_GRACE: Millis = 2000;

/** A loss that is shorter only suspends the grace period: no entry lapses in it, because servers have several heartbeats. */
const SHORT_LOSS: Millis = 600;

/** Far more incarnations than leave in the time for which a server goes on after it said so. */
const MAX_SAID_LEAVING = 4096;

/** Longest time between two answers of peers that reach the store; after more of it, they had lost the store too. */
const MAX_NEWS_GAP: Millis = 1000;

export interface Catalogue {
  /** Stores an entry from the store, unless it belongs to an earlier incarnation than the known one. */
  put(entry: BackendEntry): void;
  /**
   * Removes a server whose entry is gone from the store: at once, or at the end of the grace period if it runs. While the
   * store is lost, peers tell of removals; each has a grace period of its own and waits for `notePeerNews` after it.
   */
  remove(server: string): void;
  /** Removes a server at once, because its entry can no longer be parsed; no grace period applies. */
  drop(server: string): void;
  /**
   * Records the state of a server that this instance or a peer observed itself during a store outage. It overrides
   * the server's entry until `put` gets a new one or the grace period ends.
   */
  observe(entry: BackendEntry): void;
  /**
   * A server said itself that it leaves. That holds for its incarnation, whatever an entry, a peer or a health check tells:
   * they may be older than its word, and some servers never register that they leave.
   */
  noteSaidLeaving(id: EngineId): void;
  /** The observations that override entries now. */
  listObserved(): readonly BackendEntry[];
  /** The store no longer answers: a grace period that runs is suspended until the next recovery. */
  noteStoreLost(): void;
  /** A peer gave all its changes, which are applied; it was in sync with the store `age` ago, by default now. */
  notePeerNews(age?: Millis): void;
  /**
   * The store came back from a copy, which lacks the entries of servers that registered after it: starts the grace period
   * anew, in which they register again.
   */
  noteStoreReturned(): void;
  /** Starts the grace period when the store is reachable again after an outage, or continues it after a short loss. */
  noteStoreRegained(): void;
  list(): readonly BackendEntry[];
  /** Drops the cached list when `isUsable` may return other results. */
  noteServicesChanged(): void;
  /** The server whose current incarnation has this id, or null if there is none. */
  get(id: EngineId): BackendEntry | null;
  registerListener(listener: () => void): Unregister;
}

/** Creates an empty catalogue. `list` and `get` return only servers for which `isUsable` is true. */
export function createCatalogue(
  timers: TimerService,
  isUsable: (entry: BackendEntry) => boolean = () => true,
): Catalogue {
  const entries = new Map<string, BackendEntry>();
  const observations = new Map<string, BackendEntry>();
  const missing = new Map<string, Unregister>();
  /** Servers without an entry while the store is lost, and when they may be removed on a peer's news. */
  const reported = new Map<string, Millis>();
  /** Incarnations that said that they leave, oldest first. They stay after their entry is gone, as it may come back. */
  const saidLeaving = new Set<EngineId>();
  const listeners = new Set<() => void>();
  let isLost = false;
  let peerNewsAt = -Infinity;
  let graceEnd = -Infinity;
  let lostAt = -Infinity;
  let cancelGraceEnd: Unregister = () => undefined;

  /** The last result of `list`, cached until something changes, because `list` runs many times a second. */
  let cachedList: readonly BackendEntry[] | null = null;

  function notifyListeners(): void {
    cachedList = null;
    listeners.forEach((listener) => listener());
  }

  function deleteServer(server: string): void {
    missing.get(server)?.();
    missing.delete(server);
    reported.delete(server);
    observations.delete(server);
    entries.delete(server);
  }

  function scheduleRemoval(server: string): void {
    if (!entries.has(server) || missing.has(server) || reported.has(server)) {
      return;
    }
    const grace = graceEnd - timers.now();
    if (isLost) {
      reported.set(server, timers.now() + LAPSED_ENTRY_GRACE);
    } else if (grace <= 0) {
      deleteServer(server);
    } else {
      removeAfter(server, grace);
    }
  }

  function removeAfter(server: string, wait: Millis): void {
    const cancel = timers.registerTimeout(wait, () => {
      deleteServer(server);
      notifyListeners();
    });
    missing.set(server, cancel);
  }

  /** Cancels all removals and returns their servers. */
  function takeMissing(): readonly string[] {
    const servers = [...missing.keys(), ...reported.keys()];
    missing.forEach((cancel) => cancel());
    missing.clear();
    reported.clear();
    return servers;
  }

  function reportAgain(servers: readonly string[]): void {
    servers.forEach((server) => reported.set(server, timers.now() + LAPSED_ENTRY_GRACE));
  }

  /** Servers had no time to register again before the store was lost, so nothing of a grace period ends without it. */
  function suspendGrace(): void {
    isLost = true;
    lostAt = timers.now();
    cancelGraceEnd();
    reportAgain(takeMissing());
  }

  /**
   * The time until servers without an entry are removed. A store that fails a call now and then would keep engines that
   * are gone for good if each short loss began the grace period anew.
   */
  function getGrace(): Millis {
    const left = graceEnd - lostAt;
    const isShortLoss = isLost && timers.now() - lostAt < SHORT_LOSS;
    return isShortLoss && left > 0 ? left : LAPSED_ENTRY_GRACE;
  }

  function startGrace(grace: Millis): void {
    isLost = false;
    cancelGraceEnd();
    graceEnd = timers.now() + grace;
    cancelGraceEnd = timers.registerTimeout(grace, clearObservations);
    takeMissing().forEach((server) => removeAfter(server, grace));
  }

  /** `newsAt`: when the peer that answers now was in sync; it may not have noticed yet that it lost the store. */
  function removeReported(newsAt: Millis): void {
    if (timers.now() - peerNewsAt > MAX_NEWS_GAP) {
      // The peers had lost the store too, and servers register again only now.
      reportAgain([...reported.keys()]);
    }
    peerNewsAt = timers.now();
    const overdue = [...reported].filter(([, dueAt]) => dueAt <= newsAt);
    overdue.forEach(([server]) => deleteServer(server));
    if (overdue.length > 0) {
      notifyListeners();
    }
  }

  function getLatest(server: string): BackendEntry | null {
    return observations.get(server) ?? entries.get(server) ?? null;
  }

  function applySaidLeaving(entry: BackendEntry): BackendEntry {
    return saidLeaving.has(entry.id) ? { ...entry, state: LifeState.Leaving } : entry;
  }

  /** A delayed entry of an earlier incarnation would restore layers that the restarted server no longer holds. */
  function isOutdated(entry: BackendEntry): boolean {
    const known = getLatest(entry.server);
    return known !== null && isEarlierIncarnation(entry, known);
  }

  /** Runs at the end of the grace period: every live server has a new entry by then, which supersedes observations. */
  function clearObservations(): void {
    if (observations.size > 0) {
      observations.clear();
      notifyListeners();
    }
  }

  return {
    put(entry) {
      if (isOutdated(entry)) {
        return;
      }
      deleteServer(entry.server);
      entries.set(entry.server, applySaidLeaving(entry));
      notifyListeners();
    },
    remove(server) {
      scheduleRemoval(server);
      notifyListeners();
    },
    drop(server) {
      deleteServer(server);
      notifyListeners();
    },
    observe(seen) {
      const entry = applySaidLeaving(seen);
      const known = getLatest(entry.server);
      if (isOutdated(entry) || (known !== null && isSameEntry(known, entry))) {
        return;
      }
      observations.set(entry.server, entry);
      notifyListeners();
    },
    noteSaidLeaving(id) {
      if (saidLeaving.has(id)) {
        return;
      }
      saidLeaving.add(id);
      [...saidLeaving].slice(0, -MAX_SAID_LEAVING).forEach((old) => saidLeaving.delete(old));
      const server = getServerName(id);
      for (const table of [entries, observations]) {
        const entry = table.get(server);
        if (entry?.id === id) {
          table.set(server, applySaidLeaving(entry));
        }
      }
      notifyListeners();
    },
    listObserved: () => [...observations.values()],
    noteStoreLost() {
      if (!isLost) {
        suspendGrace();
      }
    },
    notePeerNews(age = 0) {
      if (isLost) {
        removeReported(timers.now() - age);
      }
    },
    noteStoreReturned() {
      if (isLost) {
        // Learned from a peer: the grace period starts when the store is reachable again, and then in full.
        graceEnd = -Infinity;
      } else {
        startGrace(LAPSED_ENTRY_GRACE);
      }
    },
    noteStoreRegained: () => startGrace(getGrace()),
    list() {
      cachedList ??= [...new Map([...entries, ...observations]).values()].filter(isUsable);
      return cachedList;
    },
    noteServicesChanged() {
      cachedList = null;
    },
    get(id) {
      const known = getLatest(getServerName(id));
      return known?.id === id && isUsable(known) ? known : null;
    },
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** Whether two entries of a server agree in the fields that change while it runs. */
function isSameEntry(a: BackendEntry, b: BackendEntry): boolean {
  return (
    a.id === b.id &&
    a.state === b.state &&
    a.layers?.first === b.layers?.first &&
    a.layers?.end === b.layers?.end
  );
}
