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
  let isBlind = true;
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
    isIsolated: () => isBlind,
    onHealthy: (engine) => well.push(engine),
    onUnhealthy: () => undefined,
  });
  let listener: EngineCallListener | null = null;
  const open = watch.watchCalls((_call, heard) => {
    listener = heard;
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
    setDelay: (next: number) => {
      delay = next;
    },
    setBlind: (next: boolean) => {
      isBlind = next;
    },
  };
}

describe('RelayHealth', () => {
  it('takes an engine that answers well for alive, but not for staying if its entry said so since', async () => {
    // Symptom: requests go to an engine that said seconds ago that it leaves.
    // Sequence: a call fails at an engine; it is asked, and answers well; before that answer is here its entry
    // says that it leaves.
    // Cause: the older answer replaced what the newer entry said.
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

  it('finds an engine that leaves while the store is out, and follows the layers of the others', async () => {
    // Symptom: a domain refuses everything until the store is back, eight seconds later.
    // Sequence: the store is out; an engine of the domain begins to leave and refuses new work.
    // Cause: only the store's entries said which engines leave and what each holds.
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

  it('finds a dead engine well before its entry lapses, and leaves layers to the store', async () => {
    // Symptom: a domain whose engine died has no chain for six seconds.
    // Sequence: an engine falls silent; its entry stands for three heartbeats; then it is waited for.
    // Cause: only the lapse of its entry told of its end.
    const bed = createBed();
    bed.setBlind(false);
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

  it('believes no silence that was a pause of its own', async () => {
    // Symptom: an instance that was frozen takes all engines of its domain for dead when it wakes.
    // Sequence: it asks an engine, stands still, and finds the time for the answer over.
    // Cause: the time-out of a question counts the time in which nobody could read the answer.
    const bed = createBed();
    bed.setDelay(2000);
    bed.health.set('e1', { kind: 'silent' });
    bed.fail('e1');
    await bed.timers.advanceToAsync(12_000);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
  });

  it('keeps an engine that refused because it was full', async () => {
    const bed = createBed();
    bed.fail('e1');
    await bed.timers.advanceToAsync(3000);
    expect(bed.asked).to.deep.equal(['health e1']);
    expect(bed.catalogue.get('e1')).to.include({ state: 'live' });
  });

  it('asks engines that are silent under an answer that is left with them', async () => {
    // Guards against a dead engine that stays in use since no call was taken from it.
    const bed = createBed();
    bed.start();
    bed.watch.noteSilent(['e0', 'e1', 'far']);
    await bed.timers.advanceToAsync(350);
    expect(bed.asked).to.deep.equal(['health e0', 'health e1']);
  });

  it('suspects all engines of a chain that was given up silent, and finds one that started anew', async () => {
    // Symptom: an engine that crashed and is back stays unused until the store is back.
    // Sequence: the store is out; an engine falls silent, and another incarnation answers at its address.
    // Cause: incarnations are known by their entries only.
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
});
