import { expect } from 'chai';
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeStore } from '../../FakeStore.js';
import { createFakeStoreItems } from '../../FakeStoreItems.js';
import { createLeaseEnds } from '../../StoreLeaseEnds.js';
import { createLeaseHolder, type LeaseHolder } from '../../StoreLeaseHolder.js';
import type { StoreLease, StoreOutcome, StorePort } from '../../StorePort.js';

const TTL = 10_000;
const MARGIN = 4000;
const MEAN_RANDOM = { nextFloat: () => 0.5, nextInt: () => 0 };

const UNKNOWN = { kind: 'unknown' } as const;

type Acquire = () => Promise<StoreOutcome<StoreLease>>;

function wait(timers: VirtualTimers, delay: Millis): Promise<void> {
  return new Promise((resolve) => {
    if (delay > 0) {
      timers.registerTimeout(delay, resolve);
    } else {
      resolve();
    }
  });
}

/** A holder named `a` whose calls are answered at once, except for the acquisitions given by `wrapAcquire`. */
function createBed(
  wrapAcquire: (count: number, acquire: Acquire) => Promise<StoreOutcome<StoreLease>>,
) {
  const timers = createVirtualTimers();
  const items = createFakeStoreItems();
  let count = 0;
  let isUp = true;
  let isAnswerLost = false;
  const calls: string[] = [];
  let renewDelay = 0;
  const answer = <T>(operation: string, effect: () => StoreOutcome<T>) => {
    calls.push(operation);
    const outcome = isUp ? effect() : UNKNOWN;
    const isLost = isAnswerLost;
    isAnswerLost = false;
    return Promise.resolve(isLost ? UNKNOWN : outcome);
  };
  const port: StorePort = {
    ...createFakeStore({ timers, random: MEAN_RANDOM }).connect('unused'),
    acquireLease(key, holder, ttl) {
      count += 1;
      calls.push('acquire');
      return wrapAcquire(count, () =>
        Promise.resolve(items.acquire(key, holder, ttl, timers.now())),
      );
    },
    renewLease: async (lease) => {
      const outcome = await answer('renew', () => items.renew(lease, timers.now()));
      await wait(timers, renewDelay);
      return outcome;
    },
    releaseLease: (lease) => answer('release', () => items.release(lease, timers.now())),
  };
  const startHolder = (earlier?: LeaseHolder): LeaseHolder =>
    createLeaseHolder({
      mayBeHeld: earlier?.mayHold(),
      port,
      timers,
      random: MEAN_RANDOM,
      key: 'lease',
      holder: 'a',
      ttl: TTL,
      margin: MARGIN,
      onAcquired: () => undefined,
      onLost: () => undefined,
    });
  /** Whether another can't acquire the lease. */
  const isTaken = (): boolean =>
    items.acquire('lease', 'probe', 0, timers.now()).kind === 'refused';
  return {
    timers,
    items,
    startHolder,
    isTaken,
    /** The operations that were called. */
    calls,
    /** While unavailable, renewals and releases are not answered. */
    setAvailable: (next: boolean) => {
      isUp = next;
    },
    /** From now on, renewals take effect at once and are answered after this time. */
    setRenewDelay: (delay: Millis) => {
      renewDelay = delay;
    },
    /** The next renewal or release takes effect and is not answered. */
    loseAnswer: () => {
      isAnswerLost = true;
    },
  };
}

/** Plays one end of a lease that is given up after 30 s; `send` gets the number of earlier calls. */
function createEndsBed(send: (count: number) => Promise<StoreOutcome<null>>) {
  const timers = createVirtualTimers();
  const ends = createLeaseEnds({ timers, random: MEAN_RANDOM, giveUpAfter: 30_000 });
  const sentAt: Millis[] = [];
  let endedAt: Millis | null = null;
  void ends
    .start(() => {
      sentAt.push(timers.now());
      return send(sentAt.length - 1);
    })
    .then(() => {
      endedAt = timers.now();
    });
  return { timers, ends, sentAt, getEndedAt: () => endedAt };
}

