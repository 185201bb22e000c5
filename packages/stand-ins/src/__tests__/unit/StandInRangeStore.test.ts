import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createStandInRangeStore, LeaseEnd } from '../../StandInRangeStore.js';

const TTL: Millis = 3000;

function createBed() {
  const timers = createVirtualTimers();
  const store = createStandInRangeStore(() => timers.now());
  return {
    store,
    bind: (key: string, lease: number) => store.write([], [{ key, value: 'eA==', lease }], []),
    advance(time: Millis): void {
      timers.advanceTo(timers.now() + time);
      store.expireLeases();
    },
  };
}

describe('StandInRangeStore', () => {
  it('records the life of a lease and of its keys', () => {
    const { store, bind, advance } = createBed();
    const lease = store.grant('node-1', TTL);
    bind('a', lease);
    advance(2000);
    expect(store.renew(lease)).equal(true);
    advance(2500);
    expect(store.revoke(lease)).equal(true);
    expect(store.revoke(lease)).equal(false);
    expect(bind('a', lease).kind).equal('no-lease');
    expect(store.listItems('')).deep.equal([]);
    expect(store.listLeases()).to.have.lengthOf(1);
    expect(store.listLeases()[0]).include({
      owner: 'node-1',
      endedAt: 4500,
      end: LeaseEnd.Revoked,
    });
    expect(store.listLeases()[0]?.renewedAt).deep.equal([2000]);
    expect(store.listKeys()).deep.equal([
      { key: 'a', value: 'eA==', lease, grant: 1, setAt: 0, removedAt: 4500 },
    ]);
  });

  it('lets a lease lapse at the end of its time, with its keys', () => {
    const { store, bind, advance } = createBed();
    const lease = store.grant('node-1', TTL);
    bind('a', lease);
    advance(TTL - 1);
    expect(store.listItems('')).to.have.lengthOf(1);
    advance(1);
    expect(store.listItems('')).deep.equal([]);
    expect(store.renew(lease)).equal(false);
    expect(store.listLeases()[0]).include({ endedAt: TTL, end: LeaseEnd.Lapsed });
  });

  it('postpones the lapse by an outage in which leases pause', () => {
    const { store, bind, advance } = createBed();
    const lease = store.grant('node-1', TTL);
    bind('a', lease);
    store.postponeLapses(5000);
    advance(TTL + 4999);
    expect(store.listItems('')).to.have.lengthOf(1);
    advance(1);
    expect(store.listItems('')).deep.equal([]);
  });

  it('records one binding at a time for each key, and only of live leases', () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const random = createRandom(seed);
      const { store, bind, advance } = createBed();
      const leases = [0];
      for (let step = 0; step < 200; step += 1) {
        const lease = leases[random.nextInt(leases.length)] ?? 0;
        const key = `key-${random.nextInt(4)}`;
        const action = random.nextInt(5);
        if (action === 0) {
          leases.push(store.grant('node-1', TTL));
        } else if (action === 1) {
          bind(key, lease);
        } else if (action === 2) {
          store.renew(lease);
        } else if (action === 3) {
          store.revoke(lease);
        } else {
          advance(random.nextInt(TTL));
        }
      }
      const records = store.listKeys();
      const open = records.filter(({ removedAt }) => removedAt === null);
      expect(open.map(({ key }) => key).sort(), `seed ${seed}`).deep.equal(
        store.listItems('').map(({ key }) => key),
      );
      const ends = new Map(store.listLeases().map(({ id, endedAt }) => [id, endedAt]));
      for (const { key, lease, setAt, removedAt } of records) {
        const last = ends.get(lease) ?? Infinity;
        expect(removedAt ?? last, `seed ${seed}, ${key}`).within(setAt, last);
        const next = records.find((one) => one.key === key && one.setAt > setAt);
        expect(removedAt ?? Infinity, `seed ${seed}, ${key}`).at.most(next?.setAt ?? Infinity);
      }
      expect(new Set(leases).size).equal(leases.length);
    }
  });

  it('comes back from a copy, and gives revisions and lease ids out again', () => {
    // Guards against soaks that never show what an instance does with numbers of a history that is gone.
    const { store, bind, advance } = createBed();
    const kept = store.grant('node-1', TTL);
    bind('a', kept);
    const copy = store.takeCopy();
    const lost = store.grant('node-1', TTL);
    bind('b', lost);
    const revision = store.getRevision();
    advance(500);
    store.returnFrom(copy);
    expect(store.getEra()).equal(2);
    expect(store.listItems('').map(({ key }) => key)).deep.equal(['a']);
    expect(store.listEvents('', copy.revision)).deep.equal([]);
    const other = store.grant('node-2', TTL);
    expect(other).equal(lost);
    bind('c', other);
    expect(store.getRevision()).equal(revision);
    expect(store.listLeases().map(({ grant, id, end }) => [grant, id, end])).deep.equal([
      [1, kept, LeaseEnd.Lost],
      [2, lost, LeaseEnd.Lost],
      [3, kept, null],
      [4, other, null],
    ]);
    expect(store.listKeys().map(({ key, grant, removedAt }) => [key, grant, removedAt])).deep.equal(
      [
        ['a', 1, 500],
        ['b', 2, 500],
        ['a', 3, null],
        ['c', 4, null],
      ],
    );
    advance(TTL);
    expect(store.listItems('')).deep.equal([]);
  });
});
