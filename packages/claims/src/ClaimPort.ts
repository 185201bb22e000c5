/** The port through which requests claim the right to run, once, what must not run twice. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Millis, RequestId, TeamId } from '@skylarksail/core/CoreTypes';

/** Asks for the right to run a keyed, non-idempotent request. */
export interface ClaimRequest {
  readonly team: TeamId;
  readonly key: string;
  /** Hash of what is asked for; the same key with other content is refused. */
  readonly fingerprint: string;
  readonly request: RequestId;
  readonly timeLeft: Millis;
}

/** What is kept of a request that ended, so that a resend is told the same. */
export interface ClaimRecord {
  readonly run: RunStateName;
  /** The answer as the caller got it, while it is held; null once it is not. */
  readonly answer: string | null;
}

export type ClaimOutcome =
  /** This request, and no other, may be sent, once. */
  | { readonly kind: 'granted'; readonly token: string }
  /** An earlier request has the key and still runs, at that instance if it is known. */
  | { readonly kind: 'running'; readonly instance: string | null }
  /** An earlier request has the key and has ended, or nobody can tell how it ended. */
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  /** The key was used for other content. Nothing ran now. */
  | { readonly kind: 'key-mismatch' }
  /** The key is too old to tell whether it ran. Nothing ran now. */
  | { readonly kind: 'key-expired' }
  /** No claim could be made in time. Nothing ran. */
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis };

export interface ClaimPort {
  claim(ask: ClaimRequest): Promise<ClaimOutcome>;
  /** Says how a granted request ended. Best effort: safety does not hang on it. */
  settle(token: string, record: ClaimRecord): void;
  /** Gives a claim back that was granted and proven not to have run. */
  release(token: string): void;
}
