/** What instances tell each other of the manifest, and the check of what a peer sends. */
import { z } from 'zod';
import type { Result } from '@skylarksail/core/CoreTypes';
import { createFailed, createOk } from '@skylarksail/core/CoreTypes';
import { chunkRefSchema, rootSchema } from './ManifestRoot.js';

/** Instances that one digest names at the most. */
export const MAX_NAMED_BEHIND = 32;
const MAX_REFS = 4096;

const revision = z.int().min(0);
/** Chosen at random by who asks; 0 for none. */
const askNumber = z.int().min(0);
const instance = z.string().min(1).max(200);

/** How far a domain's instances have put a revision into force. */
const digestSchema = z.strictObject({
  domain: z.string(),
  revision,
  total: z.int().min(0),
  inForce: z.int().min(0),
  /** Some of those that have not confirmed; `revision` is the last that they confirmed, 0 for none. */
  behind: z.array(z.strictObject({ instance, revision })).max(MAX_NAMED_BEHIND),
});

const messageSchema = z.discriminatedUnion('type', [
  /**
   * The sender holds this revision whole; 0 if it holds none. `ask` wants an answer that repeats it as
   * `reply`: an answer then proves what the peer held after it was asked, by this very process.
   */
  z.strictObject({ type: z.literal('told'), revision, ask: askNumber, reply: askNumber }),
  /** Asks for the root, what it adds to revision `have`, and the chunks named. */
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

/** Checks what came from a peer. */
export function parseSpreadMessage(input: unknown): Result<SpreadMessage, string> {
  const parsed = messageSchema.safeParse(input);
  return parsed.success ? createOk(parsed.data) : createFailed(z.prettifyError(parsed.error));
}
