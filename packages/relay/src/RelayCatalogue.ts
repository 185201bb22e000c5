/**
 * The backend servers that are registered. While the store is out, the last known stay; an entry that
 * lapsed meanwhile gets time to come back, since its server may be alive and only its heartbeats lost.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { BackendEntry } from './RelayTypes.js';

/**
 * Time after the store's return within which a living server's entry is back, as the platform says.
 * Without it, all servers would be taken for gone at once when an outage ends.
 */
export const RETURN_TIME: Millis = 2000;

export interface Catalogue {
  put(entry: BackendEntry): void;
  remove(id: EngineId): void;
  /** What was seen of a server itself while the store is out. It stands until the store tells of it. */
  observe(entry: BackendEntry): void;
  /** What was seen of servers, and stands now. */
  listObserved(): readonly BackendEntry[];
  /** The store answers again after it did not: what it removed meanwhile may come back. */
  noteStoreRegained(): void;
  list(): readonly BackendEntry[];
  get(id: EngineId): BackendEntry | null;
  registerListener(listener: () => void): Unregister;
}

/** Creates an empty catalogue. */
export function createCatalogue(timers: TimerService): Catalogue {
  const entries = new Map<EngineId, BackendEntry>();
  const sightings = new Map<EngineId, BackendEntry>();
  const missing = new Map<EngineId, Unregister>();
  const listeners = new Set<() => void>();
  let returnUntil = -Infinity;

  function tell(): void {
    listeners.forEach((listener) => listener());
  }

  function drop(id: EngineId): void {
    missing.get(id)?.();
    missing.delete(id);
    sightings.delete(id);
    entries.delete(id);
  }

  function miss(id: EngineId): void {
    if (!entries.has(id) || missing.has(id)) {
      return;
    }
    const grace = returnUntil - timers.now();
    if (grace <= 0) {
      drop(id);
      return;
    }
    const undo = timers.registerTimeout(grace, () => {
      drop(id);
      tell();
    });
    missing.set(id, undo);
  }

  function keep(entry: BackendEntry): void {
    missing.get(entry.id)?.();
    missing.delete(entry.id);
    sightings.delete(entry.id);
    entries.set(entry.id, entry);
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
      keep(entry);
      tell();
    },
    remove(id) {
      miss(id);
      tell();
    },
    observe(entry) {
      const known = sightings.get(entry.id) ?? entries.get(entry.id);
      if (known === undefined || !isSameEntry(known, entry)) {
        sightings.set(entry.id, entry);
        tell();
      }
    },
    listObserved: () => [...sightings.values()],
    noteStoreRegained() {
      returnUntil = timers.now() + RETURN_TIME;
      timers.registerTimeout(RETURN_TIME, forgetSightings);
    },
    list: () => [...new Map([...entries, ...sightings]).values()],
    get: (id) => sightings.get(id) ?? entries.get(id) ?? null,
    registerListener(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** Whether two entries of one server say the same of what changes while it lives. */
function isSameEntry(a: BackendEntry, b: BackendEntry): boolean {
  return (
    a.state === b.state && a.layers?.first === b.layers?.first && a.layers?.end === b.layers?.end
  );
}
