/**
 * Expected locations of cached prompt prefixes, learned from own calls. Engines drop prefixes unseen, so an
 * observation is only an estimate that decays over time.
 */
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { BucketMap } from './RoutingBucketMap.js';
import { getEntry, withEntry } from './RoutingBucketMap.js';

/** A prefix of a prompt that engines may have in their cache. */
export interface PrefixKey {
  readonly key: string;
  readonly tokens: number;
}

/** An engine whose process with this boot id had a prefix in its cache. */
export interface PrefixObservation {
  readonly engine: EngineId;
  readonly bootId: string | null;
  readonly seenAt: Millis;
}

export type PrefixTable = BucketMap<readonly PrefixObservation[]>;

/** Time constant of the exponential decay: at this age an observation has lost two thirds of its weight. */
const DECAY_MS = 60000;
const MAX_OBSERVATIONS = 48;
const PREFIXES_PER_BUCKET = 32;

/** Records that engines have a prefix in their cache. */
export function addPrefixObservations(
  prefixes: PrefixTable,
  key: string,
  observations: readonly PrefixObservation[],
): PrefixTable {
  const known = getEntry(prefixes, key) ?? [];
  const others = known.filter(({ engine }) => !observations.some((s) => s.engine === engine));
  const kept = [...others, ...observations].slice(-MAX_OBSERVATIONS);
  return withEntry(prefixes, key, kept, PREFIXES_PER_BUCKET);
}

/** Expected number of prompt tokens that an engine has cached. */
export function estimateCachedTokens(
  prefixes: PrefixTable,
  keys: readonly PrefixKey[],
  engine: EngineId,
  bootId: string | null,
  now: Millis,
): number {
  let best = 0;
  for (const { key, tokens } of keys) {
    const observation = getEntry(prefixes, key)?.find((s) => s.engine === engine);
    if (observation && observation.bootId === bootId) {
      best = Math.max(best, tokens * Math.exp(-Math.max(0, now - observation.seenAt) / DECAY_MS));
    }
  }
  return best;
}
