/** Decides when an answer that stands still is broken off, so that its caller can go on elsewhere. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';

/** Time at which a begun answer is broken off if nothing comes until then; Infinity if it is not to be. */
export function getBreakTime(
  { deps }: RouterShared,
  spec: RequestSpec,
  { tokenCount, progressAt, submittedAt }: RequestMachine,
): Millis {
  const mayBreak = deps.mayBreakOff?.(submittedAt) ?? true;
  return tokenCount > 0 && mayBreak && spec.breakAfter !== undefined
    ? progressAt + spec.breakAfter
    : Infinity;
}
