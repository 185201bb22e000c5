/**
 * Chunks of a manifest. A chunk is named by its content's hash and by the root that its submission was
 * made from: once that root is superseded, a chunk that no accepted body names can never be named by
 * one, which is what lets garbage be collected without asking any submitter. A body lists one chunk for each model, one for the rest, and
 * index chunks that list leaves of teams. Teams go to leaves by the hash of their id, so that a change
 * of one team makes a new leaf, a new index and a new body, and leaves every other chunk as it is.
 */
import { createHash } from 'node:crypto';
import { hash32 } from '@skylarksail/core/CoreHash';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { Manifest, ManifestModel, ManifestTeam } from './ManifestSchema.js';
import type { SlicedWork } from './ManifestSlices.js';
import { mapInSlices, runSynchronously } from './ManifestSlices.js';

/** SHA-256 of a chunk's text, in base64url. */
export type ChunkHash = string;

/** Name of a chunk: `GENERATION-HASH`, where the generation is the platform's revision of the root. */
export type ChunkRef = string;

/** Gives a chunk's text, or undefined if it is not at hand. */
export type GetChunk = (ref: ChunkRef) => string | undefined;

/** A value of the platform's service may have a megabyte; some of it is left for its own framing. */
export const MAX_CHUNK_BYTES = 1_000_000;
/** Leaves near this size keep both the delta of one team and the list of leaves small. */
export const LEAF_TARGET_BYTES = 8192;
/** Leaves in one index chunk. */
export const INDEX_FAN_OUT = 64;
/** Keeps the number of leaves until their mean size is off by this factor: a new number moves all. */
const RESIZE_FACTOR = 4;
const BASE_PART = 'base';
const MODEL_PART_PREFIX = 'model/';

/** One chunk that a body names. */
export interface ManifestPart {
  readonly name: string;
  readonly ref: ChunkRef;
}

/** The first chunk of a manifest. `leafCount` is a power of two. */
export interface ManifestBody {
  readonly format: 1;
  readonly parts: readonly ManifestPart[];
  readonly leafCount: number;
  readonly indexes: readonly ChunkRef[];
}

/** Everything of a manifest but its models and teams. */
export type ManifestBase = Omit<Manifest, 'models' | 'teams'>;

/** A manifest cut into chunks. */
export interface SplitManifest {
  readonly body: ChunkRef;
  /** Hash of the whole content, the same however it is cut. */
  readonly content: ChunkHash;
  /** Chunks that the base did not have. */
  readonly added: ReadonlyMap<ChunkRef, string>;
}

/** A manifest whose chunks are all at hand, by their hashes. */
export interface ManifestTree {
  readonly bodyRef: ChunkRef;
  readonly body: ManifestBody;
  readonly leaves: readonly ChunkRef[];
}

/** Address of a chunk. */
export function hashChunk(text: string): ChunkHash {
  return createHash('sha256').update(text).digest('base64url');
}

/** Number of the leaf that holds a team. */
export function getLeafNumber(team: string, leafCount: number): number {
  // The hash has 32 bits and `leafCount` is a power of two, so that the low bits choose the leaf.
  return hash32(team) % leafCount;
}

/** Names a chunk that a submission made from the root with that platform revision adds. */
export function createChunkRef(generation: number, text: string): ChunkRef {
  return `${generation}-${hashChunk(text)}`;
}

/** Hash that a chunk's text must have. */
export function getChunkHash(ref: ChunkRef): ChunkHash {
  return ref.slice(ref.indexOf('-') + 1);
}

/** Platform's revision of the root that the chunk's submission was made from. */
export function getChunkGeneration(ref: ChunkRef): number {
  return Number(ref.slice(0, ref.indexOf('-')));
}

/** Whether a text is the one that the name stands for. */
export function matchesChunkHash(ref: ChunkRef, text: string): boolean {
  return hashChunk(text) === getChunkHash(ref);
}

/** Cuts a checked manifest into chunks, taking over from `base` those that are the same. */
export function splitManifest(
  manifest: Manifest,
  base: ManifestTree | null,
  generation: number,
): SplitManifest {
  return runSynchronously(splitInSlices(manifest, base, generation));
}

/** The same as work in slices. */
export function* splitInSlices(
  manifest: Manifest,
  base: ManifestTree | null,
  generation: number,
): SlicedWork<SplitManifest> {
  const { models, teams, ...rest } = manifest;
  const added = new Map<ChunkRef, string>();
  const put = createChunkWriter(base, generation, added);
  const parts = [
    { name: BASE_PART, ref: put(JSON.stringify(rest)) },
    ...models.map((model) => ({
      name: `${MODEL_PART_PREFIX}${model.id}`,
      ref: put(JSON.stringify(model)),
    })),
  ];
  const lines = yield* mapInSlices(teams, ({ id }, i) => ({ id, text: JSON.stringify(teams[i]) }));
  lines.sort((a, b) => (a.id < b.id ? -1 : 1));
  yield;
  const leafTexts = splitTeams(lines, base?.body.leafCount ?? null);
  const leaves = yield* mapInSlices(leafTexts, put);
  const indexes: ChunkRef[] = [];
  for (let first = 0; first < leaves.length; first += INDEX_FAN_OUT) {
    indexes.push(put(JSON.stringify(leaves.slice(first, first + INDEX_FAN_OUT))));
  }
  const body: ManifestBody = { format: 1, parts, leafCount: leafTexts.length, indexes };
  const content = createHash('sha256').update(JSON.stringify([rest, models]));
  yield* mapInSlices(lines, ({ text }) => content.update(text));
  return { body: put(JSON.stringify(body)), content: content.digest('base64url'), added };
}

