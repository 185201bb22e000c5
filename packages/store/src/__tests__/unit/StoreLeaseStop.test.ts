import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import { createFakeStore } from '../../FakeStore.js';
import { createFakeStoreItems } from '../../FakeStoreItems.js';
import { createLeaseEnds } from '../../StoreLeaseEnds.js';
import { createLeaseHolder, type LeaseHolder } from '../../StoreLeaseHolder.js';
import type { StoreLease, StoreOutcome, StorePort } from '../../StorePort.js';

const TTL = 10_000;
const MARGIN = 4000;
const MEAN_RANDOM = { nextFloat: () => 0.5, nextInt: () => 0 };

type Acquire = () => Promise<StoreOutcome<StoreLease>>;

/** A holder named `a` whose calls are answered at once, except for the acquisitions given by `wrapAcquire`. */
function createBed(
  wrapAcquire: (count: number, acquire: Acquire) => Promise<StoreOutcome<StoreLease>>,
) {
  const timers = createVirtualTimers();
  const items = createFakeStoreItems();
  let count = 0;
  const port: StorePort = {
    ...createFakeStore({ timers, random: MEAN_RANDOM }).connect('unused'),
    acquireLease(key, holder, ttl) {
      count += 1;
      return wrapAcquire(count, () =>
        Promise.resolve(items.acquire(key, holder, ttl, timers.now())),
      );
    },
    renewLease: (lease) => Promise.resolve(items.renew(lease, timers.now())),
    releaseLease: (lease) => Promise.resolve(items.release(lease, timers.now())),
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
  return { timers, startHolder, isTaken };
}

const UNKNOWN = { kind: 'unknown' } as const;

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

  it('frees a lease that an earlier holder with its name gave up', async () => {
    // Guards against a lease that nobody ends: an instance that is on duty again closes its earlier holder, the store
    // refuses the acquisition of the new one, and the stop of the new one knows of no lease.
    const { timers, startHolder, isTaken } = createBed((count, acquire) =>
      count === 2
        ? Promise.resolve({ kind: 'refused', reason: { kind: 'rate-limited', retryAfter: 300 } })
        : acquire(),
    );
    const first = startHolder();
    await timers.advanceToAsync(100);
    first.stop();
    first.close();
    const second = startHolder(first);
    await timers.advanceToAsync(200);
    second.stop();
    await timers.advanceToAsync(2800);
    expect(isTaken()).to.equal(false);
  });
});

describe('createLeaseEnds', () => {
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
