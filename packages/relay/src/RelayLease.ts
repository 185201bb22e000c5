/**
 * Registers this instance in the store and claims duties there. The entry and the duties are bound to leases, so the
 * store removes them after the process ends. Callers check `holds` immediately before they act under a duty: it
 * returns false well before the lease can lapse, also after a pause of the process.
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
  /** Failure domains that need an instance to place their layers. */
  readonly listDomains: () => readonly DomainId[];
  readonly onError: (what: string) => void;
}

export interface RelayLease {
  /** Applies a change of a key that instances write to the store. */
  applyEvent(event: StoreEvent): void;
  /** Whether this instance holds a domain's placement duty and may act on it now. */
  holds(domain: DomainId): boolean;
  /** The holder of a domain's placement duty by the last known state of the store; null if there is none. */
  getLastHolder(domain: DomainId): InstanceId | null;
  /** All registered instances, always including this one. The same array is returned until something changes. */
  listInstances(): readonly InstanceEntry[];
  start(): void;
  /** Ends the leases, which frees the duties at once. */
  stop(): void;
  /** Resolves when the store has confirmed the end of the leases, or ending them was given up. */
  waitForEnds(): Promise<void>;
  /** Gives up ending leases. */
  close(): void;
}

/** Prefix of all keys that instances write to the store. */
export const RELAY_KEY_PREFIX = 'skylarksail/';
const INSTANCE_PREFIX = `${RELAY_KEY_PREFIX}instances/`;
const PLACEMENT_PREFIX = `${RELAY_KEY_PREFIX}placement/`;

/**
 * How long the duties of a crashed instance stay taken. With a shorter lease, a pause of one second would lose them.
 * With a longer one, a domain that lost an engine together with its placing instance would wait longer for the repair.
 */
const DUTY_LEASE_TIME: Millis = 3000;
const DUTY_RENEW_PERIOD: Millis = 900;
/**
 * How long the entry of a crashed instance stays registered. Nothing depends on its removal, because peers notice the
 * failure when they query the instance. Every instance renews its entry, so with a shorter lease the renewals would
 * be the larger part of a large fleet's calls to the store.
 */
const ENTRY_LEASE_TIME: Millis = 6000;
const ENTRY_RENEW_PERIOD: Millis = 2000;
const CALL_TIMEOUT: Millis = 800;
/**
 * Extra delay of instances from other domains before they claim a placement. A domain's own instances are preferred,
 * because they still reach its engines when the domain is cut off.
 */
const FOREIGN_DELAY: Millis = 1500;
const CLAIM_PERIOD: Millis = 400;
/** Claim period while all placements are held; it may be longer, as the end of a holder's lease is reported at once. */
const IDLE_CLAIM_PERIOD: Millis = 1000;
/**
 * Delay between the claims of successive instances. They claim a free placement in an order that all compute alike;
 * if a domain's 39 instances claimed together, only one of the 39 writes would succeed.
 */
const CLAIM_TURN_TIME: Millis = 300;
/** Maximum number of turns that an instance waits, whatever its position in the order. */
const MAX_CLAIM_TURNS = 8;
const JITTER_SHARE = 0.3;

