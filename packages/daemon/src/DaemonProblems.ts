/** Errors sent to callers: problem+json with a stable type, and whether the request ran. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';

const TYPE_PREFIX = 'urn:skylarksail:problem:';

/**
 * Kinds of problems, as in the `type` field. They must not change, since callers rely on them;
 * docs/API.md lists them.
 */
export const ProblemKind = {
  BadRequest: 'bad-request',
  Unauthorized: 'unauthorized',
  Forbidden: 'forbidden',
  NotFound: 'not-found',
  TooLarge: 'too-large',
  SlowSender: 'slow-sender',
  DeadlineTooShort: 'deadline-too-short',
  DeadlineExceeded: 'deadline-exceeded',
  Overloaded: 'overloaded',
  NoCapacity: 'no-capacity',
  BackendFailed: 'backend-failed',
  RequestCrashesBackends: 'request-crashes-backends',
  KeyMismatch: 'key-mismatch',
  KeyExpired: 'key-expired',
  KeyInUse: 'key-in-use',
  AnswerNotHeld: 'answer-not-held',
  OutcomeUnknown: 'outcome-unknown',
  ClaimUnavailable: 'claim-unavailable',
  Stopping: 'stopping',
  Internal: 'internal',
} as const;

export type ProblemKindName = (typeof ProblemKind)[keyof typeof ProblemKind];

const STATUS_AND_TITLE: Readonly<Record<ProblemKindName, readonly [number, string]>> = {
  'bad-request': [400, 'The request is malformed'],
  unauthorized: [401, 'No valid key was given'],
  forbidden: [403, 'This team may not use that'],
  'not-found': [404, 'There is no such thing to call'],
  'too-large': [413, 'The request is too large'],
  'slow-sender': [408, 'The request took too long to arrive'],
  'deadline-too-short': [503, 'The request cannot be answered before its deadline'],
  'deadline-exceeded': [504, 'The deadline passed'],
  overloaded: [429, 'More is asked for than can be served'],
  'no-capacity': [503, 'No backend server can take this now'],
  'backend-failed': [502, 'The backend servers failed'],
  'request-crashes-backends': [422, 'This request has crashed backend servers'],
  'key-mismatch': [422, 'The idempotency key was used for another request'],
  'key-expired': [422, 'The idempotency key is too old'],
  'key-in-use': [409, 'A request with this idempotency key is running'],
  'answer-not-held': [409, 'The request with this idempotency key ended; its answer is not held'],
  'outcome-unknown': [409, 'Nobody can tell whether the request with this idempotency key ran'],
  'claim-unavailable': [503, 'The idempotency key could not be recorded'],
  stopping: [503, 'This instance is stopping'],
  internal: [500, 'The router failed'],
};

/** A problem that is reported to a caller. */
export interface Problem {
  readonly kind: ProblemKindName;
  readonly run: RunStateName;
  readonly detail?: string;
  readonly retryAfter?: Millis | null;
}

/** A problem as sent: the fields of RFC 9457, then the extension members. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail?: string;
  readonly run: RunStateName;
  readonly retry_after_ms?: number;
  readonly request_id: string;
}

export function createProblemBody(problem: Problem, requestId: string): ProblemBody {
  const [status, title] = STATUS_AND_TITLE[problem.kind];
  return {
    type: `${TYPE_PREFIX}${problem.kind}`,
    title,
    status,
    ...(problem.detail === undefined ? {} : { detail: problem.detail }),
    run: problem.run,
    ...(problem.retryAfter === undefined || problem.retryAfter === null
      ? {}
      : { retry_after_ms: Math.ceil(problem.retryAfter) }),
    request_id: requestId,
  };
}

/** Thrown while a request is handled, before any part of it ran. */
export class ProblemError extends Error {
  constructor(readonly problem: Problem) {
    super(problem.kind);
    this.name = 'ProblemError';
  }
}

/** Creates the error for a request that fails before anything was sent to a backend server. */
export function createNotRunError(
  kind: ProblemKindName,
  detail?: string,
  retryAfter?: Millis,
): ProblemError {
  return new ProblemError({
    kind,
    run: RunState.NotRun,
    ...(detail === undefined ? {} : { detail }),
    ...(retryAfter === undefined ? {} : { retryAfter }),
  });
}
