import { expect } from 'chai';
import { pack } from 'msgpackr';
import { createRandom } from '@skylarksail/core/CoreRandom';
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { OwnRoom } from '@skylarksail/daemon/DaemonRouting';
import type { KnownRoom } from '@skylarksail/routing/RoutingTypes';
import { createFakeRangeStore } from '@skylarksail/store/FakeRangeStore';
import { registerRangeWatch } from '@skylarksail/store/StoreRangeWatch';
import { createFanoutRoleCache } from '../../RelayFanout.js';
import { createMirror } from '../../RelayMirror.js';
import { AnswerForm, createPeerCodec } from '../../RelayPeerCodec.js';
import { readUpdateQuery } from '../../RelayPeerMessages.js';
import type { RelayRooms } from '../../RelayRooms.js';
import { createRelayRooms } from '../../RelayRooms.js';
import type { InstanceEntry } from '../../RelayTypes.js';
import type { RelayUpdates } from '../../RelayUpdates.js';
import { createRelayUpdates } from '../../RelayUpdates.js';
import type { RoomReport } from '../../RelayWork.js';

const MODEL = 'm';
const DOMAINS = ['a', 'b', 'c'];
const NO_WORK = { running: [], lost: [] };

function createReport(changes: Partial<RoomReport> = {}): RoomReport {
  return { domain: 'b', model: MODEL, capacity: 1000, used: 300, age: 0, ...changes };
}

function createOwnRoom(seenAt: Millis): OwnRoom {
  return { model: MODEL, capacity: 1000, used: 600, abroad: [{ domain: 'b', used: 7 }], seenAt };
}

/** Rooms of an instance of domain `a`. */
function createBed(timers: VirtualTimers = createVirtualTimers(), domain = 'a') {
  const absurd: RoomReport[] = [];
  const told: (readonly KnownRoom[])[] = [];
  const rooms = createRelayRooms({
    timers,
    domain,
    readOwnRooms: () => [createOwnRoom(timers.now())],
    isKnown: (id, model) => DOMAINS.includes(id) && model === MODEL,
    getDomain: (id) => id.slice(0, 1),
    isShared: (engine) => engine.startsWith('shared'),
    onRooms: (known) => told.push(known),
    onAbsurd: (report) => absurd.push(report),
  });
  return { timers, rooms, absurd, told, read: () => told.at(-1) ?? [] };
}

describe('RelayRooms', () => {
  it('keeps the youngest report of each domain, and adds the time of its way and its stay', () => {
    const { timers, rooms, read, told } = createBed();
    timers.advanceTo(10_000);
    rooms.record([createReport({ age: 500 })], 100);
    rooms.record([createReport({ used: 900, age: 700 })], 0);
    rooms.record([createReport({ used: 900, age: 600 })], 0);
    expect(read().map(({ used, seenAt }) => [used, seenAt])).to.deep.equal([[300, 9400]]);
    expect(told).to.have.length(1);
    timers.advanceTo(10_200);
    const passed = rooms.list().map(({ domain, age }) => [domain, age]);
    expect(passed).to.deep.equal([
      ['a', 0],
      ['b', 800],
    ]);
    rooms.record([createReport({ used: 400, age: 100 })], 0);
    expect(read().map(({ used }) => used)).to.deep.equal([400]);
  });

  it('drops reports that expired, and notes the return of a domain that was cut off', () => {
    const { timers, rooms, read } = createBed();
    timers.advanceTo(10_000);
    rooms.record([createReport({ age: 2000 })], 1001);
    expect(read()).to.deep.equal([]);
    rooms.record([createReport()], 0);
    expect(read()[0]?.since).to.equal(-Infinity);
    timers.advanceTo(13_001);
    expect(rooms.list().map(({ domain }) => domain)).to.deep.equal(['a']);
    rooms.record([createReport()], 0);
    timers.advanceTo(14_000);
    rooms.record([createReport()], 0);
    expect(read()[0]).to.include({ since: 13_001, seenAt: 14_000 });
  });

  it('ignores its own domain and unknown domains and models, so that it keeps a bounded number', () => {
    const { rooms, told } = createBed();
    rooms.record([createReport({ domain: 'a' }), createReport({ model: 'other' })], 0);
    Array.from({ length: 100 }, (_, i) =>
      rooms.record([createReport({ domain: `unknown${i}` })], 0),
    );
    expect(told).to.deep.equal([]);
    const abroad = [
      { domain: 'a', used: 5 },
      { domain: 'b', used: 6 },
      { domain: 'unknown', used: 7 },
      { domain: 'a', used: 8 },
    ];
    rooms.record([createReport({ abroad })], 0);
    expect(told[0]?.[0]?.abroad).to.deep.equal([{ domain: 'a', used: 8 }]);
  });

  it('ignores absurd reports, and logs one of each domain', () => {
    const { rooms, absurd, told } = createBed();
    const bad: readonly Partial<RoomReport>[] = [
      { capacity: NaN },
      { capacity: Infinity },
      { capacity: -1 },
      { used: -1 },
      { used: Infinity },
      { age: -1 },
      { capacity: 0, used: 1 },
      { abroad: [{ domain: 'c', used: -1 }] },
    ];
    bad.forEach((changes) => rooms.record([createReport(changes)], 0));
    expect(told).to.deep.equal([]);
    expect(absurd).to.have.length(1);
    rooms.record([createReport({ capacity: 0, used: 0 })], 0);
    expect(told).to.have.length(1);
  });

  it('counts no work of other domains that their rooms contain', () => {
    const { rooms } = createBed();
    const running = ['shared1', 'plain1'].map((engine) => ({ engine, calls: 1, kvTokens: 9 }));
    const work = { running, lost: ['x'] };
    expect(rooms.selectWork('a2', work)).to.equal(work);
    expect(rooms.selectWork('b2', work)).to.deep.equal({ running: running.slice(1), lost: ['x'] });
  });

  it('counts no team work of other domains', () => {
    // Guards against a team that is refused in one domain for memory that it holds in another.
    const { rooms } = createBed();
    const slow = [{ engine: 'shared1', factor: 3 }];
    const work = { ...NO_WORK, teams: [{ team: 't', kvTokens: 9 }], slow };
    expect(rooms.selectWork('a2', work)).to.equal(work);
    expect(rooms.selectWork('b2', work)).to.deep.equal({ ...NO_WORK, slow });
  });

  it('reads messages with malformed rooms without them, and passes well-formed ones through', () => {
    // Guards against a fault in rooms that keeps an instance from getting changes of the configuration.
    const query = { since: 1, hold: 0, level: 1, takesWhole: true, from: 'i', work: NO_WORK };
    const rooms = [
      createReport({ abroad: [{ domain: 'c', used: 1 }] }),
      createReport({ used: -1 }),
    ];
    expect(readUpdateQuery(pack({ ...query, rooms }))?.rooms).to.deep.equal(rooms);
    for (const bad of ['x', [1], [{ domain: 'b' }], [{ ...createReport(), used: 'x' }], null]) {
      const read = readUpdateQuery(pack({ ...query, rooms: bad }));
      expect(read?.since).to.equal(1);
      expect(read?.rooms).to.equal(undefined);
    }
    const codec = createPeerCodec();
    const changes = { isWhole: false, items: [], removed: [], revision: 1 };
    const content = { changes, age: 1, held: 2, others: NO_WORK, rooms };
    const packed = codec.packUpdates(content, AnswerForm.Plain);
    expect(codec.readUpdates(packed)).to.deep.equal(content);
  });
});

