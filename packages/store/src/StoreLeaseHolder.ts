/**
 * Acquires a lease, renews it, and reports when it can no longer be relied on. The holder measures the
 * lease's time from before it sent the request, on its own monotonic clock, and stops relying on the
 * lease a margin before it could lapse. Code that acts under the lease calls `getLease` just before it
 * acts, and gets null if the process was paused past that point.
 *
 * A lease may exist although the holder doesn't rely on it: an acquisition was not answered, or the answers to its
 * renewals were lost. The holder ends also these when it is stopped, since others would wait until they lapse.
 */
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createLeaseEnds } from './StoreLeaseEnds.js';
import type { StoreLease, StoreOutcome, StorePort } from './StorePort.js';

export interface LeaseHolderOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly key: string;
  readonly holder: string;
  readonly ttl: Millis;
  /** How long before a possible lapse the holder stops relying on the lease. */
  readonly margin: Millis;
  /** Whether an earlier holder with the same name may hold the lease; defaults to false. */
  readonly mayBeHeld?: boolean | undefined;
  readonly onAcquired: (lease: StoreLease) => void;
  /** The lease is lost or may be lost; called at most once per acquisition, and not after `stop`. */
  readonly onLost: () => void;
}

export interface LeaseHolder {
  /** Returns the lease if it is safe to act under it now, else null. Don't cache the result. */
  getLease(): StoreLease | null;
  /** Stops acquiring and renewing the lease, and ends it if it may be held. */
  stop(): void;
  /** Whether the service may still have a lease of this holder. */
  mayHold(): boolean;
  /** Resolves when a stopped holder has ended its lease or has given it up. */
  waitForEnd(): Promise<void>;
  /**
   * Gives up ending the lease. A stopped holder must be closed before another one with its name is created, which
   * would rely on a lease that this one releases.
   */
  close(): void;
}

/**
 * Shares of the time for which a lease counts as valid (TTL less margin): the delay before a renewal, the
 * timeout of a call, and the delay before a failed renewal is retried.
 */
const RENEW_SHARE = 0.3;
const CALL_TIMEOUT_SHARE = 0.12;
const RENEW_RETRY_SHARE = 0.03;
/** Share of the TTL after which a lease that was lost or not acquired is requested again. */
const REACQUIRE_SHARE = 0.25;
const JITTER_SHARE = 0.3;
/** Longest timeout of a call that ends a lease: a process that stops has time for few of them. */
const MAX_END_TIMEOUT: Millis = 800;
/** TTLs for which a lease is tried to be ended. */
const END_TIMES = 2;

interface HeldLease {
  readonly lease: StoreLease;
  readonly validUntil: Millis;
}

