/**
 * Classifies failed attempts by place, status and structure, never by message text, and decides what may follow
 * each class of failure.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { AttemptFailure, FailurePlaceName } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { FailureCause } from './RequestTypes.js';

/** How far an attempt got. */
export const FailureClass = {
  NotRun: 'not-run',
  Unknown: 'unknown',
  RanInPart: 'ran-in-part',
  Answered: 'answered',
} as const;

export type FailureClassName = (typeof FailureClass)[keyof typeof FailureClass];

/** What the router observed of an attempt before it failed. */
export interface AttemptEvidence {
  readonly acknowledged: boolean;
  readonly tokens: number;
  readonly ended: boolean;
}

/**
 * Classifies a failure. The router's observations take precedence over a backend server's statement: if the server
 * reports `not run` after an acknowledgement or a token, and the caller gets that report, the caller resends the
 * request and it runs twice.
 */
export function classifyFailure(
  failure: AttemptFailure,
  evidence: AttemptEvidence,
): FailureClassName {
  if (evidence.ended) {
    return FailureClass.Answered;
  }
  if (evidence.tokens > 0) {
    return FailureClass.RanInPart;
  }
  if (evidence.acknowledged) {
    return FailureClass.Unknown;
  }
  if (failure.place === FailurePlace.Connect || failure.provenNotRun) {
    return FailureClass.NotRun;
  }
  return FailureClass.Unknown;
}

/** Returns the run state to report to the caller after a failure of the class. */
export function getRunState(failureClass: FailureClassName): RunStateName {
  switch (failureClass) {
    case FailureClass.NotRun:
      return RunState.NotRun;
    case FailureClass.Unknown:
      return RunState.Unknown;
    default:
      return RunState.Ran;
  }
}

const RUN_STATE_ORDER: readonly RunStateName[] = [RunState.NotRun, RunState.Unknown, RunState.Ran];

/** Combines the run states of two attempts: if one may have run, the result says so. */
export function combineRunStates(a: RunStateName, b: RunStateName): RunStateName {
  return RUN_STATE_ORDER.indexOf(a) >= RUN_STATE_ORDER.indexOf(b) ? a : b;
}

/** Returns what a failure shows about the backend server. */
export function describeCause(failure: AttemptFailure): FailureCause {
  if (isStageRefusal(failure)) {
    return 'refused';
  }
  switch (failure.place) {
    case FailurePlace.Refused:
      return 'refused';
    case FailurePlace.Link:
      return 'cut-off';
    case FailurePlace.Silence:
      return 'silent';
    case FailurePlace.Garbage:
    case FailurePlace.Acknowledgement:
      return 'broken';
    default:
      return 'lost';
  }
}

const LOST_ENGINE_PLACES: ReadonlySet<FailurePlaceName> = new Set([
  FailurePlace.Connect,
  FailurePlace.Stream,
  FailurePlace.Stage,
  FailurePlace.Silence,
  FailurePlace.Link,
]);

/** Whether the engine, or the way to it, was lost before or during the attempt, rather than having refused it. */
export function isEngineLost(failure: AttemptFailure): boolean {
  return LOST_ENGINE_PLACES.has(failure.place);
}

/**
 * Whether a stage after the first refused the request of the previous stage. The engine that refused is alive. If it
 * were treated as lost, an engine that has just loaded another version would get no new work for seconds, though it
 * may be the only one with its layers. If it were treated as crashed, its requests would become poison suspects.
 */
export function isStageRefusal({ place, status }: AttemptFailure): boolean {
  return place === FailurePlace.Stage && status !== null;
}

/** Whether a backend server refused the work, for example because it is full or draining. */
export function isRefusal(failure: AttemptFailure): boolean {
  return (
    failure.provenNotRun && (failure.place === FailurePlace.Refused || isStageRefusal(failure))
  );
}

/**
 * Whether an engine's process probably crashed during the attempt, to detect poison requests. A request that reached
 * an engine after its crash did not cause it.
 */
