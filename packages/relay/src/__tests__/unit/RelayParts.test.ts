import { expect } from 'chai';
import { pino } from 'pino';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { LayerRange, Millis } from '@skylarksail/core/CoreTypes';
import { createDaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import { LAPSED_ENTRY_GRACE } from '../../RelayCatalogue.js';
import type { RelayParts } from '../../RelayParts.js';
import { startRelayParts } from '../../RelayParts.js';
import type { BackendEntry, RelayCall, RelayRefusal, StoreContent } from '../../RelayTypes.js';
import type { BackendPorts } from '../../RelayPorts.js';
import { createBackend, createConfig } from './RelayFixtures.js';

const CONFIG_KEY = 'config';
const BACKENDS = 'backends/';
const STOP_DELAY = 1000;
const LEASE_TIME = 3000;

interface SentOrder {
  readonly by: string;
  readonly engine: string;
  readonly range: LayerRange;
  readonly at: number;
}

/** Test setup with one store, one failure domain, its four engines and the instances that a test starts. */
function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const parts = new Map<string, RelayParts>();
  const layers = new Map<string, LayerRange>();
  const leaving = new Set<string>();
  const gone = new Set<string>();
  const orders: SentOrder[] = [];
  let suspendedTime = 0;

  const createBackends = (by: string): BackendPorts => ({
    openEngineCall: (call, listener) => {
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
    },
    openServiceCall: () => () => undefined,
    orders: {
      readStatus: ({ id }) =>
        Promise.resolve({
          born: null,
          orderCount: 0,
          isBusy: false,
          layers: layers.get(id) ?? null,
        }),
      order: ({ id }, range) => {
        orders.push({ by, engine: id, range, at: timers.now() });
        layers.set(id, range);
        return Promise.resolve('accepted');
      },
    },
    readHealth: ({ id }) =>
      Promise.resolve(leaving.has(id) ? { kind: 'leaving' } : { kind: 'well', id }),
  });

  function readContent({ key, value }: { key: string; value: string }): StoreContent {
    if (key === CONFIG_KEY) {
      return { kind: 'config', config: createConfig() };
    }
    return key.startsWith(BACKENDS)
      ? { kind: 'backend', entry: JSON.parse(value) as BackendEntry }
      : { kind: 'other' };
  }

  function start(id: string, port: StoreRangePort = store): void {
    const address = { host: '127.0.0.1', port: parts.size + 1 };
    const ids = [...parts.keys(), id];
    parts.set(
      id,
      startRelayParts({
        self: { id, domain: 'd1', address },
        mostCopies: 1,
        bounds: { retryShare: 0.2, retrySlack: 100, retryWindow: 10_000 },
        domains: ['d1'],
        changeTime: 2000,
        minLeaseTime: 1000,
        timers,
        wallNow: () => timers.now() + suspendedTime,
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
        createBackends: () => createBackends(id),
        logger: pino({ level: 'silent' }),
        decisions: { record: () => undefined, read: () => [] },
        metrics: createDaemonMetrics(),
      }),
    );
  }

  store.put(CONFIG_KEY, '');
  [0, 2, 4, 6].forEach((first, i) => {
    const id = `e${i}`;
    layers.set(id, { first, end: first + 2 });
    store.put(`${BACKENDS}${id}`, JSON.stringify(createBackend(id, { layers: layers.get(id) })));
  });

  return {
    timers,
    store,
    parts,
    orders,
    leaving,
    gone,
    start,
    /** Simulates a suspension of all processes: only the wall clock advances, the monotonic clock does not. */
    suspend: (time: Millis) => {
      suspendedTime += time;
    },
    /** Sends a request to an instance, so that it notices which engines refuse work; returns the refusals. */
    call: (id: string, path = '/letters/1') => {
      const call: RelayCall = {
        id: `${timers.now()}`,
        host: 'h',
        method: 'POST',
        path,
        headers: {},
        key: 'key',
        timeLeft: 5000,
        body: Buffer.from('x'),
        promptTokens: 10,
        maxTokens: 10,
      };
      const ignore = () => undefined;
      const refusals: RelayRefusal[] = [];
      parts.get(id)?.intake.submit(call, {
        onHead: ignore,
        onEvent: ignore,
        onEnd: ignore,
        onAborted: ignore,
        onAnswer: ignore,
        onRefused: (refusal) => refusals.push(refusal),
      });
      return refusals;
    },
    findPlacer: () => [...parts].find(([, { readState }]) => readState().duties === 1)?.[0] ?? '',
  };
}

