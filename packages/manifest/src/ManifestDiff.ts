/** What differs between two manifests, path by path; elements of lists are named by their ids. */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { mapBounded } from './ManifestCalls.js';
import type { ChunkRef, ManifestTree } from './ManifestChunks.js';
import { joinManifest, listTreeChunks } from './ManifestChunks.js';
import type { ReadFault } from './ManifestReader.js';
import { readChunk, readTreeIndex } from './ManifestReader.js';
import type { Manifest } from './ManifestSchema.js';

/** One difference. `before` is undefined where something was added, `after` where it was removed. */
export interface ManifestChange {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const MAX_SHOWN_LENGTH = 60;

/** Lists every difference, in order of the paths. */
export function diffManifests(before: Manifest, after: Manifest): readonly ManifestChange[] {
  return diffValues('', before, after);
}

function diffValues(path: string, before: unknown, after: unknown): readonly ManifestChange[] {
  if (isRecord(before) && isRecord(after)) {
    return diffRecords(before, after, (key) => (path ? `${path}.${key}` : key));
  }
  if (isNamedList(before) && isNamedList(after)) {
    return diffRecords(indexById(before), indexById(after), (key) => `${path}[${key}]`);
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
}

function diffRecords(
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
  join: (key: string) => string,
): readonly ManifestChange[] {
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return keys.flatMap((key) => diffValues(join(key), before[key], after[key]));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isNamedList(value: unknown): value is readonly { readonly id: string }[] {
  return (
    Array.isArray(value) && value.every((line) => isRecord(line) && typeof line.id === 'string')
  );
}

function indexById(elements: readonly { readonly id: string }[]): Record<string, unknown> {
  return Object.fromEntries(elements.map((element) => [element.id, element]));
}

/** The differences as lines for a person to read: `+` added, `-` removed, `~` changed. */
export function formatDiff(changes: readonly ManifestChange[]): readonly string[] {
  return changes.map(({ path, before, after }) => {
    if (before === undefined) {
      return `+ ${path}: ${shorten(after)}`;
    }
    return after === undefined
      ? `- ${path}: ${shorten(before)}`
      : `~ ${path}: ${shorten(before)} -> ${shorten(after)}`;
  });
}

function shorten(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_LENGTH ? `${text.slice(0, MAX_SHOWN_LENGTH)}...` : text;
}

/** Compares two accepted bodies; only chunks that one of them alone names are read. */
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
  const old = await readDifferent(ctx, deadline, treeBefore.value, treeAfter.value);
  const fresh = await readDifferent(ctx, deadline, treeAfter.value, treeBefore.value);
  if (!old.ok) {
    return old;
  }
  return fresh.ok ? createOk(diffManifests(old.value, fresh.value)) : fresh;
}

/** The manifest of `tree` without the models and leaves that `other` has too. */
async function readDifferent(
  ctx: StoreContext,
  deadline: Millis,
  tree: ManifestTree,
  other: ManifestTree,
): Promise<Result<Manifest, ReadFault>> {
  const shared = listTreeChunks(other);
  const isOwn = (ref: ChunkRef): boolean => !shared.has(ref);
  const parts = tree.body.parts.filter(({ name, ref }) => name === 'base' || isOwn(ref));
  const leaves = tree.leaves.filter(isOwn);
  const refs = [...parts.map(({ ref }) => ref), ...leaves];
  const texts = await mapBounded(refs, (ref) => readChunk(ctx, deadline, ref));
  const chunks = new Map<ChunkRef, string>();
  for (const [i, text] of texts.entries()) {
    if (!text.ok) {
      return createFailed(text.error);
    }
    chunks.set(refs[i] as ChunkRef, text.value);
  }
  const part: ManifestTree = { ...tree, body: { ...tree.body, parts }, leaves };
  return createOk(joinManifest(part, (ref) => chunks.get(ref)));
}
