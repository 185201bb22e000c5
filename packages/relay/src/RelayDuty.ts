/** Decides which instance places the layers of a failure domain. */
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

/** Says whether this instance places a domain's layers now: as holder of the lease, or as its stand-in. */
export function createPlacementDuty(options: PlacementDutyOptions): (domain: DomainId) => boolean {
  const { self, lease, peers } = options;

  /**
   * While nobody hears the store the last holder goes on or, if it does not answer its peers, the first of the
   * domain's instances. Two that cannot hear each other may both act; an order that names another count of
   * orders than the engine's is then refused.
   */
  function isStandIn(domain: DomainId): boolean {
    if (domain !== self.domain || options.isLeaving() || !peers.isIsolated()) {
      return false;
    }
    const ids = lease
      .listInstances()
      .filter((instance) => instance.domain === domain)
      .map(({ id }) => id)
      .filter((id) => id === self.id || !peers.isUnresponsive(id))
      .sort();
    const last = lease.getLastHolder(domain);
    return (last !== null && ids.includes(last) ? last : ids[0]) === self.id;
  }

  return (domain) => lease.holds(domain) || isStandIn(domain);
}
