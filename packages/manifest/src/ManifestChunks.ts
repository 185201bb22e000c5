/**
 * Splits a manifest into chunks. A chunk's name consists of the hash of its content and the platform
 * revision of the root that its submission was based on. Once that root is superseded, a chunk that no
 * accepted body references can never be referenced again, so garbage collection needs no coordination
 * with submitters. A body lists one chunk for each model, one for all other fields, and index chunks that
 * list the leaves, which hold the teams. The hash of a team's id selects its leaf, so a change of one
 * team creates a new leaf, a new index and a new body, and all other chunks are reused.
 */
import { createHash } from 'node:crypto';
import { hash32 } from '@skylarksail/core/CoreHash';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Manifest, ManifestModel, ManifestTeam } from './ManifestSchema.js';
import type { SlicedWork } from './ManifestSlices.js';
import { mapInSlices, runSynchronously } from './ManifestSlices.js';

/** SHA-256 of a chunk's text, in base64url. */
export type ChunkHash = string;

/**
 * Name of a chunk: `GENERATION-HASH`. The generation is the platform revision of the root that the
 * chunk's submission was based on.
 */
export type ChunkRef = string;

/** Returns the text of a chunk, or undefined if it is not available locally. */
export type GetChunk = (ref: ChunkRef) => string | undefined;

/** The platform limits a value to one megabyte; this limit leaves room for its framing. */
export const MAX_CHUNK_BYTES = 1_000_000;
/** Target size of a leaf. It keeps both the delta of one team and the list of leaves small. */
export const LEAF_TARGET_BYTES = 8192;
/** Maximum number of leaves in one index chunk. */
export const INDEX_FAN_OUT = 64;
/**
 * The number of leaves changes only if their mean size is off the target by more than this factor,
 * because a new number reassigns all teams.
 */
const RESIZE_FACTOR = 4;
const BASE_PART = 'base';
const MODEL_PART_PREFIX = 'model/';

/** A named chunk that a body references. */
export interface ManifestPart {
  readonly name: string;
  readonly ref: ChunkRef;
}

/** The top-level chunk of a manifest. `leafCount` is a power of two. */
export interface ManifestBody {
  readonly format: 1;
  readonly parts: readonly ManifestPart[];
  readonly leafCount: number;
  readonly indexes: readonly ChunkRef[];
}

/** All fields of a manifest except its models and teams. */
export type ManifestBase = Omit<Manifest, 'models' | 'teams'>;

/** A manifest split into chunks. */
export interface SplitManifest {
  readonly body: ChunkRef;
  /** Hash of the whole content, independent of how it is split into chunks. */
  readonly content: ChunkHash;
  /** Chunks that the base does not contain. */
  readonly added: ReadonlyMap<ChunkRef, string>;
}

/** A parsed body with the names of its leaves. Together they name all chunks of a manifest. */
export interface ManifestTree {
  readonly bodyRef: ChunkRef;
  readonly body: ManifestBody;
  readonly leaves: readonly ChunkRef[];
}

/** Computes the hash that addresses a chunk by its content. */
export function hashChunk(text: string): ChunkHash {
  return createHash('sha256').update(text).digest('base64url');
}

/** Returns the number of the leaf that holds a team. */
export function getLeafNumber(team: string, leafCount: number): number {
  // `leafCount` is a power of two, so the low bits of the 32-bit hash select the leaf.
  return hash32(team) % leafCount;
}

/**
 * Creates the name of a chunk that a submission adds. `generation` is the platform revision of the root
 * that the submission is based on.
 */
export function createChunkRef(generation: number, text: string): ChunkRef {
  return `${generation}-${hashChunk(text)}`;
}

/** Returns the hash that the text of a chunk must have. */
export function getChunkHash(ref: ChunkRef): ChunkHash {
  return ref.slice(ref.indexOf('-') + 1);
}

/** Returns the platform revision of the root that the chunk's submission was based on. */
export function getChunkGeneration(ref: ChunkRef): number {
  return Number(ref.slice(0, ref.indexOf('-')));
}

/** Whether a text has the hash in the name of the chunk. */
export function matchesChunkHash(ref: ChunkRef, text: string): boolean {
  return hashChunk(text) === getChunkHash(ref);
}

