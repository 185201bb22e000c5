/**
 * An immutable map that is cheap to change: entries lie in buckets, and a change copies one bucket only.
 * Copying a plain map of some thousand entries for each call would cost more than the choice itself.
 */
export interface BucketMap<V> {
  readonly buckets: readonly ReadonlyMap<string, V>[];
}

const BUCKET_COUNT = 128;
const SPREAD = 31;
const SPREAD_LIMIT = 1000003;

export function createBucketMap<V>(): BucketMap<V> {
  return { buckets: Array.from({ length: BUCKET_COUNT }, () => new Map<string, V>()) };
}

export function getEntry<V>(table: BucketMap<V>, key: string): V | undefined {
  return table.buckets[getBucket(key)]?.get(key);
}

/**
 * Sets an entry, or removes it if the value is undefined. A bucket of more than `bucketLimit` entries
 * loses the one that was set the longest time ago.
 */
export function withEntry<V>(
  table: BucketMap<V>,
  key: string,
  value: V | undefined,
  bucketLimit = Infinity,
): BucketMap<V> {
  const index = getBucket(key);
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

/** A call of the hash library costs more than the whole look-up; any spread over the buckets will do. */
function getBucket(key: string): number {
  let sum = 0;
  for (let i = 0; i < key.length; i++) {
    sum = (sum * SPREAD + key.charCodeAt(i)) % SPREAD_LIMIT;
  }
  return sum % BUCKET_COUNT;
}

/** Number of entries. */
export function countEntries(table: BucketMap<unknown>): number {
  return table.buckets.reduce((sum, bucket) => sum + bucket.size, 0);
}
