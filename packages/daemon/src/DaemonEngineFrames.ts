/** Parses the stream of an engine from bytes to lines to typed frames, with a limit on the line length. */
import { StringDecoder } from 'node:string_decoder';
import { z } from 'zod';

/** Maximum length of a line; no working engine sends a longer frame. */
export const MAX_FRAME_BYTES = 256 * 1024;

const layersSchema = z.object({ first: z.int(), end: z.int() });

const acknowledgementSchema = z.object({
  type: z.literal('ack'),
  variant: z.object({
    model: z.string(),
    version: z.string(),
    adapter: z.string().nullable(),
  }),
  stages: z.array(z.object({ engine: z.string(), layers: layersSchema })),
});
const endSchema = z.object({
  type: z.literal('end'),
  reason: z.enum(['stop', 'length']),
  tokens: z.int(),
});
const failedSchema = z.object({
  type: z.literal('failed'),
  engine: z.string(),
  status: z.int().nullable(),
});

export type EngineFrame =
  | z.output<typeof acknowledgementSchema>
  | z.output<typeof endSchema>
  | z.output<typeof failedSchema>
  | { readonly type: 'token'; readonly index: number; readonly token: string };

const nonTokenFrameSchema = z.discriminatedUnion('type', [
  acknowledgementSchema,
  endSchema,
  failedSchema,
]);

/** Parses one line; null if it is not a valid frame. Token frames, nearly all lines, bypass the schema library. */
export function parseEngineFrame(line: string): EngineFrame | null {
  let json: unknown;
  try {
    json = JSON.parse(line);
  } catch {
    return null;
  }
  const frame = json as { type?: unknown; index?: unknown; token?: unknown } | null;
  if (frame?.type === 'token') {
    return Number.isInteger(frame.index) && typeof frame.token === 'string'
      ? { type: 'token', index: frame.index as number, token: frame.token }
      : null;
  }
  const parsed = nonTokenFrameSchema.safeParse(json);
  return parsed.success ? parsed.data : null;
}

/** Splits chunks of bytes into lines. `push` returns null if an unfinished line exceeds the limit. */
export function createLineReader(): { push(chunk: Buffer): readonly string[] | null } {
  const decoder = new StringDecoder('utf8');
  let partialLine = '';
  return {
    push(chunk) {
      const lines = (partialLine + decoder.write(chunk)).split('\n');
      partialLine = lines.pop() ?? '';
      return partialLine.length > MAX_FRAME_BYTES ? null : lines;
    },
  };
}
