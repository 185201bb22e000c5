/**
 * Keeps the requests to a backend server within the limit that it names for all instances together. An instance that
 * knows of a limit sends a request there only with a permit, which it requests from the server's issuer. Without one it
 * uses other servers, or waits if there are none. What answers told of a limit goes to the issuer with each request for
 * permits, and back to the others with its answers.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { LimitIssuer } from './RelayLimitIssuer.js';
import { PERMIT_LIFETIME } from './RelayLimitIssuer.js';
import type { InstanceEntry } from './RelayTypes.js';

/** What is known of a server's limit: requests a second, null if it names none; and how long ago it was told. */
export interface LimitNews {
  readonly limit: number | null;
  readonly age: Millis;
}

/** Request for permits, with the asking instance's knowledge. `wanted` is 0 if it only tells. */
export interface PermitQuery extends LimitNews {
  readonly server: EngineId;
  readonly wanted: number;
}

/** Permits, with the issuer's knowledge. */
export interface PermitAnswer extends LimitNews {
  readonly count: number;
}

/** Requests permits from a peer; null if it does not answer. */
export type AskForPermits = (
  issuer: InstanceEntry,
  query: PermitQuery,
  timeout: Millis,
) => Promise<PermitAnswer | null>;

export interface RelayLimitsOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  readonly issuer: LimitIssuer;
  readonly askForPermits: AskForPermits;
  /** Number of instances that may ask the same issuer. */
  readonly countInstances: () => number;
  /** Whether a server is registered. */
  readonly isKnown: (server: EngineId) => boolean;
  readonly logger: Pick<DaemonLogger, 'info'>;
  /** Called for each request that was given a permit. */
  readonly onLimitedRequest: () => void;
}

/** A permit for one request. */
export interface Permit {
  /** The request is sent. */
  use(): void;
  /** Returns the permit if it was not used. */
  giveBack(): void;
}

export interface RelayLimits {
  /** A server named its limit in an answer, in requests a second, or null if the answer named none. */
  noteLimit(server: EngineId, limit: number | null): void;
  /** Whether a server names a limit, as far as this instance knows. */
  isLimited(server: EngineId): boolean;
  /** Servers with a limit for which no permit is held; requests permits for them. */
  listBlocked(): readonly EngineId[];
  /** Reserves a permit for a request; null if the server has no limit. */
  reserve(server: EngineId): Permit | null;
  /** Answers a peer's request for permits. */
  answer(query: PermitQuery): PermitAnswer;
  /** Number of servers of which a limit, or its end, is kept. */
  countServers(): number;
}

const ASK_TIMEOUT: Millis = 150;
/** Pause after a request for permits that brought none, for each instance that may ask the same issuer. */
const PAUSE_PER_INSTANCE: Millis = 12;
const MIN_PAUSE: Millis = 100;
const MAX_WANTED = 32;
/** Older than anything that is known. */
const NO_NEWS = { limit: null, age: 3_600_000 };

interface KnownLimit {
  readonly limit: number | null;
  readonly toldAt: Millis;
}

/** State of one server's permits. */
interface Holding {
  /** Times at which the unused permits lapse. */
  expiries: Millis[];
  /** Times of the requests of the last second. */
  usedAt: Millis[];
  isAsking: boolean;
  pausedUntil: Millis;
}

