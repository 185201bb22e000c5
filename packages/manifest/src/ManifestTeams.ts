/**
 * Finds the team of a bearer key. A sorted table of key prefixes leads to the leaf that holds the team;
 * the whole hash is then compared in constant time. A new revision re-reads only its new leaves.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { ChunkRef } from './ManifestChunks.js';
import type { ManifestTeam } from './ManifestSchema.js';

/** Hexadecimal digits of a key's hash that a double holds exactly. */
const PREFIX_DIGITS = 13;
const HASH_PREFIX = 'sha256:';

/** Where the teams of keys stand; sorted by prefix. 12 bytes a key. */
export interface KeyTable {
  readonly leaves: readonly ChunkRef[];
  readonly prefixes: Float64Array;
  /** Number of the leaf that holds the key of the same place. */
  readonly leafNumbers: Uint32Array;
}

const EMPTY_TABLE: KeyTable = {
  leaves: [],
  prefixes: new Float64Array(0),
  leafNumbers: new Uint32Array(0),
};

interface KeyPlace {
  readonly prefix: number;
  readonly leafNumber: number;
}

type ReadLeaf = (leaf: ChunkRef) => readonly ManifestTeam[];

/** Hash of a bearer key as manifests hold it. */
export function hashBearerKey(key: string): string {
  return `${HASH_PREFIX}${createHash('sha256').update(key).digest('hex')}`;
}

/** Builds the table for `leaves`, taking over from `previous` the keys of leaves that are the same. */
export function createKeyTable(
  leaves: readonly ChunkRef[],
  readLeaf: ReadLeaf,
  previous: KeyTable | null,
): KeyTable {
  const isComparable = previous?.leaves.length === leaves.length;
  const isNew = leaves.map((leaf, i) => !isComparable || previous.leaves[i] !== leaf);
  const added = leaves
    .flatMap((leaf, i) => (isNew[i] ? listPlaces(readLeaf(leaf), i) : []))
    .sort((a, b) => a.prefix - b.prefix);
  return mergePlaces(leaves, isComparable ? previous : EMPTY_TABLE, isNew, added);
}

/** Merges the kept keys of `previous` with the added ones; both are sorted. */
function mergePlaces(
  leaves: readonly ChunkRef[],
  previous: KeyTable,
  isNew: readonly boolean[],
  added: readonly KeyPlace[],
): KeyTable {
  const keptCount = previous.leafNumbers.reduce((sum, leaf) => sum + (isNew[leaf] ? 0 : 1), 0);
  const prefixes = new Float64Array(keptCount + added.length);
  const leafNumbers = new Uint32Array(keptCount + added.length);
  let end = 0;
  let nextAdded = 0;
  const put = (prefix: number, leafNumber: number): void => {
    prefixes[end] = prefix;
    leafNumbers[end] = leafNumber;
    end += 1;
  };
  const putAddedBelow = (limit: number): void => {
    for (let place = added[nextAdded]; place && place.prefix < limit; place = added[nextAdded]) {
      put(place.prefix, place.leafNumber);
      nextAdded += 1;
    }
  };
  for (let i = 0; i < previous.prefixes.length; i++) {
    const prefix = previous.prefixes[i] as number;
    const leafNumber = previous.leafNumbers[i] as number;
    if (!isNew[leafNumber]) {
      putAddedBelow(prefix);
      put(prefix, leafNumber);
    }
  }
  putAddedBelow(Infinity);
  return { leaves, prefixes, leafNumbers };
}

function listPlaces(teams: readonly ManifestTeam[], leafNumber: number): KeyPlace[] {
  return teams.flatMap(({ keyHashes }) =>
    keyHashes.map((keyHash) => ({ prefix: getPrefix(keyHash), leafNumber })),
  );
}

function getPrefix(keyHash: string): number {
  return parseInt(keyHash.slice(HASH_PREFIX.length, HASH_PREFIX.length + PREFIX_DIGITS), 16);
}

/** The team that a bearer key belongs to. */
export function findTeamByKey(
  table: KeyTable,
  readLeaf: ReadLeaf,
  bearerKey: string,
): ManifestTeam | undefined {
  const wanted = hashBearerKey(bearerKey);
  const prefix = getPrefix(wanted);
  for (let i = findFirst(table.prefixes, prefix); table.prefixes[i] === prefix; i++) {
    const leaf = table.leaves[table.leafNumbers[i] as number] as ChunkRef;
    const found = readLeaf(leaf).find(({ keyHashes }) =>
      keyHashes.some((keyHash) => isSameHash(keyHash, wanted)),
    );
    if (found) {
      return found;
    }
  }
  return undefined;
}

/** Place of the first prefix that is not below `prefix`. */
function findFirst(prefixes: Float64Array, prefix: number): number {
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

// A comparison that stops at the first difference would tell, by its time, how much of a guess is right.
function isSameHash(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
