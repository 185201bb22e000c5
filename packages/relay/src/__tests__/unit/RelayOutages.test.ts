import { expect } from 'chai';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';
import { LAPSED_ENTRY_GRACE } from '../../RelayCatalogue.js';
import { BACKENDS, createPartsBed } from './RelayPartsBed.js';

describe('RelayParts in outages', () => {
  it('keeps lapsed engines while the store returns for a second between two outages', async () => {
    // Guards against an instance without engines for a whole outage: the first recovery's removals were carried out in it.
    const bed = createPartsBed();
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
    const bed = createPartsBed();
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
    const bed = createPartsBed();
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
    const bed = createPartsBed();
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
    const bed = createPartsBed();
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
    const bed = createPartsBed();
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
});
