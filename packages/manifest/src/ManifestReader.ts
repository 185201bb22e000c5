/** Reads the root, the chunks and the history of the manifest from the platform. */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { callWithRetry, mapBounded } from './ManifestCalls.js';
import type { ChunkRef, ManifestTree } from './ManifestChunks.js';
import { matchesChunkHash, parseBody, parseIndex, walkTree } from './ManifestChunks.js';
import type { HistoryPage, ManifestRoot, RevisionSummary } from './ManifestRoot.js';
import { getChunkKey, parseHistoryPage, parseRoot, ROOT_KEY } from './ManifestRoot.js';

/** The root and the platform revision of its key; null and 0 before the first submission. */
export interface StoredRoot {
  readonly platformRevision: number;
  readonly root: ManifestRoot | null;
}

/**
 * Why a read failed. `gone`: a chunk does not exist, for example because its revision was superseded and
 * garbage-collected in the meantime; read the root again. `garbage`: the stored value is invalid.
 */
export type ReadFault =
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'gone'; readonly ref: ChunkRef }
  | { readonly kind: 'garbage'; readonly key: string; readonly detail: string };

/** A completely read manifest with the chunks that were fetched for it. */
export interface LoadedManifest {
  readonly tree: ManifestTree;
  readonly fetched: ReadonlyMap<ChunkRef, string>;
}

/** Reads the root, with retries until the deadline. */
export async function readRoot(
  ctx: StoreContext,
  deadline: Millis,
): Promise<Result<StoredRoot, ReadFault>> {
  const { outcome } = await callWithRetry(ctx, deadline, (options) =>
    ctx.platform.get(ROOT_KEY, options),
  );
  if (outcome.kind !== 'done') {
    return createFailed({ kind: 'unavailable' });
  }
  const { revision, value } = outcome.value;
  return parseStoredRoot(revision, value);
}

/** Parses the value that the platform returned for the key of the root. */
export function parseStoredRoot(
  platformRevision: number,
  value: string,
): Result<StoredRoot, ReadFault> {
  if (platformRevision === 0) {
    return createOk({ platformRevision, root: null });
  }
  const parsed = parseRoot(value);
  return parsed.ok
    ? createOk({ platformRevision, root: parsed.value })
    : createFailed({ kind: 'garbage', key: ROOT_KEY, detail: parsed.error });
}

/** Reads one chunk and verifies its hash. */
export async function readChunk(
  ctx: StoreContext,
  deadline: Millis,
  ref: ChunkRef,
): Promise<Result<string, ReadFault>> {
  const key = getChunkKey(ref);
  const { outcome } = await callWithRetry(ctx, deadline, (options) =>
    ctx.platform.get(key, options),
  );
  if (outcome.kind !== 'done') {
    return createFailed({ kind: 'unavailable' });
  }
  const { revision, value } = outcome.value;
  if (revision === 0) {
    return createFailed({ kind: 'gone', ref });
  }
  return matchesChunkHash(ref, value)
    ? createOk(value)
    : createFailed({ kind: 'garbage', key, detail: 'the text does not match its hash' });
}

function createUnsupportedFormatFault(body: ChunkRef): ReadFault {
  return { kind: 'garbage', key: getChunkKey(body), detail: 'written by a later version' };
}

/** Loads the manifest of `root` and fetches only the chunks that `knownChunks` lacks. */
export async function loadManifest(
  ctx: StoreContext,
  root: Pick<ManifestRoot, 'body'>,
  knownChunks: ReadonlyMap<ChunkRef, string>,
  deadline: Millis,
): Promise<Result<LoadedManifest, ReadFault>> {
  const fetched = new Map<ChunkRef, string>();
  for (;;) {
    const walk = walkTree(root.body, (ref) => knownChunks.get(ref) ?? fetched.get(ref));
    if (walk.kind === 'whole') {
      return createOk({ tree: walk.tree, fetched });
    }
    if (walk.kind === 'unreadable') {
      return createFailed(createUnsupportedFormatFault(root.body));
    }
    const texts = await mapBounded(walk.refs, (ref) => readChunk(ctx, deadline, ref));
    for (const [i, text] of texts.entries()) {
      if (!text.ok) {
        return text;
      }
      fetched.set(walk.refs[i] as ChunkRef, text.value);
    }
  }
}

/** Reads only the body and its index chunks, which together name all other chunks. */
export async function readTreeIndex(
  ctx: StoreContext,
  deadline: Millis,
  bodyRef: ChunkRef,
): Promise<Result<ManifestTree, ReadFault>> {
  const bodyText = await readChunk(ctx, deadline, bodyRef);
  if (!bodyText.ok) {
    return bodyText;
  }
  const body = parseBody(bodyText.value);
  if (!body) {
    return createFailed(createUnsupportedFormatFault(bodyRef));
  }
  const texts = await mapBounded(body.indexes, (ref) => readChunk(ctx, deadline, ref));
  const leaves: ChunkRef[] = [];
  for (const text of texts) {
    if (!text.ok) {
      return text;
    }
    leaves.push(...parseIndex(text.value));
  }
  return createOk({ bodyRef, body, leaves });
}

/** Reads one page of the history. */
export async function readHistoryPage(
  ctx: StoreContext,
  deadline: Millis,
  ref: ChunkRef,
): Promise<Result<HistoryPage, ReadFault>> {
  const text = await readChunk(ctx, deadline, ref);
  if (!text.ok) {
    return text;
  }
  const page = parseHistoryPage(text.value);
  return page.ok
    ? page
    : createFailed({ kind: 'garbage', key: getChunkKey(ref), detail: page.error });
}

/**
 * Visits the history from the newest entry backwards until `visit` returns true. The walk ends without
 * a fault at an older page that was garbage-collected.
 */
export async function walkHistory(
  ctx: StoreContext,
  deadline: Millis,
  newestPage: ChunkRef,
  visit: (summary: RevisionSummary) => boolean,
): Promise<Result<null, ReadFault>> {
  let ref: ChunkRef | null = newestPage;
  while (ref !== null) {
    const page: Result<HistoryPage, ReadFault> = await readHistoryPage(ctx, deadline, ref);
    if (!page.ok) {
      const isCollected = page.error.kind === 'gone' && ref !== newestPage;
      return isCollected ? createOk(null) : page;
    }
    if ([...page.value.entries].reverse().some(visit)) {
      return createOk(null);
    }
    ref = page.value.previous;
  }
  return createOk(null);
}

/** Reads at most `count` accepted submissions, newest first. */
export async function readHistory(
  ctx: StoreContext,
  deadline: Millis,
  root: Pick<ManifestRoot, 'history'>,
  count: number,
): Promise<Result<readonly RevisionSummary[], ReadFault>> {
  const summaries: RevisionSummary[] = [];
  const walked = await walkHistory(ctx, deadline, root.history, (summary) => {
    summaries.push(summary);
    return summaries.length >= count;
  });
  return walked.ok ? createOk(summaries.slice(0, count)) : walked;
}
