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

interface Fixture {
  readonly timers: VirtualTimers;
  readonly platform: FakeStore;
  readonly fleet: FakeClaimFleet;
  readonly instances: readonly FakeClaimInstance[];
  /** `owner` owns the only slot, `other` does not. */
  readonly owner: FakeClaimInstance;
  readonly other: FakeClaimInstance;
  claim(at: FakeClaimInstance, key: string, timeLeft?: number): Promise<ClaimOutcome>;
}

function createFixture(
  settings: Partial<ClaimSlotSettings> = {},
  names = ['a', 'b', 'c'],
): Fixture {
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
  it('cancels all timers on stop', async () => {
    // Failure: a process keeps running for half a minute after its stop, because of the timer that removes
    // orphaned segments.
    const { timers, instances, owner, claim } = createFixture();
    await waitFor(timers, claim(owner, 'k'));
    instances.forEach((instance) => instance.owner.stop());
    await timers.advanceToAsync(timers.now() + 5000);
    expect(timers.countPending()).to.equal(0);
  });

  it('answers a resend on another instance with the state of the first request', async () => {
    // Failure: a key runs twice. The caller loses its connection and resends the key through the
    // load balancer to another instance, but only the first instance knows the claim.
    const { timers, owner, other, instances, claim } = createFixture();
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

  it('grants nothing at a resumed owner whose slot another instance has acquired', async () => {
    // Failure: two instances grant the same key. The owner is paused, another instance acquires the slot
    // and grants the key; the first resumes with a request for that key in its queue and grants it too,
    // because it does not check its ownership against the store.
    const { timers, fleet, owner, other, claim } = createFixture();
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

  it('grants once, by reading back the head, when the result of the swap is lost', async () => {
    // Failure: a keyed request is refused although its claim is stored, and every resend gets "unknown".
    // The swap takes effect but its result is lost, and the missing result is treated as a failure.
    const { timers, platform, owner, other, claim } = createFixture();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.injectFault(owner.name, 'swap', { kind: 'lost-answer' });
    const first = claim(owner, 'k');
    const second = claim(other, 'k');
    const kinds = [await waitFor(timers, first), await waitFor(timers, second)].map((o) => o.kind);
    expect(kinds.sort()).to.deep.equal(['granted', 'running']);
  });

  it('removes a claim that is stored after its requester got "not run"', async () => {
    // Failure: a key whose request was refused as not run stays claimed forever. The swap is delayed past
    // the request's deadline, the caller gets "not run", then the swap takes effect. An unchanged value
    // read in between is mistaken for proof that the swap failed.
    const { timers, platform, owner, other, claim } = createFixture();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.injectFault(owner.name, 'swap', { kind: 'late', delay: 2500 });
    platform.injectFault(owner.name, 'swap', { kind: 'lost-call' });
    platform.injectFault(owner.name, 'swap', { kind: 'lost-call' });
    const refused = await waitFor(timers, claim(owner, 'k', 1500));
    expect(refused.kind).to.equal('unavailable');
    await timers.advanceToAsync(timers.now() + 2000);
    getToken(await waitFor(timers, claim(other, 'k')));
  });

  it('keeps claims when every instance is replaced', async () => {
    // Failure: a key runs twice after a rolling update. Every process is replaced, then the caller
    // resends, but the claims were kept in memory only.
    const { timers, fleet, instances, owner, claim } = createFixture();
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

  it('waits for the end of an outage until the deadline, then reports that nothing ran', async () => {
    // Failure: during a store outage, keyed requests run without a claim or wait forever because the wait
    // for a claim has no deadline. Here the outage lasts 3 s; one caller has 2 s left and one has 10 s.
    const { timers, platform, owner, other, claim } = createFixture();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    platform.setFaults({ outage: true });
    timers.registerTimeout(3000, () => platform.setFaults({ outage: false }));
    const short = claim(other, 'short', 2000);
    const long = claim(other, 'long', 10_000);
    expect((await waitFor(timers, short)).kind).to.equal('unavailable');
    getToken(await waitFor(timers, long));
    // The request with the short deadline never ran, so its resend may run.
    getToken(await waitFor(timers, claim(owner, 'short')));
  });

  it('grants a stored claim to its requester when the owner crashes before replying', async () => {
    // Failure: a key stays claimed although no request got the grant. The owner's swap takes effect and the
    // owner crashes before it replies. The grant must be stored so that the next owner can read it.
    const { timers, platform, owner, other, claim } = createFixture();
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

  it('deletes expired claims only when requests with their keys are refused from then on', async () => {
    // Failure: a resend a day later runs a second time. The claim is deleted after its retention, then the
    // key is sent again, and without its claim an old key looks like a new one.
    const { timers, platform, owner, other, claim } = createFixture({
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

  it('frees a key whose requester gave up and whose release message was lost', async () => {
    // Failure: resends get "still running" forever although nothing ran. The claim is stored, but the reply
    // and the release are both lost, and the owner does not query the instance that holds the claim.
    const { timers, fleet, owner, other, claim } = createFixture();
    getToken(await waitFor(timers, claim(owner, 'warm-up')));
    fleet.setLoss((from, to) => from === owner.name && to === other.name);
    const refused = claim(other, 'k', 1000);
    await timers.advanceToAsync(timers.now() + 900);
    fleet.setLoss(() => true);
    expect((await waitFor(timers, refused)).kind).to.equal('unavailable');
    fleet.setLoss(() => false);
    getToken(await waitFor(timers, claim(owner, 'k')));
  });

  it('removes orphaned segments of a crashed owner and no others', async () => {
    // Failure: the store fills up with unused values. An owner writes a segment and crashes before the swap
    // that refers to it, and nothing removes the orphaned segment.
    const { timers, platform, owner, other, claim } = createFixture({ sealAt: 3 });
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

  it('removes a segment whatever its revision is', async () => {
    // Failure: sealed segments are never removed. A store that counts revisions across all keys does not
    // start a segment at revision 1, so a removal with a guessed revision always conflicts.
    const { timers, platform, owner, other, claim } = createFixture({ sealAt: 3 });
    getToken(await waitFor(timers, claim(owner, 'k')));
    platform.store.swap('claims/1/0/1-998', 0, '[]');
    platform.store.swap('claims/1/0/1-998', 1, '[]');
    owner.kill();
    getToken(await waitFor(timers, claim(other, 'after')));
    await timers.advanceToAsync(timers.now() + 40_000);
    expect(platform.store.list('claims/1/0/')).to.not.include('claims/1/0/1-998');
  });

  it('refuses requests as not run, without crashing, while the stored slot value is malformed', async () => {
    // Failure: one instance after the other crashes. A slot's head is overwritten by hand, and each new
    // owner that reads it crashes on the decoding error, which becomes an unhandled rejection.
    const { timers, platform, owner, claim } = createFixture();
    platform.store.swap('claims/1/0/head', 0, '{"e":');
    expect((await waitFor(timers, claim(owner, 'k', 1000))).kind).to.equal('unavailable');
    platform.store.swap('claims/1/0/head', 1, '[1]');
    expect((await waitFor(timers, claim(owner, 'k', 1000))).kind).to.equal('unavailable');
    platform.store.swap('claims/1/0/head', 2, '');
    getToken(await waitFor(timers, claim(owner, 'k')));
  });

  it('grants once when the swap result is lost, the owner crashes and the store fails together', async () => {
    // Failure: a key runs twice, or stays claimed although no request got the grant. The swap takes effect
    // but its result is lost, the owner is killed, the store is down for 2 s, and the requester retries at
    // the next owner, which must recognize whose claim it finds.
    const { timers, platform, owner, other, instances, claim } = createFixture();
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

  it('serves both sides of a network partition that reach the store, and grants each key once', async () => {
    // Failure: during a partition between domains, keyed requests of one side time out. Each side considers
    // the other's owner dead and acquires the slot, so the slot changes hands repeatedly. The instance that
    // loses it must not redirect requests for long to an owner that its own side cannot reach.
    const { timers, fleet, instances, claim } = createFixture({}, ['a1', 'a2', 'b1', 'b2']);
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
