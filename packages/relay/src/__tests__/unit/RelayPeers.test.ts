import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { StoreEvent } from '@skylarksail/store/StoreRange';
import { createCatalogue } from '../../RelayCatalogue.js';
import type { Mirror } from '../../RelayMirror.js';
import { createMirror } from '../../RelayMirror.js';
import type { PeerAnswer, RelayPeers } from '../../RelayPeers.js';
import { createRelayPeers } from '../../RelayPeers.js';
import type { BackendEntry, InstanceEntry } from '../../RelayTypes.js';
import { createBackend } from './RelayFixtures.js';

const write = (key: string, value: string, revision: number): StoreEvent => ({
  kind: 'written',
  item: { key, value, revision },
});

/** Applies an empty snapshot as of a revision. */
function applyEmptySnapshot(mirror: Mirror, revision: number): void {
  const events = mirror.toEvents({ isWhole: true, items: [], removed: [], revision });
  events.forEach((event) => mirror.apply(event));
  mirror.noteComplete(revision);
}

function createPeersBed() {
  const timers = createVirtualTimers();
  const instances = ['one', 'two', 'three'].map((id, i) => ({
    id,
    domain: i < 2 ? 'd' : 'e',
    address: { host: '127.0.0.1', port: i + 1 },
  }));
  const mirrors = instances.map(() => createMirror());
  const silent = new Set<number>();
  /** Instances whose entries are gone. */
  const lapsed = new Set<string>();
  const observed: BackendEntry[][] = instances.map(() => []);
  const told: string[] = [];
  const ages: number[][] = instances.map(() => []);
  const peers: RelayPeers[] = instances.map((self, i) => {
    const mirror = mirrors[i] as Mirror;
    return createRelayPeers({
      timers,
      random: createRandom(i + 1),
      self,
      mirror,
      askPeer: (address: HostPort, since) => {
        const to = address.port - 1;
        const answer = silent.has(to) ? undefined : peers[to]?.answer(since, true);
        return Promise.resolve(answer ?? { kind: 'silent' as const });
      },
      listInstances: () => instances.filter(({ id }) => !lapsed.has(id)),
      onEvent: (event) => mirror.apply(event),
      listObserved: () => observed[i] ?? [],
      onObserved: (entry) => told.push(`${self.id}: ${entry.id} ${entry.state}`),
      onRevision: () => undefined,
      getStaleness: () => 400,
      onSynced: (age) => ages[i]?.push(age),
    });
  });
  return { timers, mirrors, peers, silent, lapsed, observed, told, ages };
}

describe('RelayMirror', () => {
  it('ignores events older than the known revision of a key', () => {
    // Guards against a revoked key or a draining engine that is in force again for a moment: a peer sends revision 9,
    // then the store answers again and replays 7, 8 and 9, and events are applied in order of arrival.
    const mirror = createMirror();
    expect(mirror.apply(write('a', 'new', 9))).to.equal(true);
    expect(mirror.apply(write('a', 'old', 7))).to.equal(false);
    expect(mirror.apply({ kind: 'removed', key: 'a', revision: 8 })).to.equal(false);
    expect(mirror.apply({ kind: 'removed', key: 'a', revision: 10 })).to.equal(true);
    expect(mirror.apply(write('a', 'old', 9))).to.equal(false);
    expect(mirror.readSince(0, false)).to.deep.include({
      items: [],
      removed: [{ key: 'a', revision: 10 }],
    });
  });

  it('derives removals from a snapshot, but not for keys written after it', () => {
    const mirror = createMirror();
    mirror.apply(write('a', '1', 3));
    mirror.apply(write('b', '1', 9));
    const events = mirror.toEvents({ isWhole: true, items: [], removed: [], revision: 5 });
    expect(events).to.deep.equal([{ kind: 'removed', key: 'a', revision: 5 }]);
  });

  it('does not claim to have all changes across a gap between two snapshots', () => {
    // Guards against an instance that keeps an engine that has left, and sends requests to whatever has its address
    // now: its source lost the store for a moment, in which the engine registered and left, and then read a snapshot.
    // The source never saw the engine and had no removal to send, but claimed to have all changes since before the
    // loss.
    const mirror = createMirror();
    applyEmptySnapshot(mirror, 100);
    expect(mirror.hasChangesSince(102)).to.equal(true);
    applyEmptySnapshot(mirror, 110);
    expect(mirror.hasChangesSince(102)).to.equal(false);
    expect(mirror.readSince(102, true).isWhole).to.equal(true);
    expect(mirror.hasChangesSince(110)).to.equal(true);
  });
});

