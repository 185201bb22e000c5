/** Tells of entries that cannot be read. Another writer may leave any number: each is counted, few are logged. */
import type { DaemonLogger } from '@skylarksail/daemon/DaemonLog';
import type { DaemonMetrics } from '@skylarksail/daemon/DaemonMetrics';

/** Keys that are named in the log; more would crowd out other lines. */
const MOST_LOGGED = 100;

/** The returned function takes in a key whose entry could not be read, with the reason. */
export function createUnreadableLog(
  logger: DaemonLogger,
  metrics: DaemonMetrics,
): (key: string, reason: string) => void {
  const logged = new Set<string>();

  return (key, reason) => {
    metrics.count('entries_unreadable', 'entries of backend servers that could not be read');
    if (!logged.has(key) && logged.size < MOST_LOGGED) {
      logged.add(key);
      logger.warn({ key, reason }, 'entry not understood');
    }
  };
}
