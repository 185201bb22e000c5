import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore, type FakeStore } from '../../FakeStore.js';
import { createLeaseHolder, type LeaseHolder } from '../../StoreLeaseHolder.js';
import { swapSettled, type SettledSwap } from '../../StoreSettle.js';
import { registerWatch } from '../../StoreWatch.js';

const TTL = 10_000;
const MARGIN = 4000;

function createStand(): { timers: VirtualTimers; platform: FakeStore } {
  const timers = createVirtualTimers();
  return { timers, platform: createFakeStore({ timers, random: createRandom(1) }) };
}

function startSwap(
  { timers, platform }: ReturnType<typeof createStand>,
  timeLeft: number,
): Promise<SettledSwap> {
  return swapSettled({
    port: platform.connect('a'),
    timers,
    key: 'k',
    expected: 0,
    value: 'id-1',
    carriesWrite: (value) => value.includes('id-1'),
    timeLeft,
    callTimeout: 100,
  });
}

function startHolder(
  { timers, platform }: ReturnType<typeof createStand>,
  name: string,
  told: string[],
): LeaseHolder {
  return createLeaseHolder({
    port: platform.connect(name),
    timers,
    random: createRandom(name.length),
    key: 'lease',
    holder: name,
    ttl: TTL,
    margin: MARGIN,
    onAcquired: ({ fencing }) => told.push(`${name} acquired ${fencing}`),
    onLost: () => told.push(`${name} lost`),
  });
}

describe('swapSettled', () => {
  it('finds a write whose answer was lost, and makes it once', async () => {
    // Symptom: a submission is stored, its caller is told that it failed. Sequence: the swap takes
    // effect, its answer is lost. Cause: no read-back of the write's id.
    const stand = createStand();
    stand.platform.injectFault('a', 'swap', { kind: 'lost-answer' });
    const settled = startSwap(stand, 5000);
    await stand.timers.advanceToAsync(5000);
    expect(await settled).to.deep.equal({ kind: 'done', revision: 1 });
  });

  it('does not take an unchanged value for proof that a write failed', async () => {
    // Symptom: "not stored" is said of a write that appears later. Sequence: the write is late, the
    // value is read and is unchanged, then the write lands. Cause: a look taken for a fence.
    const stand = createStand();
    stand.platform.injectFault('a', 'swap', { kind: 'late', delay: 700 });
    stand.platform.injectFault('a', 'swap', { kind: 'lost-call' });
    const short = startSwap(stand, 150);
    await stand.timers.advanceToAsync(300);
    expect(await short).to.deep.equal({ kind: 'open' });
    await stand.timers.advanceToAsync(1000);
    expect(stand.platform.store.read('k').value).to.equal('id-1');
  });

  it('closes out a late write by a success from the same revision', async () => {
    const stand = createStand();
    stand.platform.injectFault('a', 'swap', { kind: 'late', delay: 700 });
    const settled = startSwap(stand, 5000);
    await stand.timers.advanceToAsync(5000);
    expect(await settled).to.deep.equal({ kind: 'done', revision: 1 });
    expect(stand.platform.store.read('k')).to.deep.equal({ revision: 1, value: 'id-1' });
  });
});

describe('createLeaseHolder', () => {
  it('stops relying on the lease before another can have it', async () => {
    // Symptom: two holders act. Sequence: the first is cut off from the service, its lease lapses, the
    // second acquires it. Cause: a holder that counts from the answer, or up to the very end.
    const stand = createStand();
    const told: string[] = [];
    const first = startHolder(stand, 'a', told);
    await stand.timers.advanceToAsync(1000);
    const second = startHolder(stand, 'bb', told);
    stand.platform.setFaults({ outage: true }, 'a');
    for (let now = 1000; now < 40_000; now += 50) {
      await stand.timers.advanceToAsync(now);
      expect(first.getLease() !== null && second.getLease() !== null).to.equal(false);
    }
    expect(told).to.deep.equal(['a acquired 1', 'a lost', 'bb acquired 2']);
    second.stop();
    stand.platform.setFaults({ outage: false }, 'a');
    await stand.timers.advanceToAsync(60_000);
    expect(told.at(-1)).to.equal('a acquired 3');
  });

  it('keeps the lease over lost answers, and tells a holder that was paused no', async () => {
    // Symptom: a holder that was paused acts once more. Sequence: no timer runs while it is paused; on
    // waking it acts before its timers fire. Cause: a flag in place of a look at the clock.
    const stand = createStand();
    const told: string[] = [];
    let now = 0;
    const holder = createLeaseHolder({
      port: stand.platform.connect('a'),
      timers: { ...stand.timers, now: () => Math.max(now, stand.timers.now()) },
      random: createRandom(3),
      key: 'lease',
      holder: 'a',
      ttl: TTL,
      margin: MARGIN,
      onAcquired: () => told.push('acquired'),
      onLost: () => told.push('lost'),
    });
    stand.platform.setFaults({ lostAnswers: 0.2 });
    await stand.timers.advanceToAsync(60_000);
    expect(told).to.deep.equal(['acquired']);
    expect(holder.getLease()).to.not.equal(null);
    now = 70_000;
    expect(holder.getLease()).to.equal(null);
  });
});

describe('registerWatch', () => {
  it('comes to the last value over missed and repeated events and an outage, without a loop', async () => {
    // Symptom: an instance stays on an old value, or hammers the service. Sequence: the event of a change
    // is missed, another comes again and again, the service goes away. Cause: trust in each event.
    const { timers, platform } = createStand();
    const seen: number[] = [];
    platform.setFaults({ missedWatches: 0.5, repeatedWatches: 0.5 });
    const undo = registerWatch({
      port: platform.connect('a'),
      timers,
      random: createRandom(4),
      key: 'k',
      known: -1,
      waitTime: 5000,
      onEntry: ({ revision }) => seen.push(revision),
    });
    for (let i = 0; i < 20; i++) {
      platform.store.swap('k', i, `v${i}`);
      await timers.advanceToAsync(timers.now() + 1000);
    }
    platform.setFaults({ outage: true });
    platform.store.swap('k', 20, 'last');
    await timers.advanceToAsync(timers.now() + 60_000);
    platform.setFaults({ outage: false, missedWatches: 0, repeatedWatches: 0 });
    await timers.advanceToAsync(timers.now() + 20_000);
    undo();
    expect(seen.at(-1)).to.equal(21);
    expect(seen).to.deep.equal([...new Set(seen)].sort((a, b) => a - b));
    expect(platform.countCalls().watches).to.be.below(120);
  });
});
