/**
 * Confirmations that a revision is in force. Each instance tells the collectors of its own domain, once
 * a revision; digests leave a domain only when an operator asks, so that the cost is bounded.
 */
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ConfirmDigest } from './ManifestMessages.js';
import { MAX_NAMED_BEHIND } from './ManifestMessages.js';
import type { SpreadEffect, SpreadState, SpreadStep } from './ManifestSpreadTypes.js';
import { createStep, getRevisionOf } from './ManifestSpreadTypes.js';

/** How far one domain is, as `manifest wait` shows it. */
export interface DomainInForce {
  readonly domain: DomainId;
  readonly total: number;
  readonly inForce: number;
  /** Some of those that have not confirmed, with the last revision that they did. */
  readonly behind: readonly { readonly instance: InstanceId; readonly revision: number }[];
  /** Age of what is said, in milliseconds; null if no collector of the domain has answered. */
  readonly age: Millis | null;
}

/** Tells the own domain's collectors what is in force here. */
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

/** As a collector, notes what an instance has in force. An instance that restarted may say less. */
export function recordConfirmation(
  state: SpreadState,
  instance: InstanceId,
  revision: number,
): SpreadState {
  return { ...state, confirmed: new Map(state.confirmed).set(instance, revision) };
}

/** Forgets instances that are no longer members. */
export function pruneConfirmations(state: SpreadState): SpreadState {
  const members = new Set(state.plan.ownDomain);
  const confirmed = new Map([...state.confirmed].filter(([id]) => members.has(id)));
  return { ...state, confirmed };
}

/** As a collector, sums up the own domain. */
export function createDigest(state: SpreadState, revision: number): ConfirmDigest {
  const { ownDomain, self } = state.plan;
  const behind = ownDomain
    .map((instance) => ({ instance, revision: state.confirmed.get(instance) ?? 0 }))
    .filter((line) => line.revision < revision);
  return {
    domain: self.domain,
    revision,
    total: ownDomain.length,
    inForce: ownDomain.length - behind.length,
    behind: behind.slice(0, MAX_NAMED_BEHIND),
  };
}

/** Asks the collectors of every domain; the answers show in `listInForce` as they come. */
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

/** Keeps a digest; of two for one revision the one that knows of more is kept. */
export function receiveDigest(state: SpreadState, digest: ConfirmDigest, at: Millis): SpreadState {
  const known = state.digests.get(digest.domain);
  const knowsMore =
    known?.digest.revision === digest.revision && known.digest.inForce > digest.inForce;
  return knowsMore
    ? state
    : { ...state, digests: new Map(state.digests).set(digest.domain, { digest, at }) };
}

/** What is known of `revision` in each domain, a domain without word included. */
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