/** Splits a validated manifest into chunks and reuses unchanged chunks of `base`. */
export function splitManifest(
  manifest: Manifest,
  base: ManifestTree | null,
  generation: number,
): SplitManifest {
  return runSynchronously(splitInSlices(manifest, base, generation));
}

/** Interruptible variant of {@link splitManifest}. */
export function* splitInSlices(
  manifest: Manifest,
  base: ManifestTree | null,
  generation: number,
): SlicedWork<SplitManifest> {
  const { models, teams, ...rest } = manifest;
  const added = new Map<ChunkRef, string>();
  const addChunk = createChunkCollector(base, generation, added);
  const parts = [
    { name: BASE_PART, ref: addChunk(JSON.stringify(rest)) },
    ...models.map((model) => ({
      name: `${MODEL_PART_PREFIX}${model.id}`,
      ref: addChunk(JSON.stringify(model)),
    })),
  ];
  const serializedTeams = yield* mapInSlices(teams, ({ id }, i) => ({
    id,
    text: JSON.stringify(teams[i]),
  }));
  serializedTeams.sort((a, b) => (a.id < b.id ? -1 : 1));
  yield;
  const leafTexts = groupTeamsByLeaf(serializedTeams, base?.body.leafCount ?? null);
  const leaves = yield* mapInSlices(leafTexts, addChunk);
  const indexes: ChunkRef[] = [];
  for (let first = 0; first < leaves.length; first += INDEX_FAN_OUT) {
    indexes.push(addChunk(JSON.stringify(leaves.slice(first, first + INDEX_FAN_OUT))));
  }
  const body: ManifestBody = { format: 1, parts, leafCount: leafTexts.length, indexes };
  const content = createHash('sha256').update(JSON.stringify([rest, models]));
  yield* mapInSlices(serializedTeams, ({ text }) => content.update(text));
  return { body: addChunk(JSON.stringify(body)), content: content.digest('base64url'), added };
}

/** Creates a function that returns the name of a chunk, and adds the chunk unless the base has it. */
function createChunkCollector(
  base: ManifestTree | null,
  generation: number,
  added: Map<ChunkRef, string>,
): (text: string) => ChunkRef {
  const baseRefsByHash = new Map(
    base ? [...listTreeChunks(base)].map((ref) => [getChunkHash(ref), ref]) : [],
  );
  return (text) => {
    const hash = hashChunk(text);
    const baseRef = baseRefsByHash.get(hash);
    if (baseRef !== undefined) {
      return baseRef;
    }
    const ref = `${generation}-${hash}`;
    added.set(ref, text);
    return ref;
  };
}

interface SerializedTeam {
  readonly id: string;
  readonly text: string;
}

function groupTeamsByLeaf(
  serializedTeams: readonly SerializedTeam[],
  previousLeafCount: number | null,
): readonly string[] {
  const bytes = serializedTeams.reduce((sum, { text }) => sum + text.length + 1, 0);
  const leafCount = chooseLeafCount(bytes, previousLeafCount);
  const members: string[][] = Array.from({ length: leafCount }, () => []);
  serializedTeams.forEach(({ id, text }) => members[getLeafNumber(id, leafCount)]?.push(text));
  return members.map((texts) => `[${texts.join(',')}]`);
}

function chooseLeafCount(bytes: number, previous: number | null): number {
  const idealCount = bytes / LEAF_TARGET_BYTES;
  if (previous !== null && idealCount <= previous * RESIZE_FACTOR) {
    const hasTooManyLeaves = previous > 1 && idealCount * RESIZE_FACTOR < previous;
    if (!hasTooManyLeaves) {
      return previous;
    }
  }
  return 2 ** Math.max(0, Math.ceil(Math.log2(Math.max(1, idealCount))));
}

/** Lists the parts of the manifest whose new chunks exceed the platform's size limit. */
export function findOversizedParts(split: SplitManifest): readonly string[] {
  const oversized = [...split.added]
    .filter(([, text]) => Buffer.byteLength(text) > MAX_CHUNK_BYTES)
    .map(([ref]) => ref);
  if (oversized.length === 0) {
    return [];
  }
  const body = parseBody(split.added.get(split.body) ?? '');
  invariant(body, 'the body of a new split must have the supported format');
  const oversizedNames = body.parts
    .filter(({ ref }) => oversized.includes(ref))
    .map(({ name }) => name);
  return oversizedNames.length > 0 ? oversizedNames : ['teams'];
}

