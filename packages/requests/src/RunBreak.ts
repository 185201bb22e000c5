/** Decides when a stalled answer is aborted, so that its caller can continue elsewhere. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { RequestMachine } from './RequestState.js';
import type { RequestSpec } from './RequestTypes.js';
import type { RouterShared } from './RouterShared.js';

/** Time at which a begun answer is aborted if no token arrives before; Infinity if it must not be aborted. */
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
