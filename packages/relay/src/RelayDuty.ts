/**
 * Decides whether this instance places the layers of a failure domain: as holder of the lease or, in a store outage,
 * as fallback.
 */
import type { DomainId } from '@skylarksail/core/CoreTypes';
import type { RelayLease } from './RelayLease.js';
import type { RelayPeers } from './RelayPeers.js';
import type { InstanceEntry } from './RelayTypes.js';

export interface PlacementDutyOptions {
  readonly self: InstanceEntry;
  readonly lease: Pick<RelayLease, 'holds' | 'listInstances' | 'getLastHolder'>;
  readonly peers: Pick<RelayPeers, 'isIsolated' | 'isUnresponsive'>;
  readonly isLeaving: () => boolean;
}

/** The returned function says whether this instance places the layers of a domain now. */
export function createPlacementDuty(options: PlacementDutyOptions): (domain: DomainId) => boolean {
  const { self, lease, peers } = options;

  /**
   * While no instance reaches the store, the last holder keeps placing. If it does not answer its peers, the domain's
   * first responsive instance by id places instead. Two instances that cannot reach each other may both place; an
   * engine then refuses an order whose order count differs from its own.
   */
  function isFallbackPlacer(domain: DomainId): boolean {
    if (domain !== self.domain || options.isLeaving() || !peers.isIsolated()) {
      return false;
    }
    const ids = lease
      .listInstances()
      .filter((instance) => instance.domain === domain)
      .map(({ id }) => id)
      .filter((id) => id === self.id || !peers.isUnresponsive(id))
      .sort();
    const lastHolder = lease.getLastHolder(domain);
    return (lastHolder !== null && ids.includes(lastHolder) ? lastHolder : ids[0]) === self.id;
  }

  return (domain) => lease.holds(domain) || isFallbackPlacer(domain);
}