/** Simulates eight seconds of a store outage in which an engine leaves while every instance gets requests. */
async function runOutageWithLeavingEngine(bed: ReturnType<typeof createBed>): Promise<void> {
  const start = bed.timers.now();
  bed.store.setAvailable(false);
  bed.leaving.add('e1');
  for (let at = start; at <= start + 8000; at += 500) {
    await bed.timers.advanceToAsync(at);
    bed.parts.forEach((_parts, id) => bed.call(id));
  }
}

describe('RelayParts', () => {
  it('lets only the last placing instance continue while no instance reaches the store', async () => {
    // Guards against a domain that loses an engine during a store outage and has no chain until the store recovers.
    // The store is down for all instances and an engine starts to leave, but the placement duty ended with its
    // lease and no instance can take it.
    const bed = createBed();
    ['one', 'two'].forEach((id) => bed.start(id));
    await bed.timers.advanceToAsync(6000);
    const placer = bed.findPlacer();
    expect(placer).to.not.equal('');
    expect(bed.orders).to.deep.equal([]);
    bed.store.setAvailable(false);
    await bed.timers.advanceToAsync(6000 + LEASE_TIME);
    await runOutageWithLeavingEngine(bed);
    expect(new Set(bed.orders.map(({ by }) => by))).to.deep.equal(new Set([placer]));
    expect(bed.orders.some(({ engine }) => engine === 'e1')).to.equal(false);
    expect(bed.parts.get(placer)?.readState().isIsolated).to.equal(true);
  });

  it('lets another instance place when the last placing instance leaves or is killed', async () => {
    // Guards against the failure of the previous test when the placing instance is stopped or killed during the
    // outage, just before an engine leaves: the duty then stayed with an instance that does not act.
    for (const isKilled of [true, false]) {
      const bed = createBed();
      ['one', 'two', 'three'].forEach((id) => bed.start(id));
      await bed.timers.advanceToAsync(6000);
      const placer = bed.findPlacer();
      bed.store.setAvailable(false);
      await bed.timers.advanceToAsync(6000 + STOP_DELAY);
      bed.parts.get(placer)?.startLeaving();
      if (isKilled) {
        bed.gone.add(placer);
      }
      await runOutageWithLeavingEngine(bed);
      const by = new Set(bed.orders.map((order) => order.by));
      expect(by.size).to.equal(1);
      expect(by.has(placer)).to.equal(false);
    }
  });

  it('places only under the lease while a peer reaches the store', async () => {
    // Guards against two instances that send orders to the same engines. The store is unreachable for one instance and
    // serves the other, and an engine leaves; the first instance must not take this for a store outage.
    const bed = createBed();
    const deaf = createFakeRangeStore(bed.timers);
    deaf.setAvailable(false);
    let isCutOff = false;
    const port = new Proxy(bed.store, {
      get: (target, name: keyof StoreRangePort) => (isCutOff ? deaf[name] : target[name]),
    });
    bed.start('one', port);
    await bed.timers.advanceToAsync(3000);
    bed.start('two');
    await bed.timers.advanceToAsync(6000);
    isCutOff = true;
    bed.leaving.add('e1');
    for (let at = 6000; at <= 14_000; at += 500) {
      await bed.timers.advanceToAsync(at);
      bed.call('one');
    }
    expect(bed.parts.get('one')?.readState()).to.include({ isIsolated: false, duties: 0 });
    expect(bed.parts.get('two')?.readState()).to.include({ duties: 1 });
    // The first instance may place until its lease could have lapsed.
    const later = bed.orders.filter(({ at }) => at > 6000 + LEASE_TIME);
    expect(later.every(({ by }) => by === 'two')).to.equal(true);
  });

  it('keeps lapsed engines while the store returns for a second between two outages', async () => {
    // Guards against an instance without engines for a whole outage: the first recovery's removals were carried out in it.
    const bed = createBed();
    bed.start('one');
    await bed.timers.advanceToAsync(6000);
    const countBackends = () => bed.parts.get('one')?.readState().backends;
    bed.store.setAvailable(false);
    ['e0', 'e1', 'e2', 'e3'].forEach((id) => bed.store.remove(`${BACKENDS}${id}`));
    await bed.timers.advanceToAsync(16_000);
    bed.store.setAvailable(true);
    await bed.timers.advanceToAsync(17_000);
    bed.store.setAvailable(false);
    await bed.timers.advanceToAsync(27_000);
    expect(countBackends(), 'in the second outage').to.equal(4);
    bed.store.setAvailable(true);
    await bed.timers.advanceToAsync(27_000 + LAPSED_ENTRY_GRACE - 100);
    expect(countBackends(), 'in the last grace period').to.equal(4);
    await bed.timers.advanceToAsync(27_000 + LAPSED_ENTRY_GRACE + 1000);
    expect(countBackends(), 'after it').to.equal(0);
  });

  it('keeps lapsed engines while a peer tells of their removal just after the store returns to it', async () => {
    // Guards against refusals by instances that the store answers last: a peer's removals ended all engines at once.
    const bed = createBed();
    const deaf = createFakeRangeStore(bed.timers);
    deaf.setAvailable(false);
    let isCutOff = false;
    const port = new Proxy(bed.store, {
      get: (target, name: keyof StoreRangePort) => (isCutOff ? deaf[name] : target[name]),
    });
    bed.start('one', port);
    bed.start('two');
    await bed.timers.advanceToAsync(6000);
    const countBackends = () => bed.parts.get('one')?.readState().backends;
    bed.store.setAvailable(false);
    isCutOff = true;
    const engines = ['e0', 'e1', 'e2', 'e3'].map((id) => `${BACKENDS}${id}`);
    const entries = engines.map((key) => bed.store.get(key) ?? '');
    engines.forEach((key) => bed.store.remove(key));
    await bed.timers.advanceToAsync(16_000);
    bed.store.setAvailable(true);
    for (let at = 16_000; at < 18_000; at += 100) {
      await bed.timers.advanceToAsync(at);
      expect(countBackends(), `${at - 16_000} ms after the return`).to.equal(4);
    }
    engines.forEach((key, i) => bed.store.put(key, entries[i] ?? ''));
    await bed.timers.advanceToAsync(20_000);
    expect(countBackends(), 'after all are registered again').to.equal(4);
    engines.slice(1).forEach((key) => bed.store.remove(key));
    await bed.timers.advanceToAsync(20_000 + LAPSED_ENTRY_GRACE + 1000);
    expect(countBackends(), 'after a removal that only the peer reads').to.equal(1);
  });

  it('keeps lapsed engines when a peer that told of their removal loses the store again', async () => {
    // Guards against an instance without engines for a whole outage, after the store answered only others for a second.
    const bed = createBed();
    const deaf = createFakeRangeStore(bed.timers);
    deaf.setAvailable(false);
    let isCutOff = false;
    const port = new Proxy(bed.store, {
      get: (target, name: keyof StoreRangePort) => (isCutOff ? deaf[name] : target[name]),
    });
    bed.start('one', port);
    bed.start('two');
    await bed.timers.advanceToAsync(6000);
    bed.store.setAvailable(false);
    isCutOff = true;
    ['e0', 'e1', 'e2', 'e3'].forEach((id) => bed.store.remove(`${BACKENDS}${id}`));
    await bed.timers.advanceToAsync(16_000);
    bed.store.setAvailable(true);
    await bed.timers.advanceToAsync(17_500);
    bed.store.setAvailable(false);
    await bed.timers.advanceToAsync(27_000);
    const counts = ['one', 'two'].map((id) => bed.parts.get(id)?.readState().backends);
    expect(counts).to.deep.equal([4, 4]);
  });

  it('removes an engine that is gone for good while the store refuses calls now and then', async () => {
    // Guards against calls to an engine that has ended for as long as the store fails a call every second or two: each
    // failure counts as a loss, and each recovery begins the grace period anew.
    const bed = createBed();
    const deaf = createFakeRangeStore(bed.timers);
    deaf.setAvailable(false);
    let isCutOff = false;
    const port = new Proxy(bed.store, {
      get: (target, name: keyof StoreRangePort) => (isCutOff ? deaf[name] : target[name]),
    });
    bed.start('one', port);
    await bed.timers.advanceToAsync(6000);
    const countBackends = () => bed.parts.get('one')?.readState().backends;
    for (let at = 6000; at < 36_000; at += 1500) {
      isCutOff = true;
      // The watch that waits is cut.
      bed.store.put('other', `${at}`);
      await bed.timers.advanceToAsync(at + 300);
      isCutOff = false;
      await bed.timers.advanceToAsync(at + 1000);
      if (at === 6000) {
        bed.store.remove(`${BACKENDS}e3`);
      }
      await bed.timers.advanceToAsync(at + 1500);
    }
    expect(countBackends()).to.equal(3);
  });

  it('removes an engine that is gone for good while the store cuts watches that wait', async () => {
    // Guards against the same where the platform only cuts watches, as its protocol permits: a cut counts as a loss.
    const bed = createBed();
    let isCutting = false;
    const cutWatch: StoreRangePort['watchRange'] = (...args) =>
      Promise.race([
        bed.store.watchRange(...args),
        new Promise<{ readonly kind: 'unknown' }>((resolve) => {
          bed.timers.registerTimeout(isCutting ? 1200 : 10_000, () => resolve({ kind: 'unknown' }));
        }),
      ]);
    bed.start('one', { ...bed.store, watchRange: cutWatch });
    await bed.timers.advanceToAsync(6000);
    isCutting = true;
    await bed.timers.advanceToAsync(12_000);
    bed.store.remove(`${BACKENDS}e3`);
    await bed.timers.advanceToAsync(42_000);
    expect(bed.parts.get('one')?.readState().backends).to.equal(3);
  });

  it('keeps lapsed engines when a peer that told of their removal has not noticed yet that it lost the store', async () => {
    // Guards against an instance without engines for a whole outage: a watch that gets no answer hides the loss for some
    // seconds, in which the peer gives news that are as old as its last answer.
    const bed = createBed();
    const createPort = () => {
      let mode: 'up' | 'down' | 'hung' = 'up';
      const down = createFakeRangeStore(bed.timers);
      down.setAvailable(false);
      /** Answers with the store, unless calls hang before its answer: then not until the timeout. */
      const callStore =
        (name: keyof StoreRangePort) =>
        async (...args: unknown[]) => {
          const endsAt = bed.timers.now() + (args.at(-1) as { timeout: number }).timeout;
          const call = bed.store[name] as (...given: unknown[]) => Promise<unknown>;
          const answer = mode === 'up' ? await call(...args) : null;
          if (mode !== 'hung') {
            return answer;
          }
          await new Promise<void>((resolve) => {
            bed.timers.registerTimeout(Math.max(0, endsAt - bed.timers.now()), resolve);
          });
          return { kind: 'unknown' };
        };
      const port = new Proxy(bed.store, {
        get: (_, name: keyof StoreRangePort) => (mode === 'down' ? down[name] : callStore(name)),
      });
      return {
        port,
        setMode: (next: typeof mode) => {
          mode = next;
        },
      };
    };
    const one = createPort();
    const two = createPort();
    bed.start('one', one.port);
    bed.start('two', two.port);
    await bed.timers.advanceToAsync(6000);
    bed.store.setAvailable(false);
    one.setMode('down');
    two.setMode('down');
    ['e0', 'e1', 'e2', 'e3'].forEach((id) => bed.store.remove(`${BACKENDS}${id}`));
    await bed.timers.advanceToAsync(16_000);
    bed.store.setAvailable(true);
    two.setMode('up');
    await bed.timers.advanceToAsync(17_000);
    two.setMode('hung');
    await bed.timers.advanceToAsync(27_000);
    expect(bed.parts.get('one')?.readState().backends).to.equal(4);
  });

  it('queries the store before it answers 404 after a suspension', async () => {
    // Guards against a 404 from an instance that was suspended when the route was added.
    const bed = createBed();
    bed.start('one');
    await bed.timers.advanceToAsync(3000);
    bed.call('one', '/none/1');
    await bed.timers.advanceToAsync(3050);
    expect(bed.call('one', '/none/1')).to.have.length(1);
    bed.suspend(5000);
    const refusals = bed.call('one', '/none/1');
    expect(refusals).to.deep.equal([]);
    await bed.timers.advanceToAsync(3100);
    expect(refusals.map(({ status }) => status)).to.deep.equal([404]);
    bed.suspend(5000);
    bed.store.setAvailable(false);
    const behind = bed.call('one', '/none/1');
    await bed.timers.advanceToAsync(4000);
    expect(behind.map(({ status }) => status)).to.deep.equal([503]);
  });

  for (const [what, stuck] of [
    ['entry', 1],
    ['duty', 2],
  ] as const) {
    it(`waits to a limit for the end of the lease of its ${what}, and then calls the store no more`, async () => {
      // Guards against a process that is killed, or ends before its leases do, and against one that stays for calls.
      const bed = createBed();
      const revoked: number[] = [];
      bed.start('one', {
        ...bed.store,
        revokeLease: (id, options) => {
          revoked.push(id);
          return id === stuck
            ? Promise.resolve({ kind: 'unknown' })
            : bed.store.revokeLease(id, options);
        },
      });
      await bed.timers.advanceToAsync(6000);
      const parts = bed.parts.get('one');
      expect(parts?.readState().duties).to.equal(1);
      parts?.startLeaving();
      let endedAt: Millis | null = null;
      void parts?.waitForLeaseEnds(1500).then(() => {
        endedAt = bed.timers.now();
      });
      await bed.timers.advanceToAsync(7400);
      expect(endedAt).to.equal(null);
      await bed.timers.advanceToAsync(7600);
      expect(endedAt).to.equal(7500);
      expect([...new Set(revoked)].sort()).to.deep.equal([1, 2]);
      parts?.stop();
      revoked.length = 0;
      await bed.timers.advanceToAsync(12_000);
      expect(revoked).to.deep.equal([]);
    });
  }

  it('gives up the end of its leases when it is stopped without a wait', async () => {
    // Guards against a daemon whose process stays after its stop for calls that nobody waits for.
    const bed = createBed();
    let revocations = 0;
    bed.start('one', {
      ...bed.store,
      revokeLease: () => {
        revocations += 1;
        return Promise.resolve({ kind: 'unknown' });
      },
    });
    await bed.timers.advanceToAsync(6000);
    bed.parts.get('one')?.startLeaving();
    await bed.timers.advanceToAsync(6100);
    bed.parts.get('one')?.stop();
    expect(revocations).to.equal(2);
    await bed.timers.advanceToAsync(12_000);
    expect(revocations).to.equal(2);
  });

  it('waits no longer than its leases take to end, and leaves no timer', async () => {
    // Guards against each planned shutdown taking all of its grace.
    const bed = createBed();
    bed.start('one');
    await bed.timers.advanceToAsync(6000);
    bed.parts.get('one')?.startLeaving();
    let isEnded = false;
    void bed.parts
      .get('one')
      ?.waitForLeaseEnds(5000)
      .then(() => {
        isEnded = true;
      });
    await bed.timers.advanceToAsync(6010);
    expect(isEnded).to.equal(true);
    bed.parts.get('one')?.stop();
    await bed.timers.advanceToAsync(9000);
    expect(bed.timers.countPending()).to.equal(0);
  });
});
