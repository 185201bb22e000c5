import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { pack } from 'msgpackr';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createSystemTimers } from '@skylarksail/daemon/DaemonTimers';
import type { HostPort } from '@skylarksail/core/CoreTypes';
import type { StoreEvent } from '@skylarksail/store/StoreRange';
import type { Mirror } from '../../RelayMirror.js';
import { createMirror } from '../../RelayMirror.js';
import { createPeerHttp } from '../../RelayPeerHttp.js';
import type { PeerAnswer, RelayPeers } from '../../RelayPeers.js';
import { createRelayPeers } from '../../RelayPeers.js';
import type { BackendEntry, InstanceEntry } from '../../RelayTypes.js';
import { createBackend } from './RelayFixtures.js';

const write = (key: string, value: string, revision: number): StoreEvent => ({
  kind: 'written',
  item: { key, value, revision },
});

/** Takes an empty whole in, as of a revision. */
function takeWhole(mirror: Mirror, revision: number): void {
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
  const deaf = new Set<number>();
  const seen: BackendEntry[][] = instances.map(() => []);
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
        const answer = deaf.has(to) ? undefined : peers[to]?.answer(since, true);
        return Promise.resolve(answer ?? { kind: 'silent' as const });
      },
      listInstances: () => instances,
      onEvent: (event) => mirror.apply(event),
      listObserved: () => seen[i] ?? [],
      onObserved: (entry) => told.push(`${self.id}: ${entry.id} ${entry.state}`),
      onRevision: () => undefined,
      getStaleness: () => 400,
      onSynced: (age) => ages[i]?.push(age),
    });
  });
  return { timers, mirrors, peers, deaf, seen, told, ages };
}

