/** Maps the problems that the request router reports to the problems that callers get. */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { RequestProblem } from '@skylarksail/requests/RequestTypes';
import { ProblemKind as RequestProblemKind } from '@skylarksail/requests/RequestTypes';
import type { Problem, ProblemKindName } from './DaemonProblems.js';
import { ProblemKind } from './DaemonProblems.js';

const KIND_BY_REQUEST_PROBLEM: Readonly<Record<RequestProblem['kind'], ProblemKindName>> = {
  [RequestProblemKind.Overloaded]: ProblemKind.Overloaded,
  [RequestProblemKind.Suspected]: ProblemKind.Overloaded,
  [RequestProblemKind.Deadline]: ProblemKind.DeadlineExceeded,
  [RequestProblemKind.NoChain]: ProblemKind.NoCapacity,
  [RequestProblemKind.EngineFailed]: ProblemKind.BackendFailed,
  [RequestProblemKind.Poison]: ProblemKind.RequestCrashesBackends,
  [RequestProblemKind.AlreadyRunning]: ProblemKind.KeyInUse,
  [RequestProblemKind.AnswerGone]: ProblemKind.AnswerNotHeld,
  [RequestProblemKind.OutcomeUnknown]: ProblemKind.OutcomeUnknown,
  [RequestProblemKind.KeyMismatch]: ProblemKind.KeyMismatch,
  [RequestProblemKind.KeyExpired]: ProblemKind.KeyExpired,
  [RequestProblemKind.ClaimUnavailable]: ProblemKind.ClaimUnavailable,
  [RequestProblemKind.Draining]: ProblemKind.Stopping,
  [RequestProblemKind.HungUp]: ProblemKind.Internal,
};

export function createProblem({ kind, run, retryAfter }: RequestProblem): Problem {
  const isRefusedEarly = kind === RequestProblemKind.Deadline && run === RunState.NotRun;
  return {
    kind: isRefusedEarly ? ProblemKind.DeadlineTooShort : KIND_BY_REQUEST_PROBLEM[kind],
    run,
    retryAfter,
  };
}
