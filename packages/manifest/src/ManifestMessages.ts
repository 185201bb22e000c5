/** Messages about the manifest between instances, and their validation on receipt. */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { chunkRefSchema, rootSchema } from './ManifestRoot.js';

/** Maximum number of instances that a digest lists as behind. */
export const MAX_NAMED_BEHIND = 32;
const MAX_REFS = 4096;

const revision = z.int().min(0);
/** Random id, chosen by the sender of a query; 0 for none. */
const queryId = z.int().min(0);
const instance = z.string().min(1).max(200);

/** Summary of how many instances of a domain have a revision in force. */
const digestSchema = z.strictObject({
  domain: z.string(),
  revision,
  total: z.int().min(0),
  inForce: z.int().min(0),
  /** Some instances that have not confirmed; `revision` is the last one they confirmed, 0 for none. */
  behind: z.array(z.strictObject({ instance, revision })).max(MAX_NAMED_BEHIND),
});

const messageSchema = z.discriminatedUnion('type', [
  /**
   * The sender holds all chunks of this revision; 0 if it holds none. A nonzero `ask` requests an answer
   * that repeats it as `reply`: such an answer proves what the peer held after this process asked it.
   */
  z.strictObject({ type: z.literal('told'), revision, ask: queryId, reply: queryId }),
  /** Requests the root, the chunks that it adds to revision `have`, and the listed chunks. */
  z.strictObject({
    type: z.literal('asked'),
    have: revision,
    refs: z.array(chunkRefSchema).max(MAX_REFS),
  }),
  z.strictObject({
    type: z.literal('given'),
    root: rootSchema,
    chunks: z.array(z.strictObject({ ref: chunkRefSchema, text: z.string() })),
  }),
  /** The sender has put this revision into force. */
  z.strictObject({ type: z.literal('confirmed'), revision }),
  z.strictObject({ type: z.literal('digest-asked'), revision }),
  z.strictObject({ type: z.literal('digest-given'), digest: digestSchema }),
]);

export type SpreadMessage = z.output<typeof messageSchema>;
export type ConfirmDigest = z.output<typeof digestSchema>;

/** Validates a message from a peer. */
export function parseSpreadMessage(input: unknown): Result<SpreadMessage, string> {
  const parsed = messageSchema.safeParse(input);
  return parsed.success ? createOk(parsed.data) : createFailed(z.prettifyError(parsed.error));
}
