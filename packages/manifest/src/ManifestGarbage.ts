/**
 * Removes unreferenced chunks: those of old superseded revisions and of submissions that were not
 * accepted. This needs no coordination with submitters, however slow they are. A submission references
 * chunks of the root that it is based on, and new chunks whose generation is that root's platform
 * revision, and it is accepted only while that root is current. So a chunk of an earlier generation that
 * is not reachable from the current root can never be referenced again. Concurrent collectors, and one
 * that resumes after a pause, are safe because no chunk name is ever reused.
 */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { callWithRetry, mapBounded } from './ManifestCalls.js';
import type { ChunkRef } from './ManifestChunks.js';
import { getChunkGeneration, listTreeChunks } from './ManifestChunks.js';
import type { ReadFault } from './ManifestReader.js';
import { readHistoryPage, readRoot, readTreeIndex } from './ManifestReader.js';
import type { ManifestRoot, RevisionSummary } from './ManifestRoot.js';
import { CHUNK_PREFIX, chunkRefSchema, getChunkKey } from './ManifestRoot.js';

/** Number of newest revisions whose chunks are retained for `diff`, `show` and slow readers. */
export const RETAINED_REVISIONS = 16;
/**
 * Number of newest history pages that are retained. A repeated submission id is recognized as long as
 * its page exists.
 */
export const RETAINED_PAGES = 32;

export interface GarbageOptions {
  /** Time of the context's timers by which the round stops, even if it is incomplete. */
  readonly deadline: Millis;
  /** Maximum number of chunks removed in one round; each removal takes two calls. */
  readonly maxRemovals: number;
}

export interface GarbageReport {
  readonly listed: number;
  readonly garbage: number;
  readonly removed: number;
}

/** Runs one round of garbage collection. */
export async function collectGarbage(
  ctx: StoreContext,
  options: GarbageOptions,
): Promise<Result<GarbageReport, ReadFault>> {
  const { deadline, maxRemovals } = options;
  const { outcome } = await callWithRetry(ctx, deadline, (callOptions) =>
    ctx.platform.list(CHUNK_PREFIX, callOptions),
  );
  if (outcome.kind !== 'done') {
    return createFailed({ kind: 'unavailable' });
  }
  const stored = await readRoot(ctx, deadline);
  if (!stored.ok) {
    return stored;
  }
  const { root, platformRevision } = stored.value;
  const reachable = root ? await listReachable(ctx, deadline, root) : createOk(new Set<ChunkRef>());
  if (!reachable.ok) {
    return reachable;
  }
  const garbage = outcome.value
    .map((key) => key.slice(CHUNK_PREFIX.length))
    .filter((ref) => isGarbage(ref, platformRevision, reachable.value));
  const removals = await mapBounded(garbage.slice(0, maxRemovals), (ref) =>
    removeChunk(ctx, deadline, ref),
  );
  return createOk({
    listed: outcome.value.length,
    garbage: garbage.length,
    removed: removals.filter(Boolean).length,
  });
}

function isGarbage(
  ref: ChunkRef,
  platformRevision: number,
  reachable: ReadonlySet<ChunkRef>,
): boolean {
  return (
    chunkRefSchema.safeParse(ref).success &&
    getChunkGeneration(ref) < platformRevision &&
    !reachable.has(ref)
  );
}

async function listReachable(
  ctx: StoreContext,
  deadline: Millis,
  root: ManifestRoot,
): Promise<Result<ReadonlySet<ChunkRef>, ReadFault>> {
  const refs = new Set<ChunkRef>();
  const entries = await collectRetainedPages(ctx, deadline, root, refs);
  if (!entries.ok) {
    return entries;
  }
  const bodies = entries.value.slice(0, RETAINED_REVISIONS).map(({ body }) => body);
  for (const body of new Set([root.body, ...bodies])) {
    const tree = await readTreeIndex(ctx, deadline, body);
    if (tree.ok) {
      listTreeChunks(tree.value).forEach((ref) => refs.add(ref));
    } else if (tree.error.kind !== 'gone' || body === root.body) {
      // A missing chunk of an older body is ignored, because an earlier round may have collected that body
      // in part. The current body is never collected, so a missing chunk of it is returned as a fault.
      return tree;
    }
  }
  return createOk(refs);
}

/** Adds the names of the retained pages to `refs` and returns their entries, newest first. */
async function collectRetainedPages(
  ctx: StoreContext,
  deadline: Millis,
  root: ManifestRoot,
  refs: Set<ChunkRef>,
): Promise<Result<readonly RevisionSummary[], ReadFault>> {
  const entries: RevisionSummary[] = [];
  let next: ChunkRef | null = root.history;
  for (let i = 0; next !== null && i < RETAINED_PAGES; i++) {
    const page: Awaited<ReturnType<typeof readHistoryPage>> = await readHistoryPage(
      ctx,
      deadline,
      next,
    );
    if (!page.ok) {
      return page.error.kind === 'gone' && next !== root.history ? createOk(entries) : page;
    }
    refs.add(next);
    entries.push(...[...page.value.entries].reverse());
    next = page.value.previous;
  }
  return createOk(entries);
}

async function removeChunk(ctx: StoreContext, deadline: Millis, ref: ChunkRef): Promise<boolean> {
  const key = getChunkKey(ref);
  const { outcome: read } = await callWithRetry(ctx, deadline, (options) =>
    ctx.platform.get(key, options),
  );
  if (read.kind !== 'done' || read.value.revision === 0) {
    return false;
  }
  const { revision } = read.value;
  const { outcome } = await callWithRetry(ctx, deadline, (options) =>
    ctx.platform.remove(key, revision, options),
  );
  return outcome.kind === 'done';
}
