/**
 * Acquires a lease, renews it, and reports when it can no longer be relied on. The holder measures the
 * lease's time from before it sent the request, on its own monotonic clock, and stops relying on the
 * lease a margin before it could lapse. Code that acts under the lease calls `getLease` just before it
 * acts, and gets null if the process was paused past that point.
 */
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import type { StoreLease, StorePort } from './StorePort.js';

export interface LeaseHolderOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  readonly key: string;
  readonly holder: string;
  readonly ttl: Millis;
  /** How long before a possible lapse the holder stops relying on the lease. */
  readonly margin: Millis;
  readonly onAcquired: (lease: StoreLease) => void;
  /** The lease is lost or may be lost; called at most once per acquisition, and not after `stop`. */
  readonly onLost: () => void;
}

export interface LeaseHolder {
  /** Returns the lease if it is safe to act under it now, else null. Don't cache the result. */
  getLease(): StoreLease | null;
  /** Releases the lease if it is held, and stops acquiring and renewing it. */
  stop(): void;
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

interface HeldLease {
  readonly lease: StoreLease;
  readonly validUntil: Millis;
}

/** Creates a holder that requests the lease at once. */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  const { port, timers, random, key, holder, ttl, margin } = options;
  const validTime = ttl - margin;
  const callOptions = { timeout: validTime * CALL_TIMEOUT_SHARE };
  let held: HeldLease | null = null;
  let stopped = false;
  let cancelNextCall: Unregister = () => undefined;
  let cancelExpiry: Unregister = () => undefined;

  function schedule(delay: Millis): void {
    cancelNextCall();
    if (!stopped) {
      cancelNextCall = timers.registerTimeout(jitter(random, delay, JITTER_SHARE), () => {
        void (held ? renew(held) : acquire());
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

  async function acquire(): Promise<void> {
    const requestedAt = timers.now();
    const outcome = await port.acquireLease(key, holder, ttl, callOptions);
    if (outcome.kind === 'done' && stopped) {
      // `stop` did not know of this lease; another holder would wait until it lapses.
      void port.releaseLease(outcome.value, callOptions);
    } else if (outcome.kind === 'done' && timers.now() < requestedAt + validTime) {
      setLease(outcome.value, requestedAt);
    } else {
      schedule(ttl * REACQUIRE_SHARE);
    }
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
      dropLease();
    } else {
      // Unanswered, rate-limited or not sent: the lease stays valid until the expiry timer drops it.
      schedule(validTime * RENEW_RETRY_SHARE);
    }
  }

  void acquire();
  return {
    getLease: () => (held && timers.now() < held.validUntil ? held.lease : null),
    stop() {
      stopped = true;
      cancelNextCall();
      cancelExpiry();
      const last = held;
      held = null;
      if (last) {
        void port.releaseLease(last.lease, callOptions);
      }
    },
  };
}
