/**
 * This instance's share of the fleet's slack for retries. The slack is split evenly over the failure domains first,
 * because a fault affects a whole domain and breaks answers at that domain's instances, however few they are. Then it
 * is split evenly over the instances of the domain.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

export interface RetryShareOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  /** Retries that the whole fleet may cause in a window, in addition to its share of requests. */
  readonly slack: number;
  readonly window: Millis;
  /** All failure domains of the deployment. */
  readonly domains: readonly DomainId[];
  readonly listInstances: () => readonly InstanceEntry[];
}

export interface RetryShare {
  /** Records the currently listed instances; must be called a few times in each window. */
  observe(): void;
  /** Retries that this instance may cause in a window, in addition to the share of its own requests. */
  getBurst(): number;
}

/**
 * Time for which an instance that left the list still counts. It may still serve, during its shutdown grace period of a
 * few seconds or in a network partition, and the retries that it used count for another window. If the remaining
 * instances took over its share at once, a rolling restart would exceed the limit: 314 retries in ten seconds, where
 * 309 are allowed.
 */
const DEPARTED_RETENTION: Millis = 20_000;

export function createRetryShare(options: RetryShareOptions): RetryShare {
  const { timers, self, slack, window } = options;
  const startedAt = timers.now();
  const seenAt = new Map<InstanceId, Millis>();

  function observe(): void {
    const now = timers.now();
    options
      .listInstances()
      .filter(({ domain }) => domain === self.domain)
      .forEach(({ id }) => seenAt.set(id, now));
    [...seenAt]
      .filter(([, at]) => now - at > DEPARTED_RETENTION)
      .forEach(([id]) => seenAt.delete(id));
  }

  return {
    observe,
    getBurst() {
      if (timers.now() - startedAt < window) {
        // The previous process of this instance may have used the share, and no record of that remains.
        return 0;
      }
      const domains = Math.max(1, new Set([...options.domains, self.domain]).size);
      return slack / (domains * Math.max(1, seenAt.size));
    },
  };
}
