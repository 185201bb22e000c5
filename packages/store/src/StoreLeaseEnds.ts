/**
 * Ends leases. The answer to a call that ends a lease can be lost, and the lease with its keys would then stay until
 * it lapses. So the call is repeated until an answer shows that the lease has ended.
 */
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { StoreOutcome, StoreRefusal } from './StorePort.js';

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
   * Calls `send` until it is done, or refused for good such as `lapsed`; a call that rejects counts as unanswered.
   * Resolves then, or when it is given up. Nothing is sent after `close`.
   */
  start(send: SendLeaseEnd): Promise<void>;
  /** Resolves when no lease is being ended any more. */
  waitForEnds(): Promise<void>;
  /** Gives up all leases that are being ended, and those that come later. */
  close(): void;
}

/** Delay before a call is repeated; a process that stops has only a few seconds left. */
const RETRY_DELAY: Millis = 200;
/** Repetitions after which the delay begins to double, so that many instances that stop don't hold up the store. */
const QUICK_RETRIES = 3;
const MAX_RETRY_DELAY: Millis = 1500;
const JITTER_SHARE = 0.3;
const FINAL_REFUSALS: ReadonlySet<StoreRefusal['kind']> = new Set([
  'lapsed',
  'invalid',
  'too-large',
]);

export function createLeaseEnds({ timers, random, giveUpAfter }: LeaseEndsOptions): LeaseEnds {
  /** For each lease that is being ended, the function that ends the wait before its next call. */
  const pending = new Map<symbol, () => void>();
  const running = new Set<Promise<void>>();
  let isClosed = false;
  let noteClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    noteClosed = resolve;
  });

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
    for (let count = 0; pending.has(id) && timers.now() < giveUpAt; count += 1) {
      const outcome = await send().catch(() => ({ kind: 'unknown' }) as const);
      if (isFinal(outcome)) {
        break;
      }
      if (pending.has(id)) {
        await sleep(id, getRetryDelay(outcome, count));
      }
    }
    pending.delete(id);
  }

  function getRetryDelay(outcome: StoreOutcome<null>, count: number): Millis {
    const growth = 2 ** Math.max(0, count + 1 - QUICK_RETRIES);
    const delay = Math.min(MAX_RETRY_DELAY, RETRY_DELAY * growth);
    return Math.max(jitter(random, delay, JITTER_SHARE), getRetryAfter(outcome));
  }

  return {
    start(send) {
      if (isClosed) {
        return closed;
      }
      const ending = Promise.race([repeat(send), closed]).finally(() => running.delete(ending));
      running.add(ending);
      return ending;
    },
    async waitForEnds() {
      await Promise.all(running);
    },
    close() {
      isClosed = true;
      noteClosed();
      const wakes = [...pending.values()];
      pending.clear();
      wakes.forEach((wake) => wake());
    },
  };
}

/** Whether an answer shows that the lease has ended, or that the call is never accepted. */
function isFinal(outcome: StoreOutcome<null>): boolean {
  return (
    outcome.kind === 'done' ||
    (outcome.kind === 'refused' && FINAL_REFUSALS.has(outcome.reason.kind))
  );
}

function getRetryAfter(outcome: StoreOutcome<null>): Millis {
  return outcome.kind === 'refused' && 'retryAfter' in outcome.reason
    ? outcome.reason.retryAfter
    : 0;
}
