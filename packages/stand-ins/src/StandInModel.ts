/**
 * Language model of the stand-in engine. The answer depends on the prompt alone, so that checks detect any
 * changed token.
 */
import { hash32 } from '@skylarksail/core/CoreHash';

const WORDS = ['apple', 'onion', 'deposit', 'letter', 'price', 'school', 'truck', 'note'] as const;
const MIN_ANSWER_LENGTH = 12;
const ANSWER_LENGTH_RANGE = 24;

/** Hash that replaces the prompt in messages between stages. */
export function computePromptSeed(prompt: string): number {
  return hash32(prompt);
}

/** Token `index` of the answer. */
export function computeToken(seed: number, index: number): string {
  const word = WORDS[hash32(`${seed}/${index}`) % WORDS.length] as string;
  return `${index === 0 ? '' : ' '}${word}-${index}`;
}

/** Number of tokens in the answer before any limit; a prompt can set it with `tokens=N`. */
export function computeAnswerLength(prompt: string): number {
  const requested = /\btokens=(\d{1,5})\b/.exec(prompt);
  return requested
    ? Number(requested[1])
    : MIN_ANSWER_LENGTH + (computePromptSeed(prompt) % ANSWER_LENGTH_RANGE);
}

/** Computes the complete answer to a prompt, for checks. */
export function computeAnswer(
  prompt: string,
  maxTokens: number,
): { readonly text: string; readonly tokens: number; readonly reason: 'stop' | 'length' } {
  const length = computeAnswerLength(prompt);
  const tokens = Math.min(length, maxTokens);
  const seed = computePromptSeed(prompt);
  const text = Array.from({ length: tokens }, (_, i) => computeToken(seed, i)).join('');
  return { text, tokens, reason: length <= maxTokens ? 'stop' : 'length' };
}

/** Renders chat messages as one prompt in the same way as the daemon; checks rely on the match. */
export function renderPrompt(
  messages: readonly { readonly role: string; readonly content: string }[],
): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}
