import { expect } from 'chai';
import { createChain } from '@skylarksail/core/CoreChain';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { LayerRange } from '@skylarksail/core/CoreTypes';
import type { EngineCall, EngineCallListener } from '@skylarksail/requests/RequestPorts';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import { createCatalogue } from '../../RelayCatalogue.js';
import type { HealthAnswer } from '../../RelayPorts.js';
import { createRelayHealth } from '../../RelayHealth.js';
import type { BackendEntry } from '../../RelayTypes.js';
import { createBackend } from './RelayFixtures.js';

const VARIANT = { model: 'letters', version: '1', adapter: null };
const RANGES: readonly LayerRange[] = [
  { first: 0, end: 4 },
  { first: 4, end: 8 },
];

function createBed() {
  const timers = createVirtualTimers();
  const catalogue = createCatalogue(timers);
  const health = new Map<string, HealthAnswer>();
  const layers = new Map<string, LayerRange>();
  const asked: string[] = [];
  let isIsolated = true;
  const well: string[] = [];
  let delay = 1;
  RANGES.forEach((range, i) => catalogue.put(createBackend(`e${i}`, { layers: range })));
  catalogue.put(createBackend('far', { domain: 'd2', layers: { first: 0, end: 8 } }));
  const watch = createRelayHealth({
    timers,
    domain: 'd1',
    catalogue,
    port: {
      readHealth: ({ id }) => {
        asked.push(`health ${id}`);
        const answer = health.get(id) ?? { kind: 'well' as const, id };
        return new Promise((resolve) => {
          timers.registerTimeout(delay, () => resolve(answer));
        });
      },
      readStatus: ({ id }) => {
        asked.push(`layers ${id}`);
        const held = layers.get(id);
        return Promise.resolve(
          held ? { born: null, orderCount: 1, isBusy: false, layers: held } : null,
        );
      },
    },
    isIsolated: () => isIsolated,
    onHealthy: (engine) => well.push(engine),
    onUnhealthy: () => undefined,
  });
  let listener: EngineCallListener | null = null;
  const open = watch.watchCalls((_call, wrapped) => {
    listener = wrapped;
    return () => undefined;
  });
  const stages = RANGES.map((range, i) => ({ engine: `e${i}`, layers: range }));
  const chain = createChain(VARIANT, 8, stages);
  const call = (chain.ok ? { chain: chain.value } : {}) as EngineCall;
  const start = () =>
    open(call, {
      onAcknowledged: () => undefined,
      onToken: () => undefined,
      onEnd: () => undefined,
      onFailure: () => undefined,
    });
  return {
    timers,
    catalogue,
    health,
    layers,
    asked,
    well,
    watch,
    start,
    fail: (engine: string) => {
      start();
      listener?.onFailure({
        place: FailurePlace.Stage,
        engine,
        status: 503,
        retryAfter: null,
        provenNotRun: true,
      });
    },
    breakStream: (engine: string) => {
      start();
      listener?.onFailure({
        place: FailurePlace.Stream,
        engine,
        status: null,
        retryAfter: null,
        provenNotRun: false,
      });
    },
    setDelay: (next: number) => {
      delay = next;
    },
    setIsolated: (next: boolean) => {
      isIsolated = next;
    },
  };
}

