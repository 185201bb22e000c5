/** What adapters of calls may ask of the catalogue and the configuration. */
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { Catalogue } from './RelayCatalogue.js';
import type { BackendView } from './RelayPorts.js';
import type { BackendEntry } from './RelayTypes.js';

/** Connections are limited for all instances together; so many are reckoned with before they are seen. */
const INSTANCES_ASSUMED = 6;
/** A part stays free for instances that start again before their former connections are gone. */
const CONNECTION_SHARE = 0.9;
/** With one, a caller of an engine would wait for the answer of another. */
const LEAST_CONNECTIONS = 2;

export function createBackendView(
  catalogue: Catalogue,
  getTable: () => RouteTable | null,
  countInstances: () => number,
): BackendView {
  function findEntry({ host, port }: HostPort): BackendEntry | null {
    const found = catalogue
      .list()
      .find(({ address }) => address.host === host && address.port === port);
    return found ?? null;
  }

  return {
    getBackend: catalogue.get,
    findByAddress: (address) => findEntry(address)?.id ?? null,
    getHealthPath: (service) => getTable()?.findService(service)?.healthPath ?? null,
    getMaxConnections: (address) => {
      const service = findEntry(address)?.service ?? '';
      const most = getTable()?.findService(service)?.maxConnections ?? 0;
      const instances = Math.max(INSTANCES_ASSUMED, countInstances());
      return Math.max(LEAST_CONNECTIONS, Math.floor((most * CONNECTION_SHARE) / instances));
    },
  };
}
