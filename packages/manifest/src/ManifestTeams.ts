/**
 * Finds the team of a bearer key. A sorted table of hash prefixes locates the leaf that holds the team;
 * the full hash is then compared in constant time. For a new revision, only changed leaves are read.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { ChunkRef } from './ManifestChunks.js';
import type { ManifestTeam } from './ManifestSchema.js';

/** Number of hexadecimal digits of a hash that a double represents exactly. */
const PREFIX_DIGITS = 13;
const HASH_PREFIX = 'sha256:';

/** Maps hash prefixes of keys to leaves, sorted by prefix. It takes 12 bytes per key. */
export interface KeyTable {
  readonly leaves: readonly ChunkRef[];
  readonly prefixes: Float64Array;
  /** Number of the leaf that holds the key at the same index in `prefixes`. */
  readonly leafNumbers: Uint32Array;
}

const EMPTY_TABLE: KeyTable = {
  leaves: [],
  prefixes: new Float64Array(0),
  leafNumbers: new Uint32Array(0),
};

interface KeyEntry {
  readonly prefix: number;
  readonly leafNumber: number;
}

type ReadLeaf = (leaf: ChunkRef) => readonly ManifestTeam[];

/** Computes the hash of a bearer key in the format of the manifest. */
export function hashBearerKey(key: string): string {
  return `${HASH_PREFIX}${createHash('sha256').update(key).digest('hex')}`;
}

/** Builds the table for `leaves` and reuses the entries of leaves unchanged since `previous`. */
export function createKeyTable(
  leaves: readonly ChunkRef[],
  readLeaf: ReadLeaf,
  previous: KeyTable | null,
): KeyTable {
  const isComparable = previous?.leaves.length === leaves.length;
  const isNew = leaves.map((leaf, i) => !isComparable || previous.leaves[i] !== leaf);
  const added = leaves
    .flatMap((leaf, i) => (isNew[i] ? listKeyEntries(readLeaf(leaf), i) : []))
    .sort((a, b) => a.prefix - b.prefix);
  return mergeKeyEntries(leaves, isComparable ? previous : EMPTY_TABLE, isNew, added);
}

/** Merges the entries of unchanged leaves in `previous` with the added ones; both are sorted. */
function mergeKeyEntries(
  leaves: readonly ChunkRef[],
  previous: KeyTable,
  isNew: readonly boolean[],
  added: readonly KeyEntry[],
): KeyTable {
  const keptCount = previous.leafNumbers.reduce((sum, leaf) => sum + (isNew[leaf] ? 0 : 1), 0);
  const prefixes = new Float64Array(keptCount + added.length);
  const leafNumbers = new Uint32Array(keptCount + added.length);
  let end = 0;
  let nextAdded = 0;
  const append = (prefix: number, leafNumber: number): void => {
    prefixes[end] = prefix;
    leafNumbers[end] = leafNumber;
    end += 1;
  };
  const appendAddedBelow = (limit: number): void => {
    for (let place = added[nextAdded]; place && place.prefix < limit; place = added[nextAdded]) {
      append(place.prefix, place.leafNumber);
      nextAdded += 1;
    }
  };
  for (let i = 0; i < previous.prefixes.length; i++) {
    const prefix = previous.prefixes[i] as number;
    const leafNumber = previous.leafNumbers[i] as number;
    if (!isNew[leafNumber]) {
      appendAddedBelow(prefix);
      append(prefix, leafNumber);
    }
  }
  appendAddedBelow(Infinity);
  return { leaves, prefixes, leafNumbers };
}

function listKeyEntries(teams: readonly ManifestTeam[], leafNumber: number): KeyEntry[] {
  return teams.flatMap(({ keyHashes }) =>
    keyHashes.map((keyHash) => ({ prefix: getPrefix(keyHash), leafNumber })),
  );
}

function getPrefix(keyHash: string): number {
  return parseInt(keyHash.slice(HASH_PREFIX.length, HASH_PREFIX.length + PREFIX_DIGITS), 16);
}

/** Returns the team that a bearer key belongs to. */
export function findTeamByKey(
  table: KeyTable,
  readLeaf: ReadLeaf,
  bearerKey: string,
): ManifestTeam | undefined {
  const wantedHash = hashBearerKey(bearerKey);
  const prefix = getPrefix(wantedHash);
  for (let i = findLowerBound(table.prefixes, prefix); table.prefixes[i] === prefix; i++) {
    const leaf = table.leaves[table.leafNumbers[i] as number] as ChunkRef;
    const found = readLeaf(leaf).find(({ keyHashes }) =>
      keyHashes.some((keyHash) => isEqualHash(keyHash, wantedHash)),
    );
    if (found) {
      return found;
    }
  }
  return undefined;
}

/** Returns the index of the first element that is not less than `prefix`. */
function findLowerBound(prefixes: Float64Array, prefix: number): number {
  let low = 0;
  let high = prefixes.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((prefixes[middle] as number) < prefix) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

// Compares in constant time. Stopping at the first difference would reveal how much of a guess is right.
function isEqualHash(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