describe('RelayMirror', () => {
  it('takes nothing that is older than what it knows of a key', () => {
    // Symptom: a dropped key or a draining engine is in force again for a moment.
    // Sequence: a peer tells of revision 9; then the store answers again and tells 7, 8, 9.
    // Cause: events are believed in the order in which they are heard.
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

  it('finds in a snapshot what was removed, but nothing that was written after it', () => {
    const mirror = createMirror();
    mirror.apply(write('a', '1', 3));
    mirror.apply(write('b', '1', 9));
    const events = mirror.toEvents({ isWhole: true, items: [], removed: [], revision: 5 });
    expect(events).to.deep.equal([{ kind: 'removed', key: 'a', revision: 5 }]);
  });

  it('tells nobody that all is told who may know of a key that came and went unheard', () => {
    // An instance keeps an engine that is gone, and sends requests to whoever has its address now. Its source lost the
    // store for a moment, in which the engine registered and left, and read the whole anew: it never heard of the engine
    // and had no removal to tell, but took all since before for known.
    const mirror = createMirror();
    takeWhole(mirror, 100);
    expect(mirror.hasChangesSince(102)).to.equal(true);
    takeWhole(mirror, 110);
    expect(mirror.hasChangesSince(102)).to.equal(false);
    expect(mirror.readSince(102, true).isWhole).to.equal(true);
    expect(mirror.hasChangesSince(110)).to.equal(true);
  });
});

describe('RelayPeers', () => {
  it('hears a change from a peer within a second while the store turns it away', async () => {
    // Symptom: requests with a key that was taken away still run at one instance.
    // Sequence: the store turns the instance away; the key is taken away; the others hear it.
    // Cause: the store is the only source of news.
    const { timers, mirrors, peers, deaf } = createPeersBed();
    deaf.add(1);
    peers[0]?.noteStoreLost();
    mirrors[2]?.apply(write('config', 'next', 5));
    mirrors[2]?.apply({ kind: 'removed', key: 'server', revision: 6 });
    await timers.advanceToAsync(1200);
    const known = mirrors[0]?.readSince(0, false);
    expect(known?.items.map(({ key, revision }) => [key, revision])).to.deep.equal([['config', 5]]);
    expect(known?.removed).to.deep.equal([{ key: 'server', revision: 6 }]);
  });

  it('is told nothing by a peer that does not hear the store itself, and asks no one when it is back', async () => {
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

describe('RelayPeers after a reading in parts', () => {
  it('hears of a key that changed between two pages, though a later one is known', async () => {
    // Guards against a change that peers are never asked for, since a later one was seen beside it.
    const { timers, mirrors, peers, ages } = createPeersBed();
    mirrors.forEach((mirror) => takeWhole(mirror, 5));
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

  it('is told all that there is by a peer that began later', async () => {
    // Instances that the store went on turning away after an outage stayed in doubt for good: all others had read the store
    // anew, and could not tell what had come and gone before.
    const { timers, mirrors, peers, ages } = createPeersBed();
    takeWhole(mirrors[0] as Mirror, 5);
    mirrors[0]?.apply(write('engine', 'registered', 5));
    takeWhole(mirrors[2] as Mirror, 9);
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
  it('knows after a while that nobody hears the store, who is silent, and what others saw', async () => {
    // Symptom: two instances move a domain's layers, or none does; other domains send requests to engines
    // that have left.
    // Sequence: the store is out for all; one instance stops; another sees an engine leave.
    // Cause: only the store told who is there, and which engines are.
    const { timers, mirrors, peers, deaf, seen, told } = createPeersBed();
    seen[2] = [createBackend('x', { domain: 'e', state: 'leaving' })];
    seen[1] = [createBackend('own', { domain: 'd' })];
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
    deaf.delete(2);
    await timers.advanceToAsync(4000);
    expect(peers[0]?.isIsolated()).to.equal(false);
    expect(mirrors[0]?.readSince(0, false).items).to.deep.equal([
      { key: 'config', value: 'next', revision: 5 },
    ]);
  });
});

describe('RelayPeers with a store that comes and goes', () => {
  it('asks no more often after many short losses than after one', async () => {
    // Instances that lost the store for moments took their peers' links with questions: each loss began a round of asking
    // of its own, and a round that waited for an answer went on with the next loss.
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

describe('RelayPeerHttp', () => {
  it('carries changes to a peer, and nothing from one that has none or is gone', async () => {
    const server = createPeerHttp(createSystemTimers());
    const client = createPeerHttp(createSystemTimers());
    const mirror = createMirror();
    mirror.apply(write('a', 'ä', 3));
    let hasNews = true;
    const host = '127.0.0.1';
    const answer = (since: number): PeerAnswer =>
      hasNews
        ? { kind: 'news', changes: mirror.readSince(since, true), age: 400 }
        : { kind: 'deaf', observed: [createBackend('a')] };
    const address = {
      host,
      port: await server.listen(
        { host, port: 0 },
        {
          changes: answer,
          updates: () => Promise.resolve({ kind: 'deaf' }),
          grant: (_service, wanted) => wanted,
        },
      ),
    };
    expect(await client.ask(address, 0, 1000)).to.deep.equal(answer(0));
    expect(await client.ask(address, 3, 1000)).to.deep.equal(answer(3));
    hasNews = false;
    expect(await client.ask(address, 0, 1000)).to.deep.equal(answer(0));
    await server.close();
    expect(await client.ask(address, 0, 1000)).to.deep.equal({ kind: 'silent' });
    await client.close();
  });

  it('takes nothing that is no list of engines from a peer that hears nothing', async () => {
    // A peer of another make that answered with any other value ended the process that had asked it.
    const client = createPeerHttp(createSystemTimers());
    const server = createServer((_req, res) => {
      res.writeHead(503).end(pack({ any: 'thing' }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const answer = await client.ask({ host: '127.0.0.1', port }, 0, 1000);
    expect(answer).to.deep.equal({ kind: 'silent' });
    await client.close();
    server.closeAllConnections();
    server.close();
  });
});