/** A fleet whose instances pass on the rooms of their domains; returns the ages that each knows of the other domains. */
async function readFleetAges(isCrowded: (domain: string) => boolean): Promise<readonly Millis[]> {
  const timers = createVirtualTimers();
  const store = createFakeRangeStore(timers);
  store.put('config', 'one');
  const entries: InstanceEntry[] = Array.from({ length: 60 }, (_, i) => ({
    id: `${DOMAINS[i % 3] ?? ''}${i}`,
    domain: DOMAINS[i % 3] ?? '',
    address: { host: '127.0.0.1', port: i + 1 },
  }));
  const members = new Map<string, { readonly rooms: RelayRooms; readonly news: RelayUpdates }>();
  entries.forEach((entry, i) => {
    const mirror = createMirror();
    const role = createFanoutRoleCache(entry, () => entries);
    const { rooms } = createBed(timers, entry.domain);
    const news = createRelayUpdates({
      self: entry.id,
      timers,
      store,
      mirror,
      changeTime: 2000,
      getRole: role.get,
      work: {
        recordReport: () => undefined,
        summarizeFor: () => NO_WORK,
        recordSummary: () => undefined,
      },
      readOwnWork: () => NO_WORK,
      rooms,
      isCrowded: () => isCrowded(entry.domain),
      onDirectWatch: () => undefined,
      askForUpdates: async ({ id }, ask) =>
        (await members.get(id)?.news.answer(ask)) ?? { kind: 'silent' },
    });
    members.set(entry.id, { rooms, news });
    registerRangeWatch({
      port: news.port,
      timers,
      random: createRandom(i + 1),
      prefix: '',
      wait: 2500,
      timeout: 700,
      getGatherTime: role.getGatherTime,
      listener: {
        onSnapshot: (items, revision) => {
          mirror.toEvents({ isWhole: true, items, removed: [], revision }).forEach(mirror.apply);
        },
        onEvent: mirror.apply,
        onCaughtUp: news.noteCaughtUp,
        onLost: () => news.setReachable(false),
        onRegained: () => news.setReachable(true),
      },
    });
  });
  await timers.advanceToAsync(8000);
  const ages: Millis[] = [];
  for (let at = 8000; at < 14_000; at += 100) {
    await timers.advanceToAsync(at);
    for (const { id, domain } of entries.filter((entry) => isCrowded(entry.domain))) {
      const known = members.get(id)?.rooms.list() ?? [];
      const others = DOMAINS.filter((other) => other !== domain);
      others.forEach((other) =>
        ages.push(known.find((report) => report.domain === other)?.age ?? Infinity),
      );
    }
  }
  return ages;
}

describe('Rooms in a fleet of three domains', () => {
  it('reach all instances of a crowded domain well before they expire, also from domains that are not crowded', async () => {
    const ages = await readFleetAges((domain) => domain === 'a');
    const all = await readFleetAges(() => true);
    // Reports expire after 3 s. The rest is a margin for latency and for two queries that are lost.
    expect(Math.max(...ages)).to.be.below(1200);
    expect(Math.max(...all)).to.be.below(1000);
  });
});
