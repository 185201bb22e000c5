/** Plays the stop of a lease holder at a store whose calls have chosen fates. */
import { createVirtualTimers, type VirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createFakeCalls, type FakeCall, type FakeCalls } from '../../FakeCalls.js';
import { playShutdown, type ShutdownPlan } from '../../FakeShutdown.js';
import { createFakeStore } from '../../FakeStore.js';
import { createFakeStoreItems, type FakeStoreItems } from '../../FakeStoreItems.js';
import { createLeaseHolder, type LeaseHolder } from '../../StoreLeaseHolder.js';
import type { StorePort } from '../../StorePort.js';

export type HolderOperation = 'acquire' | 'renew' | 'release';
export type HolderPlan = ShutdownPlan<HolderOperation>;

/** With this margin, a call times out after 720 ms. */
const TTL: Millis = 10_000;
const MARGIN: Millis = 4000;
const KEY = 'lease';
const MEAN_RANDOM = { nextFloat: () => 0.5, nextInt: () => 0 };

/** `onAcquired` is told of each lease granted by the store, and whether its call had timed out before. */
function wrapPort(
  timers: VirtualTimers,
  items: FakeStoreItems,
  calls: FakeCalls,
  onAcquired: (isLate: boolean) => void,
): StorePort {
  const { now } = timers;
  return {
    ...createFakeStore({ timers, random: MEAN_RANDOM }).connect('unused'),
    acquireLease(key, holder, ttl, { timeout }) {
      const timesOutAt = now() + timeout;
      return calls.call('acquire', timeout, () => {
        onAcquired(now() > timesOutAt);
        return Promise.resolve(items.acquire(key, holder, ttl, now()));
      });
    },
    renewLease: (lease, { timeout }) =>
      calls.call(
        'renew',
        timeout,
        () => Promise.resolve(items.renew(lease, now())),
        () => items.release(lease, now()),
      ),
    releaseLease: (lease, { timeout }) =>
      calls.call(
        'release',
        timeout,
        () => Promise.resolve(items.release(lease, now())),
        () => items.release(lease, now()),
      ),
  };
}

function isAcquire(call: FakeCall | undefined): boolean {
  return call?.operation === 'acquire';
}

/**
 * Whether the call asks for a lease though none may exist: no acquisition had an unknown outcome, or one was granted
 * since, before the stop.
 */
function isExcessCall(calls: readonly FakeCall[], index: number, stopIndex: number): boolean {
  if (!isAcquire(calls[index])) {
    return false;
  }
  const lastGranted = calls
    .slice(0, stopIndex)
    .findLastIndex((call) => isAcquire(call) && call.outcome === 'done');
  return !calls
    .slice(lastGranted + 1, index)
    .some((call) => isAcquire(call) && call.outcome === 'unknown');
}

/** Whether the holder has ended a lease granted after the last unknown outcome; it can't know of a later effect. */
function hasConfirmedEnd(calls: readonly FakeCall[]): boolean {
  const lastUnknown = calls.findLastIndex((call) => isAcquire(call) && call.outcome === 'unknown');
  const granted = calls.findIndex(
    (call, i) => i > lastUnknown && isAcquire(call) && call.outcome === 'done',
  );
  return (
    granted >= 0 &&
    calls
      .slice(granted + 1)
      .some(
        ({ operation, outcome }) => operation === 'release' && ['done', 'lapsed'].includes(outcome),
      )
  );
}

/** Plays the stop of a holder; returns what went wrong. */
export function playHolderPlan(plan: HolderPlan): Promise<readonly string[]> {
  const timers = createVirtualTimers();
  const items = createFakeStoreItems();
  const calls = createFakeCalls({ timers, fates: plan.fates, lateDelay: plan.lateDelay });
  let holder: LeaseHolder | null = null;
  let isLastLeaseLate = false;

  function start(): void {
    holder = createLeaseHolder({
      port: wrapPort(timers, items, calls, (isLate) => {
        isLastLeaseLate = isLate;
      }),
      timers,
      random: MEAN_RANDOM,
      key: KEY,
      holder: 'a',
      ttl: TTL,
      margin: MARGIN,
      onAcquired: () => undefined,
      onLost: () => undefined,
    });
  }

  /**
   * Whether the store has a lease other than one that came into effect after the holder had confirmed the end of
   * another. A lease without duration is refused while the key is held, and otherwise lapses at once.
   */
  function isHeld(): boolean {
    const probe = items.acquire(KEY, 'probe', 0, timers.now());
    return probe.kind === 'refused' && !(isLastLeaseLate && hasConfirmedEnd(calls.list()));
  }

  return playShutdown({
    timers,
    calls,
    plan,
    subject: { start, stop: () => holder?.stop() },
    leaseTime: TTL,
    isHeld,
    isExcessCall,
  });
}
