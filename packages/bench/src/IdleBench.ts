/**
 * Measures the processor time and store calls of one instance that serves no requests, in fleets of several
 * sizes. Runs the real relay over virtual time; the other instances exist as store entries only and there
 * are no sockets, so the figures cover the product's own code and its garbage collection.
 */
import { performance } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { pino } from 'pino';
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createDaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import { startRelayParts } from '@skylarksail/relay/RelayParts';
import type { BackendEntry, StoreContent } from '@skylarksail/relay/RelayTypes';
import type { BackendPorts } from '@skylarksail/relay/RelayPorts';
import { MemorySharing } from '@skylarksail/relay/RelayTuning';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { KEY_PREFIX, CONFIG_KEY, createIdleConfig, createIdleEngine } from './IdleFleet.js';

/** Activity in the store during the measurement. */
const IdleLoad = {
  /** Nothing changes. */
  Idle: 'rest',
  /** The entry of one engine is written each second. */
  Updates: 'news',
} as const;

type IdleLoadName = (typeof IdleLoad)[keyof typeof IdleLoad];

export interface IdleBenchOptions {
  readonly seed: number;
  /** Numbers of instances; the fleet has the same number of engines. */
  readonly sizes?: readonly number[];
}

/** Cost of one instance at one fleet size. */
export interface IdleLine {
  readonly bench: 'idle';
  readonly load: IdleLoadName;
  readonly instances: number;
  readonly engines: number;
  /** Processor time of the product's code, as a percentage of a core. */
  readonly cpu_pct: number;
  /** Calls that the measured instance makes to the store. */
  readonly store_calls_s: number;
}

const DEFAULT_SIZES = [30, 100, 195, 300];
const DOMAINS = 5;
/** Time in which the instance reads the fleet from the store and reaches a steady state. */
const SETTLE_TIME: Millis = 15_000;
const MEASURE_TIME: Millis = 30_000;
const UPDATE_PERIOD: Millis = 1000;
const PERCENT = 100;

/** Runs each size with each kind of activity and prints a line for each. */
export async function runIdleBench(
  { seed, sizes = DEFAULT_SIZES }: IdleBenchOptions,
  print: (line: IdleLine) => void,
): Promise<void> {
  // Without this flag the first case also pays for compilation that all cases share.
  setFlagsFromString('--no-lazy-feedback-allocation');
  for (const instances of sizes) {
    for (const load of Object.values(IdleLoad)) {
      print(await measure(seed, instances, load));
    }
  }
}

async function measure(seed: number, instances: number, load: IdleLoadName): Promise<IdleLine> {
  const timers = createVirtualTimers();
  const random = createRandom(seed);
  const store = createFakeRangeStore(timers);
  const engines = Array.from({ length: instances }, (_, i) => createIdleEngine(i, DOMAINS));
  store.put(CONFIG_KEY, '');
  engines.forEach((engine) => putEngine(engine));
  for (let i = 1; i < instances; i += 1) {
    store.put(`skylarksail/instances/i${i}`, `d${i % DOMAINS} 127.0.0.1 ${i}`);
  }

  function putEngine(engine: BackendEntry): void {
    store.put(`${KEY_PREFIX}${engine.server}`, JSON.stringify(engine));
  }

  const parts = startRelayParts({
    self: { id: 'i0', domain: 'd0', address: { host: '127.0.0.1', port: instances } },
    bounds: { retryShare: 0.2, retrySlack: 500, retryWindow: 10_000 },
    domains: Array.from({ length: DOMAINS }, (_, i) => `d${i}`),
    mostCopies: 2,
    shareMemory: MemorySharing.Auto,
    wallNow: () => Date.now(),
    afterTurn: (work) => work(),
    changeTime: 2000,
    minLeaseTime: 1000,
    timers,
    random,
    store,
    readContent,
    readBackendKey: (key) => (key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : null),
    askPeer: () => Promise.resolve({ kind: 'silent' }),
    askForUpdates: () => Promise.resolve({ kind: 'silent' }),
    askGrant: () => Promise.resolve(0),
    sendCrashReports: () => Promise.resolve(false),
    askForPermits: () => Promise.resolve(null),
    askForTrial: () => Promise.resolve(null),
    openForward: () => () => undefined,
    createBackends: createIdleBackends,
    logger: pino({ level: 'silent' }),
    decisions: { record: () => undefined, read: () => [] },
    metrics: createDaemonMetrics(),
  });
  await timers.advanceToAsync(SETTLE_TIME);
  const stopUpdates =
    load === IdleLoad.Updates
      ? timers.registerInterval(UPDATE_PERIOD, () => {
          const engine = engines[random.nextInt(engines.length)];
          if (engine) {
            putEngine({ ...engine, state: random.nextInt(2) === 0 ? 'live' : 'leaving' });
          }
        })
      : () => undefined;
  const callsBefore = store.countCalls();
  const startedAt = performance.now();
  await timers.advanceToAsync(SETTLE_TIME + MEASURE_TIME);
  const elapsed = performance.now() - startedAt;
  stopUpdates();
  parts.stop();
  return {
    bench: 'idle',
    load,
    instances,
    engines: engines.length,
    cpu_pct: round((PERCENT * elapsed) / MEASURE_TIME),
    store_calls_s: round(((store.countCalls() - callsBefore) * MILLIS_PER_SECOND) / MEASURE_TIME),
  };
}

function readContent({ key, value }: { key: string; value: string }): StoreContent {
  if (key === CONFIG_KEY) {
    return { kind: 'config', config: createIdleConfig() };
  }
  return key.startsWith(KEY_PREFIX)
    ? { kind: 'backend', entry: JSON.parse(value) as BackendEntry }
    : { kind: 'other' };
}

function createIdleBackends(): BackendPorts {
  return {
    openEngineCall: () => () => undefined,
    openServiceCall: () => () => undefined,
    orders: {
      readStatus: () => Promise.resolve(null),
      order: () => Promise.resolve('refused'),
    },
    readHealth: () => Promise.resolve({ kind: 'silent' }),
    checkConnection: () => Promise.resolve(true),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
