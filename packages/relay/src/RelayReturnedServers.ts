/**
 * Servers that a store lists again after it came back from a copy. The copy may be from before a server said that it
 * leaves, or ended: its entry would send it requests again.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { Catalogue } from './RelayCatalogue.js';
import type { BackendEntry } from './RelayTypes.js';

/** What was known of a key before the store came back from a copy. */
export interface KnownBeforeReturn {
  /** The server that was registered; null if none was. */
  readonly entry: BackendEntry | null;
}

export interface ReturnedServers {
  /** Puts an entry into the catalogue; `before` is what an earlier history told of its key, null if it is not over. */
  put(entry: BackendEntry, before: KnownBeforeReturn | null): void;
  /** An entry is gone from the store. */
  remove(server: string): void;
}

/**
 * Time after which an entry that was removed before the return counts, unless it changes first: the platform removes the
 * entry of a server that is gone after three heartbeats, and does not show the heartbeats of one that lives.
 */
const RETURNED_ENTRY_DELAY: Millis = 5000;

export function createReturnedServers(
  timers: TimerService,
  catalogue: Pick<Catalogue, 'put' | 'remove' | 'noteSaidLeaving'>,
): ReturnedServers {
  const delayed = new Map<string, Unregister>();

  function cancel(server: string): void {
    delayed.get(server)?.();
    delayed.delete(server);
  }

  function delay(entry: BackendEntry): void {
    cancel(entry.server);
    const cancelTimeout = timers.registerTimeout(RETURNED_ENTRY_DELAY, () => {
      delayed.delete(entry.server);
      catalogue.put(entry);
    });
    delayed.set(entry.server, cancelTimeout);
  }

  return {
    put(entry, before) {
      if (before !== null && (before.entry === null || delayed.has(entry.server))) {
        delay(entry);
        return;
      }
      cancel(entry.server);
      if (before?.entry?.id === entry.id && before.entry.state === LifeState.Leaving) {
        catalogue.noteSaidLeaving(entry.id);
      }
      catalogue.put(entry);
    },
    remove(server) {
      cancel(server);
      catalogue.remove(server);
    },
  };
}