describe('RelayHealth', () => {
  it('keeps a newer leaving state when an older healthy answer arrives', async () => {
    // Guards against requests to an engine that announced seconds ago that it leaves. A call fails and the engine
    // answers a probe as healthy; before that answer arrives, the entry changes to leaving, and the older answer
    // overwrites it.
    const bed = createBed();
    bed.setDelay(100);
    bed.fail('e1');
    await bed.timers.advanceToAsync(350);
    expect(bed.asked).to.include('health e1');
    bed.catalogue.put({ ...(bed.catalogue.get('e1') as BackendEntry), state: 'leaving' });
    await bed.timers.advanceToAsync(600);
    expect(bed.well).to.deep.equal(['e1']);
    expect(bed.catalogue.get('e1')).to.include({ state: 'leaving' });
  });

  it('detects a leaving engine during a store outage and tracks the layers of the others', async () => {
    // Guards against a domain that refuses all requests until the store is back, eight seconds later. During the outage
    // an engine starts to leave and refuses new work, but only entries in the store show which engines leave and which
    // layers each holds.
    const bed = createBed();
    bed.health.set('e1', { kind: 'leaving' });
    bed.layers.set('e0', { first: 0, end: 8 });
    bed.fail('e1');
    await bed.timers.advanceToAsync(400);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
    await bed.timers.advanceToAsync(2000);
    expect(bed.catalogue.get('e1')).to.include({ state: 'leaving' });
    expect(bed.catalogue.get('e0')?.layers).to.deep.equal({ first: 0, end: 8 });
    expect(bed.asked.some((what) => what.endsWith('far'))).to.equal(false);
  });

  it('detects a dead engine well before its entry expires, and takes layers from the store', async () => {
    // Guards against a domain without a chain for six seconds after an engine died, if only the expiry of its entry
    // shows that: the entry stays for three heartbeats, and then a grace period for its return follows.
    const bed = createBed();
    bed.setIsolated(false);
    bed.health.set('e1', { kind: 'silent' });
    bed.fail('e1');
    await bed.timers.advanceToAsync(700);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
    await bed.timers.advanceToAsync(1500);
    expect(bed.catalogue.get('e1')).to.include({ state: 'leaving' });
    expect(bed.asked.every((what) => what === 'health e1')).to.equal(true);
    bed.health.set('e1', { kind: 'well', id: 'e1' });
    await bed.timers.advanceToAsync(4000);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
    bed.health.set('e1', { kind: 'well', id: 'e1-next' });
    bed.fail('e1');
    await bed.timers.advanceToAsync(6000);
    expect(bed.catalogue.get('e1')).to.include({ state: 'leaving' });
    expect(bed.catalogue.get('e1-next')).to.equal(null);
  });

  it('ignores an unanswered probe that was delayed by a pause of this process', async () => {
    // Guards against an instance that was suspended and then treats all engines of its domain as dead: the timeout of a
    // probe includes the time in which the process could not read the answer.
    const bed = createBed();
    bed.setDelay(2000);
    bed.health.set('e1', { kind: 'silent' });
    bed.fail('e1');
    await bed.timers.advanceToAsync(12_000);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
  });

  it('keeps an engine live that refused a call but answers a probe as healthy', async () => {
    const bed = createBed();
    bed.fail('e1');
    await bed.timers.advanceToAsync(3000);
    expect(bed.asked).to.deep.equal(['health e1']);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
  });

  it('probes unresponsive engines of a call that is not cancelled', async () => {
    // Guards against a dead engine that stays in use because no call to it failed or was cancelled.
    const bed = createBed();
    bed.start();
    bed.watch.noteSilent(['e0', 'e1', 'far']);
    await bed.timers.advanceToAsync(350);
    expect(bed.asked).to.deep.equal(['health e0', 'health e1']);
  });

  it('suspects all engines of a stalled call that is cancelled, and detects a restarted engine', async () => {
    // Guards against a restarted engine that stays unused until the store is back: during the outage the engine crashes
    // and another incarnation answers at its address, but incarnations are known only from entries in the store.
    const bed = createBed();
    const cancel = bed.start();
    await bed.timers.advanceToAsync(400);
    cancel();
    bed.health.set('e0', { kind: 'silent' });
    await bed.timers.advanceToAsync(2000);
    expect(bed.catalogue.get('e0')).to.include({ state: 'leaving' });
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
    bed.health.set('e0', { kind: 'well', id: 'e0-next' });
    await bed.timers.advanceToAsync(3000);
    expect(bed.catalogue.get('e0-next')).to.deep.include({ state: 'live', layers: null });
    expect(bed.catalogue.get('e0')).to.include({ state: 'leaving' });
  });

  it('distinguishes an engine that ended from one whose connection was reset', async () => {
    // Guards against an engine that was healthy just before its stream broke and is taken for living without a probe.
    const bed = createBed();
    bed.fail('e0');
    await bed.timers.advanceToAsync(350);
    expect(bed.watch.getFate('e0', 0)).to.equal('alive');
    const brokenAt = bed.timers.now();
    bed.health.set('e0', { kind: 'silent' });
    bed.breakStream('e0');
    bed.breakStream('e1');
    expect(bed.watch.getFate('e0', brokenAt)).to.equal('unknown');
    await bed.timers.advanceToAsync(brokenAt + 700);
    expect(bed.watch.getFate('e0', brokenAt)).to.equal('ended');
    expect(bed.watch.getFate('e1', brokenAt)).to.equal('alive');
    bed.health.set('e1', { kind: 'well', id: 'e1-next' });
    bed.breakStream('e1');
    await bed.timers.advanceToAsync(brokenAt + 1400);
    expect(bed.watch.getFate('e1', brokenAt + 700)).to.equal('ended');
  });
});
