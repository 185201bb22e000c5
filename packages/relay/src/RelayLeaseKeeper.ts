/**
 * Holds one lease of the store and renews it until it is stopped or no longer needed. Any answer of the store can be
 * lost, and the call may be executed later. So a lease is kept from its grant on, whether or not its keys are known to
 * be written, and is replaced only after the store has said that it lapsed: its keys can't be written any more then.
 */
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
  /**
   * Writes the keys that are bound to a granted lease. If it resolves to false or rejects, the lease is not valid yet,
   * and the keys are written again after the next renewal.
   */
  readonly onGranted: (lease: number) => Promise<boolean>;
  /** Whether the lease is still needed; otherwise it is no longer renewed and lapses. */
  readonly isNeeded: () => boolean;
  /** Receives what `onGranted` or a call to the store throws. */
  readonly onError?: (err: unknown) => void;
}

export interface LeaseKeeper {
  /** Acquires a lease and starts to renew it, unless this was started already; resolves after the first attempt. */
  start(): Promise<void>;
  /** Whether the lease's keys are written, and it is valid for at least the safety margin. */
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

interface KeptLease {
  readonly id: number;
  safeUntil: Millis;
  areKeysWritten: boolean;
}

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { port, timers, random, time } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  let lease: KeptLease | null = null;
  let isKeeping = false;
  let isStopped = false;

  async function acquire(): Promise<void> {
    const requestedAt = timers.now();
    const granted = await port.grantLease(time, callOptions);
    if (granted.kind !== 'done') {
      return;
    }
    if (isStopped) {
      // `stop` did not know of this lease, and it would stay until it lapses.
      void port.revokeLease(granted.value, callOptions);
      return;
    }
    lease = {
      id: granted.value,
      safeUntil: requestedAt + time - SAFETY_MARGIN,
      areKeysWritten: false,
    };
    await writeKeys();
  }

  async function writeKeys(): Promise<void> {
    const current = lease;
    if (current && !current.areKeysWritten) {
      current.areKeysWritten = await options.onGranted(current.id);
    }
  }

  async function renew(): Promise<void> {
    const current = lease;
    if (!current) {
      return;
    }
    const requestedAt = timers.now();
    const outcome = await port.renewLease(current.id, callOptions);
    if (outcome.kind === 'done') {
      current.safeUntil = requestedAt + time - SAFETY_MARGIN;
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      lease = null;
    }
  }

  async function renewOrAcquire(): Promise<void> {
    await renew();
    if (isStopped) {
      return;
    }
    if (lease) {
      await writeKeys();
    } else {
      await acquire();
    }
  }

  async function keep(): Promise<void> {
    try {
      await renewOrAcquire();
    } catch (err) {
      options.onError?.(err);
    }
    scheduleRenewal();
  }

  function scheduleRenewal(): void {
    timers.registerTimeout(jitter(random, options.renewPeriod, JITTER_SHARE), () => {
      if (isStopped) {
        return;
      }
      if (options.isNeeded()) {
        void keep();
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
        await keep();
      }
    },
    isValid: () =>
      lease !== null && lease.areKeysWritten && !isStopped && timers.now() < lease.safeUntil,
    getLeaseId: () => lease?.id ?? null,
    stop() {
      isStopped = true;
      if (lease) {
        void port.revokeLease(lease.id, callOptions);
      }
    },
  };
}
