/**
 * Confirmations that a revision is in force. Each instance sends one per revision to the collectors of
 * its own domain, and repeats it periodically; digests are sent to other domains only when an operator
 * queries them, so that the cost is bounded.
 */
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ConfirmDigest } from './ManifestMessages.js';
import { MAX_NAMED_BEHIND } from './ManifestMessages.js';
import type { SpreadEffect, SpreadState, SpreadStep } from './ManifestSpreadTypes.js';
import { createStep, getRevisionOf } from './ManifestSpreadTypes.js';

/** How many instances of a domain have a revision in force, as `manifest wait` shows it. */
export interface DomainInForce {
  readonly domain: DomainId;
  readonly total: number;
  readonly inForce: number;
  /** Some instances that have not confirmed the revision, with the last one that they confirmed. */
  readonly behind: readonly { readonly instance: InstanceId; readonly revision: number }[];
  /** Age of the digest in milliseconds; null if no collector of the domain has answered. */
  readonly age: Millis | null;
}

/** Confirms the revision in force to the collectors of the own domain. */
export function sendConfirmation(state: SpreadState): SpreadStep {
  const revision = getRevisionOf(state.inForce);
  const { self, collectors } = state.plan;
  const own = collectors.get(self.domain) ?? [];
  const effects = own
    .filter((id) => id !== self.id)
    .map((to): SpreadEffect => ({ type: 'send', to, message: { type: 'confirmed', revision } }));
  return own.includes(self.id)
    ? createStep(recordConfirmation(state, self.id, revision), effects)
    : createStep(state, effects);
}

/** Records an instance's confirmation at a collector. After a restart it may be a lower revision. */
export function recordConfirmation(
  state: SpreadState,
  instance: InstanceId,
  revision: number,
): SpreadState {
  return { ...state, confirmed: new Map(state.confirmed).set(instance, revision) };
}

/** Removes the confirmations of instances that are no longer members. */
export function pruneConfirmations(state: SpreadState): SpreadState {
  const members = new Set(state.plan.ownDomain);
  const confirmed = new Map([...state.confirmed].filter(([id]) => members.has(id)));
  return { ...state, confirmed };
}

/** Summarizes the confirmations of the own domain at a collector. */
export function createDigest(state: SpreadState, revision: number): ConfirmDigest {
  const { ownDomain, self } = state.plan;
  const behind = ownDomain
    .map((instance) => ({ instance, revision: state.confirmed.get(instance) ?? 0 }))
    .filter((entry) => entry.revision < revision);
  return {
    domain: self.domain,
    revision,
    total: ownDomain.length,
    inForce: ownDomain.length - behind.length,
    behind: behind.slice(0, MAX_NAMED_BEHIND),
  };
}

/** Queries the collectors of every domain; `listInForce` includes the answers as they arrive. */
export function requestDigests(state: SpreadState, revision: number, at: Millis): SpreadStep {
  const { self, collectors } = state.plan;
  const effects = [...collectors].flatMap(([, ids]) =>
    ids
      .filter((id) => id !== self.id)
      .map((to): SpreadEffect => ({
        type: 'send',
        to,
        message: { type: 'digest-asked', revision },
      })),
  );
  const isCollector = collectors.get(self.domain)?.includes(self.id) ?? false;
  const next = isCollector ? receiveDigest(state, createDigest(state, revision), at) : state;
  return createStep(next, effects);
}

/**
 * Stores a digest. Of two digests for the same revision, the one that counts more instances is kept, as
 * collectors of a domain may have received different confirmations.
 */
export function receiveDigest(state: SpreadState, digest: ConfirmDigest, at: Millis): SpreadState {
  const known = state.digests.get(digest.domain);
  const isKnownFurther =
    known?.digest.revision === digest.revision && known.digest.inForce > digest.inForce;
  return isKnownFurther
    ? state
    : { ...state, digests: new Map(state.digests).set(digest.domain, { digest, at }) };
}

/** Lists for each domain how many instances have `revision` in force, also without a digest from it. */
export function listInForce(
  state: SpreadState,
  revision: number,
  now: Millis,
): readonly DomainInForce[] {
  return [...state.plan.domains].map(([domain, ids]) => {
    const seen = state.digests.get(domain);
    if (seen?.digest.revision === revision) {
      const { total, inForce, behind } = seen.digest;
      return { domain, total, inForce, behind, age: now - seen.at };
    }
    const behind = ids.slice(0, MAX_NAMED_BEHIND).map((instance) => ({ instance, revision: 0 }));
    return { domain, total: ids.length, inForce: 0, behind, age: null };
  });
}
