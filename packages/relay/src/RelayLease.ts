/**
 * Registers this instance in the store and claims duties there. The entry and the duties are bound to leases, so the
 * store removes them after the process ends. Callers check `holds` immediately before they act under a duty: it
 * returns false well before the lease can lapse, also after a pause of the process.
 *
 * A store that comes back from a copy may have lost the entry, the claims and the leases, or hold those of before. The
 * entry is written again at once. A domain is claimed again by its holder, and by others only when the holder can't rely
 * on its lost lease any more.
 */
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type {
  StoreCondition,
  StoreEvent,
  StoreItem,
  StoreRangePort,
  StoreWrite,
} from '@skylarksail/store/StoreRange';
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
  /** The store came back from a copy; the events that this brings are applied after it. */
  noteStoreReturned(): void;
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
/** Keys that claims write beside the placement, one for each domain and instance; no other instance writes them. */
const CLAIM_PREFIX = `${RELAY_KEY_PREFIX}claims/`;

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
/**
 * How long the entries of instances that a copy of the store lacks are kept: time to notice the return, to write the
 * entry again, and for the others to learn of it.
 */
const RETURN_GRACE: Millis = 4000;
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
  const dutyLeaseTime = Math.max(DUTY_LEASE_TIME, leaseLeast);
  const keys = new Map<string, Pick<StoreItem, 'value' | 'revision'>>();
  /** Parsed from `keys` after they changed; parsing 64 entries for each engine took a quarter of the run time. */
  let cachedInstances: readonly InstanceEntry[] | null = null;
  const vacantSince = new Map<DomainId, Millis>();
  /** The lease under which each placement was last claimed. */
  const claimLeases = new Map<DomainId, number>();
  /** When the lease of each claim can end by itself, by its last extension; no other instance claims before. */
  const claimExpiry = new Map<DomainId, Millis>();
  /** Domains that this instance held when the store came back from a copy. */
  let formerDomains: ReadonlySet<DomainId> = new Set();
  /** Entries of instances that the copy lacks, with what cancels their removal. */
  const missing = new Map<string, Unregister>();
  let returnedAt = -Infinity;
  let claimedAt = -Infinity;
  /** When the lease of the duties can end by itself, by its last extension. */
  let dutyExpiry = -Infinity;
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
    time: dutyLeaseTime,
    renewPeriod: DUTY_RENEW_PERIOD,
    onGranted: () => Promise.resolve(true),
    onExtended: noteExtended,
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
   * Whether the current lease is the one under which a placement was claimed. After a pause the last known state still
   * names this instance, but its lease has lapsed, and with it the claim that another instance may have made since.
   */
  function isClaimCurrent(domain: DomainId): boolean {
    return claimLeases.get(domain) === dutyLease.getLeaseId();
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
    const held = keys.get(`${PLACEMENT_PREFIX}${domain}`);
    if (held?.value === self.id && belongsToOthers(domain)) {
      await release(domain);
      return;
    }
    if (held?.value === self.id && !isClaimCurrent(domain) && mayClaimAgain(domain)) {
      await claimAgain(domain);
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
      mayClaimAgain(domain) &&
      timers.now() - since >= getClaimDelay(domain)
    ) {
      vacantSince.set(domain, timers.now());
      await claim(domain);
    }
  }

  function noteExtended(lease: number, expiresAt: Millis): void {
    dutyExpiry = expiresAt;
    claimLeases.forEach((claimLease, domain) => {
      if (claimLease === lease) {
        claimExpiry.set(domain, expiresAt);
      }
    });
  }

  /** Whether no other instance may rely on a claim that the store lost when it came back from a copy. */
  function mayClaimAgain(domain: DomainId): boolean {
    return formerDomains.has(domain) || timers.now() - returnedAt >= dutyLeaseTime;
  }

  /** Whether this instance held a domain when the store was lost, and its lease could not have ended by itself since. */
  function isFormerHolder(domain: DomainId): boolean {
    const wasHolder = isHeldBySelf(domain) || formerDomains.has(domain);
    return wasHolder && (claimExpiry.get(domain) ?? -Infinity) > timers.now();
  }

  /** Starts the lease of the duties; returns its id, or null if it isn't valid. */
  async function startDutyLease(): Promise<number | null> {
    claimedAt = timers.now();
    await dutyLease.start();
    return dutyLease.isValid() ? dutyLease.getLeaseId() : null;
  }

  function listClaimKeys(domain: DomainId): readonly string[] {
    return [`${PLACEMENT_PREFIX}${domain}`, `${CLAIM_PREFIX}${domain}/${self.id}`];
  }

  function listClaimWrites(domain: DomainId, lease: number): readonly StoreWrite[] {
    return listClaimKeys(domain).map((key) => ({ key, value: self.id, lease }));
  }

  /**
   * Conditions that hold only while the claim of this instance is in force; null until both keys are known. After a
   * return from a copy another's claim may have got the revision of this one, but not beside a key that only this
   * instance writes, together with its claims.
   */
  function listClaimConditions(domain: DomainId): readonly StoreCondition[] | null {
    const conditions = listClaimKeys(domain).flatMap((key) => {
      const known = keys.get(key);
      return known ? [{ key, revision: known.revision }] : [];
    });
    return conditions.length === listClaimKeys(domain).length ? conditions : null;
  }

  async function claim(domain: DomainId): Promise<void> {
    const lease = await startDutyLease();
    if (lease !== null) {
      noteClaim(domain, lease);
      const free = { key: `${PLACEMENT_PREFIX}${domain}`, revision: 0 };
      await port.write([free], listClaimWrites(domain, lease), [], callOptions);
    }
  }

  /** Claims a placement again that the store lists under an earlier lease of this instance. */
  async function claimAgain(domain: DomainId): Promise<void> {
    const lease = await startDutyLease();
    const conditions = listClaimConditions(domain);
    if (lease === null || conditions === null) {
      return;
    }
    const writes = listClaimWrites(domain, lease);
    const outcome = await port.write(conditions, writes, [], callOptions);
    if (outcome.kind === 'done') {
      noteClaim(domain, lease);
    }
  }

  function noteClaim(domain: DomainId, lease: number): void {
    claimLeases.set(domain, lease);
    claimExpiry.set(domain, dutyExpiry);
  }

  async function release(domain: DomainId): Promise<void> {
    const conditions = listClaimConditions(domain);
    if (conditions !== null) {
      await port.write(conditions, [], listClaimKeys(domain), callOptions);
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

  function applyRemoval(key: string): void {
    const isReturning = timers.now() - returnedAt < RETURN_GRACE;
    if (key.startsWith(INSTANCE_PREFIX) && isReturning && keys.has(key)) {
      missing.get(key)?.();
      const cancel = timers.registerTimeout(RETURN_GRACE, () => removeKey(key));
      missing.set(key, cancel);
    } else {
      removeKey(key);
    }
    if (key === `${INSTANCE_PREFIX}${self.id}` && !stopped) {
      // Bound to a lease that another ended, or lost with the store's latest changes.
      entryLease.refresh();
    }
  }

  function removeKey(key: string): void {
    missing.delete(key);
    cachedInstances = null;
    keys.delete(key);
    if (key.startsWith(PLACEMENT_PREFIX)) {
      vacantSince.set(key.slice(PLACEMENT_PREFIX.length), timers.now());
    }
  }

  return {
    applyEvent(event) {
      cachedInstances = null;
      if (event.kind === 'written') {
        missing.get(event.item.key)?.();
        missing.delete(event.item.key);
        keys.set(event.item.key, event.item);
      } else {
        applyRemoval(event.key);
      }
    },
    noteStoreReturned() {
      returnedAt = timers.now();
      formerDomains = new Set(options.listDomains().filter(isFormerHolder));
      claimLeases.clear();
      entryLease.refresh();
      dutyLease.refresh();
    },
    holds: (domain) =>
      dutyLease.isValid() &&
      isHeldBySelf(domain) &&
      isClaimCurrent(domain) &&
      !belongsToOthers(domain),
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
