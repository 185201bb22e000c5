/**
 * Asks peers for what is new in the store while the store does not answer this instance. The store may
 * turn some instances away and serve the others: without this, one that is turned away would serve dropped keys
 * and engines that are gone for as long as that lasts.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEvent } from '@skylarksail/store/StoreRange';
import type { Mirror, MirrorChanges } from './RelayMirror.js';
import type { BackendEntry, InstanceEntry } from './RelayTypes.js';

/**
 * What a peer says. `deaf`: it does not hear the store either, and tells what it has seen of its domain's
 * engines itself. `silent`: it is gone, cut off or leaving.
 */
export type PeerAnswer =
  | ({ readonly kind: 'news' } & PeerUpdates)
  | { readonly kind: 'deaf'; readonly observed: readonly BackendEntry[] }
  | { readonly kind: 'silent' };

/** What a peer that hears the store knows. */
export interface PeerUpdates {
  readonly changes: MirrorChanges;
  /** Time since it knew all that the store held; null if it cannot tell all since the revision asked for. */
  readonly age: Millis | null;
}

/** Asks a peer for what has changed since a revision. */
export type AskPeer = (address: HostPort, since: number, timeout: Millis) => Promise<PeerAnswer>;

export interface RelayPeersOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  readonly mirror: Mirror;
  readonly askPeer: AskPeer;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly onEvent: (event: StoreEvent, peer: InstanceId) => void;
  /** Engines as this instance has seen them itself. */
  readonly listObserved: () => readonly BackendEntry[];
  /** An engine as a peer of its domain has seen it. */
  readonly onObserved: (entry: BackendEntry) => void;
  readonly onRevision: (peer: string, revision: number) => void;
  readonly getStaleness: () => Millis;
  /** A peer told all that it knew so long ago. */
  readonly onSynced: (age: Millis) => void;
}

export interface RelayPeers {
  /** The store was lost: from now on peers are asked. */
  noteStoreLost(): void;
  noteStoreRegained(): void;
  /** This instance leaves: peers are not to count on it for duties. */
  noteLeaving(): void;
  /** What a peer is told. */
  answer(since: number, takesWhole: boolean): PeerAnswer;
  /** Whether neither the store nor any peer that hears it could be reached for a while. */
  isIsolated(): boolean;
  /** Peers that were asked since the store was lost, and gave no answer when they were asked last. */
  isUnresponsive(peer: InstanceId): boolean;
}

/** A change is to be in force within two seconds; a peer that is cut off too costs one of the tries. */
const ASK_PERIOD: Millis = 300;
const ASK_TIMEOUT: Millis = 250;
const ASK_JITTER = 0.3;
const ASKED_AT_ONCE = 2;
/** Six peers are asked in this time; one that hears the store is most likely among them. */
const BLIND_AFTER: Millis = 1000;

export function createRelayPeers(options: RelayPeersOptions): RelayPeers {
  const { timers, random, self, mirror } = options;
  const silent = new Set<InstanceId>();
  let undo: Unregister | null = null;
  let asked = 0;
  let losses = 0;
  let heardAt = 0;
  let isLeaving = false;

  /** Peers in turn, those of the own domain first in each round, since their links are free. */
  function choosePeer(): InstanceEntry | null {
    const others = options
      .listInstances()
      .filter(({ id, address }) => id !== self.id && address !== null)
      .sort((a, b) => Number(b.domain === self.domain) - Number(a.domain === self.domain));
    asked += 1;
    return others[asked % Math.max(1, others.length)] ?? null;
  }

  async function ask(loss: number): Promise<void> {
    const peer = choosePeer();
    if (!peer?.address) {
      return;
    }
    // Not since the latest revision known: before that there may be changes that were never heard of.
    const askedAt = timers.now();
    const answer = await options.askPeer(peer.address, mirror.getCompleteRevision(), ASK_TIMEOUT);
    if (undo === null || loss !== losses) {
      return;
    }
    if (answer.kind === 'silent') {
      silent.add(peer.id);
    } else {
      silent.delete(peer.id);
    }
    if (answer.kind === 'news') {
      heardAt = timers.now();
      takeNews(peer, answer, askedAt);
    } else if (answer.kind === 'deaf') {
      // Of its own domain's engines an instance sees more itself.
      answer.observed.filter(({ domain }) => domain !== self.domain).forEach(options.onObserved);
    }
  }

  function takeNews(peer: InstanceEntry, { changes, age }: PeerUpdates, askedAt: Millis): void {
    mirror.toEvents(changes).forEach((event) => options.onEvent(event, peer.id));
    if (mirror.noteComplete(changes.revision)) {
      options.onRevision(peer.id, changes.revision);
    }
    if (age !== null) {
      options.onSynced(age + timers.now() - askedAt);
    }
  }

  /** Asks on until the store is back. A round that belongs to an earlier loss must not go on beside that of a later one. */
  function schedule(loss: number): void {
    undo = timers.registerTimeout(jitter(random, ASK_PERIOD, ASK_JITTER), () => {
      const asks = Array.from({ length: ASKED_AT_ONCE }, () => ask(loss));
      void Promise.all(asks).finally(() => {
        if (undo !== null && loss === losses) {
          schedule(loss);
        }
      });
    });
  }

  return {
    noteStoreLost() {
      if (undo === null) {
        heardAt = timers.now();
        silent.clear();
        losses += 1;
        schedule(losses);
      }
    },
    noteStoreRegained() {
      undo?.();
      undo = null;
    },
    noteLeaving() {
      isLeaving = true;
    },
    answer(since, takesWhole) {
      if (undo === null) {
        const changes = mirror.readSince(since, takesWhole);
        const isAll = changes.isWhole || mirror.hasChangesSince(since);
        return { kind: 'news', changes, age: isAll ? options.getStaleness() : null };
      }
      const seen = options.listObserved().filter(({ domain }) => domain === self.domain);
      return isLeaving ? { kind: 'silent' } : { kind: 'deaf', observed: seen };
    },
    isIsolated: () => undo !== null && timers.now() - heardAt >= BLIND_AFTER,
    isUnresponsive: (peer) => silent.has(peer),
  };
}
