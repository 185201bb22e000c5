/** Encodes tasks and their frames. A frame is its length in four bytes and its content as MessagePack. */
import { pack, unpack } from 'msgpackr';
import { z } from 'zod';
import { createChain } from '@skylarksail/core/CoreChain';
import { Priority } from '@skylarksail/core/CoreConstants';
import { FailurePlace } from '@skylarksail/requests/RequestPorts';
import type { ForwardFrame, ForwardTask } from './RelayForwardTypes.js';
import { ForwardRefusal } from './RelayForwardTypes.js';

const LENGTH_BYTES = 4;
/** Far more than the largest body that a caller may send, or a server's answer. */
export const MAX_TASK_BYTES = 16 * 1024 * 1024;

const count = z.int().min(0);
const headers = z.record(z.string(), z.string());
const bytes = z.instanceof(Uint8Array);
const range = z.object({ first: count, end: count });
const stages = z.array(z.object({ engine: z.string(), layers: range }));
const variant = z.object({
  model: z.string(),
  version: z.string(),
  adapter: z.nullable(z.string()),
});

const chain = z.object({ variant, stages }).transform((sent, ctx) => {
  const layerCount = sent.stages.at(-1)?.layers.end ?? 0;
  const created = createChain(sent.variant, layerCount, sent.stages);
  if (!created.ok) {
    ctx.addIssue({ code: 'custom', message: `no chain: ${created.error.kind}` });
    return z.NEVER;
  }
  return created.value;
});

const callFields = {
  request: z.string(),
  attempt: count,
  team: z.string(),
  priority: z.enum(Priority),
  timeLeft: z.number(),
};

/** Derived from a number that the caller tells in a header; it only orders queues, so a call is not refused for it. */
const contextTokens = z.optional(z.number().min(0)).catch(undefined);

const engineCall = z.object({
  ...callFields,
  chain,
  original: z.nullable(z.object({ method: z.string(), path: z.string(), headers, body: bytes })),
  prompt: z.string(),
  contextTokens,
  isYielding: z.optional(z.boolean()),
  resumeTokens: z.array(z.string()),
  maxTokens: count,
  importFrom: stages,
});

const serviceCall = z.object({
  ...callFields,
  service: z.string(),
  server: z.string(),
  method: z.string(),
  path: z.string(),
  headers,
  body: bytes,
});

const server = z.string();

const taskSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('engine-call'), call: engineCall, hasPermit: z.boolean() }),
  z.object({ kind: z.literal('service-call'), call: serviceCall, hasPermit: z.boolean() }),
  z.object({ kind: z.literal('check'), server }),
  z.object({ kind: z.literal('health'), server }),
  z.object({ kind: z.literal('status'), server }),
  z.object({ kind: z.literal('order'), server, range, orderCount: count }),
]);

const head = z.object({
  status: count,
  headers,
  isUnframed: z.optional(z.boolean()),
  isLeaving: z.optional(z.boolean()),
});

const failure = z.object({
  place: z.enum(FailurePlace),
  engine: z.nullable(z.string()),
  status: z.nullable(count),
  retryAfter: z.nullable(z.number()),
  provenNotRun: z.boolean(),
});

const health = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('well'), id: z.string() }),
  z.object({ kind: z.literal('leaving') }),
  z.object({ kind: z.literal('silent') }),
  z.object({ kind: z.literal('backed-off') }),
]);

const engineStatus = z.object({
  born: z.nullable(z.number()),
  orderCount: count,
  isBusy: z.boolean(),
  layers: z.nullable(range),
});

const frameSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('token'), index: count, token: z.string() }),
  z.object({ kind: z.literal('taken') }),
  z.object({ kind: z.literal('connection'), isSent: z.boolean() }),
  z.object({
    kind: z.literal('acknowledged'),
    acknowledgement: z.object({ variant, stages, head: z.optional(head) }),
  }),
  z.object({ kind: z.literal('end'), reason: z.enum(['stop', 'length']), tokenCount: count }),
  z.object({ kind: z.literal('answer'), answer: z.object({ ...head.shape, body: bytes }) }),
  z.object({ kind: z.literal('failure'), failure }),
  z.object({ kind: z.literal('refused'), reason: z.enum(ForwardRefusal) }),
  z.object({ kind: z.literal('checked'), isReached: z.boolean() }),
  z.object({ kind: z.literal('health'), health }),
  z.object({ kind: z.literal('status'), status: z.nullable(engineStatus) }),
  z.object({
    kind: z.literal('ordered'),
    outcome: z.enum(['accepted', 'stale', 'refused', 'unknown']),
  }),
]);

/** Encodes a task. The prompt is left out where the engine takes the caller's request, which holds it already. */
export function packTask(task: ForwardTask): Buffer {
  return task.kind === 'engine-call' && task.call.original !== null
    ? pack({ ...task, call: { ...task.call, prompt: '' } })
    : pack(task);
}

/** Decodes a task; null if it is invalid. */
export function readTask(body: Buffer): ForwardTask | null {
  try {
    return taskSchema.safeParse(unpack(body)).data ?? null;
  } catch {
    return null;
  }
}

/** Encodes a frame with its length. */
export function packFrame(frame: ForwardFrame): Buffer {
  const content = pack(frame);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.byteLength);
  return Buffer.concat([length, content]);
}

/** Decodes a stream of frames that arrive in pieces. */
export interface FrameReader {
  /** Returns the frames that are complete with this piece; throws if one is invalid. */
  push(piece: Uint8Array): readonly ForwardFrame[];
}

export function createFrameReader(): FrameReader {
  let rest = Buffer.alloc(0);
  return {
    push(piece) {
      rest = rest.byteLength === 0 ? Buffer.from(piece) : Buffer.concat([rest, piece]);
      const frames: ForwardFrame[] = [];
      while (rest.byteLength >= LENGTH_BYTES) {
        const end = LENGTH_BYTES + rest.readUInt32BE();
        if (end > MAX_TASK_BYTES) {
          throw new RangeError('frame too long');
        }
        if (rest.byteLength < end) {
          break;
        }
        frames.push(frameSchema.parse(unpack(rest.subarray(LENGTH_BYTES, end))));
        rest = rest.subarray(end);
      }
      return frames;
    },
  };
}