/** Creates a holder that requests the lease at once. */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  const { port, timers, random, key, holder, ttl, margin } = options;
  const validTime = ttl - margin;
  const callOptions = { timeout: validTime * CALL_TIMEOUT_SHARE };
  const endOptions = { timeout: Math.min(callOptions.timeout, MAX_END_TIMEOUT) };
  const ends = createLeaseEnds({ timers, random, giveUpAfter: ttl * END_TIMES });
  let held: HeldLease | null = null;
  /** The last lease that was granted, until the service has said that it ended. */
  let granted: StoreLease | null = null;
  /**
   * Whether the holder may have a lease that it doesn't know: an acquisition of its own, or of an earlier holder with
   * its name, was not answered, and no later answer has settled it.
   */
  let mayBeAcquired = options.mayBeHeld ?? false;
  /** Whether an unanswered acquisition, which may still be executed, could replace the lease granted after it. */
  let mayBeReplaced = false;
  /** Whether a release was not answered; a lease that has ended then ended by it. */
  let mayBeReleased = false;
  let acquiring = Promise.resolve();
  let ending = Promise.resolve();
  let stopped = false;
  let isClosed = false;
  let noteClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    noteClosed = resolve;
  });
  let cancelNextCall: Unregister = () => undefined;
  let cancelExpiry: Unregister = () => undefined;

  function schedule(delay: Millis): void {
    cancelNextCall();
    if (!stopped) {
      cancelNextCall = timers.registerTimeout(jitter(random, delay, JITTER_SHARE), () => {
        if (held) {
          void renew(held);
        } else {
          acquiring = acquire();
        }
      });
    }
  }

  function setLease(lease: StoreLease, requestedAt: Millis): void {
    const wasHeld = held !== null;
    held = { lease, validUntil: requestedAt + validTime };
    cancelExpiry();
    cancelExpiry = timers.registerTimeout(Math.max(0, held.validUntil - timers.now()), dropLease);
    schedule(validTime * RENEW_SHARE);
    if (!wasHeld) {
      options.onAcquired(lease);
    }
  }

  function dropLease(): void {
    cancelExpiry();
    if (held) {
      held = null;
      options.onLost();
      schedule(ttl * REACQUIRE_SHARE);
    }
  }

  /** Requests the lease, which replaces any that this holder may already have, and notes what the answer settles. */
  async function requestLease(): Promise<StoreOutcome<StoreLease>> {
    const outcome = await port.acquireLease(key, holder, ttl, stopped ? endOptions : callOptions);
    if (outcome.kind === 'done') {
      granted = outcome.value;
      mayBeAcquired = false;
      mayBeReleased = false;
    } else if (outcome.kind === 'unknown') {
      mayBeAcquired = true;
      mayBeReplaced = true;
    } else if (outcome.reason.kind === 'held') {
      granted = null;
      mayBeAcquired = false;
    }
    return outcome;
  }

  async function acquire(): Promise<void> {
    const requestedAt = timers.now();
    const outcome = await requestLease();
    if (stopped) {
      return;
    }
    if (outcome.kind === 'done' && timers.now() < requestedAt + validTime) {
      setLease(outcome.value, requestedAt);
    } else {
      schedule(ttl * REACQUIRE_SHARE);
    }
  }

  /** Ends the lease once an acquisition that is under way has an outcome. */
  async function end(): Promise<void> {
    await acquiring;
    if (!isClosed && (granted !== null || mayBeAcquired)) {
      await ends.start(sendEnd);
    }
  }

  /**
   * Releases the lease that may be held. Only its fencing number identifies a lease, so one that was acquired by an
   * unanswered call is first acquired again.
   */
  async function sendEnd(): Promise<StoreOutcome<null>> {
    if (mayBeAcquired) {
      const outcome = await requestLease();
      if (outcome.kind === 'unknown') {
        return outcome;
      }
      if (outcome.kind === 'refused' && outcome.reason.kind !== 'held') {
        return outcome;
      }
    }
    if (granted === null || isClosed) {
      return { kind: 'done', value: null };
    }
    const outcome = await port.releaseLease(granted, endOptions);
    if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      noteLapsed();
    } else if (outcome.kind === 'done') {
      granted = null;
    } else if (outcome.kind === 'unknown') {
      mayBeReleased = true;
    }
    return mayBeAcquired ? { kind: 'unknown' } : outcome;
  }

  /** Notes that the granted lease has ended, either by itself or because an acquisition executed late replaced it. */
  function noteLapsed(): void {
    granted = null;
    mayBeAcquired = mayBeReplaced && !mayBeReleased;
    mayBeReplaced = false;
  }

  async function renew(current: HeldLease): Promise<void> {
    const requestedAt = timers.now();
    const outcome = await port.renewLease(current.lease, callOptions);
    if (stopped || held?.lease.fencing !== current.lease.fencing) {
      return;
    }
    if (outcome.kind === 'done' && timers.now() < current.validUntil) {
      setLease(outcome.value, requestedAt);
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      noteLapsed();
      dropLease();
    } else {
      // Unanswered, rate-limited or not sent: the lease stays valid until the expiry timer drops it.
      schedule(validTime * RENEW_RETRY_SHARE);
    }
  }

  acquiring = acquire();
  return {
    getLease: () => (held && timers.now() < held.validUntil ? held.lease : null),
    stop() {
      stopped = true;
      cancelNextCall();
      cancelExpiry();
      held = null;
      ending = end();
    },
    mayHold: () => granted !== null || mayBeAcquired,
    waitForEnd: () => Promise.race([ending, closed]),
    close() {
      isClosed = true;
      noteClosed();
      ends.close();
    },
  };
}
