/**
 * Submits manifests. A manifest is validated, split into chunks and accepted by one compare-and-swap of
 * the root, so exactly one of several concurrent submissions wins. The submission id makes a submission
 * idempotent: it takes effect at most once, however often it is sent.
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

/** Delay before the root is read again because a chunk that it referenced no longer exists. */
const REREAD_DELAY: Millis = 50;

export interface SubmitOptions {
  /** Idempotency key that the submitter chooses for each change; a repeat returns the first result. */
  readonly submissionId: string;
  /**
   * Revision that the change is based on; 0 for the first manifest. Null accepts the revision that is
   * current when the submission starts, and so may overwrite a change that its author has not seen.
   */
  readonly expectedRevision: number | null;
  /** Deadline of the submission, as a time of the context's timers. */
  readonly deadline: Millis;
  /**
   * Called when this submission is accepted, with the chunks that it added. The instance that handled it
   * can notify its peers immediately; otherwise a change accepted just before an outage of the platform
   * would reach them only after the outage.
   */
  readonly onAccepted?: (root: ManifestRoot, chunks: ReadonlyMap<ChunkRef, string>) => void;
}

/** Result of a submission. */
export type SubmitOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** Whether the submission had already been accepted before this call. */
      readonly repeated: boolean;
      readonly writtenChunks: number;
      readonly writtenBytes: number;
    }
  | { readonly kind: 'invalid'; readonly faults: readonly ManifestFault[] }
  /** The current revision is not the expected one; `revision` and `submission` identify it. */
  | { readonly kind: 'conflict'; readonly revision: number; readonly submission: string | null }
  /** The submission id was accepted earlier, as `revision`, with different content. */
  | { readonly kind: 'id-reused'; readonly revision: number }
  /**
   * This call did not write the root and cannot write it later. An earlier call with the same id whose
   * outcome was unknown may still have been accepted.
   */
  | { readonly kind: 'unavailable'; readonly fault: ReadFault }
  /** The response was lost: it may have been accepted or may still be. Retry with the same id. */
  | { readonly kind: 'unknown' };

/** The root that a submission is based on, with its tree and newest history page. */
interface SubmissionBase {
  readonly stored: StoredRoot;
  readonly tree: ManifestTree | null;
  readonly page: HistoryPage | null;
}

interface PreparedSubmission {
  readonly ctx: StoreContext;
  readonly submission: SubmitOptions;
  readonly base: SubmissionBase;
  readonly split: SplitManifest;
}

/** Submits a manifest, with retries until the deadline. */
export async function submitManifest(
  ctx: StoreContext,
  input: unknown,
  submission: SubmitOptions,
): Promise<SubmitOutcome> {
  const checked = await runWork(ctx, checkInSlices(input));
  if (!checked.ok) {
    return { kind: 'invalid', faults: checked.error };
  }
  const base = await readBase(ctx, submission.deadline);
  if (!base.ok) {
    return { kind: 'unavailable', fault: base.error };
  }
  const { stored, tree } = base.value;
  const split = await runWork(ctx, splitInSlices(checked.value, tree, stored.platformRevision));
  const oversized = findOversizedParts(split);
  if (oversized.length > 0) {
    const faults = oversized.map((path) => ({ path, message: `over ${MAX_CHUNK_BYTES} bytes` }));
    return { kind: 'invalid', faults };
  }
  return submitSplit({ ctx, submission, base: base.value, split });
}

function runWork<T>(ctx: StoreContext, work: SlicedWork<T>): Promise<T> | T {
  return ctx.pause ? runInSlices(work, ctx.pause) : runSynchronously(work);
}

function getRevision({ stored }: Pick<SubmissionBase, 'stored'>): number {
  return stored.root?.revision ?? 0;
}

async function submitSplit(prepared: PreparedSubmission): Promise<SubmitOutcome> {
  const { submission, base } = prepared;
  const { root } = base.stored;
  const earlier = await findEarlierAcceptance(prepared, root, 0);
  if (!earlier.ok) {
    return { kind: 'unavailable', fault: earlier.error };
  }
  if (earlier.value !== null) {
    return createResubmissionOutcome(prepared, earlier.value);
  }
  const expected = submission.expectedRevision ?? getRevision(base);
  return getRevision(base) === expected ? writeRevision(prepared) : createConflict(root);
}

