/**
 * Ends leases. The answer to a call that ends a lease can be lost, and the lease with its keys would then stay until
 * it lapses. So the call is repeated until an answer shows that the lease has ended.
 */
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome } from './StorePort.js';

export interface LeaseEndsOptions {
  readonly timers: TimerService;
  readonly random: Random;
  /** How long a lease is tried to be ended; it should have lapsed by then. */
  readonly giveUpAfter: Millis;
}

/** Sends a call that ends a lease. */
export type SendLeaseEnd = () => Promise<StoreOutcome<null>>;

export interface LeaseEnds {
  /**
   * Calls `send` until it is done or refused as `lapsed`; a call that rejects counts as unanswered. Resolves then, or
   * when it is given up.
   */
  start(send: SendLeaseEnd): Promise<void>;
  /** Resolves when no lease is being ended any more. */
  waitForEnds(): Promise<void>;
  /** Gives up all leases that are being ended. */
  close(): void;
}

/** The delay before a call is repeated. It doesn't grow, because a process that stops has only a few seconds left. */
const RETRY_DELAY: Millis = 200;
const JITTER_SHARE = 0.3;

export function createLeaseEnds({ timers, random, giveUpAfter }: LeaseEndsOptions): LeaseEnds {
  /** For each lease that is being ended, the function that ends the wait before its next call. */
  const pending = new Map<symbol, () => void>();
  const running = new Set<Promise<void>>();

  function sleep(id: symbol, delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      const cancel = timers.registerTimeout(delay, resolve);
      pending.set(id, () => {
        cancel();
        resolve();
      });
    });
  }

  async function repeat(send: SendLeaseEnd): Promise<void> {
    const giveUpAt = timers.now() + giveUpAfter;
    const id = Symbol('lease end');
    pending.set(id, () => undefined);
    while (pending.has(id) && timers.now() < giveUpAt) {
      const outcome = await send().catch(() => ({ kind: 'unknown' }) as const);
      if (isEnded(outcome)) {
        break;
      }
      if (pending.has(id)) {
        const retryDelay = Math.max(
          jitter(random, RETRY_DELAY, JITTER_SHARE),
          getRetryAfter(outcome),
        );
        await sleep(id, retryDelay);
      }
    }
    pending.delete(id);
  }

  return {
    start(send) {
      const ending = repeat(send).finally(() => running.delete(ending));
      running.add(ending);
      return ending;
    },
    waitForEnds: () => Promise.all(running).then(() => undefined),
    close() {
      const wakes = [...pending.values()];
      pending.clear();
      wakes.forEach((wake) => wake());
    },
  };
}

function isEnded(outcome: StoreOutcome<null>): boolean {
  return (
    outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason.kind === 'lapsed')
  );
}

function getRetryAfter(outcome: StoreOutcome<null>): Millis {
  return outcome.kind === 'refused' && 'retryAfter' in outcome.reason
    ? outcome.reason.retryAfter
    : 0;
}
