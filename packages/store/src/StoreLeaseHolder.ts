/**
 * Takes a lease, renews it, and says when it is not safe to rely on any more. The holder counts from
 * before it asked, on its own monotonic clock, and stops a margin before the lease could lapse. What
 * acts under the lease asks `getLease` just before it acts; a holder that was paused is told no.
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
  /** How long before the lease could lapse the holder stops relying on it. */
  readonly margin: Millis;
  readonly onAcquired: (lease: StoreLease) => void;
  /** The lease is lost or may be; called once for each time that it was acquired. */
  readonly onLost: () => void;
}

export interface LeaseHolder {
  /** The lease if it is safe to act under it now, else null. Never act on an older answer. */
  getLease(): StoreLease | null;
  /** Gives the lease back, if it is held, and stops asking for it. */
  stop(): void;
}

/** Parts of the safe time: until the first renewal, for one call, and until an unanswered one is repeated. */
const RENEW_SHARE = 0.3;
const CALL_SHARE = 0.12;
const REPEAT_SHARE = 0.03;
/** Part of the lease's time after which a lease that another holds is asked for again. */
const RETRY_SHARE = 0.25;
const JITTER_SHARE = 0.3;

interface HeldLease {
  readonly lease: StoreLease;
  readonly safeUntil: Millis;
}

/** Starts asking for the lease at once. */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  const { port, timers, random, key, holder, ttl, margin } = options;
  const safeTime = ttl - margin;
  const callOptions = { timeout: safeTime * CALL_SHARE };
  let held: HeldLease | null = null;
  let stopped = false;
  let cancelNext: Unregister = () => undefined;
  let cancelLoss: Unregister = () => undefined;

  function schedule(delay: Millis): void {
    cancelNext();
    if (!stopped) {
      cancelNext = timers.registerTimeout(jitter(random, delay, JITTER_SHARE), () => {
        void (held ? renew(held) : acquire());
      });
    }
  }

  function hold(lease: StoreLease, askedAt: Millis): void {
    const wasHeld = held !== null;
    held = { lease, safeUntil: askedAt + safeTime };
    cancelLoss();
    cancelLoss = timers.registerTimeout(Math.max(0, held.safeUntil - timers.now()), lose);
    schedule(safeTime * RENEW_SHARE);
    if (!wasHeld) {
      options.onAcquired(lease);
    }
  }

  function lose(): void {
    cancelLoss();
    if (held) {
      held = null;
      options.onLost();
      schedule(ttl * RETRY_SHARE);
    }
  }

  async function acquire(): Promise<void> {
    const askedAt = timers.now();
    const outcome = await port.acquireLease(key, holder, ttl, callOptions);
    if (outcome.kind === 'done' && !stopped && timers.now() < askedAt + safeTime) {
      hold(outcome.value, askedAt);
    } else {
      schedule(ttl * RETRY_SHARE);
    }
  }

  async function renew(current: HeldLease): Promise<void> {
    const askedAt = timers.now();
    const outcome = await port.renewLease(current.lease, callOptions);
    if (stopped || held?.lease.fencing !== current.lease.fencing) {
      return;
    }
    if (outcome.kind === 'done' && timers.now() < current.safeUntil) {
      hold(outcome.value, askedAt);
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      lose();
    } else {
      // No answer, or held back: the lease is ours until its safe time ends, which a timer watches.
      schedule(safeTime * REPEAT_SHARE);
    }
  }

  void acquire();
  return {
    getLease: () => (held && timers.now() < held.safeUntil ? held.lease : null),
    stop() {
      stopped = true;
      cancelNext();
      cancelLoss();
      const last = held;
      held = null;
      if (last) {
        void port.releaseLease(last.lease, callOptions);
      }
    },
  };
}
