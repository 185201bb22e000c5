/**
 * Chooses the peer that is asked to reach a backend server. Those of the own failure domain come first, as their links
 * cost nothing, and those that have reached a server lately before those of which nothing is known.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ForwardRefusalName } from './RelayForwardTypes.js';
import { ForwardRefusal } from './RelayForwardTypes.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface ForwardPeersOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  readonly listInstances: () => readonly InstanceEntry[];
}

export interface ForwardPeers {
  /** A peer to ask for a server, other than those that were tried; null if none is left. */
  choose(server: EngineId, tried: ReadonlySet<InstanceId>): InstanceEntry | null;
  /** A task was given to a peer, and has ended. */
  noteBegun(peer: InstanceId): void;
  noteEnded(peer: InstanceId): void;
  /** A peer reached a server. */
  noteReached(peer: InstanceId): void;
  /** A peer didn't reach a server that it knows. */
  noteUnreached(peer: InstanceId, server: EngineId): void;
  noteRefused(peer: InstanceId, server: EngineId, reason: ForwardRefusalName): void;
  /** A peer didn't answer. */
  noteSilent(peer: InstanceId): void;
  /** Number of peers of which anything is kept. */
  countPeers(): number;
}

/** Time for which a peer that has reached a server is preferred. */
const GOOD_TIME: Millis = 3000;
/** Time for which a peer isn't asked again: as it leaves, is full, is of an earlier version, or didn't answer. */
const LEAVING_PAUSE: Millis = 2000;
const FULL_PAUSE: Millis = 300;
const UNSUPPORTED_PAUSE: Millis = 30_000;
const SILENT_PAUSE: Millis = 2000;
/** Time for which a peer isn't asked for one server: its own link there is cut, or it didn't reach or know it. */
const CUT_OFF_PAUSE: Millis = 2000;
const UNREACHED_PAUSE: Millis = 1000;
/** Share of the tasks for which a peer is tried of which nothing is known, so that the load spreads. */
const EXPLORING_SHARE = 1 / 8;

/** Refusals that hold for one server. */
const SERVER_PAUSES: ReadonlyMap<ForwardRefusalName, Millis> = new Map([
  [ForwardRefusal.CutOff, CUT_OFF_PAUSE],
  [ForwardRefusal.Unknown, UNREACHED_PAUSE],
  [ForwardRefusal.Unreached, UNREACHED_PAUSE],
]);

/** Refusals that hold for all tasks. */
const PEER_PAUSES: ReadonlyMap<ForwardRefusalName, Millis> = new Map([
  [ForwardRefusal.Full, FULL_PAUSE],
  [ForwardRefusal.Leaving, LEAVING_PAUSE],
  [ForwardRefusal.Unsupported, UNSUPPORTED_PAUSE],
]);

export function createForwardPeers(options: ForwardPeersOptions): ForwardPeers {
  const { timers, random, self } = options;
  const open = new Map<InstanceId, number>();
  const goodUntil = new Map<InstanceId, Millis>();
  const pausedUntil = new Map<InstanceId, Millis>();
  /** By peer and server. */
  const unreachedUntil = new Map<string, Millis>();

  function isOver(table: ReadonlyMap<string, Millis>, key: string): boolean {
    return (table.get(key) ?? -Infinity) <= timers.now();
  }

  function getPairKey(peer: InstanceId, server: EngineId): string {
    return `${peer}\u0000${server}`;
  }

  function forgetOld(): void {
    [goodUntil, pausedUntil, unreachedUntil].forEach((table) =>
      [...table.keys()].filter((key) => isOver(table, key)).forEach((key) => table.delete(key)),
    );
  }

  /** The less busy of two drawn at random, so that instances with the same data don't all choose the same. */
  function draw(peers: readonly InstanceEntry[]): InstanceEntry | null {
    const [a, b] = [0, 1].map(() => peers[random.nextInt(Math.max(1, peers.length))] ?? null);
    if (!a || !b) {
      return null;
    }
    return (open.get(b.id) ?? 0) < (open.get(a.id) ?? 0) ? b : a;
  }

  function choose(server: EngineId, tried: ReadonlySet<InstanceId>): InstanceEntry | null {
    forgetOld();
    const isOwn = ({ domain }: InstanceEntry): boolean => domain === self.domain;
    const isGood = ({ id }: InstanceEntry): boolean => !isOver(goodUntil, id);
    const isUsable = ({ id, address }: InstanceEntry): boolean =>
      id !== self.id &&
      address !== null &&
      !tried.has(id) &&
      isOver(pausedUntil, id) &&
      isOver(unreachedUntil, getPairKey(id, server));
    const groups: readonly ((peer: InstanceEntry) => boolean)[] = [
      (peer) => isOwn(peer) && isGood(peer),
      (peer) => !isOwn(peer) && isGood(peer),
      // After two refusals the own domain is most likely cut off as a whole.
      (peer) => tried.size < 2 && isOwn(peer) && !isGood(peer),
      (peer) => !isGood(peer),
    ];
    const ordered = random.nextFloat() < EXPLORING_SHARE ? [...groups].reverse() : groups;
    const instances = options.listInstances();
    for (const isInGroup of ordered) {
      const peers = instances.filter((peer) => isInGroup(peer) && isUsable(peer));
      if (peers.length > 0) {
        return draw(peers);
      }
    }
    return null;
  }

  function pause(peer: InstanceId, time: Millis): void {
    goodUntil.delete(peer);
    pausedUntil.set(peer, timers.now() + time);
  }

  function pauseFor(peer: InstanceId, server: EngineId, time: Millis): void {
    unreachedUntil.set(getPairKey(peer, server), timers.now() + time);
  }

  function addOpen(peer: InstanceId, change: number): void {
    const count = (open.get(peer) ?? 0) + change;
    if (count > 0) {
      open.set(peer, count);
    } else {
      open.delete(peer);
    }
  }

  return {
    choose,
    noteBegun: (peer) => addOpen(peer, 1),
    noteEnded: (peer) => addOpen(peer, -1),
    noteReached: (peer) => {
      goodUntil.set(peer, timers.now() + GOOD_TIME);
    },
    noteUnreached: (peer, server) => pauseFor(peer, server, UNREACHED_PAUSE),
    noteRefused(peer, server, reason) {
      const serverPause = SERVER_PAUSES.get(reason);
      if (serverPause !== undefined) {
        pauseFor(peer, server, serverPause);
      } else {
        pause(peer, PEER_PAUSES.get(reason) ?? FULL_PAUSE);
      }
    },
    noteSilent: (peer) => pause(peer, SILENT_PAUSE),
    countPeers: () => new Set([...open.keys(), ...goodUntil.keys(), ...pausedUntil.keys()]).size,
  };
}