export function createRelayLease(options: RelayLeaseOptions): RelayLease {
  const { port, timers, random, self, minLeaseTime: leaseLeast } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  const keys = new Map<string, Pick<StoreItem, 'value' | 'revision'>>();
  /** Parsed from `keys` after they changed; parsing 64 entries for each engine took a quarter of the run time. */
  let cachedInstances: readonly InstanceEntry[] | null = null;
  const vacantSince = new Map<DomainId, Millis>();
  let claimedAt = -Infinity;
  let stopped = false;

  const entryLease = createLeaseKeeper({
    port,
    timers,
    random,
    time: Math.max(ENTRY_LEASE_TIME, leaseLeast),
    renewPeriod: ENTRY_RENEW_PERIOD,
    onGranted: register,
    isNeeded: () => true,
    onError,
  });
  const dutyLease = createLeaseKeeper({
    port,
    timers,
    random,
    time: Math.max(DUTY_LEASE_TIME, leaseLeast),
    renewPeriod: DUTY_RENEW_PERIOD,
    onGranted: () => Promise.resolve(true),
    // The result of a claim arrives with the store's updates, some hundred milliseconds after the write.
    isNeeded: () =>
      timers.now() - claimedAt < DUTY_LEASE_TIME || options.listDomains().some(isHeldBySelf),
    onError,
  });

  function onError(err: unknown): void {
    options.onError(`lease: ${String(err)}`);
  }

  async function register(lease: number): Promise<boolean> {
    const entry = { key: `${INSTANCE_PREFIX}${self.id}`, value: formatInstance(self), lease };
    const written = await port.write([], [entry], [], callOptions);
    if (written.kind !== 'done') {
      options.onError(`registration ${written.kind}`);
    }
    return written.kind === 'done';
  }

  function isHeldBySelf(domain: DomainId): boolean {
    return keys.get(`${PLACEMENT_PREFIX}${domain}`)?.value === self.id;
  }

  /**
   * Whether a domain is not this instance's own and has registered instances, which then place it. They continue to do
   * so while the domain is cut off and instances elsewhere have only outdated entries of its engines.
   */
  function belongsToOthers(domain: DomainId): boolean {
    return domain !== self.domain && getInstances().some((instance) => instance.domain === domain);
  }

  function getInstances(): readonly InstanceEntry[] {
    if (cachedInstances === null) {
      const registered = [...keys]
        .filter(([key]) => key.startsWith(INSTANCE_PREFIX))
        .flatMap(
          ([key, { value }]) => parseInstance(key.slice(INSTANCE_PREFIX.length), value) ?? [],
        );
      cachedInstances = registered.some(({ id }) => id === self.id)
        ? registered
        : [...registered, self];
    }
    return cachedInstances;
  }

  /** How long a domain's placement must have been free until this instance claims it. */
  function getClaimDelay(domain: DomainId): Millis {
    const isOwn = domain === self.domain;
    const ids = getInstances()
      .filter((instance) => !isOwn || instance.domain === domain)
      .map(({ id }) => id);
    const rank = selectOwners(domain, ids, ids.length).indexOf(self.id);
    return (isOwn ? 0 : FOREIGN_DELAY) + Math.min(rank, MAX_CLAIM_TURNS) * CLAIM_TURN_TIME;
  }

  async function claimOrRelease(domain: DomainId): Promise<void> {
    const key = `${PLACEMENT_PREFIX}${domain}`;
    const held = keys.get(key);
    if (held?.value === self.id && belongsToOthers(domain)) {
      await port.write([{ key, revision: held.revision }], [], [key], callOptions);
      return;
    }
    if (held !== undefined) {
      vacantSince.delete(domain);
      return;
    }
    const since = vacantSince.get(domain) ?? timers.now();
    vacantSince.set(domain, since);
    if (
      !belongsToOthers(domain) &&
      entryLease.isValid() &&
      timers.now() - since >= getClaimDelay(domain)
    ) {
      vacantSince.set(domain, timers.now());
      await claimKey(key);
    }
  }

  async function claimKey(key: string): Promise<void> {
    claimedAt = timers.now();
    await dutyLease.start();
    const lease = dutyLease.getLeaseId();
    if (lease !== null && dutyLease.isValid()) {
      await port.write([{ key, revision: 0 }], [{ key, value: self.id, lease }], [], callOptions);
    }
  }

  function areAllHeld(): boolean {
    return options.listDomains().every((domain) => keys.has(`${PLACEMENT_PREFIX}${domain}`));
  }

  function scheduleClaims(): void {
    const period = areAllHeld() ? IDLE_CLAIM_PERIOD : CLAIM_PERIOD;
    timers.registerTimeout(jitter(random, period, JITTER_SHARE), () => {
      if (!stopped) {
        void Promise.all(options.listDomains().map(claimOrRelease)).finally(scheduleClaims);
      }
    });
  }

  return {
    applyEvent(event) {
      cachedInstances = null;
      if (event.kind === 'written') {
        keys.set(event.item.key, event.item);
      } else {
        keys.delete(event.key);
        if (event.key.startsWith(PLACEMENT_PREFIX)) {
          vacantSince.set(event.key.slice(PLACEMENT_PREFIX.length), timers.now());
        }
      }
    },
    holds: (domain) => dutyLease.isValid() && isHeldBySelf(domain) && !belongsToOthers(domain),
    getLastHolder: (domain) => keys.get(`${PLACEMENT_PREFIX}${domain}`)?.value ?? null,
    listInstances: getInstances,
    start() {
      void entryLease.start();
      scheduleClaims();
    },
    stop() {
      stopped = true;
      entryLease.stop();
      dutyLease.stop();
    },
    async waitForEnds() {
      await Promise.all([entryLease.waitForEnds(), dutyLease.waitForEnds()]);
    },
    close() {
      entryLease.close();
      dutyLease.close();
    },
  };
}

/** Formats an instance's entry: its domain and, if it has an address, host and port, separated by spaces. */
function formatInstance({ domain, address }: InstanceEntry): string {
  return address ? `${domain} ${address.host} ${address.port}` : domain;
}

function parseInstance(id: InstanceId, value: string): InstanceEntry | null {
  const [domain, host, port] = value.split(' ');
  if (!domain) {
    return null;
  }
  return { id, domain, address: host && port ? { host, port: Number(port) } : null };
}
