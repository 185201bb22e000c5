/**
 * The root of the manifest: the single value whose compare-and-swap accepts a submission. It references
 * the body and the newest page of the history, so that a revision changes atomically.
 */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import type { ChunkRef } from './ManifestChunks.js';

/** Key of the root in the platform's store. */
export const ROOT_KEY = 'manifest/root';
/** Key prefix of the chunks. */
export const CHUNK_PREFIX = 'manifest/chunk/';
/** Maximum number of entries in one page of the history. */
export const HISTORY_PAGE_LENGTH = 128;

const hashSchema = z.string().regex(/^[A-Za-z0-9_-]{43}$/);
export const chunkRefSchema = z.string().regex(/^\d{1,15}-[A-Za-z0-9_-]{43}$/);

export const rootSchema = z.strictObject({
  format: z.literal(1),
  /** Increases by one with each accepted submission. */
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
  /** Hash of the manifest, independent of how it is split into chunks. */
  content: hashSchema,
});

const historyPageSchema = z.strictObject({
  /** Oldest first. */
  entries: z.array(summarySchema),
  previous: chunkRefSchema.nullable(),
});

/** One accepted submission. */
export type RevisionSummary = z.output<typeof summarySchema>;
export type HistoryPage = z.output<typeof historyPageSchema>;

/** Returns the key of a chunk in the platform's store. */
export function getChunkKey(ref: ChunkRef): string {
  return `${CHUNK_PREFIX}${ref}`;
}

/** Parses a root; the failure describes the error. */
export function parseRoot(text: string): Result<ManifestRoot, string> {
  return parseWithSchema(rootSchema, text);
}

/** Parses a page of the history; the failure describes the error. */
export function parseHistoryPage(text: string): Result<HistoryPage, string> {
  return parseWithSchema(historyPageSchema, text);
}

function parseWithSchema<T>(schema: z.ZodType<T>, text: string): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return createFailed('not JSON');
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? createOk(parsed.data) : createFailed(z.prettifyError(parsed.error));
}

/**
 * Returns the newest page after `entry` is accepted: `page` with the entry appended, or a new page that
 * links to `page` if that is full.
 */
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
