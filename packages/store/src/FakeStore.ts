/**
 * The platform in memory, for tests and benches: the whole port over virtual time, with its faults.
 * Faults are set for everybody or for one client, so that a cut-off domain can be brought about; a
 * single call can be told its fate, so that a test can place a lost answer exactly.
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

/** How the platform misbehaves. Shares are probabilities from 0 to 1, drawn for each call. */
export interface StoreFaults {
  /** No call arrives and none is answered. */
  readonly outage: boolean;
  /** Calls fail at once instead of after their timeout, as with a refused connection. */
  readonly refusesConnections: boolean;
  /** Time of a call there and back, on top of the ordinary one. */
  readonly extraLatency: Millis;
  /** Share of calls that take effect and whose answer is lost. */
  readonly lostAnswers: number;
  /** Share of calls that never arrive. */
  readonly lostCalls: number;
  /** Share of calls that arrive `lateDelay` later, long after the caller gave up. */
  readonly lateEffects: number;
  readonly lateDelay: Millis;
  /** Share of changes that a waiting watch is not told of. */
  readonly missedWatches: number;
  /** Share of watches that are answered at once although nothing changed. */
  readonly repeatedWatches: number;
  /** Age of the instance list that clients read. */
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

/** Fate of a single call. `late` carries the delay after which it takes effect. */
export type CallFate =
  | { readonly kind: 'lost-call' }
  | { readonly kind: 'lost-answer' }
  | { readonly kind: 'late'; readonly delay: Millis };

export type StoreOperation = keyof StorePort;

/** Calls that were made, answered or not. */
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
  /** Time of a call there and back. */
  readonly latency?: Millis;
}

export interface FakeStore {
  /** The port as `client` sees it. */
  connect(client: string): StorePort;
  /** Sets some of everybody's faults, or of one client's, which then go before everybody's. */
  setFaults(faults: Partial<StoreFaults>, client?: string): void;
  /** Decides the fate of the client's next call of that operation; several are taken in order. */
  injectFault(client: string, operation: StoreOperation, fate: CallFate): void;
  setInstances(instances: readonly InstanceRecord[]): void;
  countCalls(): StoreCallCounts;
  /** What is stored now, without a call. */
  readonly store: FakeStoreItems;
}

const DEFAULT_LATENCY: Millis = 4;
const WRITES: ReadonlySet<string> = new Set<StoreOperation>([
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

/** Creates an empty platform without faults. */
export function createFakeStore(options: FakeStoreOptions): FakeStore {
  const { timers, random } = options;
  const latency = options.latency ?? DEFAULT_LATENCY;
  const store = createFakeStoreItems();
  const faultsOf = new Map<string, Partial<StoreFaults>>();
  const fates = new Map<string, CallFate[]>();
  const counts = new Map<string, number>();
  let faultsOfAll: StoreFaults = NO_FAULTS;
  let bytesWritten = 0;
  let lists: InstanceListVersion[] = [{ since: -Infinity, instances: [] }];

  function getFaults(client: string): StoreFaults {
    return { ...faultsOfAll, ...faultsOf.get(client) };
  }

  function chooseFate(client: string, operation: StoreOperation): CallFate | null {
    const decided = fates.get(`${client} ${operation}`)?.shift();
    const faults = getFaults(client);
    if (faults.outage) {
      return { kind: 'lost-call' };
    }
    if (decided) {
      return decided;
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
    const fate = chooseFate(client, operation);
    const halfWay = (latency + faults.extraLatency) / 2;
    return new Promise((resolve) => {
      const giveUpAfter = faults.outage && faults.refusesConnections ? halfWay : timeout;
      // A watch that runs out is answered at its timeout, so its caller listens a little longer.
      const grace = operation === 'watch' ? latency + faults.extraLatency : 0;
      const cancelDeadline = timers.registerTimeout(giveUpAfter + grace, () =>
        resolve({ kind: 'unknown' }),
      );
      if (fate?.kind === 'lost-call') {
        return;
      }
      const arrivesAfter = fate?.kind === 'late' ? fate.delay : halfWay;
      timers.registerTimeout(arrivesAfter, () =>
        effect((outcome) => {
          if (fate || getFaults(client).outage) {
            return;
          }
          timers.registerTimeout(halfWay, () => {
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
    const repeats = random.nextFloat() < getFaults(client).repeatedWatches;
    if (current.revision !== known || repeats) {
      answer({ kind: 'done', value: current });
      return;
    }
    const undo = [
      store.registerChange(key, (entry) => {
        if (random.nextFloat() >= getFaults(client).missedWatches) {
          finish(entry);
        }
      }),
      timers.registerTimeout(timeout - latency, () => finish(store.read(key))),
    ];
    function finish(entry: StoreEntry): void {
      undo.forEach((unregister) => unregister());
      answer({ kind: 'done', value: entry });
    }
  }

  function readInstances(lag: Millis): readonly InstanceRecord[] {
    const asOf = timers.now() - lag;
    return lists.findLast((version) => version.since <= asOf)?.instances ?? [];
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
        faultsOfAll = { ...faultsOfAll, ...faults };
      } else {
        faultsOf.set(client, { ...faultsOf.get(client), ...faults });
      }
    },
    injectFault(client, operation, fate) {
      const name = `${client} ${operation}`;
      fates.set(name, [...(fates.get(name) ?? []), fate]);
    },
    setInstances(instances) {
      lists = [...lists, { since: timers.now(), instances }];
    },
    countCalls() {
      const all = [...counts];
      const sum = (wanted: (operation: string) => boolean): number =>
        all.filter(([name]) => wanted(name)).reduce((total, [, count]) => total + count, 0);
      return {
        reads: sum((name) => !WRITES.has(name)),
        writes: sum((name) => WRITES.has(name)),
        watches: counts.get('watch') ?? 0,
        bytesWritten,
        byOperation: Object.fromEntries(all),
      };
    },
  };
}
