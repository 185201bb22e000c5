/**
 * Submits manifests: checked whole, cut into chunks, and accepted by one swap of the root. Of racing
 * submissions exactly one wins; a submission's id makes it take effect once, however often it is sent.
 */
import type { Millis, Result } from '@skylarksail/core/CoreTypes';
import { createOk } from '@skylarksail/core/CoreTypes';
import type { StoreContext } from './ManifestCalls.js';
import { callWithRetry, mapBounded, sleep } from './ManifestCalls.js';
import type { ManifestFault } from './ManifestCheck.js';
import { checkInSlices } from './ManifestCheck.js';
import type { ChunkRef, ManifestTree, SplitManifest } from './ManifestChunks.js';
import {
  createChunkRef,
  findOversizedParts,
  MAX_CHUNK_BYTES,
  splitInSlices,
} from './ManifestChunks.js';
import type { ReadFault, StoredRoot } from './ManifestReader.js';
import { readHistoryPage, readRoot, readTreeIndex, walkHistory } from './ManifestReader.js';
import type { HistoryPage, ManifestRoot, RevisionSummary } from './ManifestRoot.js';
import { appendHistory, getChunkKey, ROOT_KEY } from './ManifestRoot.js';
import type { SlicedWork } from './ManifestSlices.js';
import { runSynchronously, runInSlices } from './ManifestSlices.js';

/** Pause before the root is read again because a chunk that it named was gone. */
const REREAD_DELAY: Millis = 50;

/** How a manifest is submitted. */
export interface SubmitOptions {
  /** Chosen by the submitter, a new one for each change; sending it again gives the first result. */
  readonly submissionId: string;
  /**
   * Revision that the change was made from; 0 for the first. Null takes whatever is current when the
   * submission starts, and so may overwrite a change that its author has not seen.
   */
  readonly expectedRevision: number | null;
  /** Time of the context's timers by which an answer is wanted. */
  readonly deadline: Millis;
  /**
   * Hears of this submission's acceptance with the chunks that it added. The instance that took it can
   * tell its peers at once; else a change accepted just before an outage waits for the outage's end.
   */
  readonly onAccepted?: (root: ManifestRoot, chunks: ReadonlyMap<ChunkRef, string>) => void;
}

/** What came of a submission. */
export type SubmitOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** True if an earlier sending of this submission was the one accepted. */
      readonly repeated: boolean;
      readonly writtenChunks: number;
      readonly writtenBytes: number;
    }
  | { readonly kind: 'invalid'; readonly faults: readonly ManifestFault[] }
  /** Another change is in place of the expected one; `revision` and `submission` name it. */
  | { readonly kind: 'conflict'; readonly revision: number; readonly submission: string | null }
  /** The id was accepted earlier, as `revision`, with another content. */
  | { readonly kind: 'id-reused'; readonly revision: number }
  /** Not accepted, and it never will be: the root was not written. */
  | { readonly kind: 'unavailable'; readonly fault: ReadFault }
  /** The answer was lost; it may have been accepted, or may yet be. Send the same id again. */
  | { readonly kind: 'unknown' };

/** The root that a submission starts from, with what it names. */
interface Base {
  readonly stored: StoredRoot;
  readonly tree: ManifestTree | null;
  readonly page: HistoryPage | null;
}

interface Attempt {
  readonly ctx: StoreContext;
  readonly submission: SubmitOptions;
  readonly base: Base;
  readonly split: SplitManifest;
}

/** Submits a manifest, trying until the deadline. */
export async function submitManifest(
  ctx: StoreContext,
  input: unknown,
  submission: SubmitOptions,
): Promise<SubmitOutcome> {
  const checked = await doWork(ctx, checkInSlices(input));
  if (!checked.ok) {
    return { kind: 'invalid', faults: checked.error };
  }
  const base = await readBase(ctx, submission.deadline);
  if (!base.ok) {
    return { kind: 'unavailable', fault: base.error };
  }
  const { stored, tree } = base.value;
  const split = await doWork(ctx, splitInSlices(checked.value, tree, stored.platformRevision));
  const oversized = findOversizedParts(split);
  if (oversized.length > 0) {
    const faults = oversized.map((path) => ({ path, message: `over ${MAX_CHUNK_BYTES} bytes` }));
    return { kind: 'invalid', faults };
  }
  return submitSplit({ ctx, submission, base: base.value, split });
}

function doWork<T>(ctx: StoreContext, work: SlicedWork<T>): Promise<T> | T {
  return ctx.pause ? runInSlices(work, ctx.pause) : runSynchronously(work);
}

function getRevision({ stored }: Pick<Base, 'stored'>): number {
  return stored.root?.revision ?? 0;
}

async function submitSplit(attempt: Attempt): Promise<SubmitOutcome> {
  const { submission, base } = attempt;
  const { root } = base.stored;
  const earlier = await findEarlier(attempt, root, 0);
  if (!earlier.ok) {
    return { kind: 'unavailable', fault: earlier.error };
  }
  if (earlier.value !== null) {
    return describeEarlier(attempt, earlier.value);
  }
  const expected = submission.expectedRevision ?? getRevision(base);
  return getRevision(base) === expected ? writeRevision(attempt) : createConflict(root);
}

