/**
 * Asks peers for what is new in the store while the store does not answer this instance. The store may
 * turn some instances away and serve the others: without this, one that is turned away would serve dropped keys
 * and engines that are gone for as long as that lasts.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEvent } from '@skylarksail/store/StoreRange';
import type { Mirror, MirrorChanges } from './RelayMirror.js';
import type { InstanceEntry } from './RelayTypes.js';

/** Asks a peer; null if it does not answer, or does not hear the store itself. */
export type AskPeer = (
  address: HostPort,
  since: number,
  timeout: Millis,
) => Promise<MirrorChanges | null>;

export interface RelayPeersOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  readonly mirror: Mirror;
  readonly askPeer: AskPeer;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly onEvent: (event: StoreEvent) => void;
  readonly onHeard: (peer: string, revision: number) => void;
}

export interface RelayPeers {
  /** The store was lost: from now on peers are asked. */
  noteStoreLost(): void;
  noteStoreRegained(): void;
  /** What a peer is told; null while the store does not answer us either. */
  answer(since: number): MirrorChanges | null;
}

/** A change is to be in force within two seconds; a peer that is cut off too costs one of the tries. */
const ASK_PERIOD: Millis = 300;
const ASK_TIMEOUT: Millis = 250;
const ASK_JITTER = 0.3;

export function createRelayPeers(options: RelayPeersOptions): RelayPeers {
  const { timers, random, self, mirror } = options;
  let undo: Unregister | null = null;
  let asked = 0;

  /** Peers in turn, those of the own domain first in each round, since their links are free. */
  function choosePeer(): InstanceEntry | null {
    const others = options
      .listInstances()
      .filter(({ id, address }) => id !== self.id && address !== null)
      .sort((a, b) => Number(b.domain === self.domain) - Number(a.domain === self.domain));
    asked += 1;
    return others[asked % Math.max(1, others.length)] ?? null;
  }

  async function ask(): Promise<void> {
    const peer = choosePeer();
    if (!peer?.address) {
      return;
    }
    const changes = await options.askPeer(peer.address, mirror.getRevision(), ASK_TIMEOUT);
    if (changes === null || undo === null) {
      return;
    }
    const isNews = changes.revision > mirror.getRevision();
    changes.items.forEach((item) => options.onEvent({ kind: 'written', item }));
    changes.removed.forEach((removal) => options.onEvent({ kind: 'removed', ...removal }));
    if (isNews) {
      options.onHeard(peer.id, changes.revision);
    }
  }

  function schedule(): void {
    undo = timers.registerTimeout(jitter(random, ASK_PERIOD, ASK_JITTER), () => {
      void ask().finally(() => {
        if (undo !== null) {
          schedule();
        }
      });
    });
  }

  return {
    noteStoreLost() {
      if (undo === null) {
        schedule();
      }
    },
    noteStoreRegained() {
      undo?.();
      undo = null;
    },
    answer: (since) => (undo === null ? mirror.readSince(since) : null),
  };
}
