/** Abort signals for timeouts of HTTP client calls. */
import type { Millis } from '@skylarksail/core/CoreTypes';

/**
 * Aborts after `timeout`, rounded up to whole milliseconds. The clock has fractions of
 * milliseconds, on which `AbortSignal.timeout` throws; without the rounding, every call to the
 * configuration service would end as "unknown".
 */
export function createTimeoutSignal(timeout: Millis): AbortSignal {
  return AbortSignal.timeout(Math.max(1, Math.ceil(timeout)));
}
