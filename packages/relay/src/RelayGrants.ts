/**
 * Grants retries to the instances that need them. Split over all instances of a large fleet, the fleet's slack for
 * retries leaves only a few to each, whether an instance is losing engines or idle. So part of the slack is kept in a
 * pool for each failure domain, from which the granter of that domain grants retries to any instance on request.
 *
 * A grant expires after a fixed lifetime. So the retries in a time window are at most those that instances hold
 * permanently plus those granted in that window or within one lifetime before it. The pool bounds the latter.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

/** Requests retries at a service from a peer; resolves to the number granted. */
export type AskGrant = (
  peer: InstanceEntry,
  service: string,
  wanted: number,
  timeout: Millis,
) => Promise<number>;

export interface RelayGrantsOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  readonly window: Millis;
  /** Retries for each service in the pool of one domain. */
  readonly poolSize: number;
  readonly listInstances: () => readonly InstanceEntry[];
  /** Whether the list of instances is current. */
  readonly isCurrent: () => boolean;
  readonly askGrant: AskGrant;
}

export interface RelayGrants {
  /** Requests retries at a service; `done` receives whether any were granted. */
  request(service: string, done: (isGranted: boolean) => void): void;
  /** Number of retries granted to this instance that have not expired. */
  count(service: string): number;
  /** Grants retries from the pool of this instance's domain; returns 0 if this instance is not the granter. */
  grant(service: string, wanted: number): number;
  /** Updates whether this instance is the granter; must be called a few times in each window. */
  observe(): void;
  /** Number of services with grants or pauses that are kept; none may stay once they have expired. */
  countServices(): number;
}

/**
 * A broken answer resumes on another chain within a second, or its caller leaves. A retry that is not used by then can
 * be granted again.
 */
export const GRANT_LIFETIME: Millis = 2000;
/**
 * Time that a new granter waits in addition to the window and the lifetime of a grant. It has no record of the grants
 * of its predecessor, which may not have detected the change yet and may still grant retries.
 */
const TAKEOVER_MARGIN: Millis = 3000;
/** Number of retries to request at once: the loss of an engine breaks several answers of an instance. */
const GRANT_BATCH = 3;
const REQUEST_TIMEOUT: Millis = 150;
/** Maximum number of granters that a request tries, starting with the one of this instance's domain. */
const MAX_GRANTERS = 3;
/** Pause after all granters denied a request: a broken answer checks the retry budget again every half second. */
const DENIED_BACKOFF: Millis = 400;
const GRANTER_KEY = 'retry-grants';

interface Grant {
  readonly count: number;
  readonly at: Millis;
}

export function createRelayGrants(options: RelayGrantsOptions): RelayGrants {
  const { timers, self, window, poolSize } = options;
  const issuedGrants = new Map<string, readonly Grant[]>();
  const held = new Map<string, readonly Grant[]>();
  const waiting = new Map<string, ((isGranted: boolean) => void)[]>();
  const pausedUntil = new Map<string, Millis>();
  let granterSince: Millis | null = null;

  /** Lists the granter of each domain, starting with this instance's domain. */
  function listGranters(): readonly InstanceEntry[] {
    const instances = options.listInstances();
    const domains = [...new Set([self.domain, ...instances.map(({ domain }) => domain)])];
    return domains.flatMap((domain) => findGranter(instances, domain) ?? []);
  }

  function observe(): void {
    const granter = findGranter(options.listInstances(), self.domain);
    const isGranter = granter?.id === self.id && options.isCurrent();
    granterSince = isGranter ? (granterSince ?? timers.now()) : null;
    dropExpired();
  }

  /** Services come and go, and peers name those that they know. */
  function dropExpired(): void {
    const now = timers.now();
    dropWhere(issuedGrants, (grants) => selectSince(grants, getWindowStart()).length === 0);
    dropWhere(held, (grants) => selectSince(grants, now - GRANT_LIFETIME).length === 0);
    dropWhere(pausedUntil, (until) => until <= now);
  }

  /** Retries in the window before now may use grants that were issued one lifetime before it. */
  function getWindowStart(): Millis {
    return timers.now() - window - GRANT_LIFETIME;
  }

  function canGrant(): boolean {
    observe();
    const since = granterSince ?? Infinity;
    return timers.now() - since >= window + GRANT_LIFETIME + TAKEOVER_MARGIN;
  }

  function grant(service: string, wanted: number): number {
    if (!canGrant()) {
      return 0;
    }
    const recent = selectSince(issuedGrants.get(service), getWindowStart());
    const granted = Math.max(0, Math.min(wanted, Math.floor(poolSize - sumGrants(recent))));
    issuedGrants.set(
      service,
      granted > 0 ? [...recent, { count: granted, at: timers.now() }] : recent,
    );
    return granted;
  }

  function requestFrom(granter: InstanceEntry, service: string): Promise<number> {
    return granter.id === self.id
      ? Promise.resolve(grant(service, GRANT_BATCH))
      : options.askGrant(granter, service, GRANT_BATCH, REQUEST_TIMEOUT);
  }

  async function requestFromGranters(service: string): Promise<boolean> {
    // The lifetime starts before the request is sent, so the grant expires here before it expires at the granter.
    const at = timers.now();
    for (const granter of listGranters().slice(0, MAX_GRANTERS)) {
      const count = await requestFrom(granter, service);
      if (count > 0) {
        held.set(service, [...selectUsable(service), { count, at }]);
        return true;
      }
    }
    pausedUntil.set(service, timers.now() + DENIED_BACKOFF);
    return false;
  }

  function selectUsable(service: string): readonly Grant[] {
    return selectSince(held.get(service), timers.now() - GRANT_LIFETIME);
  }

  return {
    request(service, done) {
      if ((pausedUntil.get(service) ?? -Infinity) > timers.now()) {
        done(false);
        return;
      }
      const others = waiting.get(service);
      if (others) {
        others.push(done);
        return;
      }
      const callbacks = [done];
      waiting.set(service, callbacks);
      void requestFromGranters(service).then((isGranted) => {
        waiting.delete(service);
        callbacks.forEach((callback) => callback(isGranted));
      });
    },
    count: (service) => sumGrants(selectUsable(service)),
    grant,
    observe,
    countServices: () =>
      new Set([issuedGrants, held, pausedUntil].flatMap((table) => [...table.keys()])).size,
  };
}

function findGranter(
  instances: readonly InstanceEntry[],
  domain: DomainId,
): InstanceEntry | undefined {
  const own = instances.filter((instance) => instance.domain === domain && instance.address);
  const [id] = selectOwners(
    GRANTER_KEY,
    own.map((instance) => instance.id),
    1,
  );
  return own.find((instance) => instance.id === id);
}

function selectSince(grants: readonly Grant[] | undefined, since: Millis): readonly Grant[] {
  return (grants ?? []).filter(({ at }) => at > since);
}

function sumGrants(grants: readonly Grant[]): number {
  return grants.reduce((sum, { count }) => sum + count, 0);
}

function dropWhere<T>(table: Map<string, T>, isDropped: (value: T) => boolean): void {
  [...table].filter(([, value]) => isDropped(value)).forEach(([key]) => table.delete(key));
}
