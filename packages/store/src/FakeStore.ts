/**
 * In-memory StorePort over virtual time with fault injection, for tests and benchmarks. Faults apply to
 * all clients or to one, so that a test can isolate a failure domain; a fault can also be injected into
 * a single call, so that a test controls exactly which answer is lost.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeStoreItems, type FakeStoreItems } from './FakeStoreItems.js';
import type {
  CallOptions,
  InstanceRecord,
  StoreEntry,
  StoreOutcome,
  StorePort,
} from './StorePort.js';

/** Faults to simulate. Fields described as a share are probabilities from 0 to 1, drawn for each call. */
export interface StoreFaults {
  /** No call reaches the service. */
  readonly outage: boolean;
  /** During an outage, calls fail at once, as with a refused connection, and not after their timeout. */
  readonly refusesConnections: boolean;
  /** Added to the round-trip time of a call. */
  readonly extraLatency: Millis;
  /** Share of calls that take effect but whose answer is lost. */
  readonly lostAnswers: number;
  /** Share of calls that never arrive. */
  readonly lostCalls: number;
  /** Share of calls that take effect after `lateDelay`, when the caller has given up. */
  readonly lateEffects: number;
  readonly lateDelay: Millis;
  /** Share of changes that are not delivered to a pending watch. */
  readonly missedWatches: number;
  /** Share of watches that are answered at once without a change. */
  readonly repeatedWatches: number;
  /** Staleness of the instance list that clients read. */
  readonly instanceLag: Millis;
}

export const NO_FAULTS: StoreFaults = {
  outage: false,
  refusesConnections: false,
  extraLatency: 0,
  lostAnswers: 0,
  lostCalls: 0,
  lateEffects: 0,
  lateDelay: 0,
  missedWatches: 0,
  repeatedWatches: 0,
  instanceLag: 0,
};

/** Fault of a single call. `late` has the delay after which the call takes effect; it is not answered. */
export type CallFault =
  | { readonly kind: 'lost-call' }
  | { readonly kind: 'lost-answer' }
  | { readonly kind: 'late'; readonly delay: Millis };

export type StoreOperation = keyof StorePort;

/** Counts of all calls, answered or not. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  /** Bytes of the values written. */
  readonly bytesWritten: number;
  readonly byOperation: Readonly<Record<string, number>>;
}

export interface FakeStoreOptions {
  readonly timers: TimerService;
  readonly random: Random;
  /** Round-trip time of a call. */
  readonly latency?: Millis;
}

export interface FakeStore {
  /** Returns a port that is subject to the faults of `client`. */
  connect(client: string): StorePort;
  /** Updates the faults of all clients, or of one client, whose own faults take precedence. */
  setFaults(faults: Partial<StoreFaults>, client?: string): void;
  /** Injects a fault into the client's next call of that operation; further faults queue in order. */
  injectFault(client: string, operation: StoreOperation, fault: CallFault): void;
  setInstances(instances: readonly InstanceRecord[]): void;
  countCalls(): StoreCallCounts;
  /** The stored items, for access without a simulated call. */
  readonly store: FakeStoreItems;
}

const DEFAULT_LATENCY: Millis = 4;
const WRITE_OPERATIONS: ReadonlySet<string> = new Set<StoreOperation>([
  'swap',
  'remove',
  'acquireLease',
  'renewLease',
  'releaseLease',
]);

interface InstanceListVersion {
  readonly since: Millis;
  readonly instances: readonly InstanceRecord[];
}

