/**
 * Parses and validates the input of callers: bodies of completions, the API key and request
 * headers.
 */
import { z } from 'zod';
import { PRIORITY_ORDER, getPriorityRank } from '@skylarksail/core/CoreConstants';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ManifestLimits, ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import { ProblemKind, createNotRunError } from './DaemonProblems.js';

const DEFAULT_MAX_TOKENS = 256;
const MAX_KEY_LENGTH = 255;
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;
const MODEL_PATTERN = /^([a-z0-9.-]+)(?::([a-z0-9.-]+))?$/;

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });
const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(textPartSchema).min(1)]),
});
const commonFields = {
  model: z.string().regex(MODEL_PATTERN, 'a model, or model:adapter'),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.int().positive().nullish(),
  n: z.literal(1).nullish(),
};
const chatSchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: z.int().positive().nullish(),
});
const completionSchema = z.object({ ...commonFields, prompt: z.string().min(1) });

/** A validated request body of either API. */
export interface CompletionRequest {
  readonly shape: 'chat' | 'text';
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Parses a chat completions body. Throws a ProblemError if it is invalid. */
export function parseChatBody(body: unknown): CompletionRequest {
  const parsed = parseBody(chatSchema, body);
  const prompt = parsed.messages
    .map(({ role, content }) => `${role}: ${joinContent(content)}`)
    .join('\n');
  const maxTokens = parsed.max_completion_tokens ?? parsed.max_tokens;
  return createCompletionRequest('chat', parsed, prompt, maxTokens);
}

/** Parses a completions body. Throws a ProblemError if it is invalid. */
export function parseCompletionBody(body: unknown): CompletionRequest {
  const parsed = parseBody(completionSchema, body);
  return createCompletionRequest('text', parsed, parsed.prompt, parsed.max_tokens);
}

function createCompletionRequest(
  shape: CompletionRequest['shape'],
  parsed: Pick<z.output<typeof completionSchema>, 'model' | 'stream' | 'stream_options'>,
  prompt: string,
  maxTokens: number | null | undefined,
): CompletionRequest {
  const [, model = '', adapter] = MODEL_PATTERN.exec(parsed.model) ?? [];
  return {
    shape,
    model,
    adapter: adapter ?? null,
    prompt,
    maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
    stream: parsed.stream ?? false,
    includeUsage: parsed.stream_options?.include_usage ?? false,
  };
}

function joinContent(content: z.output<typeof messageSchema>['content']): string {
  return typeof content === 'string' ? content : content.map(({ text }) => text).join('\n');
}

function parseBody<T>(schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    const detail = parsed.error.issues
      .map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`)
      .join('; ');
    throw createNotRunError(ProblemKind.BadRequest, detail);
  }
  return parsed.data;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Returns the bearer key. Throws a ProblemError if the header is missing or malformed. */
export function parseBearerKey(headers: Headers): string {
  const found = BEARER_PATTERN.exec(String(headers.authorization ?? ''));
  if (!found?.[1]) {
    throw createNotRunError(ProblemKind.Unauthorized);
  }
  return found[1];
}

/** Options of a request that a caller sets with headers. */
export interface RequestOptions {
  readonly idempotencyKey: string | null;
  /** Time until the deadline. */
  readonly timeLeft: Millis;
  readonly priority: PriorityName;
}

/**
 * Parses the headers that set options of a request. A deadline or a priority above the maximum is
 * lowered to it. Throws a ProblemError if a header is malformed.
 */
export function parseRequestOptions(
  headers: Headers,
  team: ManifestTeam,
  limits: ManifestLimits,
): RequestOptions {
  return {
    idempotencyKey: parseIdempotencyKey(headers['idempotency-key']),
    timeLeft: parseDeadline(headers['x-deadline-ms'], limits),
    priority: parsePriority(headers['x-priority'], team),
  };
}

function parseIdempotencyKey(value: string | string[] | undefined): string | null {
  if (value === undefined) {
    return null;
  }
  const isUsable =
    typeof value === 'string' && value.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(value);
  if (!isUsable) {
    throw createNotRunError(
      ProblemKind.BadRequest,
      `idempotency-key: 1 to ${MAX_KEY_LENGTH} visible ASCII characters`,
    );
  }
  return value;
}

function parseDeadline(value: string | string[] | undefined, limits: ManifestLimits): Millis {
  if (value === undefined) {
    return limits.defaultDeadlineMs;
  }
  const requested = typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : 0;
  if (requested <= 0) {
    throw createNotRunError(
      ProblemKind.BadRequest,
      'x-deadline-ms: milliseconds, a whole number above 0',
    );
  }
  return Math.min(requested, limits.maxDeadlineMs);
}

function parsePriority(value: string | string[] | undefined, team: ManifestTeam): PriorityName {
  if (value === undefined) {
    return team.maxPriority;
  }
  const requested = PRIORITY_ORDER.find((priority) => priority === value);
  if (!requested) {
    throw createNotRunError(
      ProblemKind.BadRequest,
      `x-priority: one of ${PRIORITY_ORDER.join(', ')}`,
    );
  }
  return getPriorityRank(requested) > getPriorityRank(team.maxPriority)
    ? team.maxPriority
    : requested;
}
