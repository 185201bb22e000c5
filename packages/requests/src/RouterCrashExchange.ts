/**
 * Exchanges reports of crashed engines between all instances of the fleet. The caller of a request that crashes engines
 * sends it again, to any instance. If each instance counted its crashes alone, such a request would cost the fleet some
 * engines for each instance.
 *
 * Each instance sends what it observed to a few collectors, which send the suspects of several crashes to all. Every
 * report is sent until it is confirmed, and again from the start to an instance that is new, so a lost message costs a
 * delay only. Reports may arrive late, twice or in any order, since merging them is commutative and idempotent.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainMember } from '@skylarksail/core/CoreSelection';
import { selectAcrossDomains } from '@skylarksail/core/CoreSelection';
import type { InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { PoisonDigest } from './RequestPoison.js';
import type { RequestRouter } from './RequestRouter.js';
import type { ReportBatch } from './RouterCrashes.js';

/** Sends reports to a peer; resolves to whether it confirmed them. */
export type SendCrashReports<T extends DomainMember> = (
  peer: T,
  digest: PoisonDigest,
  timeout: Millis,
) => Promise<boolean>;

export interface CrashExchangeOptions<T extends DomainMember> {
  readonly timers: TimerService;
  readonly self: T;
  readonly router: Pick<
    RequestRouter,
    'listObservedCrashes' | 'listRepeatedCrashes' | 'registerCrashListener'
  >;
  /** All instances, with or without this one; roles are assigned anew for each new array. */
  readonly listInstances: () => readonly T[];
  /** Whether a listed instance has an address; all have if omitted. */
  readonly hasAddress?: (peer: T) => boolean;
  readonly sendCrashReports: SendCrashReports<T>;
}

/** If one has crashed and another is cut off, the third still passes reports on. */
const COLLECTOR_COUNT = 3;
const HASH_KEY = 'crash-reports';
/** Collects the reports of the many streams that one crash breaks. */
const BATCH_TIME: Millis = 20;
/** Shortest time between two attempts after an unconfirmed one, and longest until a new instance is noticed. */
const RETRY_PERIOD: Millis = 200;
const SEND_TIMEOUT: Millis = 250;
/** Messages in flight at once, so that the news to a large fleet does not hold up the calls of requests. */
const MAX_IN_FLIGHT = 256;

/** Starts the exchange; returns a function that ends it. */
export function startCrashExchange<T extends DomainMember>(
  options: CrashExchangeOptions<T>,
): Unregister {
  const { timers, self, router } = options;
  let instances: readonly T[] = [];
  let peers: readonly T[] = [];
  let collectors: readonly T[] = [];
  let isFlushScheduled = false;
  let isStopped = false;
  const flight = { count: 0 };
  const observed = createReportFeed(router.listObservedCrashes, send);
  const repeated = createReportFeed(router.listRepeatedCrashes, send);

  async function send(peer: T, digest: PoisonDigest): Promise<boolean> {
    flight.count += 1;
    const isConfirmed = await options.sendCrashReports(peer, digest, SEND_TIMEOUT);
    flight.count -= 1;
    return isConfirmed;
  }

  /** Assigns the roles anew when the list of instances has changed. */
  function refreshRoles(): void {
    const latest = options.listInstances();
    if (latest === instances) {
      return;
    }
    instances = latest;
    peers = latest.filter((peer) => peer.id !== self.id && (options.hasAddress?.(peer) ?? true));
    collectors = selectAcrossDomains(HASH_KEY, [...peers, self], COLLECTOR_COUNT);
    const ids = new Set(peers.map(({ id }) => id));
    observed.keepOnly(ids);
    repeated.keepOnly(ids);
  }

  function flush(): void {
    const hasReports =
      router.listObservedCrashes(0).position > 0 || router.listRepeatedCrashes(0).position > 0;
    if (isStopped || !hasReports) {
      return;
    }
    refreshRoles();
    const isCollector = collectors.some(({ id }) => id === self.id);
    offer(
      observed,
      collectors.filter(({ id }) => id !== self.id),
    );
    offer(repeated, isCollector ? peers : []);
  }

  /** Offers news to peers in turn, beginning after the last one that got some, so that none is always the last. */
  function offer(feed: ReportFeed<T>, receivers: readonly T[]): void {
    const first = 1 + receivers.findIndex(({ id }) => id === feed.getLast());
    for (const peer of [...receivers.slice(first), ...receivers.slice(0, first)]) {
      if (flight.count >= MAX_IN_FLIGHT) {
        return;
      }
      // After a message another has room, and its receiver may lack further reports.
      void feed.offer(peer, timers.now())?.then(scheduleFlush);
    }
  }

  function scheduleFlush(): void {
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      timers.registerTimeout(BATCH_TIME, () => {
        isFlushScheduled = false;
        flush();
      });
    }
  }

  const undo = [
    router.registerCrashListener(scheduleFlush),
    timers.registerInterval(RETRY_PERIOD, flush),
  ];
  return () => {
    isStopped = true;
    undo.forEach((stop) => stop());
  };
}

/** Reports of one kind, with what each peer has confirmed. */
interface ReportFeed<T> {
  /** Sends a peer what it lacks; null if that is nothing, or the peer must be left alone for now. */
  offer(peer: T, now: Millis): Promise<void> | null;
  /** The peer that was sent something last. */
  getLast(): InstanceId | null;
  /** Forgets all other peers. */
  keepOnly(ids: ReadonlySet<InstanceId>): void;
}

function createReportFeed<T extends DomainMember>(
  listReports: (after: number) => ReportBatch,
  send: (peer: T, digest: PoisonDigest) => Promise<boolean>,
): ReportFeed<T> {
  const confirmed = new Map<InstanceId, number>();
  const inFlight = new Set<InstanceId>();
  const pausedUntil = new Map<InstanceId, Millis>();
  let last: InstanceId | null = null;

  async function sendBatch(peer: T, batch: ReportBatch, now: Millis): Promise<void> {
    last = peer.id;
    inFlight.add(peer.id);
    const isConfirmed = await send(peer, { reports: batch.reports });
    inFlight.delete(peer.id);
    if (isConfirmed) {
      confirmed.set(peer.id, batch.position);
    } else {
      pausedUntil.set(peer.id, now + RETRY_PERIOD);
    }
  }

  return {
    offer(peer, now) {
      if (inFlight.has(peer.id) || (pausedUntil.get(peer.id) ?? -Infinity) > now) {
        return null;
      }
      const after = confirmed.get(peer.id) ?? 0;
      const batch = listReports(after);
      return batch.position > after ? sendBatch(peer, batch, now) : null;
    },
    getLast: () => last,
    keepOnly(ids) {
      [confirmed, pausedUntil].forEach((table) =>
        [...table.keys()].filter((id) => !ids.has(id)).forEach((id) => table.delete(id)),
      );
    },
  };
}
