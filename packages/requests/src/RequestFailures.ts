/**
 * The one classification of failed attempts, told by place, status and structure, never by message
 * text, and what may be done after each class.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { Random } from '@skylarksail/core/CoreRandom';
import { jitter } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
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

/** What we saw of an attempt ourselves before it failed. */
export interface AttemptEvidence {
  readonly acknowledged: boolean;
  readonly tokens: number;
  readonly ended: boolean;
}

/**
 * Classifies a failure. What we saw outweighs what the backend server says: a `not run` after an
 * acknowledgement or a token would be passed on to the caller, who would send the request again and
 * have it run twice.
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

/** What the caller may be told after a failure of a class. */
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

/** What is known of a request from two of its attempts: one that may have run is never forgotten. */
export function combineRunStates(a: RunStateName, b: RunStateName): RunStateName {
  return RUN_STATE_ORDER.indexOf(a) >= RUN_STATE_ORDER.indexOf(b) ? a : b;
}

/** What a failure says of the backend server. */
export function describeCause(failure: AttemptFailure): FailureCause {
  if (isStageRefusal(failure)) {
    return 'refused';
  }
  switch (failure.place) {
    case FailurePlace.Refused:
      return 'refused';
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
]);

/** Whether the engine was lost, before or under the work, as against having refused it. */
export function isEngineLost(failure: AttemptFailure): boolean {
  return LOST_ENGINE_PLACES.has(failure.place);
}

/**
 * Whether a stage behind the first one answered the stage before it, with a refusal. It is alive: taken for lost, an
 * engine that has just loaded another version would get no new work for seconds, though it may be the only one
 * with its layers; taken for crashed, it would put the requests there under suspicion.
 */
export function isStageRefusal({ place, status }: AttemptFailure): boolean {
  return place === FailurePlace.Stage && status !== null;
}

/** Whether a backend server said that it does not take the work, as one does that is full or leaving. */
export function isRefusal(failure: AttemptFailure): boolean {
  return (
    failure.provenNotRun && (failure.place === FailurePlace.Refused || isStageRefusal(failure))
  );
}

/**
 * Whether a failure looks like the death of an engine's process under the work, for the search for
 * poison requests. Work that came to an engine already dead is no suspect of its death.
 */
export function isCrashLike(failure: AttemptFailure): boolean {
  const isBroken = failure.place === FailurePlace.Stream || failure.place === FailurePlace.Stage;
  return isBroken && !failure.provenNotRun && !isStageRefusal(failure);
}

const ENDED_ENGINE_PLACES: ReadonlySet<FailurePlaceName> = new Set([
  FailurePlace.Connect,
  FailurePlace.Stream,
  FailurePlace.Stage,
]);

/**
 * Whether a failed attempt counts against the engines that a request may run on: the engine may have
 * run it, and is not known to have ended. Silence proves no end.
 */
export function isAttemptSpent(failure: AttemptFailure, failureClass: FailureClassName): boolean {
  return failureClass !== FailureClass.NotRun && !ENDED_ENGINE_PLACES.has(failure.place);
}

/** Failed attempts in a row, none of which gave a token, after which a request is given up. */
export const MAX_FRUITLESS_ATTEMPTS = 4;

/** How to go on after a failed attempt. */
export const NextStep = {
  /** The engine was lost under the work: replace it and go on from the last token. */
  Recover: 'recover',
  /** Try again later, out of the retry budget. */
  Retry: 'retry',
  Stop: 'stop',
} as const;

export type NextStepName = (typeof NextStep)[keyof typeof NextStep];

/** Attempts at engines that were dead already, after which trying on waits for the budget. */
const MAX_DEAD_ENGINES = 8;

/** What decides how a request goes on. */
export interface RetryState {
  readonly idempotent: boolean;
  /** Failed attempts in a row, none of which gave a token. */
  readonly fruitless: number;
  /** Whether the caller has a part of the answer. */
  readonly hasTokens: boolean;
  /** Whether it still waits for engines; null if the count of its attempts decides. */
  readonly isPatient?: boolean | null;
}

/**
 * Decides what may follow a failure. Non-idempotent work goes on only if it is proven not to have run.
 * An answer of which the caller has a part is not given up before its deadline.
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
  const isDead = failureClass === FailureClass.NotRun && isEngineLost(failure);
  const freeAttempts = isDead ? MAX_DEAD_ENGINES : 1;
  if (isEngineLost(failure) && fruitless <= freeAttempts) {
    return NextStep.Recover;
  }
  const isTooOften = isPatient === null ? fruitless >= MAX_FRUITLESS_ATTEMPTS : !isPatient;
  return isTooOften && !hasTokens ? NextStep.Stop : NextStep.Retry;
}

const BACKOFF_BASE: Millis = 25;
const BACKOFF_LIMIT: Millis = 2000;
const BACKOFF_JITTER = 0.5;

/** Wait before the next try: doubled by each fruitless one, spread out, never less than was asked for. */
export function computeBackoff(
  random: Random,
  fruitlessAttempts: number,
  retryAfter: Millis | null,
): Millis {
  const doubled = BACKOFF_BASE * 2 ** Math.max(0, fruitlessAttempts - 1);
  const spread = jitter(random, Math.min(BACKOFF_LIMIT, doubled), BACKOFF_JITTER);
  return retryAfter === null ? spread : retryAfter + spread;
}
