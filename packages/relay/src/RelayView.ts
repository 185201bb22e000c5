/** Gives the adapters of backend calls read access to the catalogue and the configuration. */
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { Catalogue } from './RelayCatalogue.js';
import type { BackendView } from './RelayPorts.js';
import type { BackendEntry } from './RelayTypes.js';

/** All instances share a service's connection limit; at least this many are assumed, as some may not be known yet. */
const MIN_ASSUMED_INSTANCES = 6;
/** Share of the limit that is used; the rest is reserved for restarted instances with old connections still open. */
const CONNECTION_SHARE = 0.9;
/** With a single connection, one answer would block all other requests to the engine (head-of-line blocking). */
const MIN_CONNECTIONS = 2;

export function createBackendView(
  catalogue: Catalogue,
  getTable: () => RouteTable | null,
  countInstances: () => number,
  answers: Pick<
    BackendView,
    | 'noteRequestLimit'
    | 'noteSaidLeaving'
    | 'noteBackoffRequested'
    | 'noteForeignAnswer'
    | 'isBackedOff'
  >,
): BackendView {
  function findEntry({ host, port }: HostPort): BackendEntry | null {
    const found = catalogue
      .list()
      .find(({ address }) => address.host === host && address.port === port);
    return found ?? null;
  }

  return {
    ...answers,
    getBackend: catalogue.get,
    findByAddress: (address) => findEntry(address)?.id ?? null,
    getHealthPath: (service) => getTable()?.findService(service)?.healthPath ?? null,
    getMaxConnections: (address) => {
      const service = findEntry(address)?.service ?? '';
      const maxConnections = getTable()?.findService(service)?.maxConnections ?? 0;
      const instances = Math.max(MIN_ASSUMED_INSTANCES, countInstances());
      return Math.max(MIN_CONNECTIONS, Math.floor((maxConnections * CONNECTION_SHARE) / instances));
    },
  };
}
