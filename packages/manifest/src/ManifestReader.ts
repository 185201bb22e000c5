/** Reads the manifest's root, chunks and history from the platform's service. */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { callWithRetry, mapBounded } from './ManifestCalls.js';
import type { ChunkRef, ManifestTree } from './ManifestChunks.js';
import { matchesChunkHash, parseBody, parseIndex, walkTree } from './ManifestChunks.js';
import type { HistoryPage, ManifestRoot, RevisionSummary } from './ManifestRoot.js';
import { getChunkKey, parseHistoryPage, parseRoot, ROOT_KEY } from './ManifestRoot.js';

/** The root with the revision that the platform's service gave its key; 0 and null before the first. */
export interface StoredRoot {
  readonly platformRevision: number;
  readonly root: ManifestRoot | null;
}

/**
 * Why something could not be read. `gone`: a chunk is not there, as happens when its revision was
 * superseded and collected meanwhile; read the root again. `garbage`: what is stored makes no sense.
 */
export type ReadFault =
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'gone'; readonly ref: ChunkRef }
  | { readonly kind: 'garbage'; readonly key: string; readonly detail: string };

/** A manifest read as a whole, with the chunks that had to be fetched for it. */
export interface LoadedManifest {
  readonly tree: ManifestTree;
  readonly fetched: ReadonlyMap<ChunkRef, string>;
}

/** Reads the root, trying until the deadline. */
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

/** Reads what the service gave for the root's key. */
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

/** Reads one chunk and checks it against its hash. */
export async function readChunk(
  ctx: StoreContext,
  deadline: Millis,
  ref: ChunkRef,
): Promise<Result<string, ReadFault>> {
  const key = getChunkKey(ref);
  const { outcome } = await callWithRetry(ctx, deadline, (options) => ctx.platform.get(key, options));
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

function createUnreadable(body: ChunkRef): ReadFault {
  return { kind: 'garbage', key: getChunkKey(body), detail: 'written by a later version' };
}

/** Loads the manifest that `root` names, fetching only what `knownChunks` lacks. */
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
      return createFailed(createUnreadable(root.body));
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

/** Reads the body and the index chunks that `root` names: a tree without the texts of its leaves. */
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
    return createFailed(createUnreadable(bodyRef));
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
 * Follows the history backwards from the newest entry until `visit` returns true. Older pages that
 * were collected end the walk without a fault.
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

/** The newest accepted submissions, newest first, `count` at the most. */
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
