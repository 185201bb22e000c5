/**
 * Distinguishes the incarnations of a backend server. A server can restart under the same name; it then holds no layers
 * and counts its orders from zero. State kept from the earlier incarnation would route requests to layers that are
 * gone, so all state about a server is keyed by an id that includes its start time.
 */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { BackendEntry } from './RelayTypes.js';

/** The fields that identify an incarnation. */
export type ServerIncarnation = Pick<BackendEntry, 'server' | 'born'>;

const SEPARATOR = '@';

/** Creates the id of an incarnation: only the name if the server does not report its start time. */
export function createIncarnationId({ server, born }: ServerIncarnation): EngineId {
  return born === null ? server : `${server}${SEPARATOR}${born}`;
}

/** Returns the name under which the server with this id is registered. */
export function getServerName(id: EngineId): string {
  return id.split(SEPARATOR, 1)[0] ?? id;
}

/** Whether `a` and `b` are incarnations of one server and `a` started earlier; false if a start time is unknown. */
export function isEarlierIncarnation(a: ServerIncarnation, b: ServerIncarnation): boolean {
  return a.server === b.server && a.born !== null && b.born !== null && a.born < b.born;
}