describe('RelayPeers', () => {
  it('gets a change from a peer within a second while the store refuses it', async () => {
    // Guards against an instance that still runs requests with a revoked key: the store refuses the instance while the
    // key is revoked, and nothing but the store delivers the change.
    const { timers, mirrors, peers, silent } = createPeersBed();
    silent.add(1);
    peers[0]?.noteStoreLost();
    mirrors[2]?.apply(write('config', 'next', 5));
    mirrors[2]?.apply({ kind: 'removed', key: 'server', revision: 6 });
    await timers.advanceToAsync(1200);
    const known = mirrors[0]?.readSince(0, false);
    expect(known?.items.map(({ key, revision }) => [key, revision])).to.deep.equal([['config', 5]]);
    expect(known?.removed).to.deep.equal([{ key: 'server', revision: 6 }]);
  });

  it('goes on polling peers whose entries lapsed in the outage', async () => {
    // Guards against an instance that hears nothing for as long as the store refuses it: the first peer that the store
    // answers tells of entries that lapsed, its own among them, and nobody is left to be asked.
    const { timers, mirrors, peers, lapsed } = createPeersBed();
    peers[0]?.noteStoreLost();
    ['one', 'two', 'three'].forEach((id) => lapsed.add(id));
    mirrors[2]?.apply(write('config', 'next', 5));
    await timers.advanceToAsync(1200);
    expect(mirrors[0]?.readSince(0, false).items.map(({ key }) => key)).to.deep.equal(['config']);
    expect(peers[0]?.isIsolated()).to.equal(false);
  });

  it('goes on polling peers when the store was back only long enough to tell that their entries lapsed', async () => {
    // Guards against an instance that hears nothing for a whole refusal: the list of peers to ask is taken at the second
    // loss, when the lapsed entries are gone and not written again yet.
    const { timers, mirrors, peers, lapsed } = createPeersBed();
    peers[0]?.noteStoreLost();
    await timers.advanceToAsync(10_000);
    peers[0]?.noteStoreRegained();
    ['one', 'two', 'three'].forEach((id) => lapsed.add(id));
    await timers.advanceToAsync(11_000);
    peers[0]?.noteStoreLost();
    mirrors[2]?.apply(write('config', 'next', 5));
    await timers.advanceToAsync(13_000);
    expect(mirrors[0]?.readSince(0, false).items.map(({ key }) => key)).to.deep.equal(['config']);
    expect(peers[0]?.isIsolated()).to.equal(false);
  });

  for (const [name, isPresent] of [
    ['after its peers were replaced', (i: number) => i >= 12],
    ['while one peer in twelve reaches the store', (i: number) => i === 11],
  ] as const) {
    it(`removes engines that are gone, and is not isolated for long, ${name} in a refusal`, async () => {
      // Guards against a refused instance that keeps engines which are gone for good, and that takes itself for isolated
      // every second or two: peers that cannot tell are asked in a row, those that have ended each for a whole timeout.
      const timers = createVirtualTimers();
      const mirror = createMirror();
      const catalogue = createCatalogue(timers);
      const hasEnded = (i: number): boolean => i < 12 && isPresent(12);
      const all = Array.from({ length: isPresent(12) ? 24 : 12 }, (_, i) => ({
        id: `p${i}`,
        domain: `d${(i % 3) + 1}`,
        address: { host: '127.0.0.1', port: i },
      }));
      const self = { id: 'self', domain: 'd1', address: { host: '127.0.0.1', port: 100 } };
      let listed: readonly InstanceEntry[] = [self, ...all.slice(0, 12)];
      const peers = createRelayPeers({
        timers,
        random: createRandom(1),
        self,
        mirror,
        askPeer: ({ port }, since, timeout) => {
          if (isPresent(port)) {
            const changes = { isWhole: false, items: [], removed: [], revision: since };
            return Promise.resolve({ kind: 'news' as const, changes, age: 0 });
          }
          return hasEnded(port)
            ? new Promise<PeerAnswer>((resolve) => {
                timers.registerTimeout(timeout, () => resolve({ kind: 'silent' }));
              })
            : Promise.resolve({ kind: 'deaf' as const, observed: [] });
        },
        listInstances: () => listed,
        onEvent: () => undefined,
        listObserved: () => [],
        onObserved: () => undefined,
        onRevision: () => undefined,
        getStaleness: () => 0,
        onSynced: () => catalogue.notePeerNews(),
      });
      catalogue.put(createBackend('gone'));
      catalogue.noteStoreLost();
      peers.noteStoreLost();
      listed = [self, ...all.slice(hasEnded(0) ? 12 : 0)];
      await timers.advanceToAsync(5000);
      catalogue.remove('gone');
      let isolated = 0;
      for (let at = 5000; at < 65_000; at += 20) {
        await timers.advanceToAsync(at);
        isolated += peers.isIsolated() ? 20 : 0;
      }
      peers.noteStoreRegained();
      expect(catalogue.list().length, `isolated for ${isolated} of 60000 ms`).to.equal(0);
      if (hasEnded(0)) {
        expect(isolated).to.equal(0);
      }
    });
  }

  it('gets no changes from a peer that has lost the store, and stops polling when the store is back', async () => {
    const { timers, mirrors, peers } = createPeersBed();
    peers.forEach((peer) => peer.noteStoreLost());
    mirrors[2]?.apply(write('config', 'next', 5));
    await timers.advanceToAsync(2000);
    expect(mirrors[0]?.readSince(0, false)).to.deep.include({ items: [], removed: [] });
    peers.forEach((peer) => peer.noteStoreRegained());
    await timers.advanceToAsync(4000);
    expect(timers.countPending()).to.equal(0);
  });
});

