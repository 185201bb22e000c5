/**
 * Revisions of the store in messages between instances: the store's number, and the era of its history where the store
 * names one, in fields of their own. Instances of an earlier version read the number and ignore the era.
 */
import * as z from 'zod/mini';
import type { StoreRevision } from '@skylarksail/store/StoreRevisions';
import {
  getEra,
  getRevisionNumber,
  joinRevision,
  MAX_ERA,
  MAX_REVISION_NUMBER,
} from '@skylarksail/store/StoreRevisions';

/** A revision on the wire; without an era if the store names none or the sender runs an earlier version. */
export interface WireRevision {
  readonly revision: number;
  readonly era?: number | undefined;
}

/** Fields of a message with a revision. */
export const revisionShape = {
  revision: z.int().check(z.nonnegative(), z.maximum(MAX_REVISION_NUMBER)),
  era: z.optional(z.int().check(z.nonnegative(), z.maximum(MAX_ERA))),
};

export function splitRevision(revision: StoreRevision): WireRevision {
  const era = getEra(revision);
  const number = getRevisionNumber(revision);
  return era > 0 ? { revision: number, era } : { revision: number };
}

export function readRevision({ revision, era = 0 }: WireRevision): StoreRevision {
  return joinRevision(era, revision);
}

/** Reads a revision that is not checked yet; null if it is invalid. */
export function parseRevision(wire: WireRevision): StoreRevision | null {
  const { success, data } = z.object(revisionShape).safeParse(wire);
  return success ? readRevision(data) : null;
}
