/** A planned stop: nothing that was taken is cut off as long as the grace allows. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RelayParts } from './RelayParts.js';

/** The callers' port as the stop sees it. */
export interface StoppablePort {
  /** From now on each answer tells its caller that the connection closes. */
  startClosing(): void;
  /** No new connections; idle ones are closed. */
  stopAccepting(): void;
  /** Cuts what is left. */
  close(): void;
}

export interface RelayStopOptions {
  readonly timers: TimerService;
  readonly parts: Pick<RelayParts, 'startLeaving' | 'stop' | 'router'>;
  readonly port: StoppablePort;
  /** Time after which the process is killed. */
  readonly grace: Millis;
}

/**
 * The balancer asks for readiness once a second and takes an instance out after two misses; until then it
 * sends new connections, which are served like all others.
 */
const BALANCER_LAG: Millis = 2600;
/** Part of the grace that is left to end by ourselves. */
const STOP_MARGIN: Millis = 400;

/** Stops; resolves when all that was taken has its end, or the grace has. */
export async function stopRelay({ timers, parts, port, grace }: RelayStopOptions): Promise<void> {
  parts.startLeaving();
  port.startClosing();
  await new Promise<void>((resolve) => {
    timers.registerTimeout(BALANCER_LAG, resolve);
  });
  port.stopAccepting();
  await parts.router.drain(Math.max(0, grace - BALANCER_LAG - STOP_MARGIN));
  port.close();
  parts.stop();
}
