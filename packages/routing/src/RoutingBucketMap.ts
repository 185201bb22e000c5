/**
 * An immutable hash map with cheap updates: an update copies only one bucket. Copying a plain map of a few
 * thousand entries on each call would cost more than the selection of a chain.
 */
export interface BucketMap<V> {
  readonly buckets: readonly ReadonlyMap<string, V>[];
}

const BUCKET_COUNT = 128;
const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 1000003;

export function createBucketMap<V>(): BucketMap<V> {
  return { buckets: Array.from({ length: BUCKET_COUNT }, () => new Map<string, V>()) };
}

export function getEntry<V>(table: BucketMap<V>, key: string): V | undefined {
  return table.buckets[getBucketIndex(key)]?.get(key);
}

/**
 * Sets an entry, or removes it if the value is undefined. If the bucket then has more than `bucketLimit`
 * entries, the least recently set one is evicted.
 */
export function withEntry<V>(
  table: BucketMap<V>,
  key: string,
  value: V | undefined,
  bucketLimit = Infinity,
): BucketMap<V> {
  const index = getBucketIndex(key);
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

/** An inline polynomial hash: a call to the hash library costs more than the lookup, and any even distribution works. */
function getBucketIndex(key: string): number {
  let hash = 0;
  for (let i = 0; i < key.length; i++) {
    hash = (hash * HASH_MULTIPLIER + key.charCodeAt(i)) % HASH_MODULUS;
  }
  return hash % BUCKET_COUNT;
}

export function countEntries(table: BucketMap<unknown>): number {
  return table.buckets.reduce((sum, bucket) => sum + bucket.size, 0);
}
