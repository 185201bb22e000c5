import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import { selectOwners } from '@skylarksail/core/CoreHash';
import { createFakeStore, type FakeStore } from '@skylarksail/store/FakeStore';
import type { ClaimOutcome } from '../../ClaimPort.js';
import {
  createFakeClaimFleet,
  type FakeClaimFleet,
  type FakeClaimInstance,
} from '../../FakeClaimFleet.js';
import { DEFAULT_SLOT_SETTINGS, type ClaimSlotSettings } from '../../ClaimSlotTypes.js';

const DAY_MS = 86_400_000;

interface Stand {
  readonly timers: VirtualTimers;
  readonly platform: FakeStore;
  readonly fleet: FakeClaimFleet;
  readonly instances: readonly FakeClaimInstance[];
  /** The instance that owns the only slot, and one that does not. */
  readonly owner: FakeClaimInstance;
  readonly other: FakeClaimInstance;
  claim(at: FakeClaimInstance, key: string, timeLeft?: number): Promise<ClaimOutcome>;
}

function createStand(settings: Partial<ClaimSlotSettings> = {}, names = ['a', 'b', 'c']): Stand {
  const timers = createVirtualTimers(10 * DAY_MS);
  const platform = createFakeStore({ timers, random: createRandom(1) });
  const fleet = createFakeClaimFleet({
    timers,
    random: createRandom(2),
    platform,
    slots: 1,
    settings: { ...DEFAULT_SLOT_SETTINGS, ...settings },
  });
  const instances = names.map((name) => fleet.start(name));
  const ownerName = selectOwners('claim-slot 0', names, 1)[0];
  const owner = instances.find(({ name }) => name === ownerName) as FakeClaimInstance;
  const other = instances.find(({ name }) => name !== ownerName) as FakeClaimInstance;
  return {
    timers,
    platform,
    fleet,
    instances,
    owner,
    other,
    claim: (at, key, timeLeft = 5000) =>
      at.router.claim({ team: 't', key, fingerprint: 'f', request: 'r', timeLeft }),
  };
}

async function waitFor<T>(timers: VirtualTimers, promise: Promise<T>, limit = 20_000): Promise<T> {
  let settled = false;
  void promise.finally(() => {
    settled = true;
  });
  const end = timers.now() + limit;
  while (!settled && timers.now() < end) {
    await timers.advanceToAsync(timers.now() + 10);
  }
  return promise;
}

function getToken(outcome: ClaimOutcome): string {
  if (outcome.kind !== 'granted') {
    throw new Error(`not granted but ${outcome.kind}`);
  }
  return outcome.token;
}

