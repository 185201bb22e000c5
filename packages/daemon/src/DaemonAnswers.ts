/** Answers in the chat-completions and completions shapes, whole and as server-sent events. */
import type { FinishReason } from '@skylarksail/requests/RequestPorts';
import type { CompletionRequest } from './DaemonCallerInput.js';
import type { ProblemBody } from './DaemonProblems.js';

/** Seconds since 1970, as the shapes want it. */
export type UnixSeconds = number;

/** Rough count of a prompt's tokens, as nobody here has the model's tokenizer. */
export function estimatePromptTokens(prompt: string): number {
  const CHARACTERS_PER_TOKEN = 4;
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/** Writes the events of one streamed answer. */
export interface EventFormatter {
  formatStart(): string;
  formatToken(token: string): string;
  formatEnd(reason: FinishReason, tokens: number): string;
  formatError(problem: ProblemBody): string;
}

/** Creates the writer; what is the same in every event is put together once. */
export function createEventFormatter(
  ask: CompletionRequest,
  id: string,
  created: UnixSeconds,
): EventFormatter {
  const isChat = ask.shape === 'chat';
  const object = isChat ? 'chat.completion.chunk' : 'text_completion';
  const head = JSON.stringify({ id: createAnswerId(ask, id), object, created, model: ask.model });
  const open = `data: ${head.slice(0, -1)},"choices":[{"index":0,`;
  const tokenOpen = isChat ? `${open}"delta":{"content":` : `${open}"text":`;
  const tokenClose = `${isChat ? '}' : ''},"finish_reason":null}]}\n\n`;
  const emptyPart = isChat ? '"delta":{}' : '"text":""';
  const usageOf = (tokens: number): string =>
    ask.includeUsage
      ? `data: ${head.slice(0, -1)},"choices":[],"usage":${JSON.stringify(createUsage(ask, tokens))}}\n\n`
      : '';
  return {
    formatStart: () =>
      isChat ? `${open}"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n` : '',
    formatToken: (token) => tokenOpen + JSON.stringify(token) + tokenClose,
    formatEnd: (reason, tokens) =>
      `${open}${emptyPart},"finish_reason":"${reason}"}]}\n\n${usageOf(tokens)}data: [DONE]\n\n`,
    formatError: (problem) => `event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`,
  };
}

/** A whole answer in one body. */
export function createWholeAnswer(
  ask: CompletionRequest,
  id: string,
  created: UnixSeconds,
  tokens: readonly string[],
  reason: FinishReason,
): Readonly<Record<string, unknown>> {
  const text = tokens.join('');
  const isChat = ask.shape === 'chat';
  const choice = isChat
    ? { message: { role: 'assistant', content: text, refusal: null } }
    : { text };
  return {
    id: createAnswerId(ask, id),
    object: isChat ? 'chat.completion' : 'text_completion',
    created,
    model: ask.model,
    choices: [{ index: 0, ...choice, finish_reason: reason, logprobs: null }],
    usage: createUsage(ask, tokens.length),
  };
}

function createAnswerId(ask: CompletionRequest, id: string): string {
  return `${ask.shape === 'chat' ? 'chatcmpl' : 'cmpl'}-${id}`;
}

function createUsage(ask: CompletionRequest, tokens: number): Readonly<Record<string, number>> {
  const promptTokens = estimatePromptTokens(ask.prompt);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}
