/**
 * The root of the manifest: the one value whose swap accepts a submission. It names the body and the
 * newest page of the history, so that all of a revision changes at once.
 */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { ChunkRef } from './ManifestChunks.js';

/** Key of the root in the platform's service. */
export const ROOT_KEY = 'manifest/root';
/** Prefix of the keys of chunks. */
export const CHUNK_PREFIX = 'manifest/chunk/';
/** Entries in one page of the history. */
export const HISTORY_PAGE_LENGTH = 128;

const hash = z.string().regex(/^[A-Za-z0-9_-]{43}$/);
/** Shape of a chunk name. */
export const chunkRefSchema = z.string().regex(/^\d{1,15}-[A-Za-z0-9_-]{43}$/);

/** Shape of the root. */
export const rootSchema = z.strictObject({
  format: z.literal(1),
  /** Rises by one with each accepted submission. */
  revision: z.int().min(1),
  submission: z.string().min(1).max(200),
  body: chunkRefSchema,
  history: chunkRefSchema,
});

export type ManifestRoot = z.output<typeof rootSchema>;

const summarySchema = z.strictObject({
  revision: z.int().min(1),
  submission: z.string(),
  body: chunkRefSchema,
  /** Hash of the manifest however it is cut into chunks. */
  content: hash,
});

const historyPageSchema = z.strictObject({
  /** Oldest first. */
  entries: z.array(summarySchema),
  previous: chunkRefSchema.nullable(),
});

/** One accepted submission. */
export type RevisionSummary = z.output<typeof summarySchema>;
export type HistoryPage = z.output<typeof historyPageSchema>;

/** Key of a chunk in the platform's service. */
export function getChunkKey(ref: ChunkRef): string {
  return `${CHUNK_PREFIX}${ref}`;
}

/** Reads a root as text; the failure says what is wrong with it. */
export function parseRoot(text: string): Result<ManifestRoot, string> {
  return parseAs(rootSchema, text);
}

/** Reads a page of the history as text. */
export function parseHistoryPage(text: string): Result<HistoryPage, string> {
  return parseAs(historyPageSchema, text);
}

function parseAs<T>(schema: z.ZodType<T>, text: string): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return createFailed('not JSON');
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? createOk(parsed.data) : createFailed(z.prettifyError(parsed.error));
}

/** The page that follows `page` when `entry` is accepted; a full page becomes the previous one. */
export function appendHistory(
  page: HistoryPage | null,
  pageRef: ChunkRef | null,
  entry: RevisionSummary,
): HistoryPage {
  if (page === null) {
    return { entries: [entry], previous: null };
  }
  return page.entries.length < HISTORY_PAGE_LENGTH
    ? { entries: [...page.entries, entry], previous: page.previous }
    : { entries: [entry], previous: pageRef };
}
