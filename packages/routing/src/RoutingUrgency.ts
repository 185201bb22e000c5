/**
 * Decides which prompts of one priority yield to others in an engine's queue, where long prompts would delay short ones beyond
 * their target.
 */

/** Length at which prompts always yield, as a multiple of the model's usual length; at the usual length none does. */
const YIELDING_RATIO = 2;

/**
 * Whether a prompt yields; `attempt` counts from 1, `draw` is a random number in [0, 1). The probability rises with its length, so
 * that no length separates two kinds of prompts and some long ones go first. A prompt that is sent again never yields, as an engine
 * that refused or lost it has delayed it already.
 */
export function shouldYield(
  promptTokens: number,
  usualPromptTokens: number,
  attempt: number,
  draw: number,
): boolean {
  const excess = (promptTokens / usualPromptTokens - 1) / (YIELDING_RATIO - 1);
  return attempt === 1 && usualPromptTokens > 0 && excess > draw;
}