describe('the stop of a lease holder', () => {
  for (const [when, stopAt] of [
    ['before a renewal shows that its lease was replaced', 4500],
    ['after a renewal showed that its lease was replaced', 5500],
  ] as const) {
    it(`frees the lease of an acquisition that took effect seconds later, ${when}`, async () => {
      // Guards against a stopped holder whose lease keeps others waiting until it lapses: its first acquisition is
      // applied after its second was answered, and `lapsed` is then taken for the end of all that it holds.
      const { timers, startHolder, isTaken } = createBed((count, acquire) => {
        if (count > 1) {
          return acquire();
        }
        timers.registerTimeout(4000, () => {
          void acquire();
        });
        return new Promise((resolve) => {
          timers.registerTimeout(720, () => resolve(UNKNOWN));
        });
      });
      const holder = startHolder();
      await timers.advanceToAsync(stopAt);
      holder.stop();
      await timers.advanceToAsync(stopAt + 2600);
      expect(isTaken()).to.equal(false);
    });
  }

  for (const [what, isAnswered] of [
    ['gave up', true],
    ['gave up and did not know', false],
  ] as const) {
    it(`frees a lease that an earlier holder with its name ${what}`, async () => {
      // Guards against a lease that nobody ends: an instance that is on duty again closes its earlier holder, the store
      // refuses the acquisition of the new one, and the stop of the new one knows of no lease.
      const { timers, startHolder, isTaken } = createBed(async (count, acquire) => {
        if (count === 2) {
          return { kind: 'refused', reason: { kind: 'rate-limited', retryAfter: 300 } };
        }
        const outcome = await acquire();
        return count > 1 || isAnswered ? outcome : UNKNOWN;
      });
      const first = startHolder();
      await timers.advanceToAsync(100);
      first.stop();
      first.close();
      const second = startHolder(first);
      await timers.advanceToAsync(200);
      expect(isTaken()).to.equal(true);
      second.stop();
      await timers.advanceToAsync(2800);
      expect({ isTaken: isTaken(), mayHold: second.mayHold() }).to.deep.equal({
        isTaken: false,
        mayHold: false,
      });
    });
  }

  it('sends nothing at its stop once a renewal has shown that the lease ended', async () => {
    // Guards against a stop that calls the store, and a next holder that acquires, for a lease that has ended.
    const { timers, items, startHolder, calls } = createBed((_count, acquire) => acquire());
    const holder = startHolder();
    await timers.advanceToAsync(10);
    items.release({ key: 'lease', holder: 'a', fencing: 1, ttl: TTL }, timers.now());
    await timers.advanceToAsync(2500);
    const mayHold = holder.mayHold();
    holder.stop();
    await timers.advanceToAsync(5100);
    expect({ mayHold, calls }).to.deep.equal({ mayHold: false, calls: ['acquire', 'renew'] });
  });

  it('sends nothing at its stop once another holder has the lease', async () => {
    // Guards against a stop that calls the store, and a next holder that acquires, for a lease that another one took.
    const { timers, items, startHolder, calls, setAvailable } = createBed((count, acquire) =>
      count === 2 ? Promise.resolve(UNKNOWN) : acquire(),
    );
    const holder = startHolder();
    await timers.advanceToAsync(10);
    setAvailable(false);
    // The holder no longer relies on its lease after 6 s, and asks for it again at 8.5 and 11 s.
    await timers.advanceToAsync(7000);
    items.release({ key: 'lease', holder: 'a', fencing: 1, ttl: TTL }, timers.now());
    items.acquire('lease', 'b', TTL, timers.now());
    await timers.advanceToAsync(11_500);
    setAvailable(true);
    expect(calls.filter((call) => call === 'acquire')).to.have.length(3);
    const mayHold = holder.mayHold();
    calls.length = 0;
    holder.stop();
    await timers.advanceToAsync(14_100);
    expect({ mayHold, calls }).to.deep.equal({ mayHold: false, calls: [] });
  });

  it('does not acquire the lease again when its unanswered release has ended it', async () => {
    // Guards against a stopped holder that takes back a lease which it has freed, for which others wait then.
    const { timers, startHolder, calls, isTaken, loseAnswer } = createBed((count, acquire) =>
      count === 1 ? Promise.resolve(UNKNOWN) : acquire(),
    );
    const holder = startHolder();
    await timers.advanceToAsync(3000);
    expect(isTaken()).to.equal(true);
    calls.length = 0;
    loseAnswer();
    holder.stop();
    await timers.advanceToAsync(5600);
    expect(calls).to.deep.equal(['release', 'release']);
  });

  it('waits no longer than to its close for an acquisition that is not answered', async () => {
    // Guards against a stop that takes longer than its grace by the time of a call.
    const { timers, startHolder } = createBed(
      () =>
        new Promise((resolve) => {
          timers.registerTimeout(5000, () => resolve(UNKNOWN));
        }),
    );
    const holder = startHolder();
    let isEnded = false;
    holder.stop();
    void holder.waitForEnd().then(() => {
      isEnded = true;
    });
    await timers.advanceToAsync(100);
    expect(isEnded).to.equal(false);
    holder.close();
    await timers.advanceToAsync(110);
    expect(isEnded).to.equal(true);
  });

  it('sends nothing and leaves no timer once it is closed', async () => {
    // Guards against a closed holder whose call for the lease takes it from the next holder with its name.
    const { timers, startHolder, calls } = createBed(() => Promise.resolve(UNKNOWN));
    const holder = startHolder();
    await timers.advanceToAsync(10);
    let isEnded = false;
    holder.stop();
    void holder.waitForEnd().then(() => {
      isEnded = true;
    });
    await timers.advanceToAsync(300);
    expect({ isEnded, calls: calls.length }).to.deep.equal({ isEnded: false, calls: 3 });
    holder.close();
    await timers.advanceToAsync(310);
    expect({ isEnded, pending: timers.countPending() }).to.deep.equal({
      isEnded: true,
      pending: 0,
    });
    await timers.advanceToAsync(40_000);
    expect(calls).to.have.length(3);
  });
});

