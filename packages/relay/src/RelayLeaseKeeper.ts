/**
 * Holds one lease of the store and renews it until it is stopped or no longer needed. Any answer of the store can be
 * lost, and the call may be executed later. So a lease is kept from its grant on, whether or not its keys are known to
 * be written, and is replaced only after the store has said that it lapsed: its keys can't be written any more then.
 * A lease that is given up is ended until the store confirms it.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createLeaseEnds } from '@skylarksail/store/StoreLeaseEnds';
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
  /** Whether the lease is still needed; otherwise it is ended. */
  readonly isNeeded: () => boolean;
  /** The lease was granted or renewed, and can't end by itself before a time. */
  readonly onExtended?: (lease: number, expiresAt: Millis) => void;
  /** Receives what `onGranted` or a call to the store throws. */
  readonly onError?: (err: unknown) => void;
}

export interface LeaseKeeper {
  /** Acquires a lease and starts to renew it, unless this was started already; resolves after the first attempt. */
  start(): Promise<void>;
  /** Whether the lease's keys are written, and it is valid for at least the safety margin. */
  isValid(): boolean;
  /** Renews the lease now, or acquires another one if it is gone, and writes its keys again. */
  refresh(): void;
  /** The id of the current lease, or null if there is none. */
  getLeaseId(): number | null;
  /** Ends the lease and stops renewing it. */
  stop(): void;
  /** Resolves when no lease is being ended any more. */
  waitForEnds(): Promise<void>;
  /** Gives up ending leases. */
  close(): void;
}

/** Final part of the lease in which it is no longer acted on, because an order takes time to arrive. */
const SAFETY_MARGIN: Millis = 800;
const CALL_TIMEOUT: Millis = 800;
const JITTER_SHARE = 0.3;
/** Lease times for which a lease is tried to be ended; leases may stand still while the store is down. */
const END_TIMES = 5;

interface KeptLease {
  readonly id: number;
  safeUntil: Millis;
  areKeysWritten: boolean;
}

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { port, timers, random, time } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  const ends = createLeaseEnds({ timers, random, giveUpAfter: time * END_TIMES });
  let lease: KeptLease | null = null;
  let isKeeping = false;
  let isStopped = false;
  /** Whether calls of a renewal are under way; two at once would acquire two leases. */
  let isBusy = false;
  /** Whether the lease is to be refreshed when they have ended. */
  let isRefreshDue = false;
  let cancelRenewal: Unregister = () => undefined;

  function endLease(id: number): void {
    void ends.start(() => port.revokeLease(id, callOptions));
  }

  function dropLease(): void {
    if (lease) {
      endLease(lease.id);
      lease = null;
    }
  }

  async function acquire(): Promise<void> {
    const requestedAt = timers.now();
    const granted = await port.grantLease(time, callOptions);
    if (granted.kind !== 'done') {
      return;
    }
    if (isStopped) {
      endLease(granted.value);
      return;
    }
    lease = {
      id: granted.value,
      safeUntil: requestedAt + time - SAFETY_MARGIN,
      areKeysWritten: false,
    };
    options.onExtended?.(lease.id, requestedAt + time);
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
      options.onExtended?.(current.id, requestedAt + time);
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
    isBusy = true;
    try {
      await renewOrAcquire();
    } catch (err) {
      options.onError?.(err);
    }
    isBusy = false;
    if (isRefreshDue) {
      refresh();
    } else {
      scheduleRenewal();
    }
  }

  function refresh(): void {
    isRefreshDue = isBusy;
    if (isBusy || !isKeeping || isStopped) {
      return;
    }
    if (lease) {
      lease.areKeysWritten = false;
    }
    cancelRenewal();
    void keep();
  }

  function scheduleRenewal(): void {
    if (isStopped) {
      return;
    }
    cancelRenewal = timers.registerTimeout(
      jitter(random, options.renewPeriod, JITTER_SHARE),
      () => {
        if (options.isNeeded()) {
          void keep();
        } else {
          dropLease();
          isKeeping = false;
        }
      },
    );
  }

  return {
    async start() {
      if (!isKeeping && !isStopped) {
        isKeeping = true;
        await keep();
      }
    },
    refresh,
    isValid: () =>
      lease !== null && lease.areKeysWritten && !isStopped && timers.now() < lease.safeUntil,
    getLeaseId: () => lease?.id ?? null,
    stop() {
      isStopped = true;
      cancelRenewal();
      dropLease();
    },
    waitForEnds: ends.waitForEnds,
    close: ends.close,
  };
}
