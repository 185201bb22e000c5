/**
 * Ports whose questions, orders and checks never reject. They are asked in the background by parts that wait for no
 * outcome, so that an error of an adapter would be an unhandled rejection, and end the process with all its requests.
 */
import type { EngineId } from '@skylarksail/core/CoreTypes';
import type { BackendPorts } from './RelayPorts.js';

/** Receives an error that an adapter should not have thrown. */
export type NoteAdapterError = (server: EngineId, err: unknown) => void;

/** Turns an error of an adapter into the outcome of a server that doesn't answer. */
export function createGuardedPorts(own: BackendPorts, noteError: NoteAdapterError): BackendPorts {
  async function guard<T>(server: EngineId, unanswered: T, ask: () => Promise<T>): Promise<T> {
    try {
      return await ask();
    } catch (err) {
      noteError(server, err);
      return unanswered;
    }
  }

  return {
    ...own,
    readHealth: (entry, timeout) =>
      guard(entry.id, { kind: 'silent' }, () => own.readHealth(entry, timeout)),
    checkConnection: (entry) => guard(entry.id, false, () => own.checkConnection(entry)),
    orders: {
      readStatus: (entry, timeout) =>
        guard(entry.id, null, () => own.orders.readStatus(entry, timeout)),
      // What was thrown doesn't tell whether the order was sent.
      order: (entry, range, orderCount, timeout) =>
        guard(entry.id, 'unknown', () => own.orders.order(entry, range, orderCount, timeout)),
    },
  };
}
