/**
 * Finds orphaned segments: an owner wrote them but crashed or lost the slot before a head referred to
 * them. No claim in them is valid, and unless they are removed they use storage forever.
 */
import type { SlotHead } from './ClaimHead.js';

/**
 * Returns the names in `stored` to which no head refers now or later. Only segments of earlier epochs
 * qualify: their owners can no longer change the head, and no owner adds back a segment that a head has
 * left out, so the result stays valid even if the slot has been lost since. The next head may still
 * refer to a segment of the current epoch.
 */
export function findOrphans(stored: readonly string[], head: SlotHead): readonly string[] {
  const named = new Set(head.segments.map((segment) => segment.name));
  return stored.filter((name) => readEpoch(name) < head.epoch && !named.has(name));
}

/** Returns the epoch in a segment's name, or infinity if the name is not that of a segment. */
function readEpoch(name: string): number {
  const epoch = /^(\d+)-\d+$/.exec(name)?.[1];
  return epoch === undefined ? Infinity : Number(epoch);
}
