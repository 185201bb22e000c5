/** Chooses which instance a planned stop of the lease soak stops; has no side effects. */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import type { PlannedStop } from './SoakLeasePlan.js';

/** A running instance that is not being stopped. */
export interface StopCandidate {
  readonly domain: DomainId;
  readonly startedAt: Millis;
  /** When it first called the store, which is shortly before it handles signals; null if it hasn't. */
  readonly firstCallAt: Millis | null;
}

/** An instance counts as able to take over from another at this age. */
const ABLE_AGE: Millis = 2500;
/** Time from its first call on in which an instance counts as young: its first registration may be under way. */
const YOUNG_AGE: Millis = 2500;

/** Chooses an instance whose domain has another one that can take over; null if there is none. */
export function chooseStopped<T extends StopCandidate>(
  running: readonly T[],
  { target, isYoung, mayBeStarting }: PlannedStop,
  now: Millis,
): T | null {
  const candidates = running.filter(
    (one) => (mayBeStarting || one.firstCallAt !== null) && hasSuccessor(running, one, now),
  );
  const young = candidates.filter(({ firstCallAt }) => now - (firstCallAt ?? now) < YOUNG_AGE);
  const choice = isYoung && young.length > 0 ? young : candidates;
  return choice[target % Math.max(1, choice.length)] ?? null;
}

/** Whether another instance of the domain can take over, so that each domain always has one. */
function hasSuccessor(running: readonly StopCandidate[], one: StopCandidate, now: Millis): boolean {
  return running.some(
    (other) => other !== one && other.domain === one.domain && now - other.startedAt >= ABLE_AGE,
  );
}
