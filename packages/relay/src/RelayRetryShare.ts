/**
 * This instance's part of the fleet's slack for repeats. It is split by failure domain first, since trouble
 * comes to a domain as a whole and its answers break at its own instances, however few they are; then by
 * the domain's instances.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { InstanceEntry } from './RelayTypes.js';

export interface RetryShareOptions {
  readonly timers: TimerService;
  readonly self: InstanceEntry;
  /** Repeats that the whole fleet may cause in a window beyond its share of requests. */
  readonly slack: number;
  readonly window: Millis;
  /** All failure domains of the deployment. */
  readonly domains: readonly DomainId[];
  readonly listInstances: () => readonly InstanceEntry[];
}

export interface RetryShare {
  /** Takes in who is there now; to be called a few times in a window. */
  observe(): void;
  /** Repeats that this instance may cause in a window beyond its share of its own requests. */
  getBurst(): number;
}

/**
 * An instance that has left the list may still serve, for its grace of some seconds or in a cut, and what it
 * has used counts for a window more. Without this memory, those that stay took its part over at once: 314
 * repeats in ten seconds of restarts in turn, where 309 were allowed.
 */
const MEMORY: Millis = 20_000;

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
    [...seenAt].filter(([, at]) => now - at > MEMORY).forEach(([id]) => seenAt.delete(id));
  }

  return {
    observe,
    getBurst() {
      if (timers.now() - startedAt < window) {
        // The process before this one may have used the part, and nobody remembers.
        return 0;
      }
      const domains = Math.max(1, new Set([...options.domains, self.domain]).size);
      return slack / (domains * Math.max(1, seenAt.size));
    },
  };
}
