/** Computes the differences between two manifests by path; list elements are matched by id. */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { mapBounded } from './ManifestCalls.js';
import type { ChunkRef, ManifestTree } from './ManifestChunks.js';
import { joinManifest, listTreeChunks } from './ManifestChunks.js';
import type { ReadFault } from './ManifestReader.js';
import { readChunk, readTreeIndex } from './ManifestReader.js';
import type { Manifest } from './ManifestSchema.js';

/** One difference. `before` is undefined for an added value, `after` for a removed one. */
export interface ManifestChange {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const MAX_VALUE_LENGTH = 60;

/** Lists all differences, sorted by path. */
export function diffManifests(before: Manifest, after: Manifest): readonly ManifestChange[] {
  return diffValues('', before, after);
}

function diffValues(path: string, before: unknown, after: unknown): readonly ManifestChange[] {
  if (isRecord(before) && isRecord(after)) {
    return diffRecords(before, after, (key) => (path ? `${path}.${key}` : key));
  }
  if (isListWithIds(before) && isListWithIds(after)) {
    return diffRecords(indexById(before), indexById(after), (key) => `${path}[${key}]`);
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
}

function diffRecords(
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
  joinPath: (key: string) => string,
): readonly ManifestChange[] {
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return keys.flatMap((key) => diffValues(joinPath(key), before[key], after[key]));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isListWithIds(value: unknown): value is readonly { readonly id: string }[] {
  return (
    Array.isArray(value) && value.every((line) => isRecord(line) && typeof line.id === 'string')
  );
}

function indexById(elements: readonly { readonly id: string }[]): Record<string, unknown> {
  return Object.fromEntries(elements.map((element) => [element.id, element]));
}

/** Formats differences as human-readable lines: `+` added, `-` removed, `~` changed. */
export function formatDiff(changes: readonly ManifestChange[]): readonly string[] {
  return changes.map(({ path, before, after }) => {
    if (before === undefined) {
      return `+ ${path}: ${formatTruncated(after)}`;
    }
    return after === undefined
      ? `- ${path}: ${formatTruncated(before)}`
      : `~ ${path}: ${formatTruncated(before)} -> ${formatTruncated(after)}`;
  });
}

function formatTruncated(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text;
}

/** Compares two accepted bodies and reads only the models and leaves that they do not share. */
export async function diffBodies(
  ctx: StoreContext,
  deadline: Millis,
  before: ChunkRef,
  after: ChunkRef,
): Promise<Result<readonly ManifestChange[], ReadFault>> {
  const treeBefore = await readTreeIndex(ctx, deadline, before);
  if (!treeBefore.ok) {
    return treeBefore;
  }
  const treeAfter = await readTreeIndex(ctx, deadline, after);
  if (!treeAfter.ok) {
    return treeAfter;
  }
  const oldManifest = await readUnsharedParts(ctx, deadline, treeBefore.value, treeAfter.value);
  const newManifest = await readUnsharedParts(ctx, deadline, treeAfter.value, treeBefore.value);
  if (!oldManifest.ok) {
    return oldManifest;
  }
  return newManifest.ok
    ? createOk(diffManifests(oldManifest.value, newManifest.value))
    : newManifest;
}

/** Reads the manifest of `tree` without the models and leaves that `other` also contains. */
async function readUnsharedParts(
  ctx: StoreContext,
  deadline: Millis,
  tree: ManifestTree,
  other: ManifestTree,
): Promise<Result<Manifest, ReadFault>> {
  const shared = listTreeChunks(other);
  const isUnshared = (ref: ChunkRef): boolean => !shared.has(ref);
  const parts = tree.body.parts.filter(({ name, ref }) => name === 'base' || isUnshared(ref));
  const leaves = tree.leaves.filter(isUnshared);
  const refs = [...parts.map(({ ref }) => ref), ...leaves];
  const texts = await mapBounded(refs, (ref) => readChunk(ctx, deadline, ref));
  const chunks = new Map<ChunkRef, string>();
  for (const [i, text] of texts.entries()) {
    if (!text.ok) {
      return createFailed(text.error);
    }
    chunks.set(refs[i] as ChunkRef, text.value);
  }
  const partialTree: ManifestTree = { ...tree, body: { ...tree.body, parts }, leaves };
  return createOk(joinManifest(partialTree, (ref) => chunks.get(ref)));
}
