import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore, type FakeStore } from '../../FakeStore.js';
import { createStoreClient, type StoreClient } from '../../StoreClient.js';

interface Stand {
  readonly timers: VirtualTimers;
  readonly platform: FakeStore;
  readonly client: StoreClient;
}

function createStand(instances = 6): Stand {
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
  it('tells done, refused and unknown apart', async () => {
    // Symptom: a write reported as failed is found in the store. Sequence: the service applies the
    // swap, its answer is lost. Cause: no answer is not a refusal; the outcome must say unknown.
    const { timers, platform, client } = createStand();
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

  it('does not hammer a service in outage and notices when it is back', async () => {
    // Symptom: the service comes back and falls over under the waiting fleet. Sequence: outage, each
    // instance repeats its calls at once. Cause: nothing held the calls back.
    const { timers, platform, client } = createStand();
    const port = client.forUse('claims');
    platform.setFaults({ outage: true });
    const undo = timers.registerInterval(10, () => {
      void port.get('k', { timeout: 50 });
    });
    await timers.advanceToAsync(60_000);
    const calls = platform.countCalls().reads;
    expect(client.isCircuitOpen()).to.equal(true);
    expect(calls).to.be.below(45);
    platform.setFaults({ outage: false });
    await timers.advanceToAsync(66_000);
    undo();
    expect(client.isCircuitOpen()).to.equal(false);
  });

  it('keeps the fleet within the rates and claims before housekeeping', async () => {
    // Symptom: keyed requests wait during a clean-up. Sequence: housekeeping spends the bucket, then a
    // claim wants to write. Cause: one bucket without a reserve for the urgent use.
    const { timers, platform, client } = createStand(100);
    const housekeeping = client.forUse('housekeeping');
    const undo = timers.registerInterval(5, () => {
      void housekeeping.swap('h', 0, 'x', { timeout: 20 });
    });
    await timers.advanceToAsync(10_000);
    const claim = client.forUse('claims').swap('c', 0, 'x', { timeout: 20 });
    await timers.advanceToAsync(10_050);
    undo();
    expect((await claim).kind).to.equal('done');
    // One write a second is this instance's part; 4 may be saved up before. The claim has its own.
    expect(platform.countCalls().writes).to.be.within(10, 15);
  });
});
