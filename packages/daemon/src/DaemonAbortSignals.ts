/** Limits in time for calls of the HTTP client. */
import type { Millis } from '@skylarksail/core/CoreTypes';

/**
 * Aborts after `timeout`. The clock gives fractions of milliseconds and the platform's own function
 * throws on them, which showed as every call to the configuration service coming out as "unknown".
 */
export function createTimeoutSignal(timeout: Millis): AbortSignal {
  return AbortSignal.timeout(Math.max(1, Math.ceil(timeout)));
}