describe('the validity of a held lease', () => {
  for (const [slowCall, acquireDelay, renewDelay, validUntil] of [
    ['acquisition', 700, 0, TTL - MARGIN],
    ['renewal', 0, 700, 1800 + TTL - MARGIN],
  ] as const) {
    it(`is counted from before a slow ${slowCall}`, async () => {
      // Guards against two holders: the store counts the lease from the arrival of a call that is answered late.
      const { timers, startHolder, setAvailable, setRenewDelay } = createBed(
        async (_count, acquire) => {
          const outcome = await acquire();
          await wait(timers, acquireDelay);
          return outcome;
        },
      );
      setRenewDelay(renewDelay);
      const holder = startHolder();
      await timers.advanceToAsync(renewDelay > 0 ? 2000 : 10);
      setAvailable(false);
      await timers.advanceToAsync(validUntil - 100);
      expect(holder.getLease()).to.not.equal(null);
      await timers.advanceToAsync(validUntil + 100);
      expect(holder.getLease()).to.equal(null);
      holder.close();
    });
  }
});

describe('createLeaseEnds', () => {
  it('repeats quickly at first and then every second or two, until it gives up', async () => {
    // Guards against stopping instances that hold up the store, or try too seldom, or go on for ever.
    const { timers, sentAt, getEndedAt } = createEndsBed(() => Promise.resolve(UNKNOWN));
    await timers.advanceToAsync(60_000);
    const gaps = sentAt.slice(1).map((at, i) => at - (sentAt[i] ?? 0));
    expect(gaps.slice(0, 3).every((gap) => gap >= 100 && gap <= 300)).to.equal(true);
    expect(gaps.slice(5).every((gap) => gap >= 1000 && gap <= 2000)).to.equal(true);
    expect(sentAt.at(-1)).to.be.within(28_000, 30_000);
    expect(getEndedAt()).to.be.within(30_000, 32_000);
    expect(timers.countPending()).to.equal(0);
  });

  it('waits as long as a refusal asks', async () => {
    // Guards against stopping instances whose refused calls keep a store refusing.
    const { timers, sentAt } = createEndsBed((count) =>
      Promise.resolve(
        count === 0
          ? { kind: 'refused', reason: { kind: 'rate-limited', retryAfter: 2500 } }
          : { kind: 'done', value: null },
      ),
    );
    await timers.advanceToAsync(10_000);
    expect(sentAt).to.deep.equal([0, 2500]);
  });

  it('repeats a call that rejects', async () => {
    // Guards against a lease that stays because the connection broke at the stop.
    const { timers, sentAt, getEndedAt } = createEndsBed((count) =>
      count === 0
        ? Promise.reject(new Error('connection reset'))
        : Promise.resolve({ kind: 'done', value: null }),
    );
    await timers.advanceToAsync(10_000);
    expect(sentAt).to.have.length(2);
    expect(getEndedAt()).to.equal(sentAt[1]);
  });

  it('does not repeat a call that is refused for good', async () => {
    // Guards against stops that are held up by, and load the store with, calls that can't succeed.
    for (const reason of [
      { kind: 'lapsed' },
      { kind: 'too-large' },
      { kind: 'invalid', detail: '' },
    ] as const) {
      const { timers, sentAt, getEndedAt } = createEndsBed(() =>
        Promise.resolve({ kind: 'refused', reason }),
      );
      await timers.advanceToAsync(10_000);
      expect({ sentAt, endedAt: getEndedAt() }, reason.kind).to.deep.equal({
        sentAt: [0],
        endedAt: 0,
      });
    }
  });

  for (const [when, isAnswered] of [
    ['between two calls', true],
    ['during a call', false],
  ] as const) {
    it(`sends nothing and leaves no timer when it is closed ${when}`, async () => {
      // Guards against a daemon whose process stays after its stop for the timer of a call that never comes.
      let answer: () => void = () => undefined;
      const { timers, ends, sentAt, getEndedAt } = createEndsBed(() =>
        isAnswered
          ? Promise.resolve(UNKNOWN)
          : new Promise((resolve) => {
              answer = () => resolve(UNKNOWN);
            }),
      );
      await timers.advanceToAsync(100);
      ends.close();
      await timers.advanceToAsync(110);
      answer();
      await timers.advanceToAsync(120);
      expect({ endedAt: getEndedAt(), pending: timers.countPending() }).to.deep.equal({
        endedAt: 100,
        pending: 0,
      });
      await timers.advanceToAsync(5000);
      expect(sentAt).to.deep.equal([0]);
    });
  }

  it('sends nothing and leaves no timer when an end begins after the close', async () => {
    // Guards against a daemon whose process stays after its stop.
    const timers = createVirtualTimers();
    const ends = createLeaseEnds({ timers, random: MEAN_RANDOM, giveUpAfter: 30_000 });
    ends.close();
    void ends.start(() => Promise.resolve(UNKNOWN));
    await timers.advanceToAsync(1000);
    expect(timers.countPending()).to.equal(0);
  });
});
