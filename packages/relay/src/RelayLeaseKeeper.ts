/** One lease at the store, kept until it is stopped or lost. */
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreRangePort } from '@skylarksail/store/StoreRange';

export interface LeaseKeeperOptions {
  readonly port: StoreRangePort;
  readonly timers: TimerService;
  readonly random: Random;
  /** How long the lease stands without being renewed. */
  readonly time: Millis;
  readonly renewPeriod: Millis;
  /** Called with each new lease; what is to hang on it is written here. False gives the lease up. */
  readonly onGranted: (lease: number) => Promise<boolean>;
  /** Whether the lease is still wanted; one that is not is left to lapse. */
  readonly isNeeded: () => boolean;
}

export interface LeaseKeeper {
  /** Begins to keep a lease, unless one is kept already; resolves once it stands or was not granted. */
  start(): Promise<void>;
  /** Whether the lease stands, and will for a moment. */
  isValid(): boolean;
  /** The lease that stands now. */
  getLeaseId(): number | null;
  /** Ends the lease at once. */
  stop(): void;
}

/** The lease is not acted on in its last part, since an order takes time to arrive. */
const MARGIN: Millis = 800;
const CALL_TIMEOUT: Millis = 800;
const JITTER_SHARE = 0.3;

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { port, timers, random, time } = options;
  const callOptions = { timeout: CALL_TIMEOUT };
  let lease: { readonly id: number; safeUntil: Millis } | null = null;
  let isKeeping = false;
  let isStopped = false;

  async function grant(): Promise<void> {
    const askedAt = timers.now();
    const granted = await port.grantLease(time, callOptions);
    if (granted.kind === 'done' && !isStopped && (await options.onGranted(granted.value))) {
      lease = { id: granted.value, safeUntil: askedAt + time - MARGIN };
    }
  }

  async function keep(): Promise<void> {
    if (lease === null) {
      await grant();
      return;
    }
    const kept = lease;
    const askedAt = timers.now();
    const outcome = await port.keepLease(kept.id, callOptions);
    if (outcome.kind === 'done') {
      kept.safeUntil = askedAt + time - MARGIN;
    } else if (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed') {
      lease = null;
      await grant();
    }
  }

  function schedule(): void {
    timers.registerTimeout(jitter(random, options.renewPeriod, JITTER_SHARE), () => {
      if (isStopped) {
        return;
      }
      if (options.isNeeded()) {
        void keep().finally(schedule);
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
        await keep().finally(schedule);
      }
    },
    isValid: () => lease !== null && !isStopped && timers.now() < lease.safeUntil,
    getLeaseId: () => lease?.id ?? null,
    stop() {
      isStopped = true;
      if (lease) {
        void port.endLease(lease.id, callOptions);
      }
    },
  };
}