function createDatedKey(time: number, tail: string): string {
  const hex = time.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${tail.padStart(12, '0')}`;
}

describe('claims under faults', () => {
  it('leaves no timer behind when it is stopped', async () => {
    // Guards against a process that stays for half a minute after its stop, for a look at left-over segments.
    const { timers, instances, owner, claim } = createStand();
    await waitFor(timers, claim(owner, 'k'));
    instances.forEach((instance) => instance.owner.stop());
    await timers.advanceToAsync(timers.now() + 5000);
    expect(timers.countPending()).to.equal(0);
  });

  it('tells a resend to another instance what became of the first', async () => {
    // Symptom: a statement is sent twice. Sequence: the caller loses its connection and resends its
    // key, through the balancer, to another instance. Cause: a claim known to one instance only.
    const { timers, owner, other, instances, claim } = createStand();
    const token = getToken(await waitFor(timers, claim(other, 'k')));
    for (const instance of instances) {
      expect(await waitFor(timers, claim(instance, 'k'))).to.deep.equal({
        kind: 'running',
        instance: other.name,
      });
    }
    other.router.settle(token, { run: 'ran', answer: 'done it' });
    await timers.advanceToAsync(timers.now() + 50);
    other.kill();
    expect(await waitFor(timers, claim(owner, 'k'))).to.deep.equal({
      kind: 'ended',
      record: { run: 'ran', answer: 'done it' },
    });
    const mismatch = owner.router.claim({
      team: 't',
      key: 'k',
      fingerprint: 'something else',
      request: 'r',
      timeLeft: 1000,
    });
    expect((await waitFor(timers, mismatch)).kind).to.equal('key-mismatch');
  });

  it('stops an owner that was paused while another took the slot', async () => {
    // Symptom: two instances grant one key. Sequence: the owner is paused, another takes the slot and
    // grants; the first wakes with an ask for that key in its queue. Cause: ownership by belief.
    const { timers, fleet, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    const late = claim(owner, 'k', 60_000);
    owner.pause();
    fleet.setView(other.name, [other.name]);
    getToken(await waitFor(timers, claim(other, 'k', 10_000)));
    fleet.setView(owner.name, [owner.name]);
    owner.resume();
    const outcome = await waitFor(timers, late, 60_000);
    expect(outcome.kind).to.not.equal('granted');
  });

  it('grants by read-back when the answer to the swap is lost, and never twice', async () => {
    // Symptom: a keyed request is refused although its claim is stored, and every resend is told
    // "unknown". Sequence: the swap takes effect, its answer is lost. Cause: no answer read as failure.
    const { timers, platform, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.injectFault(owner.name, 'swap', { kind: 'lost-answer' });
    const first = claim(owner, 'k');
    const second = claim(other, 'k');
    const kinds = [await waitFor(timers, first), await waitFor(timers, second)].map((o) => o.kind);
    expect(kinds.sort()).to.deep.equal(['granted', 'running']);
  });

  it('takes out a claim that lands after its asker was told "not run"', async () => {
    // Symptom: a key whose request was refused as not run stays claimed for ever. Sequence: the swap
    // is delayed past the ask's deadline, the caller is told "not run", then the swap lands. Cause: an
    // unchanged value that was read in between was taken as proof that the swap had failed.
    const { timers, platform, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.injectFault(owner.name, 'swap', { kind: 'late', delay: 2500 });
    platform.injectFault(owner.name, 'swap', { kind: 'lost-call' });
    platform.injectFault(owner.name, 'swap', { kind: 'lost-call' });
    const refused = await waitFor(timers, claim(owner, 'k', 1500));
    expect(refused.kind).to.equal('unavailable');
    await timers.advanceToAsync(timers.now() + 2000);
    getToken(await waitFor(timers, claim(other, 'k')));
  });

  it('keeps claims over the replacement of every instance', async () => {
    // Symptom: a receipt is doubled after a rolling update. Sequence: every process is replaced, then
    // the caller resends. Cause: claims kept in memory.
    const { timers, fleet, instances, owner, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'k')));
    instances.forEach((instance) => instance.kill());
    const fresh = ['d', 'e', 'f'].map((name) => fleet.start(name));
    for (const instance of fresh) {
      expect(await waitFor(timers, claim(instance, 'k'))).to.deep.equal({
        kind: 'ended',
        record: { run: 'unknown', answer: null },
      });
    }
  });

  it('waits through an outage within the deadline, then says that nothing ran', async () => {
    // Symptom: during an outage keyed requests run unclaimed, or wait without end. Sequence: outage of
    // 3 s, one caller with 2 s and one with 10 s. Cause: no deadline on the wait for a claim.
    const { timers, platform, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.setFaults({ outage: true });
    timers.registerTimeout(3000, () => platform.setFaults({ outage: false }));
    const short = claim(other, 'short', 2000);
    const long = claim(other, 'long', 10_000);
    expect((await waitFor(timers, short)).kind).to.equal('unavailable');
    getToken(await waitFor(timers, long));
    // The short one never ran, so its resend may.
    getToken(await waitFor(timers, claim(owner, 'short')));
  });

  it('grants to the asker when the owner dies between swap and grant', async () => {
    // Symptom: a key is claimed by nobody's request. Sequence: the owner's swap lands, the owner dies
    // before it replies. Cause: the grant was a message and not a fact that the next owner can read.
    const { timers, platform, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    await timers.advanceToAsync(timers.now() + 1000);
    platform.setFaults({ extraLatency: 100 }, owner.name);
    const ask = claim(other, 'k', 10_000);
    const { writes } = platform.countCalls();
    await timers.advanceToAsync(timers.now() + 70);
    expect(platform.countCalls().writes).to.equal(writes + 1);
    owner.kill();
    getToken(await waitFor(timers, ask));
    expect((await waitFor(timers, claim(other, 'k'))).kind).to.equal('running');
  });

  it('lets old claims go only together with the keys that could ask for them', async () => {
    // Symptom: a resend a day later runs a second time. Sequence: the claim is let go after the
    // retention, then the key comes again. Cause: an old key looks like a new one once its claim is gone.
    const { timers, platform, owner, other, claim } = createStand({
      sealAt: 4,
      mergeAt: 3,
      retention: 60_000,
    });
    const oldKeys = Array.from({ length: 20 }, (_, i) => createDatedKey(timers.now(), `${i}`));
    for (const key of oldKeys) {
      getToken(await waitFor(timers, claim(other, key)));
    }
    const opaque = ['x', 'y', 'z', 'u', 'v'];
    for (const key of opaque) {
      getToken(await waitFor(timers, claim(other, key)));
    }
    const before = platform.store.countBytes();
    await timers.advanceToAsync(timers.now() + 120_000);
    for (let i = 0; i < 3; i++) {
      const key = createDatedKey(timers.now(), `new${i}`.replace(/\D/g, '9'));
      getToken(await waitFor(timers, claim(owner, key)));
    }
    const kinds: string[] = [];
    for (const key of [...oldKeys, ...opaque]) {
      kinds.push((await waitFor(timers, claim(other, key))).kind);
    }
    expect(kinds).to.not.include('granted');
    expect(kinds.filter((kind) => kind === 'key-expired').length).to.be.at.least(16);
    expect(kinds.slice(oldKeys.length)).to.deep.equal(opaque.map(() => 'running'));
    expect(platform.store.countBytes()).to.be.below(before);
  });

  it('frees a key whose asker gave up and whose release got lost', async () => {
    // Symptom: "still running" for ever about work that never ran. Sequence: the claim lands, reply and
    // release are both lost. Cause: nobody asks the instance that the claim names.
    const { timers, fleet, owner, other, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    fleet.setLoss((from, to) => from === owner.name && to === other.name);
    const refused = claim(other, 'k', 1000);
    await timers.advanceToAsync(timers.now() + 900);
    fleet.setLoss(() => true);
    expect((await waitFor(timers, refused)).kind).to.equal('unavailable');
    fleet.setLoss(() => false);
    getToken(await waitFor(timers, claim(owner, 'k')));
  });

  it('collects segments that a dead owner wrote and never named, and no others', async () => {
    // Symptom: the service fills up with values that nobody reads. Sequence: an owner writes a segment
    // and dies before the swap that names it. Cause: nobody removes what no head names.
    const { timers, platform, owner, other, claim } = createStand({ sealAt: 3 });
    for (let i = 0; i < 8; i++) {
      getToken(await waitFor(timers, claim(owner, `k${i}`)));
    }
    platform.store.swap('claims/1/0/1-999', 0, '[]');
    platform.store.swap('claims/1/0/2-999', 0, '[]');
    owner.kill();
    getToken(await waitFor(timers, claim(other, 'after')));
    await timers.advanceToAsync(timers.now() + 40_000);
    const left = platform.store.list('claims/1/0/');
    expect(left).to.include.members(['claims/1/0/2-999', 'claims/1/0/head']);
    expect(left).to.not.include('claims/1/0/1-999');
    expect(left.length).to.be.above(3);
    for (let i = 0; i < 8; i++) {
      expect((await waitFor(timers, claim(other, `k${i}`))).kind).to.equal('ended');
    }
  });

  it('removes a segment whatever revision the service has given it', async () => {
    // Symptom: sealed segments stay for ever. Sequence: a service counts revisions over all its keys, so
    // that a segment's first revision is not 1. Cause: a removal with a guessed revision is a conflict.
    const { timers, platform, owner, other, claim } = createStand({ sealAt: 3 });
    getToken(await waitFor(timers, claim(owner, 'k')));
    platform.store.swap('claims/1/0/1-998', 0, '[]');
    platform.store.swap('claims/1/0/1-998', 1, '[]');
    owner.kill();
    getToken(await waitFor(timers, claim(other, 'after')));
    await timers.advanceToAsync(timers.now() + 40_000);
    expect(platform.store.list('claims/1/0/')).to.not.include('claims/1/0/1-998');
  });

  it('refuses as not run, and lives on, while a slot holds a value that nobody can read', async () => {
    // Symptom: one instance after the other ends. Sequence: a slot's head is overwritten by hand, each
    // next owner reads it and throws. Cause: an error of decoding that left its promise.
    const { timers, platform, owner, claim } = createStand();
    platform.store.swap('claims/1/0/head', 0, '{"e":');
    expect((await waitFor(timers, claim(owner, 'k', 1000))).kind).to.equal('unavailable');
    platform.store.swap('claims/1/0/head', 1, '[1]');
    expect((await waitFor(timers, claim(owner, 'k', 1000))).kind).to.equal('unavailable');
    platform.store.swap('claims/1/0/head', 2, '');
    getToken(await waitFor(timers, claim(owner, 'k')));
  });

  it('grants once when the answer is lost, the owner dies and the service goes out, all at once', async () => {
    // Symptom: a key is run twice, or stays claimed by nobody. Sequence: the swap lands, its answer is
    // lost, the owner is killed, the service is out for 2 s; the asker asks the next owner. Cause: a new
    // owner that does not know whose claim it finds.
    const { timers, platform, owner, other, instances, claim } = createStand();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    await timers.advanceToAsync(timers.now() + 1000);
    platform.injectFault(owner.name, 'swap', { kind: 'lost-answer' });
    const first = claim(other, 'k', 15_000);
    await timers.advanceToAsync(timers.now() + 20);
    owner.kill();
    platform.setFaults({ outage: true });
    timers.registerTimeout(2000, () => platform.setFaults({ outage: false }));
    const third = instances.find((one) => one !== owner && one !== other) as FakeClaimInstance;
    const resend = claim(third, 'k', 15_000);
    const kinds = [await waitFor(timers, first), await waitFor(timers, resend)].map((o) => o.kind);
    expect(kinds).to.deep.equal(['granted', 'running']);
  });

  it('serves both sides of a cut that both reach the platform, and no key twice', async () => {
    // Symptom: during a cut between domains keyed requests of one side time out. Sequence: each side
    // takes the other's owner for dead and takes the slot; the two tear at it. Cause: a loser that
    // defers for long to an owner that its own side cannot reach.
    const { timers, fleet, instances, claim } = createStand({}, ['a1', 'a2', 'b1', 'b2']);
    const names = instances.map(({ name }) => name);
    fleet.setLoss((from, to) => from[0] !== to[0]);
    names.forEach((name) =>
      fleet.setView(
        name,
        names.filter((one) => one[0] === name[0]),
      ),
    );
    const asked: Promise<ClaimOutcome[]>[] = [];
    for (let i = 0; i < 100; i++) {
      const a = instances[i % 2] as FakeClaimInstance;
      const b = instances[2 + (i % 2)] as FakeClaimInstance;
      asked.push(Promise.all([claim(a, `k${i}`), claim(b, `k${i}`)]));
      await timers.advanceToAsync(timers.now() + 50);
    }
    await timers.advanceToAsync(timers.now() + 10_000);
    for (const outcomes of await Promise.all(asked)) {
      expect(outcomes.filter(({ kind }) => kind === 'granted')).to.have.length(1);
      expect(outcomes.map(({ kind }) => kind)).to.not.include('unavailable');
    }
  });
});
