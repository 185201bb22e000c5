/**
 * Revisions of the store with the era of their history. A store that comes back from a copy gives revisions out again,
 * so a revision alone does not tell which of two changes is the later one. Both parts are joined into one number, in the
 * order era first: whatever is stored, sent or compared as a revision has its era with it.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { StoreEra } from './StorePort.js';

/** A revision with its era; equal to the store's number where the store names no era. 0 stands for no revision. */
export type StoreRevision = number;

/** Largest number of a revision: a store that is written 400 times a second reaches it after 87 years. */
export const MAX_REVISION_NUMBER = 2 ** 40 - 1;
/** Largest era, so that both parts fit into an integer that is exact. */
export const MAX_ERA = 2 ** 13 - 1;

const ERA_FACTOR = MAX_REVISION_NUMBER + 1;

/** Joins an era, 0 if the store names none, and a number of the store. */
export function joinRevision(era: StoreEra, revisionNumber: number): StoreRevision {
  invariant(
    isInRange(era, MAX_ERA) && isInRange(revisionNumber, MAX_REVISION_NUMBER),
    'a revision or its era is out of range',
  );
  return era * ERA_FACTOR + revisionNumber;
}

/** Returns the era of a revision, 0 if the store names none. */
export function getEra(revision: StoreRevision): StoreEra {
  return Math.floor(revision / ERA_FACTOR);
}

/** Returns the number by which the store knows a revision in its era. */
export function getRevisionNumber(revision: StoreRevision): number {
  return revision % ERA_FACTOR;
}

/** Whether two revisions are of one history. */
export function isSameEra(a: StoreRevision, b: StoreRevision): boolean {
  return getEra(a) === getEra(b);
}

function isInRange(value: number, max: number): boolean {
  return Number.isSafeInteger(value) && value >= 0 && value <= max;
}