/** Parses a body chunk. Returns null for an unknown format, which a later version wrote. */
export function parseBody(text: string): ManifestBody | null {
  const body = JSON.parse(text) as ManifestBody;
  return body.format === 1 ? body : null;
}

/** Parses an index chunk into the names of its leaves. */
export function parseIndex(text: string): readonly ChunkRef[] {
  return JSON.parse(text) as ChunkRef[];
}

/** Result of walking a manifest: its tree if all chunks are available, else the chunks to fetch next. */
export type TreeWalkResult =
  | { readonly kind: 'whole'; readonly tree: ManifestTree }
  | { readonly kind: 'missing'; readonly refs: readonly ChunkRef[] }
  /** This version does not support the format of the body. */
  | { readonly kind: 'unreadable' };

/** Walks the tree from the body to the leaves, as far as the chunks are available. */
export function walkTree(bodyRef: ChunkRef, getChunk: GetChunk): TreeWalkResult {
  const bodyText = getChunk(bodyRef);
  if (bodyText === undefined) {
    return { kind: 'missing', refs: [bodyRef] };
  }
  const body = parseBody(bodyText);
  if (!body) {
    return { kind: 'unreadable' };
  }
  const missing = body.parts.map(({ ref }) => ref).filter((ref) => getChunk(ref) === undefined);
  const leaves: ChunkRef[] = [];
  body.indexes.forEach((indexRef) => {
    const text = getChunk(indexRef);
    if (text === undefined) {
      missing.push(indexRef);
      return;
    }
    parseIndex(text).forEach((leaf) => {
      leaves.push(leaf);
      if (getChunk(leaf) === undefined) {
        missing.push(leaf);
      }
    });
  });
  return missing.length > 0
    ? { kind: 'missing', refs: [...new Set(missing)] }
    : { kind: 'whole', tree: { bodyRef, body, leaves } };
}

/** Returns the names of all chunks of a tree, without duplicates. */
export function listTreeChunks(tree: ManifestTree): ReadonlySet<ChunkRef> {
  return new Set([
    tree.bodyRef,
    ...tree.body.parts.map(({ ref }) => ref),
    ...tree.body.indexes,
    ...tree.leaves,
  ]);
}

/** Reads the base part of a complete tree. */
export function readBase(tree: ManifestTree, getChunk: GetChunk): ManifestBase {
  const part = tree.body.parts.find(({ name }) => name === BASE_PART);
  invariant(part, 'a manifest body must have a base part');
  return JSON.parse(requireChunk(part.ref, getChunk)) as ManifestBase;
}

/** Reads the models of a complete tree in manifest order. */
export function readModels(tree: ManifestTree, getChunk: GetChunk): readonly ManifestModel[] {
  return tree.body.parts
    .filter(({ name }) => name.startsWith(MODEL_PART_PREFIX))
    .map(({ ref }) => JSON.parse(requireChunk(ref, getChunk)) as ManifestModel);
}

/** Reads the teams of one leaf. */
export function readLeaf(ref: ChunkRef, getChunk: GetChunk): readonly ManifestTeam[] {
  return JSON.parse(requireChunk(ref, getChunk)) as ManifestTeam[];
}

/** Reassembles the manifest from its chunks, with the teams sorted by id. */
export function joinManifest(tree: ManifestTree, getChunk: GetChunk): Manifest {
  const { schema, ...base } = readBase(tree, getChunk);
  const teams = tree.leaves.flatMap((leaf) => readLeaf(leaf, getChunk));
  return {
    schema,
    models: [...readModels(tree, getChunk)],
    teams: teams.sort((a, b) => (a.id < b.id ? -1 : 1)),
    ...base,
  };
}

function requireChunk(ref: ChunkRef, getChunk: GetChunk): string {
  const text = getChunk(ref);
  invariant(text !== undefined, `chunk ${ref} of a complete tree must be available`);
  return text;
}
