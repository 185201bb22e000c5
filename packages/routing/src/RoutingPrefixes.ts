/**
 * Where prompt prefixes are expected to be cached: learned from own calls and from cache events, which
 * come late and with gaps. A sighting is an expectation that fades, never a fact.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { BucketMap } from './RoutingBucketMap.js';
import { getEntry, withEntry } from './RoutingBucketMap.js';

/** A prefix of a prompt that engines may have in their cache. */
export interface PrefixKey {
  readonly key: string;
  readonly tokens: number;
}

/** An engine that had a prefix in its cache, in the process of that boot id. */
export interface PrefixObservation {
  readonly engine: EngineId;
  readonly bootId: string | null;
  readonly seenAt: Millis;
}

export type PrefixTable = BucketMap<readonly PrefixObservation[]>;

/** Age at which a sighting has lost two thirds of its worth. */
const FADING_MS = 60000;
const SIGHTINGS_KEPT = 48;
const PREFIXES_PER_BUCKET = 32;

/** Takes in that engines have a prefix in their cache. */
export function addPrefixObservations(
  prefixes: PrefixTable,
  key: string,
  sightings: readonly PrefixObservation[],
): PrefixTable {
  const known = getEntry(prefixes, key) ?? [];
  const others = known.filter(({ engine }) => !sightings.some((s) => s.engine === engine));
  const kept = [...others, ...sightings].slice(-SIGHTINGS_KEPT);
  return withEntry(prefixes, key, kept, PREFIXES_PER_BUCKET);
}

/** Expected tokens of the prompt that an engine need not compute. */
export function estimateCachedTokens(
  prefixes: PrefixTable,
  keys: readonly PrefixKey[],
  engine: EngineId,
  bootId: string | null,
  now: Millis,
): number {
  let best = 0;
  for (const { key, tokens } of keys) {
    const sighting = getEntry(prefixes, key)?.find((s) => s.engine === engine);
    if (sighting && sighting.bootId === bootId) {
      best = Math.max(best, tokens * Math.exp(-Math.max(0, now - sighting.seenAt) / FADING_MS));
    }
  }
  return best;
}
