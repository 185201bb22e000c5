/** Parses the stream of an engine from bytes to lines to typed frames, with a limit on the line length. */
import { z } from 'zod';
import { createByteBuffer } from '@skylarksail/core/CoreByteBuffer';

/** Maximum length of a line; no working engine sends a longer frame. */
export const MAX_FRAME_BYTES = 256 * 1024;
const LINE_FEED = 0x0a;

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

/**
 * Splits chunks of bytes into lines. `push` returns null if an unfinished line exceeds the limit. Only what is new is
 * searched, as an engine may send its bytes one by one.
 */
export function createLineReader(): { push(chunk: Buffer): readonly string[] | null } {
  const pending = createByteBuffer({ maxBytes: Infinity });

  function endLine(chunk: Buffer, start: number, end: number): string {
    if (pending.length === 0) {
      return chunk.toString('utf8', start, end);
    }
    pending.append(chunk.subarray(start, end));
    const line = pending.getBytes().toString('utf8');
    pending.clear();
    return line;
  }

  return {
    push(chunk) {
      const lines: string[] = [];
      let start = 0;
      for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
        lines.push(endLine(chunk, start, end));
        start = end + 1;
      }
      pending.append(chunk.subarray(start));
      return pending.length > MAX_FRAME_BYTES ? null : lines;
    },
  };
}
