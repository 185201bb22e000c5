import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { FakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { registerRangeWatch } from '@skylarksail/store/StoreRangeWatch';
import type { StoreEvent, StoreRangePort } from '@skylarksail/store/StoreRange';
import { createMirror } from '../../RelayMirror.js';
import type { RelayUpdates } from '../../RelayUpdates.js';
import { createRelayUpdates } from '../../RelayUpdates.js';
import { createFanoutRoleCache, FanoutLevel } from '../../RelayFanout.js';
import type { InstanceEntry } from '../../RelayTypes.js';
import type { WorkReport } from '../../RelayWork.js';

const INSTANCES = 60;
const DOMAINS = 5;
/** Time in ms in which a change must be in force at the deployments with the tightest bound. */
const IN_FORCE_BOUND = 2000;
const WATCH_WAIT = 2500;
const STORE_TIMEOUT = 700;

const NO_WORK = { running: [], lost: [] };
const WORK_OPTIONS = {
  work: {
    recordReport: () => undefined,
    summarizeFor: () => NO_WORK,
    recordSummary: () => undefined,
  },
  readOwnWork: () => NO_WORK,
  isCrowded: () => false,
  rooms: {
    list: () => [],
    record: () => undefined,
    selectWork: (_: string, work: WorkReport) => work,
  },
};

/** An instance with its copy of the store and its faults. */
interface Member {
  readonly entry: InstanceEntry;
  readonly known: Map<string, string>;
  /** Time of the last change of each key. */
  readonly updatedAt: Map<string, number>;
  news: RelayUpdates;
  isGone: boolean;
  /** Whether the connection to the store drops everything silently. */
  isCut: boolean;
}

function createCutPort(
  store: FakeRangeStore,
  timers: VirtualTimers,
  isCut: () => boolean,
): StoreRangePort {
  const guard = async <T>(
    timeout: number,
    work: () => Promise<T>,
  ): Promise<T | { kind: 'unknown' }> => {
    const timedOut = new Promise<{ kind: 'unknown' }>((resolve) => {
      timers.registerTimeout(timeout, () => resolve({ kind: 'unknown' }));
    });
    const answer = isCut() ? timedOut : work();
    // A cut that begins during a pending watch drops its answer too.
    const outcome = await Promise.race([answer, timedOut]);
    return isCut() ? timedOut : outcome;
  };
  return {
    ...store,
    readRange: (prefix, after, options) =>
      guard(options.timeout, () => store.readRange(prefix, after, options)),
    watchRange: (prefix, since, wait, options) =>
      guard(options.timeout, () => store.watchRange(prefix, since, wait, options)),
  };
}

function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const members = new Map<string, Member>();
  let entries: readonly InstanceEntry[] = [];
  let readCount = 0;
  let directWatchCount = 0;
  const listEntries = (): readonly InstanceEntry[] => entries;

  const countingStore: FakeRangeStore = {
    ...store,
    readRange(...args) {
      readCount += 1;
      return store.readRange(...args);
    },
  };

  function start(id: string): Member {
    const domain = `d${members.size % DOMAINS}`;
    const entry = { id, domain, address: { host: '127.0.0.1', port: members.size + 1 } };
    const mirror = createMirror();
    const known = new Map<string, string>();
    const updatedAt = new Map<string, number>();
    const role = createFanoutRoleCache(entry, listEntries);
    const isCut = (): boolean => members.get(id)?.isCut ?? false;
    const news = createRelayUpdates({
      changeTime: IN_FORCE_BOUND,
      self: id,
      ...WORK_OPTIONS,
      timers,
      store: createCutPort(countingStore, timers, isCut),
      mirror,
      getRole: role.get,
      onDirectWatch() {
        directWatchCount += 1;
      },
      askForUpdates: async ({ id: peer }, ask, timeout) => {
        const source = members.get(peer);
        if (!source || source.isGone) {
          await new Promise<void>((resolve) => {
            timers.registerTimeout(timeout, resolve);
          });
          return { kind: 'silent' };
        }
        return source.news.answer(ask);
      },
    });
    const take = (event: StoreEvent): void => {
      if (mirror.apply(event)) {
        const key = event.kind === 'written' ? event.item.key : event.key;
        updatedAt.set(key, timers.now());
        if (event.kind === 'written') {
          known.set(key, event.item.value);
        } else {
          known.delete(key);
        }
      }
    };
    const member = { entry, known, updatedAt, news, isGone: false, isCut: false };
    members.set(id, member);
    entries = [...entries, entry];
    registerRangeWatch({
      port: news.port,
      timers,
      random: createRandom(members.size),
      prefix: '',
      wait: WATCH_WAIT,
      timeout: STORE_TIMEOUT,
      getGatherTime: role.getGatherTime,
      listener: {
        onSnapshot(items, revision) {
          mirror.toEvents({ isWhole: true, items, removed: [], revision }).forEach(take);
        },
        onEvent: take,
        onCaughtUp: news.noteCaughtUp,
        onLost: () => news.setReachable(false),
        onRegained: () => news.setReachable(true),
      },
    });
    return member;
  }

  function listSources(): readonly Member[] {
    return [...members.values()].filter(
      ({ entry }) => createFanoutRoleCache(entry, listEntries).get().level === FanoutLevel.Watcher,
    );
  }

  /** Longest delay in ms until a running, connected instance had a key. */
  function getLongestDelay(key: string, since: number): number {
    const reachable = [...members.values()].filter(({ isGone, isCut }) => !isGone && !isCut);
    return Math.max(...reachable.map(({ updatedAt }) => (updatedAt.get(key) ?? Infinity) - since));
  }

  return {
    timers,
    store,
    members,
    start,
    listSources,
    getLongestDelay,
    countReads: () => readCount,
    countDirectWatches: () => directWatchCount,
  };
}

