import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import { createCatalogue } from '../../RelayCatalogue.js';
import { createRelayEngines } from '../../RelayEngines.js';
import { createBackend, createConfig } from './RelayFixtures.js';

function createBed() {
  const timers = createVirtualTimers();
  const catalogue = createCatalogue(timers);
  const routing = createDaemonRouting({
    domain: 'd1',
    timers,
    random: createRandom(1),
    decisions: { record: () => undefined, read: () => [] },
    listDraining: () => [],
  });
  const table = createRouteTable(createConfig());
  const engines = createRelayEngines({
    timers,
    catalogue,
    routing,
    getTable: () => table,
    countOwnInstances: () => 40,
  });
  for (const domain of ['d1', 'd2']) {
    [0, 4].forEach((first) => {
      const layers = { first, end: first + 4 };
      catalogue.put(createBackend(`${domain}-${first}`, { domain, layers }));
    });
  }
  engines.refresh();
  engines.start();
  routing.start();
  return { timers, catalogue, routing, engines };
}

describe('RelayEngines', () => {
  it('plans no domain anew while its engines stay as they are', async () => {
    // Symptom: an instance with nothing to do takes 2 % of a core beside 200 engines, and 195 of them together
    // more than the machine that plays them has.
    // Sequence: nothing happens; the work of others is reckoned anew each second.
    // Cause: each engine's facts are made anew with it, which reads as a change of every engine.
    const { timers, catalogue, routing } = createBed();
    await timers.advanceToAsync(2000);
    const before = routing.getState().plans;
    await timers.advanceToAsync(12_000);
    expect(routing.getState().plans).to.equal(before);

    catalogue.put(createBackend('d1-0', { layers: { first: 0, end: 5 } }));
    await timers.advanceToAsync(15_000);
    const [own, other] = ['letters/1/d1', 'letters/1/d2'];
    expect(routing.getState().plans.get(own)).to.not.equal(before.get(own));
    expect(routing.getState().plans.get(other)).to.equal(before.get(other));
  });

  it('forgets engines that are gone', () => {
    const { catalogue, routing, engines } = createBed();
    catalogue.remove('d1-0');
    engines.refresh();
    expect([...routing.getState().engines.keys()]).to.deep.equal(['d1-4', 'd2-0', 'd2-4']);
  });
});
