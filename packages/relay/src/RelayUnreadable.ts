/** Reports unreadable entries. Another writer may leave any number of them: all are counted, few are logged. */
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';

/** Maximum number of keys logged; more would displace other log lines. */
const MAX_LOGGED = 100;

/** The returned function records a key whose entry could not be read, with the reason. */
export function createUnreadableLog(
  logger: DaemonLogger,
  metrics: DaemonMetrics,
): (key: string, reason: string) => void {
  const logged = new Set<string>();

  return (key, reason) => {
    metrics.count('entries_unreadable', 'entries of backend servers that could not be read');
    if (!logged.has(key) && logged.size < MAX_LOGGED) {
      logged.add(key);
      logger.warn({ key, reason }, 'entry not understood');
    }
  };
}
