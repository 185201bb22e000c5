/**
 * Repeats where they are needed. Parted over all instances of a large fleet, the slack for repeats is a few for each,
 * at one that loses engines as at one with nothing to do. So a part of the slack lies in a pool of each failure
 * domain, out of which its granter lends to whoever asks.
 *
 * A grant may be used for `GRANT_TIME`. What a window of time sees of repeats is then at most what instances hold for
 * good and what was granted in that window and `GRANT_TIME` before it, which is what a pool bounds.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

/** Asks a peer to grant repeats at a service; gives how many it granted. */
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
  /** Repeats at each service in the pool of one domain. */
  readonly poolSize: number;
  readonly listInstances: () => readonly InstanceEntry[];
  /** Whether this instance hears who is there. */
  readonly isCurrent: () => boolean;
  readonly askGrant: AskGrant;
}

export interface RelayGrants {
  /** Asks for repeats at a service; `done` hears whether any were granted. */
  request(service: string, done: (isGranted: boolean) => void): void;
  /** Repeats that were granted to this instance and may be used now. */
  count(service: string): number;
  /** Grants out of the own domain's pool; 0 if this instance is not its granter. */
  grant(service: string, wanted: number): number;
  /** Notes who is there now; to be called a few times in a window. */
  observe(): void;
}

/** A broken answer is moved within a second, or its caller leaves; what was not used by then is lent anew. */
export const GRANT_LIFETIME: Millis = 2000;
/**
 * An instance that becomes the granter waits so long beyond a window, as it does not know what the one before it has
 * granted, nor when that one hears of its successor.
 */
const SUCCESSION_TIME: Millis = 3000;
/** Asked for together, since an engine that is lost breaks several answers of an instance. */
const WANTED = 3;
const ASK_TIMEOUT: Millis = 150;
/** Granters that are asked, the own domain's first. */
const MOST_ASKED = 3;
/** After nobody granted anything, nobody is asked for so long: a broken answer waits half a second at a time. */
const DENIED_PAUSE: Millis = 400;
const KEY = 'retry-grants';

interface Grant {
  readonly count: number;
  readonly at: Millis;
}

export function createRelayGrants(options: RelayGrantsOptions): RelayGrants {
  const { timers, self, window, poolSize } = options;
  const lent = new Map<string, readonly Grant[]>();
  const held = new Map<string, readonly Grant[]>();
  const waiting = new Map<string, ((isGranted: boolean) => void)[]>();
  const pausedUntil = new Map<string, Millis>();
  let granterSince: Millis | null = null;

  /** Each domain's granter, the own domain's first. */
  function listGranters(): readonly InstanceEntry[] {
    const instances = options.listInstances();
    const domains = [...new Set([self.domain, ...instances.map(({ domain }) => domain)])];
    return domains.flatMap((domain) => findGranter(instances, domain) ?? []);
  }

  function observe(): void {
    const granter = findGranter(options.listInstances(), self.domain);
    const isGranter = granter?.id === self.id && options.isCurrent();
    granterSince = isGranter ? (granterSince ?? timers.now()) : null;
  }

  function mayGrant(): boolean {
    observe();
    const since = granterSince ?? Infinity;
    return timers.now() - since >= window + GRANT_LIFETIME + SUCCESSION_TIME;
  }

  function grant(service: string, wanted: number): number {
    if (!mayGrant()) {
      return 0;
    }
    const recent = selectSince(lent.get(service), timers.now() - window - GRANT_LIFETIME);
    const granted = Math.max(0, Math.min(wanted, Math.floor(poolSize - sumGrants(recent))));
    lent.set(service, granted > 0 ? [...recent, { count: granted, at: timers.now() }] : recent);
    return granted;
  }

  function ask(granter: InstanceEntry, service: string): Promise<number> {
    return granter.id === self.id
      ? Promise.resolve(grant(service, WANTED))
      : options.askGrant(granter, service, WANTED, ASK_TIMEOUT);
  }

  async function askAll(service: string): Promise<boolean> {
    // A grant is counted from before it was asked for: the granter counts it from later on.
    const at = timers.now();
    for (const granter of listGranters().slice(0, MOST_ASKED)) {
      const count = await ask(granter, service);
      if (count > 0) {
        held.set(service, [...selectHeld(service), { count, at }]);
        return true;
      }
    }
    pausedUntil.set(service, timers.now() + DENIED_PAUSE);
    return false;
  }

  function selectHeld(service: string): readonly Grant[] {
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
      const heard = [done];
      waiting.set(service, heard);
      void askAll(service).then((isGranted) => {
        waiting.delete(service);
        heard.forEach((tell) => tell(isGranted));
      });
    },
    count: (service) => sumGrants(selectHeld(service)),
    grant,
    observe,
  };
}

function findGranter(
  instances: readonly InstanceEntry[],
  domain: DomainId,
): InstanceEntry | undefined {
  const own = instances.filter((instance) => instance.domain === domain && instance.address);
  const [id] = selectOwners(
    KEY,
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
