/**
 * Finds segments that an owner wrote and never named, because it died or lost the slot in between. They
 * hold nothing that counts, and without this they would take up room in the service for good.
 */
import type { SlotHead } from './ClaimHead.js';

/**
 * The names among `stored` that no head names now or will. Only names of earlier epochs are judged:
 * their owners can change the head no more, and no owner ever names again what a head has left out, so
 * this holds even if the slot has been lost since. Names of our own epoch may be named next.
 */
export function findOrphans(stored: readonly string[], head: SlotHead): readonly string[] {
  const named = new Set(head.segments.map((segment) => segment.name));
  return stored.filter((name) => readEpoch(name) < head.epoch && !named.has(name));
}

/** Epoch of a segment's name; infinite for what is no segment. */
function readEpoch(name: string): number {
  const epoch = /^(\d+)-\d+$/.exec(name)?.[1];
  return epoch === undefined ? Infinity : Number(epoch);
}
