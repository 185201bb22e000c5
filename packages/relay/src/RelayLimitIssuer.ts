/**
 * Issues the permits to send requests to servers that have named a request limit. Each such server has one issuer, an
 * instance of its failure domain that all instances compute alike. Shares of the limit for each instance would add up to
 * more than the limit in a large fleet, as each needs a request at least, and would leave the share of idle instances
 * unused.
 *
 * A permit lapses after a second. So the requests in a window are at most the permits issued in it or in the second
 * before: the limit for that time, and the burst.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

export interface LimitIssuerOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  /** The same array is expected until something changes. */
  readonly listInstances: () => readonly InstanceEntry[];
  /** Failure domain of a server; null if it is not known. */
  readonly getDomain: (server: EngineId) => DomainId | null;
}

export interface LimitIssuer {
  /** The instance that issues the permits for a server; null if there is none. */
  getIssuer(server: EngineId): InstanceEntry | null;
  /** Issues up to `wanted` permits; none if this instance is not the server's only issuer. */
  issue(server: EngineId, limit: number, wanted: number): number;
  /** Notes the present instances; must be called more often than an issuer waits before it takes over. */
  observe(): void;
  /** Drops what is kept of a server. */
  forget(server: EngineId): void;
}

/** Lifetime of a permit, from before it was requested. */
export const PERMIT_LIFETIME: Millis = 1000;
/** Time for which a new issuer waits, since its predecessor may not know of the change yet. */
const TAKEOVER_DELAY: Millis = 2000;
/** Burst beyond one permit, as the time at the limit in which it fills. */
const BURST_TIME: Millis = 250;
/** Requests a second that are sent at least, to learn from the answers whether the limit still holds. */
const MIN_RATE = 0.25;
const HASH_PREFIX = 'request-limit';

interface Bucket {
  readonly permits: number;
  readonly at: Millis;
}

/** The instances that were known until a time. */
interface FormerInstances {
  readonly instances: readonly InstanceEntry[];
  readonly until: Millis;
}

export function createLimitIssuer(options: LimitIssuerOptions): LimitIssuer {
  const { timers, self } = options;
  const buckets = new Map<EngineId, Bucket>();
  let present = options.listInstances();
  let former: readonly FormerInstances[] = [];

  function observe(): void {
    const now = timers.now();
    const latest = options.listInstances();
    if (latest !== present) {
      former = [...former, { instances: present, until: now }];
      present = latest;
    }
    former = former.filter(({ until }) => now - until < TAKEOVER_DELAY);
  }

  function selectIssuer(
    server: EngineId,
    instances: readonly InstanceEntry[],
  ): InstanceEntry | null {
    const reachable = instances.filter(({ id, address }) => address !== null || id === self.id);
    const domain = options.getDomain(server);
    const own = reachable.filter((instance) => instance.domain === domain);
    const candidates = own.length > 0 ? own : reachable;
    const ids = candidates.map(({ id }) => id);
    const [issuer] = selectOwners(`${HASH_PREFIX}\u0000${server}`, ids, 1);
    return candidates.find(({ id }) => id === issuer) ?? null;
  }

  /** Whether this instance has been the issuer for long enough that no other still takes itself for it. */
  function isOnlyIssuer(server: EngineId): boolean {
    return [present, ...former.map(({ instances }) => instances)].every(
      (instances) => selectIssuer(server, instances)?.id === self.id,
    );
  }

  return {
    getIssuer(server) {
      observe();
      return selectIssuer(server, present);
    },
    issue(server, limit, wanted) {
      observe();
      if (!isOnlyIssuer(server)) {
        return 0;
      }
      const now = timers.now();
      const rate = Math.max(MIN_RATE, limit) / MILLIS_PER_SECOND;
      const bucket = buckets.get(server) ?? { permits: 1, at: now };
      const filled = Math.min(1 + rate * BURST_TIME, bucket.permits + rate * (now - bucket.at));
      const issued = Math.min(wanted, Math.floor(filled));
      buckets.set(server, { permits: filled - issued, at: now });
      return issued;
    },
    observe,
    forget: (server) => buckets.delete(server),
  };
}
