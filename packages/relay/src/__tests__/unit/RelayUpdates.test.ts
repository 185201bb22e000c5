import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { FakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { registerFollow } from '@skylarksail/store/StoreFollow';
import type { StoreEvent, StoreRangePort } from '@skylarksail/store/StoreRange';
import { createMirror } from '../../RelayMirror.js';
import type { RelayUpdates } from '../../RelayUpdates.js';
import { createRelayUpdates } from '../../RelayUpdates.js';
import { createFanoutRoleCache, FanoutLevel } from '../../RelayFanout.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const INSTANCES = 60;
const DOMAINS = 5;
/** Within so long a change is to be in force at the deployments with the tightest bound, in ms. */
const IN_FORCE = 2000;
const WATCH = 2500;
const TIMEOUT = 700;

const IDLE = { running: [], lost: [] };
const NO_WORK = {
  work: { take: () => undefined, sumFor: () => IDLE, hear: () => undefined },
  readOwnWork: () => IDLE,
  isCrowded: () => false,
};

/** An instance with what it knows of the store, and the faults that it may have. */
interface Member {
  readonly entry: InstanceEntry;
  readonly known: Map<string, string>;
  /** When each key was last heard of. */
  readonly heardAt: Map<string, number>;
  news: RelayUpdates;
  isGone: boolean;
  /** The way to the store swallows everything, without a word. */
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
    // A cut that begins while the store holds a watch swallows its answer too.
    const done = await Promise.race([answer, timedOut]);
    return isCut() ? timedOut : done;
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
  let reads = 0;
  let turns = 0;
  const listEntries = (): readonly InstanceEntry[] => entries;

  const countingStore: FakeRangeStore = {
    ...store,
    readRange(...args) {
      reads += 1;
      return store.readRange(...args);
    },
  };

  function start(id: string): Member {
    const domain = `d${members.size % DOMAINS}`;
    const entry = { id, domain, address: { host: '127.0.0.1', port: members.size + 1 } };
    const mirror = createMirror();
    const known = new Map<string, string>();
    const heardAt = new Map<string, number>();
    const role = createFanoutRoleCache(entry, listEntries);
    const isCut = (): boolean => members.get(id)?.isCut ?? false;
    const news = createRelayUpdates({
      self: id,
      ...NO_WORK,
      timers,
      store: createCutPort(countingStore, timers, isCut),
      mirror,
      getRole: role.get,
      onDirectWatch() {
        turns += 1;
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
        heardAt.set(key, timers.now());
        if (event.kind === 'written') {
          known.set(key, event.item.value);
        } else {
          known.delete(key);
        }
      }
    };
    const member = { entry, known, heardAt, news, isGone: false, isCut: false };
    members.set(id, member);
    entries = [...entries, entry];
    registerFollow({
      port: news.port,
      timers,
      random: createRandom(members.size),
      prefix: '',
      wait: WATCH,
      timeout: TIMEOUT,
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

  /** Longest time in which an instance that lives and reaches someone heard of a key, in ms. */
  function getLongest(key: string, since: number): number {
    const living = [...members.values()].filter(({ isGone, isCut }) => !isGone && !isCut);
    return Math.max(...living.map(({ heardAt }) => (heardAt.get(key) ?? Infinity) - since));
  }

  return {
    timers,
    store,
    members,
    start,
    listSources,
    getLongest,
    countReads: () => reads,
    countTurns: () => turns,
  };
}

async function startFleet(count = INSTANCES) {
  const bed = createBed();
  bed.store.put('config', 'one');
  Array.from({ length: count }, (_, i) => bed.start(`i${i}`));
  await bed.timers.advanceToAsync(5000);
  return bed;
}

describe('RelayNews', () => {
  it('lets three instances watch the store, and all hear of each change', async () => {
    // Symptom: on a calm day a seventh of what a fleet of 195 earns goes to calls to the store.
    // Sequence: engines register one after the other; nothing else happens.
    // Cause: each change is a call of each instance, and so is the end of each watch without news.
    const { timers, store, members, listSources, getLongest } = await startFleet();
    expect(listSources()).to.have.length(3);
    const before = store.countCalls();
    for (let i = 0; i < 10; i++) {
      const at = timers.now();
      store.put(`engine${i}`, 'there');
      await timers.advanceToAsync(at + 3000);
      expect(getLongest(`engine${i}`, at)).to.be.below(IN_FORCE);
    }
    // Thirty seconds: three that watch take a call for each change and one a second.
    expect(store.countCalls() - before).to.be.below(3 * (30 + 10 + 5));
    expect(members.get('i0')?.known.size).to.equal(11);
  });

  it('keeps a small fleet’s instances at the store, where nothing would be saved', async () => {
    const { listSources } = await startFleet(10);
    expect(listSources()).to.have.length(10);
  });

  it('tells of a change in time while a source is dead or cut off from the store, and while all are', async () => {
    // Symptom: instances that are well serve an old configuration for seconds.
    // Sequence: a source dies, or its way to the store goes silent; the configuration changes.
    // Cause: whoever hears by others is as late as they are.
    for (const fault of ['isGone', 'isCut'] as const) {
      for (const count of [1, 2, 3]) {
        const { timers, store, listSources, getLongest } = await startFleet();
        const at = timers.now();
        listSources()
          .slice(0, count)
          .forEach((source) => Object.assign(source, { [fault]: true }));
        await timers.advanceToAsync(at + 100);
        store.put('config', 'two');
        await timers.advanceToAsync(at + 10_000);
        // Watchers that all go silent together know it only when their watch is over.
        const bound = count === 3 ? 2 * IN_FORCE : IN_FORCE;
        expect(getLongest('config', at + 100), `${count} ${fault}`).to.be.below(bound);
      }
    }
  });

  it('asks the store itself while all watchers are dead', async () => {
    const { timers, store, listSources, getLongest } = await startFleet();
    listSources().forEach((source) => Object.assign(source, { isGone: true }));
    await timers.advanceToAsync(8000);
    for (let i = 0; i < 5; i++) {
      const at = timers.now();
      store.put(`engine${i}`, 'there');
      await timers.advanceToAsync(at + 3000);
      expect(getLongest(`engine${i}`, at)).to.be.below(IN_FORCE);
    }
  });

  it('sends nobody to the store while a source is well, at a start or beside a dead watcher', async () => {
    // A limit on the age of what a source may tell was under what is usual at a start, when watchers that nobody had asked
    // yet watched for longer, and beside a dead watcher: 72 of 75 instances turned to the store in the third second.
    const { timers, listSources, countTurns } = await startFleet(75);
    const atStart = countTurns();
    listSources()
      .slice(0, 1)
      .forEach((source) => Object.assign(source, { isGone: true, isCut: true }));
    await timers.advanceToAsync(timers.now() + 20_000);
    expect([atStart, countTurns()]).to.deep.equal([0, 0]);
  });

  it('does not hide what was removed before a source began', async () => {
    // Symptom: an engine that is gone gets requests from some instances for good.
    // Sequence: the engine's entry goes while all sources are down; new instances become the sources.
    // Cause: who began later never heard of the entry, and has no removal of it to tell.
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
    const believing = [...members.values()].filter(({ known }) => known.has('engine'));
    expect(believing).to.deep.equal([]);
  });

  it('tells of removals that a source itself learned from a whole reading', async () => {
    const { timers, store, members } = await startFleet(15);
    store.put('engine', 'there');
    await timers.advanceToAsync(8000);
    store.remove('engine');
    store.compact();
    await timers.advanceToAsync(14_000);
    members.forEach(({ known }) => expect(known.has('engine')).to.equal(false));
  });

  it('takes no news for younger than they are while the store is silent for all', async () => {
    // Guards against an instance that takes itself for up to date because its source, which is as old, does.
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

  it('reads the store anew after a long loss, and goes on from where it was after a short one', async () => {
    // After an outage of some seconds, in which a large configuration was written several times, each instance was
    // sent every version since then in one answer: 3.9 MB in place of 0.5. On narrow links it never arrived whole.
    for (const [loss, isReadAnew] of [
      [600, false],
      [5000, true],
    ] as const) {
      const { timers, store, members, countReads } = await startFleet(10);
      const before = countReads();
      store.setUp(false);
      await timers.advanceToAsync(timers.now() + loss);
      expect([...members.values()].some(({ news }) => news.isCurrent())).to.equal(false);
      Array.from({ length: 8 }, (_, i) => store.put('config', `version ${i}`));
      store.setUp(true);
      await timers.advanceToAsync(timers.now() + 3000);
      members.forEach(({ known }) => expect(known.get('config')).to.equal('version 7'));
      expect(countReads() > before, `lost for ${loss}`).to.equal(isReadAnew);
    }
  });

  it('says nothing of times whose removals were forgotten', async () => {
    const mirror = createMirror();
    for (let i = 1; i <= 2100; i++) {
      mirror.apply({ kind: 'removed', key: `k${i}`, revision: i });
    }
    const timers = createVirtualTimers();
    const news = createRelayUpdates({
      self: 'one',
      ...NO_WORK,
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
      work: IDLE,
    };
    await news.port.readRange('', null, { timeout: TIMEOUT });
    mirror.toEvents({ isWhole: true, items: [], removed: [], revision: 1 });
    news.noteCaughtUp(1);
    news.noteCaughtUp(2100);
    expect((await news.answer({ since: 2, ...ask })).kind).to.equal('deaf');
    expect((await news.answer({ since: 2000, ...ask })).kind).to.equal('news');
    const whole = await news.answer({ since: 2, ...ask, takesWhole: true });
    expect(whole).to.have.nested.property('changes.isWhole', true);
  });
});