export function isCrashLike(failure: AttemptFailure): boolean {
  const isBroken = failure.place === FailurePlace.Stream || failure.place === FailurePlace.Stage;
  return isBroken && !failure.provenNotRun && !isStageRefusal(failure);
}

/** Failure of a call that reached no server: nothing of it was sent. */
export function createUnreachedFailure(engine: EngineId): AttemptFailure {
  return {
    place: FailurePlace.Connect,
    engine,
    status: null,
    retryAfter: null,
    provenNotRun: true,
  };
}

/** Whether a call reached no server, so that nothing of it was sent. */
export function isUnreached({ place, provenNotRun }: AttemptFailure): boolean {
  return place === FailurePlace.Connect && provenNotRun;
}

const ENDED_ENGINE_PLACES: ReadonlySet<FailurePlaceName> = new Set([
  FailurePlace.Connect,
  FailurePlace.Stream,
  FailurePlace.Stage,
  FailurePlace.Link,
]);

/**
 * Whether a failed attempt counts towards the maximum number of engines of a request. It does if the engine may have
 * run the request and is not known to have stopped; silence does not prove that it stopped.
 */
export function isAttemptSpent(failure: AttemptFailure, failureClass: FailureClassName): boolean {
  return failureClass !== FailureClass.NotRun && !ENDED_ENGINE_PLACES.has(failure.place);
}

/** Maximum number of consecutive failed attempts without a token before a request is given up. */
export const MAX_FRUITLESS_ATTEMPTS = 4;

/** What follows a failed attempt. */
export const NextStep = {
  /** The engine was lost: replace it and continue after the last token. */
  Recover: 'recover',
  /** Retry later, charged to the retry budget. */
  Retry: 'retry',
  Stop: 'stop',
} as const;

export type NextStepName = (typeof NextStep)[keyof typeof NextStep];

/** Maximum number of consecutive attempts on dead engines that lead to a recovery; a later one needs a budgeted retry. */
const MAX_DEAD_ENGINES = 8;

/** Request state that decides what follows a failed attempt. */
export interface RetryState {
  readonly idempotent: boolean;
  /** Consecutive failed attempts without a token. */
  readonly fruitless: number;
  /** Whether the caller has received part of the answer. */
  readonly hasTokens: boolean;
  /** Whether the request may still wait for engines; null if it has no `patience` and `fruitless` decides. */
  readonly isPatient?: boolean | null;
}

/**
 * Decides what follows a failure. Non-idempotent work continues only if it is proven not to have run. A request whose
 * caller has received part of the answer is not given up before its deadline.
 */
export function decideNextStep(
  failure: AttemptFailure,
  failureClass: FailureClassName,
  { idempotent, fruitless, hasTokens, isPatient = null }: RetryState,
): NextStepName {
  if (failureClass === FailureClass.Answered) {
    return NextStep.Stop;
  }
  if (!idempotent && failureClass !== FailureClass.NotRun) {
    return NextStep.Stop;
  }
  const wasAlreadyDown = failureClass === FailureClass.NotRun && isEngineLost(failure);
  const freeAttempts = wasAlreadyDown ? MAX_DEAD_ENGINES : 1;
  if (isEngineLost(failure) && fruitless <= freeAttempts) {
    return NextStep.Recover;
  }
  const isOutOfAttempts = isPatient === null ? fruitless >= MAX_FRUITLESS_ATTEMPTS : !isPatient;
  return isOutOfAttempts && !hasTokens ? NextStep.Stop : NextStep.Retry;
}

const BACKOFF_BASE: Millis = 25;
const BACKOFF_LIMIT: Millis = 2000;
const BACKOFF_JITTER = 0.5;

/** Returns the exponential backoff with jitter before the next attempt, never shorter than `retryAfter`. */
export function computeBackoff(
  random: Random,
  fruitlessAttempts: number,
  retryAfter: Millis | null,
): Millis {
  const exponential = BACKOFF_BASE * 2 ** Math.max(0, fruitlessAttempts - 1);
  const jittered = jitter(random, Math.min(BACKOFF_LIMIT, exponential), BACKOFF_JITTER);
  return retryAfter === null ? jittered : retryAfter + jittered;
}