async function startFleet(count = INSTANCES) {
  const bed = createBed();
  bed.store.put('config', 'one');
  Array.from({ length: count }, (_, i) => bed.start(`i${i}`));
  await bed.timers.advanceToAsync(5000);
  return bed;
}

describe('Fan-out of store updates', () => {
  it('lets three instances watch the store, and delivers each change to all', async () => {
    // Guards against a fleet of 195 that spends a seventh of its revenue on store calls while engines only register one
    // after another: each change, and each end of a watch without changes, costs a call per instance.
    const { timers, store, members, listSources, getLongestDelay } = await startFleet();
    expect(listSources()).to.have.length(3);
    const before = store.countCalls();
    for (let i = 0; i < 10; i++) {
      const at = timers.now();
      store.put(`engine${i}`, 'there');
      await timers.advanceToAsync(at + 3000);
      expect(getLongestDelay(`engine${i}`, at)).to.be.below(IN_FORCE_BOUND);
    }
    // In thirty seconds, each of the three watchers makes a call per change and one per second.
    expect(store.countCalls() - before).to.be.below(3 * (30 + 10 + 5));
    expect(members.get('i0')?.known.size).to.equal(11);
  });

  it('lets all instances of a small fleet watch the store, since sources would save nothing', async () => {
    const { listSources } = await startFleet(10);
    expect(listSources()).to.have.length(10);
  });

  it('delivers a change in time while some or all sources are dead or cut off from the store', async () => {
    // Guards against healthy instances that use an old configuration for seconds: a source crashes, or its connection
    // to the store silently drops everything, and its subscribers get the next configuration as late as it does.
    for (const fault of ['isGone', 'isCut'] as const) {
      for (const count of [1, 2, 3]) {
        const { timers, store, listSources, getLongestDelay } = await startFleet();
        const at = timers.now();
        listSources()
          .slice(0, count)
          .forEach((source) => Object.assign(source, { [fault]: true }));
        await timers.advanceToAsync(at + 100);
        store.put('config', 'two');
        await timers.advanceToAsync(at + 10_000);
        // Watchers that are all cut off at once detect it only when their watch ends.
        const bound = count === 3 ? 2 * IN_FORCE_BOUND : IN_FORCE_BOUND;
        expect(getLongestDelay('config', at + 100), `${count} ${fault}`).to.be.below(bound);
      }
    }
  });

  it('watches the store directly while all watchers are dead', async () => {
    const { timers, store, listSources, getLongestDelay } = await startFleet();
    listSources().forEach((source) => Object.assign(source, { isGone: true }));
    await timers.advanceToAsync(8000);
    for (let i = 0; i < 5; i++) {
      const at = timers.now();
      store.put(`engine${i}`, 'there');
      await timers.advanceToAsync(at + 3000);
      expect(getLongestDelay(`engine${i}`, at)).to.be.below(IN_FORCE_BOUND);
    }
  });

  it('causes no direct watches while a source works, at startup or with a dead watcher', async () => {
    // Guards against a staleness limit for sources that is below the usual value with a dead watcher, or at startup,
    // when watchers without polls watch for longer: 72 of 75 instances fell back to the store in the third second.
    const { timers, listSources, countDirectWatches } = await startFleet(75);
    const atStart = countDirectWatches();
    listSources()
      .slice(0, 1)
      .forEach((source) => Object.assign(source, { isGone: true, isCut: true }));
    await timers.advanceToAsync(timers.now() + 20_000);
    expect([atStart, countDirectWatches()]).to.deep.equal([0, 0]);
  });

  it('delivers removals from before a source started', async () => {
    // Guards against an engine that has left but gets requests from some instances indefinitely: its entry is removed
    // while all sources are down, and new instances, which never saw the entry and have no tombstone for it, become
    // the sources.
    const { timers, store, members, start, listSources } = await startFleet(15);
    store.put('engine', 'there');
    await timers.advanceToAsync(8000);
    members.forEach((member) => Object.assign(member, { isCut: true }));
    await timers.advanceToAsync(timers.now() + 6000);
    store.remove('engine');
    Array.from({ length: 40 }, (_, i) => start(`new${i}`));
    await timers.advanceToAsync(timers.now() + 3000);
    expect(listSources().some(({ entry }) => entry.id.startsWith('new'))).to.equal(true);
    members.forEach((member) => Object.assign(member, { isCut: false }));
    await timers.advanceToAsync(timers.now() + 6000);
    const stale = [...members.values()].filter(({ known }) => known.has('engine'));
    expect(stale).to.deep.equal([]);
  });

  it('delivers removals that a source derived from a snapshot', async () => {
    const { timers, store, members } = await startFleet(15);
    store.put('engine', 'there');
    await timers.advanceToAsync(8000);
    store.remove('engine');
    store.compact();
    await timers.advanceToAsync(14_000);
    members.forEach(({ known }) => expect(known.has('engine')).to.equal(false));
  });

  it('never understates staleness while the store is unreachable for all', async () => {
    // Guards against an instance that counts as current because its equally stale source does.
    const { timers, members } = await startFleet();
    const at = timers.now();
    members.forEach((member) => Object.assign(member, { isCut: true }));
    for (let after = 500; after <= 8000; after += 500) {
      await timers.advanceToAsync(at + after);
      const ages = [...members.values()].map(({ news }) => news.readState().age);
      expect(Math.min(...ages), `after ${after}`).to.be.at.least(after);
      const hearing = [...members.values()].filter(({ news }) => news.isCurrent());
      expect(after < 4000 || hearing.length === 0, `after ${after}`).to.equal(true);
    }
  });

  it('reads a snapshot after a long loss, and resumes the watch after a short one', async () => {
    // Guards against an answer that never arrives whole on narrow links: after an outage of some seconds, in which a
    // large configuration was written several times, each instance was sent every version in one answer, 3.9 MB
    // instead of 0.5.
    for (const [loss, isReadAnew] of [
      [600, false],
      [5000, true],
    ] as const) {
      const { timers, store, members, countReads } = await startFleet(10);
      const before = countReads();
      store.setAvailable(false);
      await timers.advanceToAsync(timers.now() + loss);
      expect([...members.values()].some(({ news }) => news.isCurrent())).to.equal(false);
      Array.from({ length: 8 }, (_, i) => store.put('config', `version ${i}`));
      store.setAvailable(true);
      await timers.advanceToAsync(timers.now() + 3000);
      members.forEach(({ known }) => expect(known.get('config')).to.equal('version 7'));
      expect(countReads() > before, `lost for ${loss}`).to.equal(isReadAnew);
    }
  });

  it('refuses to answer for revisions whose tombstones were pruned', async () => {
    const mirror = createMirror();
    for (let i = 1; i <= 2100; i++) {
      mirror.apply({ kind: 'removed', key: `k${i}`, revision: i });
    }
    const timers = createVirtualTimers();
    const news = createRelayUpdates({
      changeTime: IN_FORCE_BOUND,
      self: 'one',
      ...WORK_OPTIONS,
      timers,
      store: createFakeRangeStore(timers),
      mirror,
      getRole: () => ({ level: FanoutLevel.Watcher, sources: [], isShared: true }),
      onDirectWatch: () => undefined,
      askForUpdates: () => Promise.resolve({ kind: 'silent' }),
    });
    const ask = {
      hold: 0,
      level: FanoutLevel.Subscriber,
      takesWhole: false,
      from: 'two',
      work: NO_WORK,
    };
    await news.port.readRange('', null, { timeout: STORE_TIMEOUT });
    mirror.toEvents({ isWhole: true, items: [], removed: [], revision: 1 });
    news.noteCaughtUp(1);
    news.noteCaughtUp(2100);
    expect((await news.answer({ since: 2, ...ask })).kind).to.equal('deaf');
    expect((await news.answer({ since: 2000, ...ask })).kind).to.equal('news');
    const whole = await news.answer({ since: 2, ...ask, takesWhole: true });
    expect(whole).to.have.nested.property('changes.isWhole', true);
  });
});
