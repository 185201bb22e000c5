/**
 * Knows which backend servers have asked this instance for rest: to send nothing for a time. After it, one request goes
 * first, and the others follow once the server has taken it; each instance waits a little longer by chance, so that they
 * don't return all at once. A rest is of one incarnation of a server, as its id is.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, ServiceId } from '@skylarksail/core/CoreTypes';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { Catalogue } from './RelayCatalogue.js';

export interface RelayRestsOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly random: Pick<Random, 'nextFloat'>;
  readonly logger: Pick<DaemonLogger, 'info'>;
  /** Called for each request for rest. */
  readonly onAsked: () => void;
}

export interface RelayRests {
  /** A server asked for rest for a time from now on. */
  noteAsked(server: EngineId, time: Millis): void;
  /** A request is sent to a server that does not rest. */
  noteSent(server: EngineId): void;
  /** A server has taken a request. */
  noteTaken(server: EngineId): void;
  /** Time until a server may get a request; 0 if it may now. */
  getTimeLeft(server: EngineId): Millis;
  /** Whether the time for which a server asked is not over; without the time of the first request after it. */
  isInRest(server: EngineId): boolean;
  /** Servers that may get no request now. */
  listResting(): readonly EngineId[];
  /** Number of servers of which anything is kept. */
  countServers(): number;
}

interface Rest {
  readonly until: Millis;
  /** Time until which the first request after the rest keeps the others back; null before it is sent. */
  readonly triedUntil: Millis | null;
}

/** A server that asks for longer is asked again after this time: it may have meant something else. */
const MAX_REST: Millis = 60_000;
/** Longest addition to a rest, as a share of it and as a time. */
const SPREAD_SHARE = 0.25;
const MAX_SPREAD: Millis = 2000;
/** Time for which the first request after a rest keeps the others back if the server says nothing. */
const TRY_TIME: Millis = 250;
/** Time after a rest for which the first request is a try. */
const PROBATION: Millis = 5000;

export function createRelayRests(options: RelayRestsOptions): RelayRests {
  const { timers, random, logger, onAsked } = options;
  const rests = new Map<EngineId, Rest>();

  function forgetOld(): void {
    const now = timers.now();
    [...rests]
      .filter(([, { until }]) => now >= until + PROBATION)
      .forEach(([server]) => rests.delete(server));
  }

  function getTimeLeft(server: EngineId): Millis {
    const rest = rests.get(server);
    return rest ? Math.max(0, Math.max(rest.until, rest.triedUntil ?? 0) - timers.now()) : 0;
  }

  return {
    noteAsked(server, time) {
      const bounded = Math.min(time, MAX_REST);
      if (!(bounded > 0)) {
        return;
      }
      forgetOld();
      onAsked();
      const now = timers.now();
      const before = rests.get(server);
      if (before === undefined || before.until <= now) {
        logger.info({ server, askedMs: Math.round(time) }, 'server asked for rest');
      }
      const spread = random.nextFloat() * Math.min(MAX_SPREAD, SPREAD_SHARE * bounded);
      const until = Math.max(before?.until ?? 0, now + bounded + spread);
      rests.set(server, { until, triedUntil: null });
    },
    noteSent(server) {
      const rest = rests.get(server);
      const now = timers.now();
      if (rest && now >= rest.until && now < rest.until + PROBATION) {
        rests.set(server, { ...rest, triedUntil: now + TRY_TIME });
      }
    },
    noteTaken(server) {
      // One that was sent before the rest says nothing about its end.
      if (timers.now() >= (rests.get(server)?.until ?? Infinity)) {
        rests.delete(server);
      }
    },
    getTimeLeft,
    isInRest: (server) => (rests.get(server)?.until ?? 0) > timers.now(),
    listResting: () => {
      forgetOld();
      return [...rests.keys()].filter((server) => getTimeLeft(server) > 0);
    },
    countServers: () => rests.size,
  };
}

/** Time until the first server of a service that rests may be used again; null if none rests. */
export function getRestLeft(
  catalogue: Pick<Catalogue, 'list'>,
  rests: Pick<RelayRests, 'getTimeLeft'>,
  service: ServiceId,
): Millis | null {
  const times = catalogue
    .list()
    .filter((entry) => entry.service === service && entry.state === LifeState.Live)
    .map(({ id }) => rests.getTimeLeft(id))
    .filter((time) => time > 0);
  return times.length === 0 ? null : Math.min(...times);
}
