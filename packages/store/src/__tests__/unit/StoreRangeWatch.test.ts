import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeRangeStore } from '../../FakeRangeStore.js';
import { registerRangeWatch } from '../../StoreRangeWatch.js';

function createBed() {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  const known = new Map<string, string>();
  const heard: string[] = [];
  const follow = (gatherTime = 120) =>
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
          heard.push('snapshot');
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
        onLost: () => heard.push('lost'),
        onRegained: () => heard.push('regained'),
      },
    });
  return { timers, store, known, heard, follow };
}

describe('StoreRangeWatch', () => {
  it('reads all pages of a range and then hears its changes, and no others', async () => {
    const { timers, store, known, follow } = createBed();
    Array.from({ length: 25 }, (_, i) => store.put(`a/${i}`, `${i}`));
    store.put('b/1', 'x');
    const stop = follow();
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

  it('takes what comes close together with one call', async () => {
    const { timers, store, known, follow } = createBed();
    const stop = follow();
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

  it('asks less often where changes are gathered for longer, and still hears one within a second', async () => {
    // Symptom: calls to the store cost a large fleet a tenth of what it earns.
    // Sequence: engines and instances come one after the other; each is a call of every instance.
    // Cause: each change is taken with a call of its own.
    const calls = [120, 450].map(async (gatherTime) => {
      const { timers, store, known, follow } = createBed();
      const stop = follow(gatherTime);
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

  it('reads the whole range again when its history is gone', async () => {
    // Symptom: an instance serves a removed key for ever.
    // Sequence: the store drops its history while a change was not yet heard.
    // Cause: the watch is continued from a revision that is no longer kept.
    const { timers, store, known, heard, follow } = createBed();
    store.put('a/1', 'old');
    const stop = follow();
    await timers.advanceToAsync(50);
    store.setAvailable(false);
    await timers.advanceToAsync(1500);
    store.remove('a/1');
    store.put('a/2', 'new');
    store.compact();
    store.setAvailable(true);
    await timers.advanceToAsync(3500);
    expect([...known.keys()]).to.deep.equal(['a/2']);
    expect(heard.filter((what) => what === 'snapshot')).to.have.length(2);
    stop();
  });

  it('says once that the store is lost and once that it is back, and keeps what it knew', async () => {
    const { timers, store, known, heard, follow } = createBed();
    store.put('a/1', 'x');
    const stop = follow();
    await timers.advanceToAsync(50);
    store.setAvailable(false);
    await timers.advanceToAsync(5000);
    expect(known.get('a/1')).to.equal('x');
    store.setAvailable(true);
    await timers.advanceToAsync(6000);
    expect(heard).to.deep.equal(['snapshot', 'lost', 'regained']);
    stop();
  });
});
