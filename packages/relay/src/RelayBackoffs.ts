/**
 * Knows from which backend servers this instance is to back off, as they asked for with `Retry-After`. When that is over
 * one request goes first, and the others follow once the server has taken it. Each instance waits a little longer by chance,
 * so that they don't return all at once. A backoff is of one incarnation of a server, as its id is.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, ServiceId } from '@skylarksail/core/CoreTypes';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { Catalogue } from './RelayCatalogue.js';

export interface RelayBackoffsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly random: Pick<Random, 'nextFloat'>;
  readonly logger: Pick<DaemonLogger, 'info'>;
  /** Called for each answer that asks for a backoff. */
  readonly onRequested: () => void;
}

export interface RelayBackoffs {
  /** A server asked for a backoff from now on. */
  noteRequested(server: EngineId, time: Millis): void;
  /** A request is sent to a server. */
  noteSent(server: EngineId): void;
  /** A server has taken a request. */
  noteTaken(server: EngineId): void;
  /** Time until a server may get a request; 0 if it may now. */
  getTimeLeft(server: EngineId): Millis;
  /** Whether the time for which a server asked is not over, without that of the first request after it. */
  isBackedOff(server: EngineId): boolean;
  /** Servers that may get no request now. */
  listBackedOff(): readonly EngineId[];
  /** Number of servers of which anything is kept. */
  countServers(): number;
}

interface Backoff {
  readonly until: Millis;
  /** Time until which the first request after it keeps the others back; null before that is sent. */
  readonly triedUntil: Millis | null;
}

/** A server that asks for longer is asked again after this time: it may have meant something else. */
const MAX_BACKOFF: Millis = 60_000;
/** Longest addition to a backoff, as a share of it and as a time. */
const SPREAD_SHARE = 0.25;
const MAX_SPREAD: Millis = 2000;
/** Time for which the first request after a backoff keeps the others back if the server says nothing. */
const TRY_TIME: Millis = 250;
/** Time after a backoff within which the first request is sent alone. */
const PROBATION: Millis = 5000;

export function createRelayBackoffs(options: RelayBackoffsOptions): RelayBackoffs {
  const { timers, random, logger, onRequested } = options;
  const backoffs = new Map<EngineId, Backoff>();

  function forgetOld(): void {
    const now = timers.now();
    [...backoffs]
      .filter(([, { until }]) => now >= until + PROBATION)
      .forEach(([server]) => backoffs.delete(server));
  }

  function getTimeLeft(server: EngineId): Millis {
    const backoff = backoffs.get(server);
    return backoff
      ? Math.max(0, Math.max(backoff.until, backoff.triedUntil ?? 0) - timers.now())
      : 0;
  }

  return {
    noteRequested(server, time) {
      const bounded = Math.min(time, MAX_BACKOFF);
      if (!(bounded > 0)) {
        return;
      }
      forgetOld();
      onRequested();
      const now = timers.now();
      const before = backoffs.get(server);
      if (before === undefined || before.until <= now) {
        logger.info({ server, requestedMs: Math.round(time) }, 'server asked for a backoff');
      }
      const spread = random.nextFloat() * Math.min(MAX_SPREAD, SPREAD_SHARE * bounded);
      const until = Math.max(before?.until ?? 0, now + bounded + spread);
      backoffs.set(server, { until, triedUntil: null });
    },
    noteSent(server) {
      const backoff = backoffs.get(server);
      const now = timers.now();
      if (backoff && now >= backoff.until && now < backoff.until + PROBATION) {
        backoffs.set(server, { ...backoff, triedUntil: now + TRY_TIME });
      }
    },
    noteTaken(server) {
      // A request that was sent before the backoff says nothing about its end.
      if (timers.now() >= (backoffs.get(server)?.until ?? Infinity)) {
        backoffs.delete(server);
      }
    },
    getTimeLeft,
    isBackedOff: (server) => (backoffs.get(server)?.until ?? 0) > timers.now(),
    listBackedOff: () => {
      forgetOld();
      return [...backoffs.keys()].filter((server) => getTimeLeft(server) > 0);
    },
    countServers: () => backoffs.size,
  };
}

/** Time until a server of a service may be used again from which this instance backs off; null if there is none. */
export function getBackoffLeft(
  catalogue: Pick<Catalogue, 'list'>,
  backoffs: Pick<RelayBackoffs, 'getTimeLeft'>,
  service: ServiceId,
): Millis | null {
  const times = catalogue
    .list()
    .filter((entry) => entry.service === service && entry.state === LifeState.Live)
    .map(({ id }) => backoffs.getTimeLeft(id))
    .filter((time) => time > 0);
  return times.length === 0 ? null : Math.min(...times);
}
