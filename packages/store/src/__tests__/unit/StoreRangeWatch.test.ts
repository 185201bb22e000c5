import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '../../FakeRangeStore.js';
import { registerRangeWatch } from '../../StoreRangeWatch.js';

function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const known = new Map<string, string>();
  const notifications: string[] = [];
  const startWatch = (gatherTime = 120) =>
    registerRangeWatch({
      port: store,
      timers,
      random: createRandom(1),
      prefix: 'a/',
      wait: 1000,
      timeout: 300,
      getGatherTime: () => gatherTime,
      listener: {
        onSnapshot: (items) => {
          notifications.push('snapshot');
          known.clear();
          items.forEach(({ key, value }) => known.set(key, value));
        },
        onEvent: (event) => {
          if (event.kind === 'written') {
            known.set(event.item.key, event.item.value);
          } else {
            known.delete(event.key);
          }
        },
        onLost: () => notifications.push('lost'),
        onRegained: () => notifications.push('regained'),
      },
    });
  return { timers, store, known, notifications, startWatch };
}

describe('StoreRangeWatch', () => {
  it('reads all pages of a range and then receives only changes of that range', async () => {
    const { timers, store, known, startWatch } = createBed();
    Array.from({ length: 25 }, (_, i) => store.put(`a/${i}`, `${i}`));
    store.put('b/1', 'x');
    const stop = startWatch();
    await timers.advanceToAsync(50);
    expect(known.size).to.equal(25);
    store.put('a/0', 'new');
    store.remove('a/1');
    store.put('b/2', 'x');
    await timers.advanceToAsync(400);
    expect(known.get('a/0')).to.equal('new');
    expect(known.has('a/1')).to.equal(false);
    expect(known.size).to.equal(24);
    stop();
  });

  it('batches changes that are close together', async () => {
    const { timers, store, known, startWatch } = createBed();
    const stop = startWatch();
    await timers.advanceToAsync(50);
    const before = store.countCalls();
    for (let i = 0; i < 20; i++) {
      store.put(`a/${i}`, `${i}`);
      await timers.advanceToAsync(timers.now() + 10);
    }
    await timers.advanceToAsync(timers.now() + 300);
    expect(known.size).to.equal(20);
    expect(store.countCalls() - before).to.be.at.most(6);
    stop();
  });

  it('makes fewer calls with a longer gather time and still delivers a change within a second', async () => {
    // Guards against store calls that cost a large fleet a tenth of its earnings: engines and instances
    // join one after the other, and every instance fetches each change with a call of its own.
    const calls = [120, 450].map(async (gatherTime) => {
      const { timers, store, known, startWatch } = createBed();
      const stop = startWatch(gatherTime);
      await timers.advanceToAsync(50);
      const before = store.countCalls();
      for (let i = 0; i < 100; i++) {
        store.put(`a/${i}`, `${i}`);
        await timers.advanceToAsync(timers.now() + 100);
      }
      store.put('a/last', 'x');
      await timers.advanceToAsync(timers.now() + 1000);
      expect(known.has('a/last')).to.equal(true);
      stop();
      return store.countCalls() - before;
    });
    const [short, long] = await Promise.all(calls);
    expect(long).to.be.at.most((short ?? 0) / 2);
  });

  it('reads the whole range again after compaction', async () => {
    // Guards against an instance that keeps a removed key forever: the store compacts its history before
    // the change is delivered, and the watch continues from a revision that is no longer kept.
    const { timers, store, known, notifications, startWatch } = createBed();
    store.put('a/1', 'old');
    const stop = startWatch();
    await timers.advanceToAsync(50);
    store.setAvailable(false);
    await timers.advanceToAsync(1500);
    store.remove('a/1');
    store.put('a/2', 'new');
    store.compact();
    store.setAvailable(true);
    await timers.advanceToAsync(3500);
    expect([...known.keys()]).to.deep.equal(['a/2']);
    expect(notifications.filter((what) => what === 'snapshot')).to.have.length(2);
    stop();
  });

  it('reports the loss and the return of the store once each and keeps the last known values', async () => {
    const { timers, store, known, notifications, startWatch } = createBed();
    store.put('a/1', 'x');
    const stop = startWatch();
    await timers.advanceToAsync(50);
    store.setAvailable(false);
    await timers.advanceToAsync(5000);
    expect(known.get('a/1')).to.equal('x');
    store.setAvailable(true);
    await timers.advanceToAsync(6000);
    expect(notifications).to.deep.equal(['snapshot', 'lost', 'regained']);
    stop();
  });
});
