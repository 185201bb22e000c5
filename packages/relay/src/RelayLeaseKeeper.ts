/** Holds one lease of the store and renews it until it is stopped or no longer needed. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';

export interface LeaseKeeperOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  /** How long the lease is valid after it was granted or renewed. */
  readonly time: Millis;
  readonly renewPeriod: Millis;
  /** Writes the keys that are bound to a newly granted lease. If it resolves to false, the lease is not used. */
  readonly onGranted: (lease: number) => Promise<boolean>;
  /** Whether the lease is still needed; otherwise it is no longer renewed and lapses. */
  readonly isNeeded: () => boolean;
}

export interface LeaseKeeper {
  /** Acquires a lease and starts to renew it, unless this was started already; resolves after the first attempt. */
  start(): Promise<void>;
  /** Whether the lease is valid and stays so for at least the safety margin. */
  isValid(): boolean;
  /** The id of the current lease, or null if there is none. */
  getLeaseId(): number | null;
  /** Revokes the lease and stops renewing it. */
  stop(): void;
}

/** Final part of the lease in which it is no longer acted on, because an order takes time to arrive. */
const SAFETY_MARGIN: Millis = 800;
const CALL_TIMEOUT: Millis = 800;
const JITTER_SHARE = 0.3;

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { port, timers, random, time } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  let lease: { readonly id: number; safeUntil: Millis } | null = null;
  let isKeeping = false;
  let isStopped = false;

  async function acquire(): Promise<void> {
    const requestedAt = timers.now();
    const granted = await port.grantLease(time, callOptions);
    if (granted.kind !== 'done') {
      return;
    }
    const isUsed = !isStopped && (await options.onGranted(granted.value));
    if (isStopped) {
      // `stop` did not know of this lease, and its keys would stay until it lapses.
      void port.revokeLease(granted.value, callOptions);
    } else if (isUsed) {
      lease = { id: granted.value, safeUntil: requestedAt + time - SAFETY_MARGIN };
    }
  }

  async function renewOrAcquire(): Promise<void> {
    if (lease === null) {
      await acquire();
      return;
    }
    const current = lease;
    const requestedAt = timers.now();
    const outcome = await port.renewLease(current.id, callOptions);
    if (outcome.kind === 'done') {
      current.safeUntil = requestedAt + time - SAFETY_MARGIN;
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      lease = null;
      await acquire();
    }
  }

  function scheduleRenewal(): void {
    timers.registerTimeout(jitter(random, options.renewPeriod, JITTER_SHARE), () => {
      if (isStopped) {
        return;
      }
      if (options.isNeeded()) {
        void renewOrAcquire().finally(scheduleRenewal);
      } else {
        lease = null;
        isKeeping = false;
      }
    });
  }

  return {
    async start() {
      if (!isKeeping && !isStopped) {
        isKeeping = true;
        await renewOrAcquire().finally(scheduleRenewal);
      }
    },
    isValid: () => lease !== null && !isStopped && timers.now() < lease.safeUntil,
    getLeaseId: () => lease?.id ?? null,
    stop() {
      isStopped = true;
      if (lease) {
        void port.revokeLease(lease.id, callOptions);
      }
    },
  };
}