/** Creates an empty store without faults. */
export function createFakeStore(options: FakeStoreOptions): FakeStore {
  const { timers, random } = options;
  const latency = options.latency ?? DEFAULT_LATENCY;
  const store = createFakeStoreItems();
  const faultsByClient = new Map<string, Partial<StoreFaults>>();
  const queuedFaults = new Map<string, CallFault[]>();
  const counts = new Map<string, number>();
  let sharedFaults: StoreFaults = NO_FAULTS;
  let bytesWritten = 0;
  let instanceLists: InstanceListVersion[] = [{ since: -Infinity, instances: [] }];

  function getFaults(client: string): StoreFaults {
    return { ...sharedFaults, ...faultsByClient.get(client) };
  }

  function chooseFault(client: string, operation: StoreOperation): CallFault | null {
    const queued = queuedFaults.get(`${client} ${operation}`)?.shift();
    const faults = getFaults(client);
    if (faults.outage) {
      return { kind: 'lost-call' };
    }
    if (queued) {
      return queued;
    }
    if (random.nextFloat() < faults.lostCalls) {
      return { kind: 'lost-call' };
    }
    if (random.nextFloat() < faults.lostAnswers) {
      return { kind: 'lost-answer' };
    }
    if (random.nextFloat() < faults.lateEffects) {
      return { kind: 'late', delay: faults.lateDelay };
    }
    return null;
  }

  function call<T>(
    client: string,
    operation: StoreOperation,
    { timeout }: CallOptions,
    effect: (answer: (outcome: StoreOutcome<T>) => void) => void,
  ): Promise<StoreOutcome<T>> {
    counts.set(operation, (counts.get(operation) ?? 0) + 1);
    const faults = getFaults(client);
    const fault = chooseFault(client, operation);
    const oneWayLatency = (latency + faults.extraLatency) / 2;
    return new Promise((resolve) => {
      const giveUpAfter = faults.outage && faults.refusesConnections ? oneWayLatency : timeout;
      // A watch without changes is answered at its timeout, so its caller waits one round trip longer.
      const grace = operation === 'watch' ? latency + faults.extraLatency : 0;
      const cancelDeadline = timers.registerTimeout(giveUpAfter + grace, () =>
        resolve({ kind: 'unknown' }),
      );
      if (fault?.kind === 'lost-call') {
        return;
      }
      const arrivesAfter = fault?.kind === 'late' ? fault.delay : oneWayLatency;
      timers.registerTimeout(arrivesAfter, () =>
        effect((outcome) => {
          if (fault || getFaults(client).outage) {
            return;
          }
          timers.registerTimeout(oneWayLatency, () => {
            cancelDeadline();
            resolve(outcome);
          });
        }),
      );
    });
  }

  function watchEntry(
    client: string,
    key: string,
    known: number,
    timeout: Millis,
    answer: (outcome: StoreOutcome<StoreEntry>) => void,
  ): void {
    const current = store.read(key);
    const isRepeated = random.nextFloat() < getFaults(client).repeatedWatches;
    if (current.revision !== known || isRepeated) {
      answer({ kind: 'done', value: current });
      return;
    }
    const unregisters = [
      store.registerChange(key, (entry) => {
        if (random.nextFloat() >= getFaults(client).missedWatches) {
          finish(entry);
        }
      }),
      timers.registerTimeout(timeout - latency, () => finish(store.read(key))),
    ];
    function finish(entry: StoreEntry): void {
      unregisters.forEach((unregister) => unregister());
      answer({ kind: 'done', value: entry });
    }
  }

  function readInstances(lag: Millis): readonly InstanceRecord[] {
    const asOf = timers.now() - lag;
    return instanceLists.findLast((version) => version.since <= asOf)?.instances ?? [];
  }

  function connect(client: string): StorePort {
    return {
      get: (key, opts) =>
        call(client, 'get', opts, (answer) => answer({ kind: 'done', value: store.read(key) })),
      swap(key, expected, value, opts) {
        bytesWritten += Buffer.byteLength(value);
        return call(client, 'swap', opts, (answer) => answer(store.swap(key, expected, value)));
      },
      remove: (key, expected, opts) =>
        call(client, 'remove', opts, (answer) => answer(store.remove(key, expected))),
      list: (prefix, opts) =>
        call(client, 'list', opts, (answer) => answer({ kind: 'done', value: store.list(prefix) })),
      watch: (key, known, opts) =>
        call(client, 'watch', opts, (answer) =>
          watchEntry(client, key, known, opts.timeout, answer),
        ),
      acquireLease: (key, holder, ttl, opts) =>
        call(client, 'acquireLease', opts, (answer) =>
          answer(store.acquire(key, holder, ttl, timers.now())),
        ),
      renewLease: (lease, opts) =>
        call(client, 'renewLease', opts, (answer) => answer(store.renew(lease, timers.now()))),
      releaseLease: (lease, opts) =>
        call(client, 'releaseLease', opts, (answer) => answer(store.release(lease, timers.now()))),
      listInstances: (opts) =>
        call(client, 'listInstances', opts, (answer) =>
          answer({ kind: 'done', value: readInstances(getFaults(client).instanceLag) }),
        ),
    };
  }

  return {
    connect,
    store,
    setFaults(faults, client) {
      if (client === undefined) {
        sharedFaults = { ...sharedFaults, ...faults };
      } else {
        faultsByClient.set(client, { ...faultsByClient.get(client), ...faults });
      }
    },
    injectFault(client, operation, fault) {
      const name = `${client} ${operation}`;
      queuedFaults.set(name, [...(queuedFaults.get(name) ?? []), fault]);
    },
    setInstances(instances) {
      instanceLists = [...instanceLists, { since: timers.now(), instances }];
    },
    countCalls() {
      const all = [...counts];
      const sum = (isCounted: (operation: string) => boolean): number =>
        all.filter(([name]) => isCounted(name)).reduce((total, [, count]) => total + count, 0);
      return {
        reads: sum((name) => !WRITE_OPERATIONS.has(name)),
        writes: sum((name) => WRITE_OPERATIONS.has(name)),
        watches: counts.get('watch') ?? 0,
        bytesWritten,
        byOperation: Object.fromEntries(all),
      };
    },
  };
}
