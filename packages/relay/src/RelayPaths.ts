/**
 * Knows which backend servers this instance doesn't reach over its own links while a peer does. A server that fails looks
 * the same from here as a link that is cut; the word of a peer that reaches the server tells them apart. Without it, an
 * instance that lost its links would take every engine for dead, and refuse its callers beside peers that serve theirs.
 */
import { createActiveInterval } from '@skylarksail/core/CoreActivity';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';

export interface RelayPathsOptions {
  readonly timers: TimerService;
  /** Whether this instance can connect to a server. */
  readonly checkOwnLink: (server: EngineId) => Promise<boolean>;
  /** Whether a peer can connect to a server; false if no peer answers. */
  readonly checkThroughPeers: (server: EngineId) => Promise<boolean>;
  /** Whether a server is registered. */
  readonly isKnown: (server: EngineId) => boolean;
  /** Whether calls of peers run here, which the router doesn't know of. */
  readonly isServingPeers: () => boolean;
  readonly onCut: (server: EngineId) => void;
  readonly onRestored: (server: EngineId) => void;
}

/** A call over this instance's own link. */
export interface WatchedCall {
  /** The server has answered, or gone on. */
  noteSign(): void;
  /** The call has ended. */
  end(): void;
}

export interface RelayPaths {
  /** Whether calls to a server go through a peer. */
  isCut(server: EngineId): boolean;
  /** Whether a connection over the own link failed a moment ago, so that another need not be waited for. */
  hasOwnFailed(server: EngineId): boolean;
  /** A connection to a server over the own link failed. */
  noteOwnFailure(server: EngineId): void;
  /** Whether a peer may reach a server that this instance couldn't connect to. */
  mayReach(server: EngineId): boolean;
  /** A peer reached a server that this instance doesn't reach. */
  noteReachedByPeer(server: EngineId): void;
  /** Neither this instance nor the peers that it asked reach a server. */
  noteUnreached(server: EngineId): void;
  /** A server may be unreachable: asks its link, and peers if that is cut. */
  suspect(server: EngineId): void;
  /** Watches a call; `onCut` is called if it is silent and its link is found cut. */
  watch(server: EngineId, onCut: () => void): WatchedCall;
  /** Looks for silent calls, and for links that carry again; called every 100 ms while requests run. */
  sweep(): void;
  /** Number of servers of which anything is kept. */
  countServers(): number;
  stop(): void;
}

interface CutPath {
  /** Last time at which a call wanted the server. */
  readonly usedAt: Millis;
  /** Time of the next check of the own link. */
  readonly checkAt: Millis;
  /** Whether connections hang, so that open ones must be silent for good. */
  readonly isHung: boolean;
}

interface OpenCall {
  readonly server: EngineId;
  readonly onCut: () => void;
  lastSignAt: Millis;
}

const TICK: Millis = 100;
const MAX_SWEEP_GAP: Millis = 200;
/** Silence of a call, and of all others at its server, after which its link is checked. */
const SILENCE: Millis = 250;
/** Time after which a connection that fails counts as one that hung, rather than one that was refused. */
const HANG_TIME: Millis = 150;
/** Pause after a check that found a link to carry. */
const CHECK_PAUSE: Millis = 1000;
/** Interval at which the own link to a server that is reached through peers is checked. */
const RESTORE_PERIOD: Millis = 1000;
/** Time without use after which a cut path is forgotten; the next call finds out again. */
const FORGET_AFTER: Millis = 10_000;
/** Time for which a server that nobody reached is not tried through peers. */
const UNREACHED_PAUSE: Millis = 1000;
/** Time after a failed connection for which calls don't wait for another one. */
const OWN_FAILURE_PAUSE: Millis = 500;
/** Checks that run at once, so that a cut from many servers causes no burst of connections. */
const MAX_CHECKS = 64;

