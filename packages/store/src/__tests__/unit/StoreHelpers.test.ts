import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore, type FakeStore } from '../../FakeStore.js';
import { createLeaseHolder, type LeaseHolder } from '../../StoreLeaseHolder.js';
import { swapSettled, type SettledSwap } from '../../StoreSettle.js';
import { registerWatch } from '../../StoreWatch.js';

const TTL = 10_000;
const MARGIN = 4000;

function createBed(): { timers: VirtualTimers; platform: FakeStore } {
  const timers = createVirtualTimers();
  return { timers, platform: createFakeStore({ timers, random: createRandom(1) }) };
}

function startSwap(
  { timers, platform }: ReturnType<typeof createBed>,
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
  { timers, platform }: ReturnType<typeof createBed>,
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
  it('confirms a write whose answer was lost and applies it once', async () => {
    // Guards against reporting a stored submission as failed: the swap takes effect and its answer is
    // lost, so the stored value must be read back and checked for the write's id.
    const bed = createBed();
    bed.platform.injectFault('a', 'swap', { kind: 'lost-answer' });
    const settled = startSwap(bed, 5000);
    await bed.timers.advanceToAsync(5000);
    expect(await settled).to.deep.equal({ kind: 'done', revision: 1 });
  });

  it('does not treat an unchanged value as proof that a write failed', async () => {
    // Guards against reporting "not stored" for a write that takes effect later: the write is delayed, the
    // value is read unchanged, then the write arrives. A read does not fence off writes in flight.
    const bed = createBed();
    bed.platform.injectFault('a', 'swap', { kind: 'late', delay: 700 });
    bed.platform.injectFault('a', 'swap', { kind: 'lost-call' });
    const short = startSwap(bed, 150);
    await bed.timers.advanceToAsync(300);
    expect(await short).to.deep.equal({ kind: 'open' });
    await bed.timers.advanceToAsync(1000);
    expect(bed.platform.store.read('k').value).to.equal('id-1');
  });

  it('excludes a late write by a successful swap from the same revision', async () => {
    const bed = createBed();
    bed.platform.injectFault('a', 'swap', { kind: 'late', delay: 700 });
    const settled = startSwap(bed, 5000);
    await bed.timers.advanceToAsync(5000);
    expect(await settled).to.deep.equal({ kind: 'done', revision: 1 });
    expect(bed.platform.store.read('k')).to.deep.equal({ revision: 1, value: 'id-1' });
  });
});

describe('createLeaseHolder', () => {
  it('releases a lease that it acquires after it was stopped', async () => {
    // Guards against a stopped holder whose lease keeps others waiting until it lapses.
    const bed = createBed();
    const told: string[] = [];
    startHolder(bed, 'a', told).stop();
    await bed.timers.advanceToAsync(500);
    startHolder(bed, 'bb', told);
    await bed.timers.advanceToAsync(TTL / 2);
    expect(told.filter((text) => text.startsWith('bb acquired'))).to.have.length(1);
  });

  it('does not free the lease of a later holder with its name once it was closed', async () => {
    // Guards against two holders acting at once: a stopped holder acquires the lease again to release it, and
    // thereby releases what a later holder of the same instance relies on.
    const bed = createBed();
    const told: string[] = [];
    bed.platform.injectFault('a', 'acquireLease', { kind: 'lost-answer' });
    const first = startHolder(bed, 'a', told);
    first.stop();
    await bed.timers.advanceToAsync(700);
    bed.platform.setFaults({ extraLatency: 400 }, 'a');
    await bed.timers.advanceToAsync(730);
    first.close();
    bed.platform.setFaults({ extraLatency: 0 }, 'a');
    const later = startHolder(bed, 'a', told);
    await bed.timers.advanceToAsync(1200);
    expect(bed.platform.countCalls().byOperation.acquireLease).to.equal(3);
    const other = startHolder(bed, 'bb', told);
    for (let now = 1200; now < 40_000; now += 50) {
      await bed.timers.advanceToAsync(now);
      expect(later.getLease() !== null && other.getLease() !== null).to.equal(false);
    }
    expect(later.getLease()).to.not.equal(null);
  });

  it('stops relying on the lease before another holder can acquire it', async () => {
    // Guards against two holders acting at once: the first is cut off from the service, its lease lapses
    // and the second acquires it. This happens if the first measures its lease from the answer instead
    // of from the request, or relies on it up to the end without a margin.
    const bed = createBed();
    const told: string[] = [];
    const first = startHolder(bed, 'a', told);
    await bed.timers.advanceToAsync(1000);
    const second = startHolder(bed, 'bb', told);
    bed.platform.setFaults({ outage: true }, 'a');
    for (let now = 1000; now < 40_000; now += 50) {
      await bed.timers.advanceToAsync(now);
      expect(first.getLease() !== null && second.getLease() !== null).to.equal(false);
    }
    expect(told).to.deep.equal(['a acquired 1', 'a lost', 'bb acquired 2']);
    second.stop();
    bed.platform.setFaults({ outage: false }, 'a');
    await bed.timers.advanceToAsync(60_000);
    expect(told.at(-1)).to.equal('a acquired 3');
  });

  it('keeps the lease when answers are lost and returns null after a process pause', async () => {
    // Guards against a holder that acts on a lapsed lease after a process pause: no timer runs during the
    // pause, and the holder acts before its timers fire. It must check the clock and not a flag.
    const bed = createBed();
    const told: string[] = [];
    let now = 0;
    const holder = createLeaseHolder({
      port: bed.platform.connect('a'),
      timers: { ...bed.timers, now: () => Math.max(now, bed.timers.now()) },
      random: createRandom(3),
      key: 'lease',
      holder: 'a',
      ttl: TTL,
      margin: MARGIN,
      onAcquired: () => told.push('acquired'),
      onLost: () => told.push('lost'),
    });
    bed.platform.setFaults({ lostAnswers: 0.2 });
    await bed.timers.advanceToAsync(60_000);
    expect(told).to.deep.equal(['acquired']);
    expect(holder.getLease()).to.not.equal(null);
    now = 70_000;
    expect(holder.getLease()).to.equal(null);
  });
});

describe('registerWatch', () => {
  it('reaches the last value despite missed and repeated events and an outage, without a busy loop', async () => {
    // Guards against an instance that keeps a stale value or floods the service with calls: the event of a
    // change is missed, another is repeated, and the service fails. Events must not be taken as reliable.
    const { timers, platform } = createBed();
    const seen: number[] = [];
    platform.setFaults({ missedWatches: 0.5, repeatedWatches: 0.5 });
    const stopWatch = registerWatch({
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
    stopWatch();
    expect(seen.at(-1)).to.equal(21);
    expect(seen).to.deep.equal([...new Set(seen)].sort((a, b) => a - b));
    expect(platform.countCalls().watches).to.be.below(120);
  });
});
