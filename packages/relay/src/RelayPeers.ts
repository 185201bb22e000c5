/**
 * Polls peers for changes while the store does not answer this instance. The store may refuse some instances and serve
 * others: without peers, a refused instance would use revoked keys and engines that have left for as long as that
 * lasts.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { HostPort, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreEvent } from '@skylarksail/store/StoreRange';
import { getEra } from '@skylarksail/store/StoreRevisions';
import { LAPSED_ENTRY_GRACE } from './RelayCatalogue.js';
import type { Mirror, MirrorChanges } from './RelayMirror.js';
import type { BackendEntry, InstanceEntry } from './RelayTypes.js';

/**
 * Answer of a peer. `deaf`: it has lost the store too, and lists its own observations of its domain's
 * engines. `silent`: it is gone, cut off or leaving.
 */
export type PeerAnswer =
  | ({ readonly kind: 'news' } & PeerUpdates)
  | { readonly kind: 'deaf'; readonly observed: readonly BackendEntry[] }
  | { readonly kind: 'silent' };

/** Data of a peer that reaches the store. */
export interface PeerUpdates {
  readonly changes: MirrorChanges;
  /** Time since it was in sync with the store; null if it lacks changes since the requested revision. */
  readonly age: Millis | null;
}

/** Queries a peer for the changes since a revision. */
export type AskPeer = (address: HostPort, since: number, timeout: Millis) => Promise<PeerAnswer>;

export interface RelayPeersOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  readonly mirror: Mirror;
  readonly askPeer: AskPeer;
  readonly listInstances: () => readonly InstanceEntry[];
  readonly onEvent: (event: StoreEvent, peer: InstanceId) => void;
  /** Engines as this instance observed them. */
  readonly listObserved: () => readonly BackendEntry[];
  /** An engine as a peer of its domain observed it. */
  readonly onObserved: (entry: BackendEntry) => void;
  /** A peer gave changes up to a higher revision than before. */
  readonly onRevision: (peer: string, revision: number) => void;
  readonly getStaleness: () => Millis;
  /** The local copy was in sync with the store `age` ago. */
  readonly onSynced: (age: Millis) => void;
}

export interface RelayPeers {
  /** The store was lost: starts to poll peers. */
  noteStoreLost(): void;
  noteStoreRegained(): void;
  /** This instance shuts down: peers must not rely on it for duties. */
  noteLeaving(): void;
  /** Answers a peer's query. */
  answer(since: number, takesWhole: boolean): PeerAnswer;
  /** Whether neither the store nor any peer that reaches it answered for a while. */
  isIsolated(): boolean;
  /** Whether a peer was asked since the store was lost, and did not answer the last query. */
  isUnresponsive(peer: InstanceId): boolean;
}

/** Allows several attempts in the two seconds within which a change must be in force; some peers may be cut off too. */
const ROUND_INTERVAL: Millis = 300;
const ASK_TIMEOUT: Millis = 250;
const ROUND_JITTER = 0.3;
const ASKS_PER_ROUND = 2;
/** Six peers are asked in this time; unless the store is down for all, at least one most likely reaches it. */
const ISOLATED_AFTER: Millis = 1000;

/** Larger than any fleet; instances that are replaced while the store fails again and again are dropped beyond it. */
const MAX_KNOWN_AT_LOSS = 4096;

