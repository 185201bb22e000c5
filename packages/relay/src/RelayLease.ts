/**
 * An instance's own entry in the store and the duties that it holds there. All of its keys hang on one
 * lease: if the instance dies, they go together. Whoever acts under a duty asks `holds` just before, which
 * says no well before the lease could have lapsed, also to an instance that was paused.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEvent, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';
import type { InstanceEntry } from './RelayTypes.js';

export interface RelayLeaseOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  /** Shortest lease that the store grants. */
  readonly leaseLeast: Millis;
  /** Failure domains whose placement is a duty. */
  readonly listDomains: () => readonly DomainId[];
  readonly onError: (what: string) => void;
}

export interface RelayLease {
  /** Takes in a change of one of our own keys. */
  takeEvent(event: StoreEvent): void;
  /** Whether this instance may act on a domain's placement now. */
  holds(domain: DomainId): boolean;
  /** Who held a domain's placement when the store last told of it; null if nobody. */
  getLastHolder(domain: DomainId): InstanceId | null;
  listInstances(): readonly InstanceEntry[];
  start(): void;
  /** Ends the lease, by which duties become free at once. */
  stop(): void;
}

/** Everything that the relay itself keeps in the store begins so. */
export const OWN_PREFIX = 'skylarksail/';
const INSTANCES = `${OWN_PREFIX}instances/`;
const PLACEMENT = `${OWN_PREFIX}placement/`;

/**
 * How long the entry and the duties of a dead instance stand. Shorter, and a pause of a second would
 * cost them; longer, and a domain that lost an engine with its placer would wait for the mending.
 */
const LEASE_TIME: Millis = 3000;
const KEEP_PERIOD: Millis = 900;
/** The lease is not acted on in its last part, since an order takes time to arrive. */
const LEASE_MARGIN: Millis = 800;
const CALL_TIMEOUT: Millis = 800;
/** Lead of a domain's own instances in taking its placement: they still reach it if it is cut off. */
const FOREIGN_DELAY: Millis = 1500;
const CLAIM_PERIOD: Millis = 400;
const JITTER_SHARE = 0.3;

export function createRelayLease(options: RelayLeaseOptions): RelayLease {
  const { port, timers, random, self } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  const keys = new Map<string, Pick<StoreItem, 'value' | 'revision'>>();
  /** Read from `keys` when they have changed: parsing 64 entries for each engine took a quarter of all time. */
  let known: readonly InstanceEntry[] | null = null;
  const vacantSince = new Map<DomainId, Millis>();
  let lease: { readonly id: number; safeUntil: Millis } | null = null;
  const leaseTime = Math.max(LEASE_TIME, options.leaseLeast);
  let stopped = false;

  function isSafe(): boolean {
    return lease !== null && !stopped && timers.now() < lease.safeUntil;
  }

  async function grant(): Promise<void> {
    const askedAt = timers.now();
    const granted = await port.grantLease(leaseTime, callOptions);
    if (granted.kind !== 'done' || stopped) {
      return;
    }
    const entry = {
      key: `${INSTANCES}${self.id}`,
      value: writeInstance(self),
      lease: granted.value,
    };
    const written = await port.write([], [entry], [], callOptions);
    if (written.kind === 'done') {
      lease = { id: granted.value, safeUntil: askedAt + leaseTime - LEASE_MARGIN };
    } else {
      options.onError(`registration ${written.kind}`);
    }
  }

  async function keep(): Promise<void> {
    if (lease === null) {
      await grant();
      return;
    }
    const kept = lease;
    const askedAt = timers.now();
    const outcome = await port.keepLease(kept.id, callOptions);
    if (outcome.kind === 'done') {
      kept.safeUntil = askedAt + leaseTime - LEASE_MARGIN;
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      lease = null;
      await grant();
    }
  }

  function isOwned(domain: DomainId): boolean {
    return keys.get(`${PLACEMENT}${domain}`)?.value === self.id;
  }

  /**
   * Whether a domain has instances of its own to place it. One that was cut off has placed itself
   * meanwhile, and an instance elsewhere knows its engines only as they were before the cut.
   */
  function isForeign(domain: DomainId): boolean {
    return domain !== self.domain && listKnown().some((instance) => instance.domain === domain);
  }

  function listKnown(): readonly InstanceEntry[] {
    known ??= [...keys]
      .filter(([key]) => key.startsWith(INSTANCES))
      .flatMap(([key, { value }]) => readInstance(key.slice(INSTANCES.length), value) ?? []);
    return known;
  }

  async function claim(domain: DomainId): Promise<void> {
    const key = `${PLACEMENT}${domain}`;
    const held = keys.get(key);
    if (held?.value === self.id && isForeign(domain)) {
      await port.write([{ key, revision: held.revision }], [], [key], callOptions);
      return;
    }
    if (held !== undefined) {
      vacantSince.delete(domain);
      return;
    }
    const since = vacantSince.get(domain) ?? timers.now();
    vacantSince.set(domain, since);
    const isDue =
      domain === self.domain || (!isForeign(domain) && timers.now() - since >= FOREIGN_DELAY);
    if (isDue && lease !== null && isSafe()) {
      vacantSince.set(domain, timers.now());
      const conditions = [{ key, revision: 0 }];
      await port.write(conditions, [{ key, value: self.id, lease: lease.id }], [], callOptions);
    }
  }

  function schedule(period: Millis, work: () => Promise<void>): void {
    timers.registerTimeout(jitter(random, period, JITTER_SHARE), () => {
      if (!stopped) {
        void work().finally(() => schedule(period, work));
      }
    });
  }

  async function claimAll(): Promise<void> {
    await Promise.all(options.listDomains().map(claim));
  }

  return {
    takeEvent(event) {
      known = null;
      if (event.kind === 'written') {
        keys.set(event.item.key, event.item);
      } else {
        keys.delete(event.key);
      }
    },
    holds: (domain) => isSafe() && isOwned(domain) && !isForeign(domain),
    getLastHolder: (domain) => keys.get(`${PLACEMENT}${domain}`)?.value ?? null,
    listInstances() {
      const others = listKnown();
      return others.some(({ id }) => id === self.id) ? others : [...others, self];
    },
    start() {
      void keep().finally(() => schedule(KEEP_PERIOD, keep));
      schedule(CLAIM_PERIOD, claimAll);
    },
    stop() {
      stopped = true;
      if (lease) {
        void port.endLease(lease.id, callOptions);
      }
    },
  };
}

/** An instance's entry: its domain and, if it has one, its address, with blanks between. */
function writeInstance({ domain, address }: InstanceEntry): string {
  return address ? `${domain} ${address.host} ${address.port}` : domain;
}

function readInstance(id: InstanceId, value: string): InstanceEntry | null {
  const [domain, host, port] = value.split(' ');
  if (!domain) {
    return null;
  }
  return { id, domain, address: host && port ? { host, port: Number(port) } : null };
}
