import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore, type FakeStore } from '../../FakeStore.js';
import { createStoreClient, type StoreClient } from '../../StoreClient.js';

interface TestBed {
  readonly timers: VirtualTimers;
  readonly platform: FakeStore;
  readonly client: StoreClient;
}

function createBed(instances = 6): TestBed {
  const timers = createVirtualTimers();
  const platform = createFakeStore({ timers, random: createRandom(1) });
  const client = createStoreClient({
    port: platform.connect('a'),
    timers,
    random: createRandom(2),
    countInstances: () => instances,
  });
  return { timers, platform, client };
}

describe('StoreClient', () => {
  it('distinguishes done, refused and unknown outcomes', async () => {
    // Guards against a write that is reported as failed although it is stored: the service applies the
    // swap and its answer is lost. A missing answer is not a refusal; the outcome must be unknown.
    const { timers, platform, client } = createBed();
    const port = client.forUse('claims');
    platform.injectFault('a', 'swap', { kind: 'lost-answer' });
    const outcomes = Promise.all([
      port.swap('k', 0, 'first', { timeout: 100 }),
      port.swap('other', 3, 'x', { timeout: 100 }),
      port.swap('new', 0, 'y', { timeout: 100 }),
    ]);
    await timers.advanceToAsync(200);
    expect((await outcomes).map((outcome) => outcome.kind)).to.deep.equal([
      'unknown',
      'refused',
      'done',
    ]);
    expect(platform.store.read('k')).to.deep.equal({ revision: 1, value: 'first' });
  });

  it('limits calls to a service in outage and closes the circuit when it answers again', async () => {
    // Guards against overloading a service that recovers from an outage: without a circuit breaker each
    // instance repeats its calls at once, and the service fails again under the load of the fleet.
    const { timers, platform, client } = createBed();
    const port = client.forUse('claims');
    platform.setFaults({ outage: true });
    const stopCalls = timers.registerInterval(10, () => {
      void port.get('k', { timeout: 50 });
    });
    await timers.advanceToAsync(60_000);
    const calls = platform.countCalls().reads;
    expect(client.isCircuitOpen()).to.equal(true);
    expect(calls).to.be.below(45);
    platform.setFaults({ outage: false });
    await timers.advanceToAsync(66_000);
    stopCalls();
    expect(client.isCircuitOpen()).to.equal(false);
  });

  it('keeps the fleet within its rates and gives claims priority over housekeeping', async () => {
    // Guards against keyed requests waiting during a clean-up: with one bucket and no reserve for uses of
    // higher priority, housekeeping takes all tokens before a claim needs to write.
    const { timers, platform, client } = createBed(100);
    const housekeeping = client.forUse('housekeeping');
    const stopCalls = timers.registerInterval(5, () => {
      void housekeeping.swap('h', 0, 'x', { timeout: 20 });
    });
    await timers.advanceToAsync(10_000);
    const claim = client.forUse('claims').swap('c', 0, 'x', { timeout: 20 });
    await timers.advanceToAsync(10_050);
    stopCalls();
    expect((await claim).kind).to.equal('done');
    // This instance's share is one write per second, with a burst of 4. Claims have their own bucket.
    expect(platform.countCalls().writes).to.be.within(10, 15);
  });

  it('sends the release of a lease while the circuit is open', async () => {
    // Guards against a stopped instance whose lease stays: the circuit holds the release back until the process is gone.
    const { timers, platform, client } = createBed(1);
    const port = client.forUse('leases');
    const lease = port.acquireLease('k', 'a', 20_000, { timeout: 100 });
    await timers.advanceToAsync(100);
    const granted = await lease;
    platform.setFaults({ outage: true });
    for (let i = 0; i < 8; i++) {
      void port.get('other', { timeout: 100 });
      await timers.advanceToAsync(200 + i * 200);
    }
    expect(client.isCircuitOpen()).to.equal(true);
    platform.setFaults({ outage: false });
    const released = granted.kind === 'done' && port.releaseLease(granted.value, { timeout: 100 });
    await timers.advanceToAsync(2000);
    expect(await released).to.deep.equal({ kind: 'done', value: null });
    expect(client.isCircuitOpen()).to.equal(false);
  });
});