/** Reads root, indexes and history; a chunk that is gone means that the root was superseded meanwhile. */
async function readBase(ctx: StoreContext, deadline: Millis): Promise<Result<Base, ReadFault>> {
  for (;;) {
    const stored = await readRoot(ctx, deadline);
    if (!stored.ok) {
      return stored;
    }
    const { root } = stored.value;
    if (root === null) {
      return createOk({ stored: stored.value, tree: null, page: null });
    }
    const tree = await readTreeIndex(ctx, deadline, root.body);
    const page = tree.ok ? await readHistoryPage(ctx, deadline, root.history) : tree;
    if (tree.ok && page.ok) {
      return createOk({ stored: stored.value, tree: tree.value, page: page.value });
    }
    if (!page.ok && page.error.kind !== 'gone') {
      return page;
    }
    await sleep(ctx, REREAD_DELAY);
  }
}

/** Finds this submission among those accepted after revision `after`. */
async function findEarlier(
  { ctx, submission }: Attempt,
  root: ManifestRoot | null,
  after: number,
): Promise<Result<RevisionSummary | null, ReadFault>> {
  let found: RevisionSummary | null = null;
  if (root === null) {
    return createOk(found);
  }
  const walked = await walkHistory(ctx, submission.deadline, root.history, (summary) => {
    if (summary.submission === submission.submissionId) {
      found = summary;
    }
    return found !== null || summary.revision <= after;
  });
  return walked.ok ? createOk(found) : walked;
}

function describeEarlier(
  { split }: Attempt,
  { revision, content }: RevisionSummary,
): SubmitOutcome {
  return content === split.content
    ? { kind: 'accepted', revision, repeated: true, writtenChunks: 0, writtenBytes: 0 }
    : { kind: 'id-reused', revision };
}

function createConflict(root: ManifestRoot | null): SubmitOutcome {
  return {
    kind: 'conflict',
    revision: root?.revision ?? 0,
    submission: root?.submission ?? null,
  };
}

async function writeRevision(attempt: Attempt): Promise<SubmitOutcome> {
  const { ctx, submission, base, split } = attempt;
  const { root } = base.stored;
  const revision = getRevision(base) + 1;
  const page = JSON.stringify(
    appendHistory(base.page, root?.history ?? null, {
      revision,
      submission: submission.submissionId,
      body: split.body,
      content: split.content,
    }),
  );
  const history = createChunkRef(base.stored.platformRevision, page);
  const written: readonly (readonly [ChunkRef, string])[] = [...split.added, [history, page]];
  const results = await mapBounded(written, ([ref, text]) =>
    writeChunk(ctx, submission.deadline, ref, text),
  );
  if (results.includes(false)) {
    return { kind: 'unavailable', fault: { kind: 'unavailable' } };
  }
  const next: ManifestRoot = {
    format: 1,
    revision,
    submission: submission.submissionId,
    body: split.body,
    history,
  };
  const outcome = await swapRoot(attempt, next);
  if (outcome.kind !== 'accepted') {
    return outcome;
  }
  if (outcome.revision === revision) {
    submission.onAccepted?.(next, split.added);
  }
  return { ...outcome, ...countBytes(written) };
}

function countBytes(written: readonly (readonly [ChunkRef, string])[]): {
  writtenChunks: number;
  writtenBytes: number;
} {
  const writtenBytes = written.reduce((sum, [, text]) => sum + Buffer.byteLength(text), 0);
  return { writtenChunks: written.length, writtenBytes };
}

/**
 * Swaps the root. A lost answer is settled by sending the very same swap again: reading back an
 * unchanged root would prove nothing while the first one may be on its way, but once the second has
 * won or lost, the first cannot land any more.
 */
async function swapRoot(attempt: Attempt, next: ManifestRoot): Promise<SubmitOutcome> {
  const { ctx, submission, base } = attempt;
  const { platformRevision } = base.stored;
  const text = JSON.stringify(next);
  const { outcome, mayHaveApplied: isUnsure } = await callWithRetry(ctx, submission.deadline, (options) =>
    ctx.platform.swap(ROOT_KEY, platformRevision, text, options),
  );
  if (outcome.kind === 'done') {
    return createAccepted(next.revision);
  }
  if (outcome.kind === 'unknown') {
    return { kind: 'unknown' };
  }
  if (outcome.reason.kind !== 'conflict') {
    return { kind: 'unavailable', fault: { kind: 'unavailable' } };
  }
  const settled = await readWinner(attempt);
  if (settled !== null) {
    return settled;
  }
  return isUnsure ? { kind: 'unknown' } : { kind: 'unavailable', fault: { kind: 'unavailable' } };
}

function createAccepted(revision: number): SubmitOutcome {
  return { kind: 'accepted', revision, repeated: false, writtenChunks: 0, writtenBytes: 0 };
}

/** After a lost swap: whether it was lost to an earlier sending of itself or to another. */
async function readWinner(attempt: Attempt): Promise<SubmitOutcome | null> {
  const { ctx, submission, base, split } = attempt;
  const stored = await readRoot(ctx, submission.deadline);
  if (!stored.ok) {
    return null;
  }
  const { root } = stored.value;
  const found = await findEarlier(attempt, root, getRevision(base));
  if (!found.ok) {
    return null;
  }
  if (found.value === null) {
    return createConflict(root);
  }
  return found.value.content === split.content
    ? createAccepted(found.value.revision)
    : describeEarlier(attempt, found.value);
}

/**
 * Makes sure that a chunk is there. Whoever wrote it first wrote the same text; it will stay, as
 * nothing of this generation is collected before the root has moved, and then our swap has failed or
 * its body names the chunk. Gives false if the deadline came first.
 */
async function writeChunk(
  ctx: StoreContext,
  deadline: Millis,
  ref: ChunkRef,
  text: string,
): Promise<boolean> {
  const { outcome } = await callWithRetry(ctx, deadline, (options) =>
    ctx.platform.swap(getChunkKey(ref), 0, text, options),
  );
  return (
    outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason.kind === 'conflict')
  );
}