export function createRelayLimits(options: RelayLimitsOptions): RelayLimits {
  const { timers, self, issuer } = options;
  const known = new Map<EngineId, KnownLimit>();
  const holdings = new Map<EngineId, Holding>();
  /**
   * Servers whose issuer does not know yet that their limit has ended. The other instances get few answers of such a
   * server, and learn of the end from the issuer.
   */
  const endsToTell = new Set<EngineId>();

  function getLimit(server: EngineId): number | null {
    return known.get(server)?.limit ?? null;
  }

  function getHolding(server: EngineId): Holding {
    const holding = holdings.get(server) ?? {
      expiries: [],
      usedAt: [],
      isAsking: false,
      pausedUntil: -Infinity,
    };
    holdings.set(server, holding);
    const now = timers.now();
    holding.expiries = holding.expiries.filter((at) => at > now);
    holding.usedAt = holding.usedAt.filter((at) => at > now - PERMIT_LIFETIME);
    return holding;
  }

  function dropUnregistered(): void {
    [...known.keys()]
      .filter((server) => !options.isKnown(server))
      .forEach((server) => {
        known.delete(server);
        holdings.delete(server);
        endsToTell.delete(server);
        issuer.forget(server);
      });
  }

  function readNews(server: EngineId): LimitNews {
    const news = known.get(server);
    return news ? { limit: news.limit, age: timers.now() - news.toldAt } : NO_NEWS;
  }

  /** Applies what an answer or a peer told, unless something later is known. */
  function applyNews(server: EngineId, { limit, age }: LimitNews): void {
    const toldAt = timers.now() - age;
    const before = known.get(server);
    const isUseless = before === undefined && limit === null;
    if (isUseless || !options.isKnown(server) || (before && before.toldAt >= toldAt)) {
      return;
    }
    if (before === undefined) {
      dropUnregistered();
    }
    known.set(server, { limit, toldAt });
    if (limit !== (before?.limit ?? null)) {
      const change = { server, limit, before: before?.limit ?? null };
      options.logger.info(change, 'request limit of a server');
    }
  }

  function answer({ server, wanted, ...news }: PermitQuery): PermitAnswer {
    applyNews(server, news);
    const limit = getLimit(server);
    const count = limit === null || wanted === 0 ? 0 : issuer.issue(server, limit, wanted);
    return { count, ...readNews(server) };
  }

  async function ask(server: EngineId, wanted: number): Promise<void> {
    const holding = getHolding(server);
    const peer = issuer.getIssuer(server);
    if (holding.isAsking || !peer) {
      return;
    }
    holding.isAsking = true;
    // The lifetime starts before the request is sent, so a permit lapses here before the issuer stops counting it.
    const expiresAt = timers.now() + PERMIT_LIFETIME;
    const query = { server, wanted, ...readNews(server) };
    const got =
      peer.id === self.id ? answer(query) : await options.askForPermits(peer, query, ASK_TIMEOUT);
    holding.isAsking = false;
    const count = got?.count ?? 0;
    holding.expiries.push(...Array.from({ length: count }, () => expiresAt));
    if (got && query.limit === null) {
      endsToTell.delete(server);
    }
    if (got) {
      applyNews(server, got);
    }
    if (count === 0) {
      const pause = Math.max(MIN_PAUSE, PAUSE_PER_INSTANCE * options.countInstances());
      holding.pausedUntil = timers.now() + pause;
    }
  }

  /** Requests permits, unless a request is under way or brought none a moment ago. */
  function want(server: EngineId): void {
    const holding = getHolding(server);
    if (holding.pausedUntil <= timers.now()) {
      void ask(server, Math.min(MAX_WANTED, 1 + holding.usedAt.length));
    }
  }

  function tellEnd(server: EngineId): void {
    if (getLimit(server) !== null) {
      endsToTell.delete(server);
    } else if (getHolding(server).pausedUntil <= timers.now()) {
      void ask(server, 0);
    }
  }

  function isBlocked(server: EngineId): boolean {
    return getLimit(server) !== null && getHolding(server).expiries.length === 0;
  }

  function createPermit(server: EngineId, expiresAt: Millis): Permit {
    let isReserved = true;
    return {
      use() {
        isReserved = false;
        getHolding(server).usedAt.push(timers.now());
        options.onLimitedRequest();
      },
      giveBack() {
        if (isReserved) {
          isReserved = false;
          getHolding(server).expiries.push(expiresAt);
        }
      },
    };
  }

  return {
    isLimited: (server) => getLimit(server) !== null,
    noteLimit(server, limit) {
      const hadLimit = getLimit(server) !== null;
      applyNews(server, { limit, age: 0 });
      if (hadLimit && limit === null) {
        endsToTell.add(server);
      }
    },
    listBlocked() {
      issuer.observe();
      endsToTell.forEach(tellEnd);
      const limited = [...known.keys()].filter((server) => getLimit(server) !== null);
      const blocked = limited.filter(isBlocked);
      blocked.forEach(want);
      // An issuer that is this instance answers at once.
      return blocked.filter(isBlocked);
    },
    reserve(server) {
      if (getLimit(server) === null) {
        return null;
      }
      const expiresAt = getHolding(server).expiries.shift() ?? timers.now();
      if (isBlocked(server)) {
        want(server);
      }
      return createPermit(server, expiresAt);
    },
    answer,
    countServers: () => known.size,
  };
}
