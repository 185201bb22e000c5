/** Counts and logs what was ended since too much of this process was held: connections of clients, and answers of servers. */
import { CloseReason } from '@skylarksail/connections/ConnectionLimits';
import type { CloseReasonName } from '@skylarksail/connections/ConnectionLimits';
import { createCloseReporter } from '@skylarksail/connections/ConnectionReports';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DaemonMetrics } from './DaemonMetrics.js';

export interface CloseListenerOptions {
  readonly timers: TimerService;
  readonly metrics: Pick<DaemonMetrics, 'count'>;
  readonly logger: { warn(fields: object, message: string): void };
}

/** Creates the listener of one port, whose name is in its lines and counters. */
export function createCloseListener(
  { timers, metrics, logger }: CloseListenerOptions,
  port: 'callers' | 'probes' | 'admin',
): (reason: CloseReasonName, heldBytes: number) => void {
  const reporter = createCloseReporter(timers, (closed) =>
    logger.warn({ port, ...closed }, 'connections closed'),
  );
  return (reason, heldBytes) => {
    metrics.count(
      `${port}_closed_${reason}`,
      `connections and requests of ${port} ended for: ${reason.replace('_', ' ')}`,
    );
    reporter.note(reason, heldBytes);
  };
}

/** Creates the listener for answers that were given up since all answers took too much; the lines name the last server. */
export function createGivenUpListener({
  timers,
  metrics,
  logger,
}: CloseListenerOptions): (server: string, heldBytes: number) => void {
  let lastServer = '';
  const reporter = createCloseReporter(timers, ({ count, heldBytes }) =>
    logger.warn({ count, heldBytes, lastServer }, 'answers given up'),
  );
  return (server, heldBytes) => {
    lastServer = server;
    metrics.count('answers_given_up', 'answers that were given up since all answers took too much');
    reporter.note(CloseReason.HeldBytes, heldBytes);
  };
}
