/** The stand-in's language model: the answer depends on the prompt alone, so any change shows. */
import { hash32 } from '@skylarksail/core/CoreHash';

const WORDS = ['apple', 'onion', 'deposit', 'letter', 'price', 'school', 'truck', 'note'] as const;
const SHORTEST_ANSWER = 12;
const ANSWER_SPREAD = 24;

/** Number that stands for a prompt in the messages between stages. */
export function computePromptSeed(prompt: string): number {
  return hash32(prompt);
}

/** Token `index` of the answer. */
export function computeToken(seed: number, index: number): string {
  const word = WORDS[hash32(`${seed}/${index}`) % WORDS.length] as string;
  return `${index === 0 ? '' : ' '}${word}-${index}`;
}

/** Tokens that the model would give if nothing limited it; a prompt may ask with `tokens=N`. */
export function computeAnswerLength(prompt: string): number {
  const asked = /\btokens=(\d{1,5})\b/.exec(prompt);
  return asked ? Number(asked[1]) : SHORTEST_ANSWER + (computePromptSeed(prompt) % ANSWER_SPREAD);
}

/** The whole answer to a prompt, for checks. */
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

/** How the daemon writes chat messages as one prompt; checks rely on it. */
export function renderPrompt(
  messages: readonly { readonly role: string; readonly content: string }[],
): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}
