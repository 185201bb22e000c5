/** A store, one failure domain with four engines, and the instances that a test starts, in virtual time. */
import { pino } from 'pino';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { DomainId, LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import type { Decision } from '@skylarksail/daemon/DaemonDecisions';
import { createDaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import type { OpenEngineCall, OpenServiceCall } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import type { RelayParts } from '../../RelayPartsTypes.js';
import { startRelayParts } from '../../RelayParts.js';
import type { BackendEntry, RelayCall, RelayRefusal, StoreContent } from '../../RelayTypes.js';
import { CONNECT_TIMEOUT } from '../../RelayPorts.js';
import type { BackendPorts, BackendView, HealthAnswer } from '../../RelayPorts.js';
import type { MemorySharingName } from '../../RelayTuning.js';
import { MemorySharing } from '../../RelayTuning.js';
import { createBackend, createConfig, createRoute } from './RelayFixtures.js';

const CONFIG_KEY = 'config';
/** Failure domain of instances and engines, unless a test names another. */
const FIRST_DOMAIN: DomainId = 'd1';
/** Delay of a message between instances. */
const PEER_DELAY: Millis = 1;
/** Header by which a test's engine knows the shared parts of a prompt. */
export const PARTS_HEADER = 'parts';
/** Prefix of the engines' keys. */
export const BACKENDS = 'backends/';

/** An order that an instance sent to an engine. */
export interface SentOrder {
  readonly by: string;
  readonly engine: string;
  readonly range: LayerRange;
  readonly at: number;
}

/** A health check or a question for its status that an instance sent to an engine. */
export type SentProbe = Omit<SentOrder, 'range'>;

/** A request, and what its caller has received. */
export interface SentCall {
  readonly id: string;
  readonly path: string;
  readonly at: Millis;
  /** Time of the end of a whole answer. */
  readonly ends: Millis[];
  /** Times at which an answer was broken off. */
  readonly aborts: Millis[];
  readonly refusals: RelayRefusal[];
  /** Times of the refusals. */
  readonly refusedAt: Millis[];
  /** Lets the caller leave. */
  leave(): void;
}

/** Engine calls of an instance, in place of ones that always fail. */
export type OpenCallOf = (instance: string, view: BackendView) => OpenEngineCall;

/** Calls of an instance to plain services, in place of ones that never end. */
export type OpenServiceCallOf = (instance: string, view: BackendView) => OpenServiceCall;

const PLAIN_ROUTE = {
  maxAttempts: 2,
  timeout: 600,
  firstAnswerGoal: 120,
  targets: [{ service: 'accounts', weight: 1 }],
};

/** One route to the model, and two to the plain service: of calls that may be repeated, and of those that may not. */
const ROUTES = [
  createRoute(),
  createRoute({ ...PLAIN_ROUTE, name: 's', prefix: '/statements/', kind: 'safe' }),
  createRoute({ ...PLAIN_ROUTE, name: 'u', prefix: '/receipts/', kind: 'unsafe' }),
];

/** Creates the setup; no instance runs yet. */
export function createPartsBed(
  openCallOf: OpenCallOf | null = null,
  domains: readonly DomainId[] = [FIRST_DOMAIN],
  openServiceCallOf: OpenServiceCallOf | null = null,
  isCutOff: (instance: string) => boolean = () => false,
  shareMemory: MemorySharingName = MemorySharing.Auto,
  onDecision: (decision: Decision) => void = () => undefined,
) {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const parts = new Map<string, RelayParts>();
  const layers = new Map<string, LayerRange>();
  const leaving = new Set<string>();
  const gone = new Set<string>();
  const crashed = new Set<string>();
  const broken = new Set<string>();
  const orders: SentOrder[] = [];
  const probes: SentProbe[] = [];
  let suspendedTime = 0;
  let isReading = true;
  const unread: (() => void)[] = [];
  let calls = 0;

  const openRefusedCall: OpenEngineCall = (call, listener) => {
    const refusing = call.chain.stages.find(({ engine }) => leaving.has(engine));
    queueMicrotask(() =>
      listener.onFailure({
        place: FailurePlace.Stage,
        engine: refusing?.engine ?? null,
        status: 503,
        retryAfter: null,
        provenNotRun: true,
      }),
    );
    return () => undefined;
  };

  /** Fails as an adapter does that can't even try, as with an address that is none. */
  function failIfBroken(id: string): void {
    if (broken.has(id)) {
      throw new RangeError(`no port of ${id}`);
    }
  }

  const createBackends = (by: string, view: BackendView): BackendPorts => ({
    openEngineCall: openCallOf?.(by, view) ?? openRefusedCall,
    openServiceCall: openServiceCallOf?.(by, view) ?? (() => () => undefined),
    orders: {
      readStatus: ({ id }) => {
        probes.push({ by, engine: id, at: timers.now() });
        if (broken.has(id)) {
          return Promise.resolve(null);
        }
        return Promise.resolve({
          born: null,
          orderCount: 0,
          isBusy: false,
          layers: layers.get(id) ?? null,
        });
      },
      order: async ({ id }, range) => {
        failIfBroken(id);
        orders.push({ by, engine: id, range, at: timers.now() });
        layers.set(id, range);
        return Promise.resolve('accepted');
      },
    },
    readHealth: async ({ id }) => {
      failIfBroken(id);
      probes.push({ by, engine: id, at: timers.now() });
      return Promise.resolve(readHealthOf(by, id));
    },
    checkConnection: async ({ id }) => {
      failIfBroken(id);
      const isReached = !isCutOff(by) && !crashed.has(id);
      return isReached ? Promise.resolve(true) : wait(CONNECT_TIMEOUT).then(() => false);
    },
  });

  function wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, resolve);
    });
  }

  function readHealthOf(by: string, id: string): HealthAnswer {
    if (crashed.has(id) || isCutOff(by)) {
      return { kind: 'silent' };
    }
    return leaving.has(id) ? { kind: 'leaving' } : { kind: 'well', id };
  }

  function addEngine(id: string, range: LayerRange, domain: DomainId = FIRST_DOMAIN): void {
    layers.set(id, range);
    store.put(`${BACKENDS}${id}`, JSON.stringify(createBackend(id, { layers: range, domain })));
  }

  function addServer(id: string, domain: DomainId = FIRST_DOMAIN): void {
    const entry = createBackend(id, { service: 'accounts', accelerator: null, domain });
    store.put(`${BACKENDS}${id}`, JSON.stringify(entry));
  }

  function readContent({ key, value }: { key: string; value: string }): StoreContent {
    if (key === CONFIG_KEY) {
      return { kind: 'config', config: createConfig({ routes: ROUTES }) };
    }
    return key.startsWith(BACKENDS)
      ? { kind: 'backend', entry: JSON.parse(value) as BackendEntry }
      : { kind: 'other' };
  }

  function start(id: string, port: StoreRangePort = store, domain: DomainId = FIRST_DOMAIN): void {
    const address = { host: '127.0.0.1', port: parts.size + 1 };
    const ids = [...parts.keys(), id];
    parts.set(
      id,
      startRelayParts({
        self: { id, domain, address },
        mostCopies: 1,
        shareMemory,
        bounds: { retryShare: 0.2, retrySlack: 100, retryWindow: 10_000 },
        domains,
        changeTime: 2000,
        minLeaseTime: 1000,
        timers,
        wallNow: () => timers.now() + suspendedTime,
        afterTurn: (work) => (isReading ? work() : unread.push(work)),
        random: createRandom(ids.length),
        store: port,
        readContent,
        readBackendKey: (key) => (key.startsWith(BACKENDS) ? key.slice(BACKENDS.length) : null),
        askPeer: ({ port: to }, since) => {
          const peer = [...parts.keys()][to - 1] ?? '';
          const answer = gone.has(peer) ? undefined : parts.get(peer)?.peers.answer(since, true);
          return Promise.resolve(answer ?? { kind: 'silent' });
        },
        askForUpdates: async ({ id: peer }, ask) => {
          const answer = gone.has(peer) ? undefined : await parts.get(peer)?.updates.answer(ask);
          return answer ?? { kind: 'silent' };
        },
        askGrant: ({ id: peer }, service, wanted) =>
          Promise.resolve(
            gone.has(peer) ? 0 : (parts.get(peer)?.retries.grant(service, wanted) ?? 0),
          ),
        sendCrashReports: ({ id: peer }, digest) => {
          const receiver = gone.has(peer) ? undefined : parts.get(peer);
          receiver?.router.mergePoison(digest);
          return Promise.resolve(receiver !== undefined);
        },
        askForTrial: ({ id: peer }, fingerprint) =>
          Promise.resolve(
            gone.has(peer) ? null : (parts.get(peer)?.trials.grant(fingerprint) ?? null),
          ),
        askForPermits: ({ id: peer }, query) =>
          Promise.resolve(gone.has(peer) ? null : (parts.get(peer)?.limits.answer(query) ?? null)),
        openForward: (peer, task, listener) => {
          const server = gone.has(peer.id) ? undefined : parts.get(peer.id)?.forwarding;
          let isOver = false;
          let cancel = (): void => undefined;
          timers.registerTimeout(PEER_DELAY, () => {
            if (isOver) {
              return;
            }
            if (server) {
              cancel = server.serve(task, (frame) => {
                if (isOver) {
                  return;
                }
                if (gone.has(peer.id)) {
                  isOver = true;
                  listener.onClosed(true);
                } else {
                  listener.onFrame(frame);
                }
              });
            } else {
              listener.onClosed(false);
            }
          });
          return () => {
            isOver = true;
            // The word that it has ended does not reach an instance that is gone.
            if (!gone.has(peer.id)) {
              cancel();
            }
          };
        },
        createBackends: (view) => createBackends(id, view),
        logger: pino({ level: 'silent' }),
        decisions: { record: onDecision, read: () => [] },
        metrics: createDaemonMetrics(),
      }),
    );
  }

  /** Sends a request to an instance; returns what its caller has received, which grows. */
  function submit(
    id: string,
    path: string,
    timeLeft: Millis,
    sharedParts: readonly string[] = [],
    waited: Millis = 0,
  ): SentCall {
    calls += 1;
    const call: RelayCall = {
      id: `${calls} ${path}`,
      host: 'h',
      method: 'POST',
      path,
      headers: { [PARTS_HEADER]: sharedParts.join(',') },
      key: 'key',
      timeLeft,
      waited,
      body: Buffer.from('x'),
      sharedParts,
      promptTokens: 10,
      maxTokens: 10,
    };
    let cancel: (() => void) | undefined;
    const sent: SentCall = {
      id,
      path,
      at: timers.now(),
      ends: [],
      aborts: [],
      refusals: [],
      refusedAt: [],
      leave: () => cancel?.(),
    };
    const end = (): void => {
      sent.ends.push(timers.now());
    };
    cancel = parts.get(id)?.intake.submit(call, {
      onHead: () => undefined,
      onEvent: () => undefined,
      onEnd: end,
      onAborted: () => {
        sent.aborts.push(timers.now());
      },
      onAnswer: end,
      onRefused: (refusal) => {
        sent.refusals.push(refusal);
        sent.refusedAt.push(timers.now());
      },
    }).cancel;
    return sent;
  }

  store.put(CONFIG_KEY, '');
  [0, 2, 4, 6].forEach((first, i) => {
    addEngine(`e${i}`, { first, end: first + 2 });
  });

  return {
    timers,
    store,
    parts,
    orders,
    probes,
    leaving,
    gone,
    /** Engines that do not answer. */
    crashed,
    /** Engines without a report, at which each order and check ends with an error. */
    broken,
    addEngine,
    /** Registers a server of the plain service. */
    addServer,
    start,
    /** Leaves all that comes now unread, until the returned function is called. */
    holdReading: () => {
      isReading = false;
      return () => {
        isReading = true;
        unread.splice(0).forEach((work) => work());
      };
    },
    /** Simulates a suspension of all processes: only the wall clock advances, the monotonic clock does not. */
    suspend: (time: Millis) => {
      suspendedTime += time;
    },
    submit,
    /** Sends a request to an instance, so that it notices which engines refuse work; returns the refusals. */
    call: (id: string, path = '/letters/1', timeLeft: Millis = 5000) =>
      submit(id, path, timeLeft).refusals,
    findPlacer: () => [...parts].find(([, { readState }]) => readState().duties === 1)?.[0] ?? '',
  };
}

export type PartsBed = ReturnType<typeof createPartsBed>;
