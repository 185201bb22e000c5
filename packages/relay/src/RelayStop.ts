/** Planned shutdown: accepted requests are completed within the grace period. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RelayParts } from './RelayPartsTypes.js';

/** The callers' port, as far as the shutdown uses it. */
export interface StoppablePort {
  /** Announces in each answer from now on that the connection closes. */
  startClosing(): void;
  /** Accepts no more connections and closes idle ones. */
  stopAccepting(): void;
  /** Resolves when all callers have taken their answers, or after `limit`. */
  waitForAnswers(limit: Millis): Promise<void>;
  /** Closes all remaining connections. */
  close(): void;
}

export interface RelayStopOptions {
  readonly timers: TimerService;
  readonly parts: Pick<
    RelayParts,
    'startLeaving' | 'waitForLeaseEnds' | 'waitForTasks' | 'stop' | 'router'
  >;
  readonly port: StoppablePort;
  /** Time after which the process is killed. */
  readonly grace: Millis;
}

/**
 * The load balancer checks readiness once a second and removes an instance after two failed checks. Until then it sends
 * new connections, which are served like all others.
 */
const BALANCER_LAG: Millis = 2600;
/** Part of the grace period reserved for a clean exit of the process. */
const STOP_MARGIN: Millis = 400;

/**
 * Shuts down; resolves when all accepted requests, their answers on the way to callers, the tasks of peers and the leases have
 * ended, or the grace period is over. A lease that the process leaves behind keeps its duties from all others until it lapses.
 */
export async function stopRelay({ timers, parts, port, grace }: RelayStopOptions): Promise<void> {
  const endsAt = timers.now() + grace - STOP_MARGIN;
  parts.startLeaving();
  port.startClosing();
  await new Promise<void>((resolve) => {
    timers.registerTimeout(BALANCER_LAG, resolve);
  });
  port.stopAccepting();
  await parts.router.drain(Math.max(0, endsAt - timers.now()));
  await port.waitForAnswers(Math.max(0, endsAt - timers.now()));
  port.close();
  const timeLeft = endsAt - timers.now();
  if (timeLeft > 0) {
    await Promise.all([parts.waitForLeaseEnds(timeLeft), parts.waitForTasks(timeLeft)]);
  }
  parts.stop();
}
