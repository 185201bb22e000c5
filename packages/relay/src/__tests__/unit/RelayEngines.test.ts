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
  const others = new Map<string, { calls: number; kvTokens: number }>();
  const table = createRouteTable(createConfig());
  const engines = createRelayEngines({
    domain: 'd1',
    timers,
    catalogue,
    routing,
    getTable: () => table,
    countOwnInstances: () => 40,
    getOthersWork: (engine) => others.get(engine) ?? null,
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
  return { timers, catalogue, routing, engines, others };
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

  it('reckons with the work of others as told, and with a multiple of its own only where nobody tells', () => {
    const { routing, engines, others } = createBed();
    const getRunning = (): readonly (number | undefined)[] =>
      ['d1-0', 'd1-4', 'd2-0'].map((id) => routing.getState().loads.get(id)?.load.running);
    expect(getRunning()).to.deep.equal([0, 0, 0]);
    others.set('d1-0', { calls: 7, kvTokens: 100 });
    others.set('d2-0', { calls: 9, kvTokens: 100 });
    engines.refreshOwnLoads();
    expect(getRunning()).to.deep.equal([7, 0, 0]);
    engines.refresh();
    expect(getRunning()).to.deep.equal([7, 0, 9]);
  });

  it('tells routing of engines without work often enough that none is taken for silent', async () => {
    const { timers, routing, engines, others } = createBed();
    others.set('d1-0', { calls: 7, kvTokens: 100 });
    for (let at = 100; at <= 20_000; at += 100) {
      await timers.advanceToAsync(at);
      engines.refreshOwnLoads();
      expect([...routing.getState().silent]).to.deep.equal([]);
    }
    // Work that ends is told of at once.
    others.clear();
    engines.refreshOwnLoads();
    expect(routing.getState().loads.get('d1-0')?.load.running).to.equal(0);
  });

  it('says that a domain is crowded once one of its engines is near its limit, and not before', () => {
    const { engines, others } = createBed();
    expect(engines.isCrowded()).to.equal(false);
    for (const [calls, kvTokens, isCrowded] of [
      [10, 1, false],
      [90, 1, true],
      [1, 40, true],
    ] as const) {
      others.set('d1-0', { calls, kvTokens });
      engines.refreshOwnLoads();
      expect(engines.isCrowded(), `${calls} calls`).to.equal(isCrowded);
    }
    others.clear();
    others.set('d2-0', { calls: 90, kvTokens: 1 });
    engines.refresh();
    expect(engines.isCrowded()).to.equal(false);
  });

  it('forgets engines that are gone', () => {
    const { catalogue, routing, engines } = createBed();
    catalogue.remove('d1-0');
    engines.refresh();
    expect([...routing.getState().engines.keys()]).to.deep.equal(['d1-4', 'd2-0', 'd2-4']);
  });
});
