import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { FakeRangeStore } from '../../FakeRangeStore.js';
import { createFakeRangeStore } from '../../FakeRangeStore.js';
import type { HistoryPort, StoreHistory } from '../../StoreEras.js';
import { createHistoryPort } from '../../StoreEras.js';
import type { StoreOutcome } from '../../StorePort.js';
import type { StoreRangePort } from '../../StoreRange.js';
import { registerRangeWatch } from '../../StoreRangeWatch.js';
import { getEra, getRevisionNumber, joinRevision } from '../../StoreRevisions.js';

const CALL = { timeout: 100 };
const NOTHING = (): void => undefined;

function createStore(): FakeRangeStore {
  return createFakeRangeStore(createVirtualTimers(), { namesEra: true });
}

function createPort(port: StoreRangePort): HistoryPort {
  return createHistoryPort(port, NOTHING);
}

function getValue<T>(outcome: StoreOutcome<T>): T {
  expect(outcome.kind).to.equal('done');
  return (outcome as { readonly value: T }).value;
}

describe('StoreEras', () => {
  it('reports another era, and a revision that went back, with what was known before', async () => {
    // Guards against a store that comes back from a copy without a trace in the logs.
    const seen: (readonly [StoreHistory, StoreHistory])[] = [];
    let answer: StoreOutcome<number> = { kind: 'done', value: 7, era: 1 };
    const port = createHistoryPort(
      { ...createStore(), write: () => Promise.resolve(answer) },
      (next, before) => seen.push([next, before]),
    );
    await port.write([], [], [], CALL);
    await port.write([], [], [], CALL);
    answer = { kind: 'done', value: 5, era: 2 };
    await port.write([], [], [], CALL);
    answer = { kind: 'done', value: 3, era: 2 };
    await port.write([], [], [], CALL);
    expect(seen).to.deep.equal([
      [
        { era: 1, revision: 7 },
        { era: null, revision: null },
      ],
      [
        { era: 2, revision: 5 },
        { era: 1, revision: 7 },
      ],
      [
        { era: 2, revision: 3 },
        { era: 2, revision: 5 },
      ],
    ]);
  });

  it('takes an answer of an earlier era, or of none, for no answer', async () => {
    // Guards against an answer that arrives late and brings back what the store has lost since.
    let era: { era?: number } = { era: 2 };
    const port = createPort({
      ...createStore(),
      write: () => Promise.resolve({ kind: 'done', value: 9, ...era }),
    });
    expect(getValue(await port.write([], [], [], CALL))).to.equal(joinRevision(2, 9));
    era = { era: 1 };
    expect(await port.write([], [], [], CALL)).to.deep.equal({ kind: 'unknown' });
    era = {};
    expect(await port.write([], [], [], CALL)).to.deep.equal({ kind: 'unknown' });
  });

  it('gives revisions of a store without eras as they are', async () => {
    const store = createFakeRangeStore(createVirtualTimers());
    const port = createPort(store);
    store.put('a', 'x');
    const { revision, items } = getValue(await port.readRange('', null, CALL));
    expect([revision, items[0]?.revision]).to.deep.equal([2, 2]);
    expect(getValue(await port.watchRange('', 1, 0, CALL))).to.deep.include({ revision: 2 });
  });

  it('answers a watch from an earlier era as compacted, also one that waits when another call tells of it', async () => {
    // Guards against a watch that goes on from a number of the history that is gone.
    const store = createStore();
    const port = createPort(store);
    const copy = store.takeCopy();
    ['a', 'b', 'c'].forEach((key) => store.put(key, 'x'));
    const { revision } = getValue(await port.readRange('', null, CALL));
    const hanging = createPort({ ...store, watchRange: () => new Promise(NOTHING) });
    await hanging.readRange('', null, CALL);
    const waiting = hanging.watchRange('', revision, 1000, CALL);
    store.returnFrom(copy);
    ['d', 'e', 'f', 'g'].forEach((key) => store.put(key, 'x'));
    await hanging.readRange('', null, CALL);
    expect(getValue(await waiting).kind).to.equal('compacted');
    expect(getValue(await port.watchRange('', revision, 0, CALL)).kind).to.equal('compacted');
    const page = getValue(await port.readRange('', null, CALL));
    expect(page.items.every((item) => item.revision > joinRevision(1, 1000))).to.equal(true);
    expect(getValue(await port.watchRange('', page.revision, 0, CALL)).kind).to.equal('events');
  });

  it('sends no condition of an earlier era once the era is known, also by a peer', async () => {
    // Guards against a removal of another's key that got the revision of the own one.
    const store = createStore();
    const port = createPort(store);
    const copy = store.takeCopy();
    const own = getValue(await port.write([], [{ key: 'a', value: 'own', lease: 0 }], [], CALL));
    store.returnFrom(copy);
    store.put('a', "another's");
    await port.readRange('', null, CALL);
    const outcome = await port.write([{ key: 'a', revision: own }], [], ['a'], CALL);
    expect(outcome.kind).to.equal('refused');
    expect(store.get('a')).to.equal("another's");
    const told = createPort(store);
    await told.watchRange('', joinRevision(3, 1), 0, CALL);
    const late = await told.write([{ key: 'a', revision: own }], [], ['a'], CALL);
    expect(late.kind).to.equal('refused');
  });

  it('neither ends nor keeps a lease that another got under the id of the own one', async () => {
    // Guards against an instance that ends another's lease as it stops after a return that it has not noticed.
    const store = createStore();
    const port = createPort(store);
    const copy = store.takeCopy();
    const own = getValue(await port.grantLease(6000, CALL));
    store.returnFrom(copy);
    const other = createPort(store);
    const others = getValue(await other.grantLease(6000, CALL));
    await other.write([], [{ key: 'a', value: 'x', lease: others }], [], CALL);
    const ended = await port.revokeLease(own, CALL);
    expect(ended).to.deep.include({ kind: 'refused' });
    expect(store.get('a')).to.equal('x');
    expect(await port.renewLease(own, CALL)).to.deep.equal({
      kind: 'refused',
      reason: { kind: 'lapsed' },
    });
    const bound = await port.write([], [{ key: 'b', value: 'x', lease: own }], [], CALL);
    expect(bound.kind).to.equal('refused');
    expect(getValue(await other.revokeLease(others, CALL))).to.equal(null);
    expect(store.get('a')).to.equal(null);
  });

  it('takes a renewal that a later era answers for the end of the lease', async () => {
    // Guards against keys that were lost with the latest changes and are taken for written under the lease.
    const store = createStore();
    const port = createPort(store);
    const own = getValue(await port.grantLease(6000, CALL));
    store.returnFrom(store.takeCopy());
    expect(await port.renewLease(own, CALL)).to.deep.equal({
      kind: 'refused',
      reason: { kind: 'lapsed' },
    });
  });
});