/**
 * Reads the root, its index chunks and its newest history page. It starts again if a chunk no longer
 * exists, because then the root was superseded in the meantime.
 */
async function readBase(
  ctx: StoreContext,
  deadline: Millis,
): Promise<Result<SubmissionBase, ReadFault>> {
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

/** Looks for this submission among those accepted after revision `after`. */
async function findEarlierAcceptance(
  { ctx, submission }: PreparedSubmission,
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

function createResubmissionOutcome(
  { split }: PreparedSubmission,
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

async function writeRevision(prepared: PreparedSubmission): Promise<SubmitOutcome> {
  const { ctx, submission, base, split } = prepared;
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
  const newChunks: readonly (readonly [ChunkRef, string])[] = [...split.added, [history, page]];
  const results = await mapBounded(newChunks, ([ref, text]) =>
    writeChunk(ctx, submission.deadline, ref, text),
  );
  if (results.includes(false)) {
    return { kind: 'unavailable', fault: { kind: 'unavailable' } };
  }
  const newRoot: ManifestRoot = {
    format: 1,
    revision,
    submission: submission.submissionId,
    body: split.body,
    history,
  };
  const outcome = await swapRoot(prepared, newRoot);
  if (outcome.kind !== 'accepted') {
    return outcome;
  }
  if (outcome.revision === revision) {
    submission.onAccepted?.(newRoot, split.added);
  }
  return { ...outcome, ...countWrites(newChunks) };
}

function countWrites(written: readonly (readonly [ChunkRef, string])[]): {
  writtenChunks: number;
  writtenBytes: number;
} {
  const writtenBytes = written.reduce((sum, [, text]) => sum + Buffer.byteLength(text), 0);
  return { writtenChunks: written.length, writtenBytes };
}

/**
 * Swaps the root. If a response is lost, the identical swap is sent again. Reading back an unchanged root
 * would prove nothing, because the first swap may still be in flight; but once the second swap has
 * succeeded or failed with a conflict, the first can no longer take effect. Any other refusal of the second
 * swap leaves the outcome of the first unknown.
 */
async function swapRoot(
  prepared: PreparedSubmission,
  newRoot: ManifestRoot,
): Promise<SubmitOutcome> {
  const { ctx, submission, base } = prepared;
  const { platformRevision } = base.stored;
  const text = JSON.stringify(newRoot);
  const { outcome, mayHaveApplied: isUnsure } = await callWithRetry(
    ctx,
    submission.deadline,
    (options) => ctx.platform.swap(ROOT_KEY, platformRevision, text, options),
  );
  if (outcome.kind === 'done') {
    return createAccepted(newRoot.revision);
  }
  const isConflict = outcome.kind === 'refused' && outcome.reason.kind === 'conflict';
  const resolved = isConflict ? await resolveRefusedSwap(prepared) : null;
  if (resolved !== null) {
    return resolved;
  }
  return outcome.kind === 'unknown' || isUnsure
    ? { kind: 'unknown' }
    : { kind: 'unavailable', fault: { kind: 'unavailable' } };
}

function createAccepted(revision: number): SubmitOutcome {
  return { kind: 'accepted', revision, repeated: false, writtenChunks: 0, writtenBytes: 0 };
}

/**
 * Determines, after the swap failed with a conflict, whether an earlier transmission of this submission
 * or a different submission changed the root. Returns null if root or history cannot be read.
 */
async function resolveRefusedSwap(prepared: PreparedSubmission): Promise<SubmitOutcome | null> {
  const { ctx, submission, base, split } = prepared;
  const stored = await readRoot(ctx, submission.deadline);
  if (!stored.ok) {
    return null;
  }
  const { root } = stored.value;
  const found = await findEarlierAcceptance(prepared, root, getRevision(base));
  if (!found.ok) {
    return null;
  }
  if (found.value === null) {
    return createConflict(root);
  }
  return found.value.content === split.content
    ? createAccepted(found.value.revision)
    : createResubmissionOutcome(prepared, found.value);
}

/**
 * Ensures that a chunk exists. A conflict counts as success, since every writer of this name writes the
 * same text. The chunk is not collected too early: its generation is collected only after the root has
 * changed, and then this submission's swap has failed or its body references the chunk. Returns false
 * if the chunk could not be written by the deadline.
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
