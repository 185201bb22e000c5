/**
 * An immutable map that is cheap to change: entries lie in buckets, and a change copies one bucket only.
 * Copying a plain map of some thousand entries for each call would cost more than the choice itself.
 */
import { hash32 } from '@skylarksail/core/CoreHash';

export interface RoutingTable<V> {
  readonly buckets: readonly ReadonlyMap<string, V>[];
}

const BUCKET_COUNT = 128;

export function createTable<V>(): RoutingTable<V> {
  return { buckets: Array.from({ length: BUCKET_COUNT }, () => new Map<string, V>()) };
}

export function getEntry<V>(table: RoutingTable<V>, key: string): V | undefined {
  return table.buckets[hash32(key) % BUCKET_COUNT]?.get(key);
}

/**
 * Sets an entry, or removes it if the value is undefined. A bucket of more than `bucketLimit` entries
 * loses the one that was set the longest time ago.
 */
export function withEntry<V>(
  table: RoutingTable<V>,
  key: string,
  value: V | undefined,
  bucketLimit = Infinity,
): RoutingTable<V> {
  const index = hash32(key) % BUCKET_COUNT;
  const bucket = new Map(table.buckets[index]);
  bucket.delete(key);
  if (value !== undefined) {
    bucket.set(key, value);
  }
  if (bucket.size > bucketLimit) {
    bucket.delete(bucket.keys().next().value as string);
  }
  return { buckets: table.buckets.with(index, bucket) };
}

/** Number of entries. */
export function countEntries(table: RoutingTable<unknown>): number {
  return table.buckets.reduce((sum, bucket) => sum + bucket.size, 0);
}
