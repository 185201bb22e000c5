import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { FanoutLevel } from '../../RelayFanout.js';
import type { SyncMember, SyncBed } from './RelaySyncBed.js';
import { CONFIG_KEY, createSyncBed, STORE, writeConfig } from './RelaySyncBed.js';

/** Time in which a change must be in force at the deployments with the tightest bound. */
const IN_FORCE_BOUND: Millis = 2000;
/** Time after the end of a store fault in which a healthy instance must be in sync. */
const RECOVERY_BOUND: Millis = 3000;
const INSTANCES = 75;
/** Number of routes: 1,400 more than usual. */
const ROUTES = 1640;
/** Link rates in bytes per ms: 14 Mbit/s at instances, the narrowest supported, and 1,000 Mbit/s at the store. */
const INSTANCE_RATE = 1750;
const STORE_RATE = 125_000;
const SETTLE_TIME: Millis = 6000;
const WRITE_INTERVAL: Millis = 330;

async function startFleet(getShare: (id: string) => number = () => 1): Promise<SyncBed> {
  const bed = createSyncBed({
    instances: INSTANCES,
    getRate: (place) => (place === STORE ? STORE_RATE : getShare(place) * INSTANCE_RATE),
  });
  await bed.timers.advanceToAsync(SETTLE_TIME);
  return bed;
}

/** Instances whose copy is too old to answer that a route does not exist. */
function listStale(members: readonly SyncMember[]): readonly string[] {
  return members
    .filter(({ sync: knowledge }) => knowledge.updates.readState().age > RECOVERY_BOUND)
    .map(({ id }) => id);
}

/** Writes versions one after another; returns the time of the last. */
async function writeSeries(
  { timers, store }: SyncBed,
  first: number,
  count: number,
  interval: Millis,
): Promise<Millis> {
  for (let i = 0; i < count; i++) {
    store.put(CONFIG_KEY, writeConfig(first + i, ROUTES));
    await timers.advanceToAsync(timers.now() + (i < count - 1 ? interval : 0));
  }
  return timers.now();
}

describe('Store sync of a large configuration', () => {
  it('comes into force everywhere in time on narrow links', async () => {
    // Guards against 404s for new routes, caused by a large answer that is cut off in transit and requested again
    // elsewhere. Compressed, it is 30 kB.
    const bed = await startFleet();
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE_BOUND);
    expect(bed.listUpToDate(2, at + IN_FORCE_BOUND)).to.have.length(INSTANCES);
  });

  it('comes into force in time with half of each link in use', async () => {
    const bed = await startFleet(() => 0.5);
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE_BOUND);
    expect(bed.listUpToDate(2, at + IN_FORCE_BOUND)).to.have.length(INSTANCES);
  });

  it('comes into force in time at the end of a series of writes', async () => {
    const bed = await startFleet();
    const at = await writeSeries(bed, 2, 12, WRITE_INTERVAL);
    await bed.timers.advanceToAsync(at + IN_FORCE_BOUND);
    expect(bed.listUpToDate(13, at + IN_FORCE_BOUND)).to.have.length(INSTANCES);
  });

  it('comes into force soon after the store was unreachable for all', async () => {
    // Guards against 404s for new routes, caused by instances that lost the store and request all versions from several
    // places at once.
    const bed = await startFleet();
    bed.setCut(() => true);
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    await writeSeries(bed, 2, 8, 0);
    const at = bed.timers.now();
    bed.setCut(() => false);
    await bed.timers.advanceToAsync(at + RECOVERY_BOUND);
    expect(bed.listUpToDate(9, at + RECOVERY_BOUND)).to.have.length(INSTANCES);
  });

  it('arrives from sources again while the store stays unreachable for some', async () => {
    // Guards against instances that lose the store for over a second and then only try to read a snapshot, without
    // polling their sources: of 17 that the store still refused after an outage, none got updates from its sources
    // within half a minute. Their polls also failed once anything had changed in the outage, since all others had read
    // a snapshot.
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
    const refused = bed.members.filter(
      (member, index) => index % 4 === 0 && !watchers.includes(member),
    );
    bed.setCut((id) => refused.some((member) => member.id === id));
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    expect(listStale(refused)).to.deep.equal([]);
  });

  it('is not delayed by a source with a slow link', async () => {
    // Guards against an aggregator on a saturated link that trickles the configuration to a dozen healthy instances.
    // They waited, since data kept arriving, and asked no other peer: 18 of 75 did not have the version after 3 s.
    for (const share of [0.05, 0.1, 0.2]) {
      let slow = '';
      const bed = await startFleet((id) => (id === slow ? share : 1));
      slow =
        bed.members.find(({ getRole: getPart }) => getPart().level === FanoutLevel.Aggregator)
          ?.id ?? '';
      const at = await writeSeries(bed, 2, 1, 0);
      await bed.timers.advanceToAsync(at + IN_FORCE_BOUND);
      const upToDate = bed.listUpToDate(2, at + IN_FORCE_BOUND).filter((id) => id !== slow);
      expect(upToDate, `share ${share}`).to.have.length(INSTANCES - 1);
    }
  });

  it('reaches instances that the store refuses', async () => {
    const bed = await startFleet();
    // The store refuses some instances of each domain, sources included.
    const isRefused = (id: string): boolean => Number(id.slice(1)) % 4 === 0;
    bed.setCut(isRefused);
    await bed.timers.advanceToAsync(bed.timers.now() + 5000);
    const at = await writeSeries(bed, 2, 1, 0);
    await bed.timers.advanceToAsync(at + IN_FORCE_BOUND);
    expect(bed.listUpToDate(2, at + IN_FORCE_BOUND)).to.have.length(INSTANCES);
  });
});