export function createRelayPeers(options: RelayPeersOptions): RelayPeers {
  const { timers, random, self, mirror } = options;
  const silent = new Set<InstanceId>();
  /** Entries may lapse in an outage though their instances live; without them, nobody would be left to be asked. */
  let knownAtLoss: readonly InstanceEntry[] = [];
  let cancelRound: Unregister | null = null;
  let asked = 0;
  let lossCount = 0;
  let lastUpdateAt = 0;
  let regainedAt = -Infinity;
  let isLeaving = false;

  /**
   * Peers that are registered, and those known at the loss only while no registered one answers: many of them may have
   * ended, and each would cost a whole timeout.
   */
  function listPeers(): readonly InstanceEntry[] {
    const registered = options
      .listInstances()
      .filter(({ id, address }) => id !== self.id && address !== null);
    if (registered.some(({ id }) => !silent.has(id))) {
      return registered;
    }
    return mergeInstances(knownAtLoss, registered).filter(
      ({ id, address }) => id !== self.id && address !== null,
    );
  }

  /** A recovery may have told only that entries had lapsed, so what was known before it still counts for a while. */
  function listKnownAtLoss(): readonly InstanceEntry[] {
    const registered = options.listInstances();
    const isRecent = timers.now() - regainedAt < LAPSED_ENTRY_GRACE;
    return isRecent
      ? mergeInstances(knownAtLoss, registered).slice(-MAX_KNOWN_AT_LOSS)
      : registered;
  }

  /** Next peer in rotation; those of the own domain come first in each pass, since their links are free. */
  function choosePeer(): InstanceEntry | null {
    const others = [...listPeers()].sort(
      (a, b) => Number(b.domain === self.domain) - Number(a.domain === self.domain),
    );
    asked += 1;
    return others[asked % Math.max(1, others.length)] ?? null;
  }

  async function ask(lossNumber: number): Promise<void> {
    const peer = choosePeer();
    if (!peer?.address) {
      return;
    }
    // Asks from the complete revision, not the latest one seen: changes between them may be missing.
    const askedAt = timers.now();
    const answer = await options.askPeer(peer.address, mirror.getCompleteRevision(), ASK_TIMEOUT);
    if (cancelRound === null || lossNumber !== lossCount) {
      return;
    }
    if (answer.kind === 'silent') {
      silent.add(peer.id);
    } else {
      silent.delete(peer.id);
    }
    if (answer.kind === 'news' && isOfKnownEra(answer)) {
      lastUpdateAt = timers.now();
      applyUpdates(peer, answer, askedAt);
    } else if (answer.kind === 'deaf') {
      // For engines of its own domain, an instance relies on its own observations.
      answer.observed.filter(({ domain }) => domain !== self.domain).forEach(options.onObserved);
    }
  }

  /** A peer that has not seen the era of this instance knows nothing of what is in force. */
  function isOfKnownEra({ changes }: PeerUpdates): boolean {
    return getEra(changes.revision) >= getEra(mirror.getCompleteRevision());
  }

  function applyUpdates(peer: InstanceEntry, { changes, age }: PeerUpdates, askedAt: Millis): void {
    mirror.toEvents(changes).forEach((event) => options.onEvent(event, peer.id));
    if (mirror.noteComplete(changes.revision)) {
      options.onRevision(peer.id, changes.revision);
    }
    if (age !== null) {
      options.onSynced(age + timers.now() - askedAt);
    }
  }

  /** Polls until the store is back. Rounds of an earlier loss must not continue alongside those of a later one. */
  function scheduleRound(lossNumber: number): void {
    cancelRound = timers.registerTimeout(jitter(random, ROUND_INTERVAL, ROUND_JITTER), () => {
      const asks = Array.from({ length: ASKS_PER_ROUND }, () => ask(lossNumber));
      void Promise.all(asks).finally(() => {
        if (cancelRound !== null && lossNumber === lossCount) {
          scheduleRound(lossNumber);
        }
      });
    });
  }

  return {
    noteStoreLost() {
      if (cancelRound === null) {
        lastUpdateAt = timers.now();
        silent.clear();
        knownAtLoss = listKnownAtLoss();
        lossCount += 1;
        scheduleRound(lossCount);
      }
    },
    noteStoreRegained() {
      cancelRound?.();
      cancelRound = null;
      regainedAt = timers.now();
    },
    noteLeaving() {
      isLeaving = true;
    },
    answer(since, takesWhole) {
      const isBehind = getEra(since) > getEra(mirror.getCompleteRevision());
      if (cancelRound === null && !isBehind) {
        const changes = mirror.readSince(since, takesWhole);
        const isAll = changes.isWhole || mirror.hasChangesSince(since);
        return { kind: 'news', changes, age: isAll ? options.getStaleness() : null };
      }
      const seen = options.listObserved().filter(({ domain }) => domain === self.domain);
      return isLeaving ? { kind: 'silent' } : { kind: 'deaf', observed: seen };
    },
    isIsolated: () => cancelRound !== null && timers.now() - lastUpdateAt >= ISOLATED_AFTER,
    isUnresponsive: (peer) => silent.has(peer),
  };
}

function mergeInstances(
  first: readonly InstanceEntry[],
  second: readonly InstanceEntry[],
): readonly InstanceEntry[] {
  return [...new Map([...first, ...second].map((instance) => [instance.id, instance])).values()];
}
