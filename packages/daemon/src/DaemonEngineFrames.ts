/** Reads the engines' stream: bytes to lines to typed frames, with a bound on the length of a line. */
import { StringDecoder } from 'node:string_decoder';
import { z } from 'zod';

/** A line longer than this is not a frame of any engine that works. */
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

const rareFrameSchema = z.discriminatedUnion('type', [
  acknowledgementSchema,
  endSchema,
  failedSchema,
]);

/** Reads one line; null if it is not a frame. Tokens, nearly all lines, skip the schema library. */
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
  const parsed = rareFrameSchema.safeParse(json);
  return parsed.success ? parsed.data : null;
}

/** Joins chunks of bytes into lines. `push` gives null once a line exceeds the bound. */
export function createLineReader(): { push(chunk: Buffer): readonly string[] | null } {
  const decoder = new StringDecoder('utf8');
  let rest = '';
  return {
    push(chunk) {
      const lines = (rest + decoder.write(chunk)).split('\n');
      rest = lines.pop() ?? '';
      return rest.length > MAX_FRAME_BYTES ? null : lines;
    },
  };
}