describe('RelayPeers after a paged read', () => {
  it('gets a key that changed between two pages, though a later change is known', async () => {
    // Guards against a change that is never requested from peers, since a later one was seen.
    const { timers, mirrors, peers, ages } = createPeersBed();
    mirrors.forEach((mirror) => applyEmptySnapshot(mirror, 5));
    mirrors[0]?.apply(write('engine', 'registered', 8));
    mirrors[2]?.apply(write('config', 'next', 7));
    mirrors[2]?.apply(write('engine', 'registered', 8));
    mirrors[2]?.noteComplete(8);
    peers[0]?.noteStoreLost();
    await timers.advanceToAsync(1200);
    expect(mirrors[0]?.readSince(0, true).items.map(({ key }) => key)).to.include('config');
    expect(mirrors[0]?.getCompleteRevision()).to.equal(8);
    expect(ages[0]).to.include(400);
  });

  it('gets a snapshot from a peer that started later', async () => {
    // Guards against instances that stay stale for as long as the store refuses them after an outage: all others have
    // read a snapshot, and lack the changes before it.
    const { timers, mirrors, peers, ages } = createPeersBed();
    applyEmptySnapshot(mirrors[0] as Mirror, 5);
    mirrors[0]?.apply(write('engine', 'registered', 5));
    applyEmptySnapshot(mirrors[2] as Mirror, 9);
    mirrors[2]?.apply(write('config', 'next', 8));
    expect(mirrors[2]?.readSince(5, false).revision).to.equal(5);
    peers[0]?.noteStoreLost();
    await timers.advanceToAsync(1200);
    expect(mirrors[0]?.readSince(9, true).items).to.deep.equal([]);
    expect(mirrors[0]?.readSince(0, true).items.map(({ key }) => key)).to.deep.equal(['config']);
    expect(mirrors[0]?.getCompleteRevision()).to.equal(9);
    expect(ages[0]).to.include(400);
  });
});

describe('RelayPeers in an outage', () => {
  it('detects that no peer reaches the store and which peers are silent, and gets their observations', async () => {
    // Guards against two instances, or none, that move a domain's layers, and against requests from other domains to
    // engines that have left: the store is down for all, one instance stops, another sees an engine leave, and only
    // the store lists instances and engines.
    const { timers, mirrors, peers, silent, observed, told } = createPeersBed();
    observed[2] = [createBackend('x', { domain: 'e', state: 'leaving' })];
    observed[1] = [createBackend('own', { domain: 'd' })];
    peers.forEach((peer) => peer.noteStoreLost());
    expect(peers[0]?.isIsolated()).to.equal(false);
    peers[1]?.noteLeaving();
    await timers.advanceToAsync(2000);
    expect(peers[0]?.isIsolated()).to.equal(true);
    expect(peers[0]?.isUnresponsive('two')).to.equal(true);
    expect(peers[0]?.isUnresponsive('three')).to.equal(false);
    expect(new Set(told.filter((what) => what.startsWith('one')))).to.deep.equal(
      new Set(['one: x leaving']),
    );
    mirrors[2]?.apply(write('config', 'next', 5));
    peers[2]?.noteStoreRegained();
    silent.delete(2);
    await timers.advanceToAsync(4000);
    expect(peers[0]?.isIsolated()).to.equal(false);
    expect(mirrors[0]?.readSince(0, false).items).to.deep.equal([
      { key: 'config', value: 'next', revision: 5 },
    ]);
  });
});

describe('RelayPeers with a flapping store', () => {
  it('polls no more often after many short losses than after one', async () => {
    // Guards against instances that saturate their peers' links with queries after short losses of the store: each loss
    // started polling rounds of its own, and a round that waited for an answer continued in the next loss.
    const countAsks = async (losses: number): Promise<number> => {
      const timers = createVirtualTimers();
      const instances = ['one', 'two'].map((id, i) => ({
        id,
        domain: 'd',
        address: { host: '127.0.0.1', port: i + 1 },
      }));
      let asks = 0;
      const peers = createRelayPeers({
        timers,
        random: createRandom(1),
        self: instances[0] as InstanceEntry,
        mirror: createMirror(),
        askPeer: async () => {
          asks += 1;
          await new Promise<void>((resolve) => {
            timers.registerTimeout(900, resolve);
          });
          return { kind: 'silent' };
        },
        listInstances: () => instances,
        onEvent: () => undefined,
        listObserved: () => [],
        onObserved: () => undefined,
        onRevision: () => undefined,
        getStaleness: () => 0,
        onSynced: () => undefined,
      });
      for (let i = 0; i < losses; i++) {
        peers.noteStoreLost();
        await timers.advanceToAsync(timers.now() + 500);
        peers.noteStoreRegained();
        await timers.advanceToAsync(timers.now() + 10);
      }
      peers.noteStoreLost();
      asks = 0;
      await timers.advanceToAsync(timers.now() + 10_000);
      return asks;
    };
    expect(await countAsks(5)).to.be.at.most(await countAsks(1));
  });
});
