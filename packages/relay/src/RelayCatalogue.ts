/**
 * The backend servers that are registered. While the store is out, the last known stay; an entry that
 * lapsed meanwhile gets time to come back, since its server may be alive and only its heartbeats lost.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, ServiceId, Unregister } from '@skylarksail/core/CoreTypes';
import { getServerName, isEarlierIncarnation } from './RelayIncarnations.js';
import type { BackendEntry } from './RelayTypes.js';

/**
 * Time after the store's return within which a living server's entry is back, as the platform says.
 * Without it, all servers would be taken for gone at once when an outage ends.
 */
export const LAPSED_ENTRY_GRACE: Millis = 2000;

export interface Catalogue {
  /** Takes an entry in, unless it tells of a life that ended before the one that is known. */
  put(entry: BackendEntry): void;
  /** The server's entry is gone from the store. */
  remove(server: string): void;
  /** The server's entry cannot be read any longer, so it names no server: nothing is waited for. */
  drop(server: string): void;
  /** What was seen of a server itself while the store is out. It stands until the store tells of it. */
  observe(entry: BackendEntry): void;
  /** What was seen of servers, and stands now. */
  listObserved(): readonly BackendEntry[];
  /** The store answers again after it did not: what it removed meanwhile may come back. */
  noteStoreRegained(): void;
  list(): readonly BackendEntry[];
  /** Other services are in use than before. */
  noteServicesChanged(): void;
  /** The server in the life that the id names, or null if that is over. */
  get(id: EngineId): BackendEntry | null;
  registerListener(listener: () => void): Unregister;
}

/** Creates an empty catalogue. It tells of servers of those services only that `isServed` says are in use. */
export function createCatalogue(
  timers: TimerService,
  isServed: (service: ServiceId) => boolean = () => true,
): Catalogue {
  const entries = new Map<string, BackendEntry>();
  const sightings = new Map<string, BackendEntry>();
  const missing = new Map<string, Unregister>();
  const listeners = new Set<() => void>();
  let returnUntil = -Infinity;

  /** What `list` gave last, until something changes: it is asked for many times a second. */
  let listed: readonly BackendEntry[] | null = null;

  function tell(): void {
    listed = null;
    listeners.forEach((listener) => listener());
  }

  function forget(server: string): void {
    missing.get(server)?.();
    missing.delete(server);
    sightings.delete(server);
    entries.delete(server);
  }

  function miss(server: string): void {
    if (!entries.has(server) || missing.has(server)) {
      return;
    }
    const grace = returnUntil - timers.now();
    if (grace <= 0) {
      forget(server);
      return;
    }
    const undo = timers.registerTimeout(grace, () => {
      forget(server);
      tell();
    });
    missing.set(server, undo);
  }

  function getKnown(server: string): BackendEntry | null {
    return sightings.get(server) ?? entries.get(server) ?? null;
  }

  /** A late word of a life that is over would bring back the layers that ended with it. */
  function isLate(entry: BackendEntry): boolean {
    const known = getKnown(entry.server);
    return known !== null && isEarlierIncarnation(entry, known);
  }

  /** By then every living server has written to the store again, and its entry says more than we saw. */
  function forgetSightings(): void {
    if (sightings.size > 0) {
      sightings.clear();
      tell();
    }
  }

  return {
    put(entry) {
      if (isLate(entry)) {
        return;
      }
      forget(entry.server);
      entries.set(entry.server, entry);
      tell();
    },
    remove(server) {
      miss(server);
      tell();
    },
    drop(server) {
      forget(server);
      tell();
    },
    observe(entry) {
      const known = getKnown(entry.server);
      if (isLate(entry) || (known !== null && isSameEntry(known, entry))) {
        return;
      }
      sightings.set(entry.server, entry);
      tell();
    },
    listObserved: () => [...sightings.values()],
    noteStoreRegained() {
      returnUntil = timers.now() + LAPSED_ENTRY_GRACE;
      timers.registerTimeout(LAPSED_ENTRY_GRACE, forgetSightings);
    },
    list() {
      listed ??= [...new Map([...entries, ...sightings]).values()].filter(({ service }) =>
        isServed(service),
      );
      return listed;
    },
    noteServicesChanged() {
      listed = null;
    },
    get(id) {
      const known = getKnown(getServerName(id));
      return known?.id === id && isServed(known.service) ? known : null;
    },
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** Whether two entries of one server say the same of what changes while it lives. */
function isSameEntry(a: BackendEntry, b: BackendEntry): boolean {
  return (
    a.id === b.id &&
    a.state === b.state &&
    a.layers?.first === b.layers?.first &&
    a.layers?.end === b.layers?.end
  );
}
