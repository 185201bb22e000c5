/**
 * Removes chunks that nothing names any more: those of superseded revisions and of lost submissions.
 * It asks no submitter, however slow. A submission names chunks of the root that it was made from, and
 * new ones that carry that root's platform revision; and it is accepted only while that root stands. So
 * a chunk of an earlier generation that the present root does not name can never be named again.
 * Two collectors at once, or one that is paused and wakes, do no harm: no name is ever used twice.
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

/** Newest revisions whose chunks stay, for `diff`, `show` and readers that are slow. */
export const RETAINED_REVISIONS = 16;
/** Newest pages of the history that stay; a submission id is known as long as its page is. */
export const RETAINED_PAGES = 32;

export interface GarbageOptions {
  /** Time of the context's timers at which the round ends, done or not. */
  readonly deadline: Millis;
  /** Chunks removed in one round at the most; each costs two calls. */
  readonly maxRemovals: number;
}

export interface GarbageReport {
  readonly listed: number;
  readonly garbage: number;
  readonly removed: number;
}

/** Runs one round of collection. */
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
  const entries = await walkPages(ctx, deadline, root, refs);
  if (!entries.ok) {
    return entries;
  }
  const bodies = entries.value.slice(0, RETAINED_REVISIONS).map(({ body }) => body);
  for (const body of new Set([root.body, ...bodies])) {
    const tree = await readTreeIndex(ctx, deadline, body);
    if (tree.ok) {
      listTreeChunks(tree.value).forEach((ref) => refs.add(ref));
    } else if (tree.error.kind !== 'gone' || body === root.body) {
      // An older body that is gone was collected in part by an earlier round; the present one is not.
      return tree;
    }
  }
  return createOk(refs);
}

/** Adds the retained pages to `refs`; gives their entries, newest first. */
async function walkPages(
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
