/** Counts and logs the connections of a port that were closed for what their clients held. */
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
