/**
 * Tells the lives of a backend server apart. A server may start again under the name that it had; it then holds
 * nothing and counts its orders anew. Whatever was believed of the earlier life would send requests to layers
 * that are not there, so all that is remembered of a server hangs on an id that names its start as well.
 */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { BackendEntry } from './RelayTypes.js';

/** What tells two lives apart. */
export type ServerIncarnation = Pick<BackendEntry, 'server' | 'born'>;

const SEPARATOR = '@';

/** The id of one life; the name alone where the server does not tell its start. */
export function createIncarnationId({ server, born }: ServerIncarnation): EngineId {
  return born === null ? server : `${server}${SEPARATOR}${born}`;
}

/** The name under which the server of an id is registered. */
export function getServerName(id: EngineId): string {
  return id.split(SEPARATOR, 1)[0] ?? id;
}

/** Whether `a` tells of a life that had ended when that of `b` began. Lives that tell no start are not ordered. */
export function isEarlierIncarnation(a: ServerIncarnation, b: ServerIncarnation): boolean {
  return a.server === b.server && a.born !== null && b.born !== null && a.born < b.born;
}