describe('StoreRangeWatch across a return', () => {
  it('reads a range again whose pages are of two eras', async () => {
    // Guards against a copy of the range that mixes what was lost with what came back.
    const timers = createVirtualTimers();
    const store = createFakeRangeStore(timers, { namesEra: true });
    const copy = store.takeCopy();
    Array.from({ length: 15 }, (_, i) => store.put(`k${10 + i}`, 'lost'));
    const port = createPort(store);
    const snapshots: (readonly string[])[] = [];
    registerRangeWatch({
      port: {
        ...port,
        readRange: async (prefix, after, options) => {
          const page = await port.readRange(prefix, after, options);
          if (after === null && snapshots.length === 0 && store.get('k10') === 'lost') {
            store.returnFrom(copy);
            store.put('k30', 'kept');
          }
          return page;
        },
      },
      timers,
      random: { nextFloat: () => 0.5, nextInt: () => 0 },
      prefix: '',
      wait: 500,
      timeout: 300,
      getGatherTime: () => 100,
      listener: {
        onSnapshot: (items) => snapshots.push(items.map(({ key }) => key)),
        onEvent: NOTHING,
        onLost: NOTHING,
        onRegained: NOTHING,
      },
    });
    await timers.advanceToAsync(1000);
    expect(snapshots).to.deep.equal([['k30']]);
  });
});

describe('StoreRevisions', () => {
  it('orders by the era first, and gives both parts back', () => {
    // Guards against a revision of an earlier history that counts as later since its number is higher.
    expect(joinRevision(2, 1)).to.be.greaterThan(joinRevision(1, 2 ** 40 - 1));
    expect(getEra(joinRevision(8191, 77))).to.equal(8191);
    expect(getRevisionNumber(joinRevision(8191, 77))).to.equal(77);
    expect(() => joinRevision(1, 2 ** 40)).to.throw();
    expect(() => joinRevision(8192, 1)).to.throw();
  });
});
