/** Plays the stop of a lease's holder in virtual time, and lists what the holder leaves behind at the store. */
import type { VirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { CALL_LATENCY, LATE_DELAY, type FakeCall, type FakeCalls } from './FakeCalls.js';
import type { CallFates } from './FakeFates.js';

/** When the holder stops, what becomes of its calls, and when the store is down. */
export interface ShutdownPlan<Operation extends string> {
  readonly fates: CallFates<Operation>;
  /** When late calls take effect. */
  readonly lateDelay?: Millis;
  /** The stop comes `delay` after the call number `count`, by default the first, of this operation. */
  readonly stop: {
    readonly after: Operation;
    readonly delay: Millis;
    readonly count?: number;
  };
  /** `from` is relative to the stop, or to the start with `isAbsolute`. */
  readonly outage?: {
    readonly from: Millis;
    readonly time: Millis;
    readonly isAbsolute?: boolean;
  };
}

/** What is stopped. */
export interface ShutdownSubject {
  start(): void;
  stop(): void;
}

export interface ShutdownOptions<Operation extends string> {
  readonly timers: VirtualTimers;
  readonly calls: FakeCalls;
  readonly plan: ShutdownPlan<Operation>;
  readonly subject: ShutdownSubject;
  readonly leaseTime: Millis;
  /** Whether the store still has something of the subject that the subject could have ended. */
  readonly isHeld: () => boolean | Promise<boolean>;
  /** Whether the call at `index` asks for a lease without a reason; asked of the calls after the stop. */
  readonly isExcessCall: (calls: readonly FakeCall[], index: number, stopIndex: number) => boolean;
}

/** Shortest time from the stop of an instance to the end of its process. */
const SHUTDOWN_TIME: Millis = 2600;
/**
 * Time in which a stopped holder ends its leases if the store answers: an unanswered call of 800 ms, a pause of 300 ms
 * before it is repeated, and two answered calls.
 */
export const END_BOUND: Millis = 1200;
/** Stop of a subject that does not make the call after which it should stop. */
const LAST_STOP: Millis = 12_000;
const SAMPLE_PERIOD: Millis = 100;

/** Counts rejections that nothing handles while `play` runs, in place of the test runner's own handlers. */
async function countUnhandled(play: () => Promise<void>): Promise<number> {
  const listeners = process.listeners('unhandledRejection');
  let count = 0;
  process.removeAllListeners('unhandledRejection');
  process.on('unhandledRejection', () => {
    count += 1;
  });
  try {
    await play();
  } finally {
    process.removeAllListeners('unhandledRejection');
    listeners.forEach((listener) => process.on('unhandledRejection', listener));
  }
  return count;
}

/**
 * Plays a plan until the subject's process has ended and its last lease must have lapsed; returns what went wrong.
 * Once the subject has stopped and the store answers reliably, nothing may be held longer than END_BOUND, if the
 * process lives that long.
 */
export async function playShutdown<Operation extends string>(
  options: ShutdownOptions<Operation>,
): Promise<readonly string[]> {
  const { timers, calls, plan, subject, isHeld } = options;
  const { stop: stopPlan, outage } = plan;
  const faults: string[] = [];
  let stoppedAt: Millis | null = null;
  let stopIndex = 0;

  function scheduleOutage({ from, time }: { readonly from: Millis; readonly time: Millis }): void {
    timers.registerTimeout(from, () => calls.setAvailable(false));
    timers.registerTimeout(from + time, () => calls.setAvailable(true));
  }

  function stop(): void {
    if (stoppedAt === null) {
      if (outage && !outage.isAbsolute) {
        scheduleOutage(outage);
      }
      stoppedAt = timers.now();
      stopIndex = calls.list().length;
      subject.stop();
      timers.registerTimeout(SHUTDOWN_TIME, calls.end);
    }
  }

  async function playToStop(): Promise<Millis> {
    if (outage?.isAbsolute) {
      scheduleOutage(outage);
    }
    timers.registerTimeout(LAST_STOP, stop);
    calls.registerCall((operation, count) => {
      if (operation === stopPlan.after && count === (stopPlan.count ?? 1)) {
        timers.registerTimeout(stopPlan.delay, stop);
      }
    });
    subject.start();
    while (stoppedAt === null) {
      await timers.advanceToAsync(timers.now() + SAMPLE_PERIOD);
    }
    return stoppedAt;
  }

  async function playShutdownTime(stopTime: Millis): Promise<void> {
    const endsAt = stopTime + SHUTDOWN_TIME;
    let lastHeldAt: Millis = -Infinity;
    while (timers.now() < endsAt) {
      await timers.advanceToAsync(Math.min(endsAt, timers.now() + SAMPLE_PERIOD));
      lastHeldAt = (await isHeld()) ? timers.now() : lastHeldAt;
    }
    if (lastHeldAt >= Math.max(stopTime, calls.getReliableSince()) + END_BOUND) {
      faults.push('held after the bound');
    }
    const all = calls.list();
    if (all.some((_, i) => i >= stopIndex && options.isExcessCall(all, i, stopIndex))) {
      faults.push('asked for after the stop');
    }
    await timers.advanceToAsync(
      stopTime + SHUTDOWN_TIME + options.leaseTime + (plan.lateDelay ?? LATE_DELAY) + CALL_LATENCY,
    );
    if (await isHeld()) {
      faults.push('held after its lease');
    }
  }

  const unhandled = await countUnhandled(async () => playShutdownTime(await playToStop()));
  return unhandled > 0 ? [...faults, 'unhandled rejection'] : faults;
}

/** Plays plans in order; returns the first ones with faults, and how many there are if not all are returned. */
export async function findFaultyPlans<Plan>(
  plans: readonly Plan[],
  play: (plan: Plan) => Promise<readonly string[]>,
): Promise<readonly string[]> {
  const shown = 8;
  const found: string[] = [];
  for (const plan of plans) {
    const faults = await play(plan);
    if (faults.length > 0) {
      found.push(`${faults.join(', ')}: ${JSON.stringify(plan)}`);
    }
  }
  return found.length > shown
    ? [`${found.length} of ${plans.length} plans`, ...found.slice(0, shown)]
    : found;
}