/** Names a chunk's text, and adds it unless the base has it. */
function createChunkWriter(
  base: ManifestTree | null,
  generation: number,
  added: Map<ChunkRef, string>,
): (text: string) => ChunkRef {
  const refsOfBase = new Map(
    base ? [...listTreeChunks(base)].map((ref) => [getChunkHash(ref), ref]) : [],
  );
  return (text) => {
    const hash = hashChunk(text);
    const inBase = refsOfBase.get(hash);
    if (inBase !== undefined) {
      return inBase;
    }
    const ref = `${generation}-${hash}`;
    added.set(ref, text);
    return ref;
  };
}

interface TeamLine {
  readonly id: string;
  readonly text: string;
}

function splitTeams(
  lines: readonly TeamLine[],
  previousLeafCount: number | null,
): readonly string[] {
  const bytes = lines.reduce((sum, { text }) => sum + text.length + 1, 0);
  const leafCount = chooseLeafCount(bytes, previousLeafCount);
  const members: string[][] = Array.from({ length: leafCount }, () => []);
  lines.forEach(({ id, text }) => members[getLeafNumber(id, leafCount)]?.push(text));
  return members.map((texts) => `[${texts.join(',')}]`);
}

function chooseLeafCount(bytes: number, previous: number | null): number {
  const wanted = bytes / LEAF_TARGET_BYTES;
  if (previous !== null && wanted <= previous * RESIZE_FACTOR) {
    const isFarTooMany = previous > 1 && wanted * RESIZE_FACTOR < previous;
    if (!isFarTooMany) {
      return previous;
    }
  }
  return 2 ** Math.max(0, Math.ceil(Math.log2(Math.max(1, wanted))));
}

/** Parts of the manifest whose new chunks are too large for the platform. */
export function findOversizedParts(split: SplitManifest): readonly string[] {
  const oversized = [...split.added]
    .filter(([, text]) => Buffer.byteLength(text) > MAX_CHUNK_BYTES)
    .map(([ref]) => ref);
  if (oversized.length === 0) {
    return [];
  }
  const body = parseBody(split.added.get(split.body) ?? '');
  invariant(body, 'a new body has the format of this version');
  const named = body.parts.filter(({ ref }) => oversized.includes(ref)).map(({ name }) => name);
  return named.length > 0 ? named : ['teams'];
}

/** Parses a body chunk. Null for a format that a later version wrote: it is never guessed at. */
export function parseBody(text: string): ManifestBody | null {
  const body = JSON.parse(text) as ManifestBody;
  return body.format === 1 ? body : null;
}

/** Parses an index chunk: the hashes of its leaves. */
export function parseIndex(text: string): readonly ChunkRef[] {
  return JSON.parse(text) as ChunkRef[];
}

/** What of a manifest is at hand: its tree once whole, else the chunks to fetch next. */
export type TreeWalk =
  | { readonly kind: 'whole'; readonly tree: ManifestTree }
  | { readonly kind: 'missing'; readonly refs: readonly ChunkRef[] }
  /** The body has a format that this version does not know. */
  | { readonly kind: 'unreadable' };

/** Follows a body to its leaves. */
export function walkTree(bodyRef: ChunkRef, getChunk: GetChunk): TreeWalk {
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

/** Every chunk of a tree, each once. */
export function listTreeChunks(tree: ManifestTree): ReadonlySet<ChunkRef> {
  return new Set([
    tree.bodyRef,
    ...tree.body.parts.map(({ ref }) => ref),
    ...tree.body.indexes,
    ...tree.leaves,
  ]);
}

/** Reads the base part of a whole tree. */
export function readBase(tree: ManifestTree, getChunk: GetChunk): ManifestBase {
  const part = tree.body.parts.find(({ name }) => name === BASE_PART);
  invariant(part, 'a body has a base part');
  return JSON.parse(requireChunk(part.ref, getChunk)) as ManifestBase;
}

/** Reads the models of a whole tree, in their order. */
export function readModels(tree: ManifestTree, getChunk: GetChunk): readonly ManifestModel[] {
  return tree.body.parts
    .filter(({ name }) => name.startsWith(MODEL_PART_PREFIX))
    .map(({ ref }) => JSON.parse(requireChunk(ref, getChunk)) as ManifestModel);
}

/** Reads one leaf of teams. */
export function readLeaf(ref: ChunkRef, getChunk: GetChunk): readonly ManifestTeam[] {
  return JSON.parse(requireChunk(ref, getChunk)) as ManifestTeam[];
}

/** Puts a whole manifest together again, its teams in order of their ids. */
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
  invariant(text !== undefined, `chunk ${ref} of a whole tree is at hand`);
  return text;
}
