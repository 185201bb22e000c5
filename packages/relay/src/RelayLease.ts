/**
 * An instance's own entry in the store and the duties that it holds there, each under a lease: if the instance
 * dies, they go. Whoever acts under a duty asks `holds` just before, which says no well before the lease could
 * have lapsed, also to an instance that was paused.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { StoreEvent, StoreItem, StoreRangePort } from '@skylarksail/store/StoreRange';
import { createLeaseKeeper } from './RelayLeaseKeeper.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface RelayLeaseOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly self: InstanceEntry;
  /** Shortest lease that the store grants. */
  readonly minLeaseTime: Millis;
  /** Failure domains whose placement is a duty. */
  readonly listDomains: () => readonly DomainId[];
  readonly onError: (what: string) => void;
}

export interface RelayLease {
  /** Takes in a change of one of our own keys. */
  applyEvent(event: StoreEvent): void;
  /** Whether this instance may act on a domain's placement now. */
  holds(domain: DomainId): boolean;
  /** Who held a domain's placement when the store last told of it; null if nobody. */
  getLastHolder(domain: DomainId): InstanceId | null;
  /** All that are registered, and this one in any case. The same list until something changes. */
  listInstances(): readonly InstanceEntry[];
  start(): void;
  /** Ends the leases, by which duties become free at once. */
  stop(): void;
}

/** Everything that the relay itself keeps in the store begins so. */
export const RELAY_KEY_PREFIX = 'skylarksail/';
const INSTANCES = `${RELAY_KEY_PREFIX}instances/`;
const PLACEMENT = `${RELAY_KEY_PREFIX}placement/`;

/**
 * How long the duties of a dead instance stand. Shorter, and a pause of a second would cost them; longer, and
 * a domain that lost an engine with its placer would wait for the mending.
 */
const DUTY_LEASE_TIME: Millis = 3000;
const DUTY_KEEP_PERIOD: Millis = 900;
/**
 * How long the entry of a dead instance stands. Nothing waits for it to go: its peers find out when they ask it.
 * Every instance renews it, so a shorter one would be the larger part of a large fleet's calls to the store.
 */
const ENTRY_LEASE_TIME: Millis = 6000;
const ENTRY_KEEP_PERIOD: Millis = 2000;
const CALL_TIMEOUT: Millis = 800;
/** Lead of a domain's own instances in taking its placement: they still reach it if it is cut off. */
const FOREIGN_DELAY: Millis = 1500;
const CLAIM_PERIOD: Millis = 400;
/** The same while all placements are held. A holder whose lease ends is heard of at once. */
const IDLE_CLAIM_PERIOD: Millis = 1000;
/**
 * A placement that is free is claimed by one instance after the other, in an order that all agree on: 39 of a
 * domain that claimed together would be 39 writes, of which one counts.
 */
const TURN_TIME: Millis = 300;
/** Instances that come after so many others do not wait longer than these. */
const MOST_TURNS = 8;
const JITTER_SHARE = 0.3;

export function createRelayLease(options: RelayLeaseOptions): RelayLease {
  const { port, timers, random, self, minLeaseTime: leaseLeast } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  const keys = new Map<string, Pick<StoreItem, 'value' | 'revision'>>();
  /** Read from `keys` when they have changed: parsing 64 entries for each engine took a quarter of all time. */
  let known: readonly InstanceEntry[] | null = null;
  const vacantSince = new Map<DomainId, Millis>();
  let claimedAt = -Infinity;
  let stopped = false;

  const entryLease = createLeaseKeeper({
    port,
    timers,
    random,
    time: Math.max(ENTRY_LEASE_TIME, leaseLeast),
    renewPeriod: ENTRY_KEEP_PERIOD,
    onGranted: register,
    isNeeded: () => true,
  });
  const dutyLease = createLeaseKeeper({
    port,
    timers,
    random,
    time: Math.max(DUTY_LEASE_TIME, leaseLeast),
    renewPeriod: DUTY_KEEP_PERIOD,
    onGranted: () => Promise.resolve(true),
    // The word that a claim has won comes back with the store's news, some hundred milliseconds later.
    isNeeded: () =>
      timers.now() - claimedAt < DUTY_LEASE_TIME || options.listDomains().some(isOwned),
  });

  async function register(lease: number): Promise<boolean> {
    const entry = { key: `${INSTANCES}${self.id}`, value: writeInstance(self), lease };
    const written = await port.write([], [entry], [], callOptions);
    if (written.kind !== 'done') {
      options.onError(`registration ${written.kind}`);
    }
    return written.kind === 'done';
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
    if (known === null) {
      const listed = [...keys]
        .filter(([key]) => key.startsWith(INSTANCES))
        .flatMap(([key, { value }]) => readInstance(key.slice(INSTANCES.length), value) ?? []);
      known = listed.some(({ id }) => id === self.id) ? listed : [...listed, self];
    }
    return known;
  }

  /** Time from which a domain's placement has been free until it is this instance's turn to claim it. */
  function getTurn(domain: DomainId): Millis {
    const isOwn = domain === self.domain;
    const ids = listKnown()
      .filter((instance) => !isOwn || instance.domain === domain)
      .map(({ id }) => id);
    const place = selectOwners(domain, ids, ids.length).indexOf(self.id);
    return (isOwn ? 0 : FOREIGN_DELAY) + Math.min(place, MOST_TURNS) * TURN_TIME;
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
    if (!isForeign(domain) && entryLease.isValid() && timers.now() - since >= getTurn(domain)) {
      vacantSince.set(domain, timers.now());
      await take(key);
    }
  }

  async function take(key: string): Promise<void> {
    claimedAt = timers.now();
    await dutyLease.start();
    const lease = dutyLease.getLeaseId();
    if (lease !== null && dutyLease.isValid()) {
      await port.write([{ key, revision: 0 }], [{ key, value: self.id, lease }], [], callOptions);
    }
  }

  function isAllHeld(): boolean {
    return options.listDomains().every((domain) => keys.has(`${PLACEMENT}${domain}`));
  }

  function scheduleClaims(): void {
    const period = isAllHeld() ? IDLE_CLAIM_PERIOD : CLAIM_PERIOD;
    timers.registerTimeout(jitter(random, period, JITTER_SHARE), () => {
      if (!stopped) {
        void Promise.all(options.listDomains().map(claim)).finally(scheduleClaims);
      }
    });
  }

  return {
    applyEvent(event) {
      known = null;
      if (event.kind === 'written') {
        keys.set(event.item.key, event.item);
      } else {
        keys.delete(event.key);
        if (event.key.startsWith(PLACEMENT)) {
          vacantSince.set(event.key.slice(PLACEMENT.length), timers.now());
        }
      }
    },
    holds: (domain) => dutyLease.isValid() && isOwned(domain) && !isForeign(domain),
    getLastHolder: (domain) => keys.get(`${PLACEMENT}${domain}`)?.value ?? null,
    listInstances: listKnown,
    start() {
      void entryLease.start();
      scheduleClaims();
    },
    stop() {
      stopped = true;
      entryLease.stop();
      dutyLease.stop();
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
