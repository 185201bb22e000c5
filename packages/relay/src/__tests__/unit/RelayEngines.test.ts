import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createDaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import { createRouteTable } from '@skylarksail/routes/RouteTable';
import { createCatalogue } from '../../RelayCatalogue.js';
import { createRelayEngines } from '../../RelayEngines.js';
import type { PeerWork } from '../../RelayWork.js';
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
  const others = new Map<string, PeerWork>();
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
  it('does not plan a domain again while its engines are unchanged', async () => {
    // Guards against idle instances that use processor time: 2 % of a core each with 200 engines, so that 195 simulated
    // instances exceed their machine. The load is recalculated every second; if that also creates new facts, routing
    // sees every engine as changed and plans all domains again.
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

  it('uses reported work of other instances, and a multiple of its own work only without reports', () => {
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

  it('passes on the prompt tokens that other instances report, and none that their calls cannot have', () => {
    // Guards against a bad message that makes all instances leave an engine.
    const { routing, engines, others } = createBed();
    const read = (prefillTokens?: number): number | undefined => {
      others.set('d1-0', {
        calls: 2,
        kvTokens: 1000,
        ...(prefillTokens === undefined ? {} : { prefillTokens }),
      });
      engines.refreshOwnLoads();
      return routing.getState().loads.get('d1-0')?.load.prefillTokens;
    };
    expect(read(700)).to.equal(700);
    for (const bad of [undefined, NaN, -5, 1001, Infinity]) {
      expect(read(bad), String(bad)).to.equal(0);
    }
    // An instance that ended has no report any more after three seconds; then the number is unknown.
    others.clear();
    engines.refreshOwnLoads();
    expect(routing.getState().loads.get('d1-0')?.load.prefillTokens).to.equal(undefined);
  });

  it('reports engines without work to routing often enough that none counts as silent', async () => {
    const { timers, routing, engines, others } = createBed();
    others.set('d1-0', { calls: 7, kvTokens: 100 });
    for (let at = 100; at <= 20_000; at += 100) {
      await timers.advanceToAsync(at);
      engines.refreshOwnLoads();
      expect([...routing.getState().silent]).to.deep.equal([]);
    }
    // The end of work is reported at once.
    others.clear();
    engines.refreshOwnLoads();
    expect(routing.getState().loads.get('d1-0')?.load.running).to.equal(0);
  });

  it('reports the own domain as crowded only if one of its engines is near its limit', () => {
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

  it('tells by how much more memory was promised than there is, only where requests share it', () => {
    // Guards against admission that sees an engine as exactly full however much more was promised.
    const { routing, engines, others } = createBed();
    const read = (kvTokens: number): number | undefined => {
      others.set('d1-0', { calls: 2, kvTokens });
      engines.refreshOwnLoads();
      return routing.getState().loads.get('d1-0')?.load.kvUsed;
    };
    const full = 1 / (read(1) ?? 0);
    expect(read(1.5 * full)).to.equal(1);
    routing.setFleetFacts({
      models: new Map([['letters', { id: 'letters', activationBytes: 1, isMemoryShared: true }]]),
    });
    expect(read(1.5 * full)).to.be.closeTo(1.5, 1e-9);
    expect(read(1e12)).to.equal(2);
  });

  it('reports a domain whose requests share memory as crowded only if some layer is short of it', () => {
    // Guards against five queries a second of each instance because a single engine of several with its layers is full.
    const { catalogue, routing, engines, others } = createBed();
    catalogue.put(createBackend('d1-0b', { domain: 'd1', layers: { first: 0, end: 4 } }));
    routing.setFleetFacts({
      models: new Map([['letters', { id: 'letters', activationBytes: 1, isMemoryShared: true }]]),
    });
    engines.refresh();
    const kvTokens = 40;
    others.set('d1-0', { calls: 1, kvTokens });
    engines.refreshOwnLoads();
    expect(engines.isCrowded()).to.equal(false);
    others.set('d1-0b', { calls: 1, kvTokens });
    engines.refreshOwnLoads();
    expect(engines.isCrowded()).to.equal(true);
  });

  it('removes engines that are gone from routing', () => {
    const { catalogue, routing, engines } = createBed();
    catalogue.remove('d1-0');
    engines.refresh();
    expect([...routing.getState().engines.keys()]).to.deep.equal(['d1-4', 'd2-0', 'd2-4']);
  });
});