export function createRelayPaths(options: RelayPathsOptions): RelayPaths {
  const { timers } = options;
  const cut = new Map<EngineId, CutPath>();
  const unreachedUntil = new Map<EngineId, Millis>();
  const checkedUntil = new Map<EngineId, Millis>();
  const ownFailedUntil = new Map<EngineId, Millis>();
  const lastSigns = new Map<EngineId, Millis>();
  const checking = new Set<EngineId>();
  const calls = new Set<OpenCall>();
  let sweptAt = -Infinity;
  /** Runs only for what the router's sweep doesn't cover, since wake-ups cost more than the work in them. */
  const ticker = createActiveInterval(timers, TICK, () => {
    sweep();
    return cut.size > 0 || ownFailedUntil.size > 0 || options.isServingPeers();
  });

  function listSilent(now: Millis): readonly OpenCall[] {
    return [...calls].filter(({ server, lastSignAt }) => {
      const lastSign = Math.max(lastSignAt, lastSigns.get(server) ?? -Infinity);
      return now - lastSign >= SILENCE;
    });
  }

  /**
   * Marks a link as cut. Calls are ended only if connections hang: a server that refuses them may be busy, and goes on with
   * the calls that it has.
   */
  function markCut(server: EngineId, isHung: boolean): void {
    const now = timers.now();
    const known = cut.get(server);
    unreachedUntil.delete(server);
    cut.set(server, {
      usedAt: now,
      checkAt: known?.checkAt ?? now + RESTORE_PERIOD,
      isHung: isHung || (known?.isHung ?? false),
    });
    if (!known) {
      options.onCut(server);
      ticker.start();
    }
    if (isHung) {
      listSilent(now)
        .filter((call) => call.server === server)
        .forEach(endAsCut);
    }
  }

  function endAsCut(call: OpenCall): void {
    if (calls.delete(call)) {
      call.onCut();
    }
  }

  function markUnreached(server: EngineId): void {
    unreachedUntil.set(server, timers.now() + UNREACHED_PAUSE);
  }

  async function checkOnce(server: EngineId, check: () => Promise<void>): Promise<void> {
    if (checking.has(server) || checking.size >= MAX_CHECKS) {
      return;
    }
    checking.add(server);
    await check().finally(() => checking.delete(server));
  }

  async function findOut(server: EngineId): Promise<void> {
    const startedAt = timers.now();
    const isReached = await options.checkOwnLink(server);
    const isHung = timers.now() - startedAt >= HANG_TIME;
    checkedUntil.set(server, timers.now() + CHECK_PAUSE);
    if (isReached) {
      return;
    }
    if (await options.checkThroughPeers(server)) {
      markCut(server, isHung);
    } else {
      markUnreached(server);
    }
  }

  async function checkRestored(server: EngineId): Promise<void> {
    const isRestored = await options.checkOwnLink(server);
    if (isRestored && cut.delete(server)) {
      options.onRestored(server);
    }
  }

  function suspect(server: EngineId): void {
    if (!cut.get(server)?.isHung && (checkedUntil.get(server) ?? -Infinity) <= timers.now()) {
      void checkOnce(server, () => findOut(server));
    }
  }

  function forgetOld(now: Millis): void {
    [...cut]
      .filter(([server, { usedAt }]) => now - usedAt >= FORGET_AFTER || !options.isKnown(server))
      .forEach(([server]) => cut.delete(server));
    [unreachedUntil, checkedUntil, ownFailedUntil].forEach((table) =>
      [...table].filter(([, until]) => until <= now).forEach(([server]) => table.delete(server)),
    );
    [...lastSigns.keys()]
      .filter((server) => !options.isKnown(server))
      .forEach((server) => lastSigns.delete(server));
  }

  function sweep(): void {
    const now = timers.now();
    const isLate = now - sweptAt > MAX_SWEEP_GAP;
    sweptAt = now;
    forgetOld(now);
    // After a pause of this process, answers that have arrived are unread, and all calls look silent.
    if (!isLate) {
      new Set(listSilent(now).map(({ server }) => server)).forEach(suspect);
    }
    const due = [...cut].filter(([, { checkAt }]) => checkAt <= now);
    for (const [server, path] of due) {
      cut.set(server, { ...path, checkAt: now + RESTORE_PERIOD });
      void checkOnce(server, () => checkRestored(server));
    }
  }

  return {
    isCut(server) {
      const path = cut.get(server);
      if (path) {
        cut.set(server, { ...path, usedAt: timers.now() });
      }
      return path !== undefined;
    },
    hasOwnFailed: (server) =>
      ownFailedUntil.has(server) && (ownFailedUntil.get(server) ?? -Infinity) > timers.now(),
    noteOwnFailure(server) {
      ownFailedUntil.set(server, timers.now() + OWN_FAILURE_PAUSE);
      ticker.start();
    },
    mayReach: (server) =>
      !unreachedUntil.has(server) || (unreachedUntil.get(server) ?? -Infinity) <= timers.now(),
    noteReachedByPeer: (server) => markCut(server, false),
    noteUnreached: markUnreached,
    suspect,
    watch(server, onCut) {
      const call: OpenCall = { server, onCut, lastSignAt: timers.now() };
      calls.add(call);
      if (options.isServingPeers()) {
        ticker.start();
      }
      return {
        noteSign() {
          call.lastSignAt = timers.now();
          lastSigns.set(server, call.lastSignAt);
          ownFailedUntil.delete(server);
        },
        end: () => calls.delete(call),
      };
    },
    sweep,
    countServers: () =>
      new Set(
        [cut, unreachedUntil, checkedUntil, ownFailedUntil, lastSigns].flatMap((table) => [
          ...table.keys(),
        ]),
      ).size,
    stop: ticker.stop,
  };
}
