/** Port through which a request that must not run twice claims the right to run once. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Millis, RequestId, TeamId } from '@skylarksail/core/CoreTypes';

/** A claim request: asks for the right to run a non-idempotent request that has an idempotency key. */
export interface ClaimRequest {
  readonly team: TeamId;
  readonly key: string;
  /** Hash of the request's content; the same key with different content is refused. */
  readonly fingerprint: string;
  readonly request: RequestId;
  readonly timeLeft: Millis;
}

/** Result of a finished request, kept so that a resend gets the same result. */
export interface ClaimRecord {
  readonly run: RunStateName;
  /** The response that the caller got; null if it is not stored or no longer stored. */
  readonly answer: string | null;
}

export type ClaimOutcome =
  /** Only this request may be dispatched, and only once. */
  | { readonly kind: 'granted'; readonly token: string }
  /** An earlier request with the key is still running; `instance` is null if it is not known where. */
  | { readonly kind: 'running'; readonly instance: string | null }
  /** An earlier request with the key has finished, or its state cannot be determined. */
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  /** The key was used with different content. This request did not run. */
  | { readonly kind: 'key-mismatch' }
  /** The key is too old to determine whether it was used before. This request did not run. */
  | { readonly kind: 'key-expired' }
  /** No claim could be stored in time. This request did not run. */
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis };

export interface ClaimPort {
  claim(ask: ClaimRequest): Promise<ClaimOutcome>;
  /** Reports the result of a granted request. Best effort: at-most-once execution does not depend on it. */
  settle(token: string, record: ClaimRecord): void;
  /** Releases a granted claim whose request provably did not run. */
  release(token: string): void;
}
