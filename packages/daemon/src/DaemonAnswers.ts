/**
 * Formats answers of the chat completions and completions APIs, as one body or as server-sent
 * events.
 */
import type { FinishReason } from '@skylarksail/requests/RequestPorts';
import type { CompletionRequest } from './DaemonCallerInput.js';
import type { ProblemBody } from './DaemonProblems.js';

/** Seconds since the Unix epoch, as in the `created` field of an answer. */
export type UnixSeconds = number;

/**
 * Estimates the number of tokens in a prompt, since the router does not have the model's tokenizer.
 */
export function estimatePromptTokens(prompt: string): number {
  const CHARACTERS_PER_TOKEN = 4;
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/** Formats the events of one streamed answer. */
export interface EventFormatter {
  formatStart(): string;
  formatToken(token: string): string;
  formatEnd(reason: FinishReason, tokens: number): string;
  formatError(problem: ProblemBody): string;
}

/** The text that all events of the answer share is formatted only once. */
export function createEventFormatter(
  ask: CompletionRequest,
  id: string,
  created: UnixSeconds,
): EventFormatter {
  const isChat = ask.shape === 'chat';
  const object = isChat ? 'chat.completion.chunk' : 'text_completion';
  const head = JSON.stringify({ id: createAnswerId(ask, id), object, created, model: ask.model });
  const choicePrefix = `data: ${head.slice(0, -1)},"choices":[{"index":0,`;
  const tokenPrefix = isChat ? `${choicePrefix}"delta":{"content":` : `${choicePrefix}"text":`;
  const tokenSuffix = `${isChat ? '}' : ''},"finish_reason":null}]}\n\n`;
  const emptyDelta = isChat ? '"delta":{}' : '"text":""';
  const formatUsage = (tokens: number): string =>
    ask.includeUsage
      ? `data: ${head.slice(0, -1)},"choices":[],"usage":${JSON.stringify(createUsage(ask, tokens))}}\n\n`
      : '';
  return {
    formatStart: () =>
      isChat
        ? `${choicePrefix}"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`
        : '',
    formatToken: (token) => tokenPrefix + JSON.stringify(token) + tokenSuffix,
    formatEnd: (reason, tokens) =>
      `${choicePrefix}${emptyDelta},"finish_reason":"${reason}"}]}\n\n${formatUsage(tokens)}data: [DONE]\n\n`,
    formatError: (problem) => `event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`,
  };
}

/** Creates the body of an answer that is not streamed. */
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
