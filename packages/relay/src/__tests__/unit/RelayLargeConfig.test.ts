import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { FanoutLevel } from '../../RelayFanout.js';
import type { SyncMember, SyncBed } from './RelaySyncBed.js';
import { CONFIG_KEY, createSyncBed, STORE, writeConfig } from './RelaySyncBed.js';

/** Within so long a change is to be in force at the deployments with the tightest bound. */
const IN_FORCE: Millis = 2000;
/** So long after the end of a disturbance of the store a calm instance is to know what it holds. */
const STABLE_AGAIN: Millis = 3000;
const INSTANCES = 75;
/** 1,400 more than usual. */
const ROUTES = 1640;
/** Bytes a millisecond: 14 Mbit/s, the narrowest links that are served, and 1,000 Mbit/s. */
const NARROW_LINK = 1750;
const STORE_LINK = 125_000;
const SETTLED: Millis = 6000;
const STORM_GAP: Millis = 330;

async function startFleet(getShare: (id: string) => number = () => 1): Promise<SyncBed> {
  const bed = createSyncBed({
    instances: INSTANCES,
    getRate: (place) => (place === STORE ? STORE_LINK : getShare(place) * NARROW_LINK),
  });
  await bed.timers.advanceToAsync(SETTLED);
  return bed;
}

/** Instances whose news is so old that they cannot say of a route that it does not exist. */
function listDoubting(members: readonly SyncMember[]): readonly string[] {
  return members
    .filter(({ sync: knowledge }) => knowledge.updates.readState().age > STABLE_AGAIN)
    .map(({ id }) => id);
}

/** Writes versions one after the other; the time of the last is returned. */
async function writeSeries(
  { timers, store }: SyncBed,
  first: number,
  count: number,
  gap: Millis,
): Promise<Millis> {
  for (let i = 0; i < count; i++) {
    store.put(CONFIG_KEY, writeConfig(first + i, ROUTES));
    await timers.advanceToAsync(timers.now() + (i < count - 1 ? gap : 0));
  }
  return timers.now();
}

describe('RelayKnowledge with a large configuration', () => {
  it('puts it in force everywhere in time on narrow links', async () => {
    // Guards against 404s for new routes, since a large answer is cut off on its way and asked for anew elsewhere.
    // Compressed it is 30 kB.
    const bed = await startFleet();
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE);
    expect(bed.listUpToDate(2, at + IN_FORCE)).to.have.length(INSTANCES);
  });

  it('is in time where half of each link is taken', async () => {
    const bed = await startFleet(() => 0.5);
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE);
    expect(bed.listUpToDate(2, at + IN_FORCE)).to.have.length(INSTANCES);
  });

  it('is in time at the end of a series', async () => {
    const bed = await startFleet();
    const at = await writeSeries(bed, 2, 12, STORM_GAP);
    await bed.timers.advanceToAsync(at + IN_FORCE);
    expect(bed.listUpToDate(13, at + IN_FORCE)).to.have.length(INSTANCES);
  });

  it('is known again soon after the store was out of reach for all', async () => {
    // Guards against 404s for new routes, since whoever lost the store asks for all versions at several places at once.
    const bed = await startFleet();
    bed.setCut(() => true);
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    await writeSeries(bed, 2, 8, 0);
    const at = bed.timers.now();
    bed.setCut(() => false);
    await bed.timers.advanceToAsync(at + STABLE_AGAIN);
    expect(bed.listUpToDate(9, at + STABLE_AGAIN)).to.have.length(INSTANCES);
  });

  it('is heard from sources again, though the store stays out of reach for some', async () => {
    // Instances that had lost the store for over a second read it anew until it answered, and asked no source meanwhile:
    // of 17 that stayed turned away after an outage none heard from its sources again within half a minute. When they
    // asked, they were told nothing as soon as anything had changed in the outage, since all others had read anew.
    const bed = await startFleet();
    bed.store.put('engine', 'registered');
    bed.setCut(() => true);
    await bed.timers.advanceToAsync(bed.timers.now() + 2500);
    bed.store.remove('engine');
    bed.store.put('another', 'registered');
    await bed.timers.advanceToAsync(bed.timers.now() + 1500);
    const watchers = bed.members.filter(
      ({ getRole: getPart }) => getPart().level === FanoutLevel.Watcher,
    );
    const away = bed.members.filter(
      (member, index) => index % 4 === 0 && !watchers.includes(member),
    );
    bed.setCut((id) => away.some((member) => member.id === id));
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    expect(listDoubting(away)).to.deep.equal([]);
  });

  it('is not held up by a source whose link is slow', async () => {
    // An aggregator whose link was squeezed trickled the configuration to a dozen calm instances. They waited for it,
    // since it went on arriving, and asked nobody else: 18 of 75 did not know the version after 3 s.
    for (const share of [0.05, 0.1, 0.2]) {
      let slow = '';
      const bed = await startFleet((id) => (id === slow ? share : 1));
      slow =
        bed.members.find(({ getRole: getPart }) => getPart().level === FanoutLevel.Aggregator)
          ?.id ?? '';
      const at = await writeSeries(bed, 2, 1, 0);
      await bed.timers.advanceToAsync(at + IN_FORCE);
      const knowing = bed.listUpToDate(2, at + IN_FORCE).filter((id) => id !== slow);
      expect(knowing, `share ${share}`).to.have.length(INSTANCES - 1);
    }
  });

  it('reaches instances that the store turns away', async () => {
    const bed = await startFleet();
    // Some of each domain, sources among them.
    const isAway = (id: string): boolean => Number(id.slice(1)) % 4 === 0;
    bed.setCut(isAway);
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE);
    expect(bed.listUpToDate(2, at + IN_FORCE)).to.have.length(INSTANCES);
  });
});
