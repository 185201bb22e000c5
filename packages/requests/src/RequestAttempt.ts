/** The part of a request's state machine that handles one attempt: its frames, silence and failure. Pure. */
import { isSameChain } from '@skylarksail/core/CoreChain';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { FailureClassName } from './RequestFailures.js';
import {
  classifyFailure,
  combineRunStates,
  decideNextStep,
  describeCause,
  getRunState,
  isAttemptSpent,
  isCrashLike,
  isEngineLost,
  isRefusal,
  isStageRefusal,
  NextStep,
} from './RequestFailures.js';
import type { GiveUpReasonName, RequestEffect, RequestEvent } from './RequestMessages.js';
import { GiveUpReason, RequestPhase } from './RequestMessages.js';
import { addSample, computeSilenceLimit, createPace } from './RequestPace.js';
import type { AttemptFailure } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { MachineStep, RequestMachine } from './RequestState.js';
import { createProblem, dropFrame, endWith, keepState } from './RequestState.js';
import type { AttemptOutcome } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';

/** Events that carry an attempt number. */
export type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

type FailureEvent = Extract<RequestEvent, { kind: 'failure' }>;

/** A tick later than this means that the router's own process was paused, so silent streams get another timeout. */
export const LATE_TICK_TOLERANCE: Millis = 50;

const MAX_DOUBLINGS = 4;

/** Opens the next attempt on the chosen chain. */
export function openAttempt(
  machine: RequestMachine,
  event: Extract<RequestEvent, { kind: 'chosen' }>,
  now: Millis,
): MachineStep {
  if (machine.phase !== RequestPhase.Choosing) {
    return keepState(machine);
  }
  const attempt = machine.attempt + 1;
  const opened: RequestMachine = {
    ...machine,
    phase: RequestPhase.Running,
    attempt,
    chain: event.chain,
    acknowledged: false,
    attemptTokens: 0,
    limits: event.limits,
    toleratedSilences: 0,
    pace: createPace(event.limits.gap),
    openedAt: now,
    lastActivityAt: now,
  };
  return {
    machine: opened,
    effects: [
      { kind: 'open', attempt, chain: event.chain, importFrom: event.importFrom },
      // A non-idempotent attempt is never replaced, so its silence is tolerated until the deadline.
      ...watchSilence(opened),
    ],
  };
}

/** Handles an event of the current attempt. */
export function stepAttempt(
  machine: RequestMachine,
  event: AttemptEvent,
  now: Millis,
): MachineStep {
  switch (event.kind) {
    case 'acknowledged':
      if (!machine.chain || !isSameChain(machine.chain, event.acknowledgement)) {
        return failProtocol(machine, FailurePlace.Acknowledgement, now);
      }
      return keepState({ ...machine, acknowledged: true, lastActivityAt: now });
    case 'token':
      return takeToken(machine, event.index, event.token, now);
    case 'end':
      if (!machine.acknowledged || event.tokenCount !== machine.tokenCount) {
        // If the counts differ, tokens are missing or added; completing would present a truncated answer as complete.
        return failProtocol(machine, FailurePlace.Garbage, now);
      }
      return {
        machine: { ...machine, phase: RequestPhase.Ended },
        effects: [
          { kind: 'close', outcome: createAnsweredOutcome(machine, now) },
          { kind: 'complete', reason: event.reason },
        ],
      };
    case 'failure':
      return failAttempt(noteUnprovenEnd(machine, event, now), event, now);
    default:
      return failUnreachable(event);
  }
}

function takeToken(
  machine: RequestMachine,
  index: number,
  token: string,
  now: Millis,
): MachineStep {
  if (index < machine.tokenCount) {
    return dropFrame(machine, 'repeated-frame');
  }
  if (!machine.acknowledged || index > machine.tokenCount || index >= machine.maxTokens) {
    return failProtocol(machine, FailurePlace.Garbage, now);
  }
  const isFirst = machine.attemptTokens === 0;
  const recovered: readonly RequestEffect[] =
    isFirst && machine.failedAt !== null
      ? [{ kind: 'recovered', firstToken: now - machine.openedAt, pause: now - machine.progressAt }]
      : [];
  return {
    machine: countToken(machine, isFirst, now),
    effects: [
      {
        kind: 'token',
        index,
        token,
        since: isFirst ? machine.openedAt : machine.lastActivityAt,
        isFirst,
      },
      ...recovered,
    ],
  };
}

/**
 * Returns the state after one more token. It lists every field because this runs for each token, and a spread with
 * replaced fields costs forty times as much.
 */
function countToken(machine: RequestMachine, isFirst: boolean, now: Millis): RequestMachine {
  return {
    phase: machine.phase,
    idempotent: machine.idempotent,
    maxTokens: machine.maxTokens,
    submittedAt: machine.submittedAt,
    attemptsLeft: machine.attemptsLeft,
    unprovenEnds: machine.unprovenEnds,
    patientUntil: machine.patientUntil,
    firstTokenDeadline: machine.firstTokenDeadline,
    attempt: machine.attempt,
    chain: machine.chain,
    acknowledged: machine.acknowledged,
    tokenCount: machine.tokenCount + 1,
    attemptTokens: machine.attemptTokens + 1,
    run: RunState.Ran,
    fruitless: 0,
    avoid: machine.avoid.length > 0 ? [] : machine.avoid,
    limits: machine.limits,
    pace: isFirst ? machine.pace : addSample(machine.pace, now - machine.lastActivityAt),
    openedAt: machine.openedAt,
    firstTokenAt: isFirst ? now : machine.firstTokenAt,
    progressAt: now,
    lastActivityAt: now,
    toleratedSilences: 0,
    failedAt: null,
  };
}

/** Handles a tick: sets the next timer, or reports that the attempt was silent too long. */
export function checkSilence(machine: RequestMachine, dueAt: Millis, now: Millis): MachineStep {
  if (machine.phase !== RequestPhase.Running) {
    return keepState(machine);
  }
  const limit = getSilenceLimit(machine);
  if (now - dueAt > LATE_TICK_TOLERANCE) {
    // This process was paused: frames that arrived meanwhile are unread, so all streams appear hung at once.
    return {
      machine: { ...machine, lastActivityAt: now },
      effects: [{ kind: 'watch', delay: limit }],
    };
  }
  const silentFor = now - machine.lastActivityAt;
  if (silentFor < limit) {
    // Round up: a delay below a millisecond may not advance the clock, and the tick would repeat forever.
    return { machine, effects: [{ kind: 'watch', delay: Math.ceil(limit - silentFor) }] };
  }
  return { machine, effects: [{ kind: 'silent', attempt: machine.attempt }] };
}

function watchSilence(machine: RequestMachine): readonly RequestEffect[] {
  return machine.idempotent ? [{ kind: 'watch', delay: getSilenceLimit(machine) }] : [];
}

/** Lets a silent attempt continue, and restarts its timer. */
export function tolerateSilence(machine: RequestMachine): MachineStep {
  if (machine.phase !== RequestPhase.Running) {
    return keepState(machine);
  }
  const delay = getSilenceLimit(machine);
  return {
    machine: { ...machine, toleratedSilences: machine.toleratedSilences + 1 },
    effects: [{ kind: 'watch', delay }],
  };
}

/** Returns the silence timeout of the current attempt, counted from its last activity. */
function getSilenceLimit(machine: RequestMachine): Millis {
  // Repeated silence indicates general slowness, which more recoveries would increase.
  const factor = 2 ** Math.min(MAX_DOUBLINGS, machine.fruitless) * (1 + machine.toleratedSilences);
  if (!machine.acknowledged) {
    return factor * machine.limits.acknowledgement;
  }
  if (machine.attemptTokens === 0) {
    return factor * machine.limits.firstToken;
  }
  return factor * computeSilenceLimit(machine.pace, machine.limits.gapBounds);
}

/** Records the first engine of an attempt that ran and whose stream broke, unless it is known to have ended. */
function noteUnprovenEnd(
  machine: RequestMachine,
  { failure, isEndUnproven = false }: FailureEvent,
  now: Millis,
): RequestMachine {
  const [first] = machine.chain?.stages ?? [];
  const hasRun = !failure.provenNotRun || machine.acknowledged;
  if (!isEndUnproven || !first || !hasRun || failure.place !== FailurePlace.Stream) {
    return machine;
  }
  const others = machine.unprovenEnds.filter(({ engine }) => engine !== first.engine);
  return { ...machine, unprovenEnds: [...others, { engine: first.engine, brokenAt: now }] };
}

/** Fails an attempt whose engine violated the protocol. */
function failProtocol(
  machine: RequestMachine,
  place: AttemptFailure['place'],
  now: Millis,
): MachineStep {
  const failure = { place, engine: null, status: null, retryAfter: null, provenNotRun: false };
  return failAttempt(machine, { failure, suspects: [], isSlow: false }, now);
}

function failAttempt(
  machine: RequestMachine,
  { failure, suspects, isSlow }: Pick<FailureEvent, 'failure' | 'suspects' | 'isSlow'>,
  now: Millis,
): MachineStep {
  const failureClass = classifyFailure(failure, {
    acknowledged: machine.acknowledged,
    tokens: machine.attemptTokens,
    ended: false,
  });
  const failed = listFailedEngines(machine, failure, suspects);
  const fruitless = machine.attemptTokens > 0 ? 1 : machine.fruitless + 1;
  const run = combineRunStates(machine.run, getRunState(failureClass));
  const isSpent = isAttemptSpent(failure, failureClass);
  const updated: RequestMachine = {
    ...machine,
    attemptsLeft: machine.attemptsLeft - (isSpent ? 1 : 0),
    run,
    fruitless,
    failedAt: now,
    avoid: [...new Set([...machine.avoid, ...failed])],
  };
  const failureEffects: readonly RequestEffect[] = [
    { kind: 'close', outcome: createFailedOutcome(failure, failed, isSlow) },
    createFailureEffect(updated, failure, failureClass, failed, now),
  ];
  const next = decideNextStep(failure, failureClass, {
    idempotent: machine.idempotent,
    fruitless,
    hasTokens: machine.tokenCount > 0,
    isPatient: machine.patientUntil === null ? null : now < machine.patientUntil,
  });
  if (next === NextStep.Stop || updated.attemptsLeft <= 0) {
    const ended = endWith(
      { ...updated, phase: RequestPhase.Pausing },
      createProblem(ProblemKind.EngineFailed, run, failure.retryAfter),
    );
    const reason =
      updated.attemptsLeft <= 0 ? GiveUpReason.AttemptsSpent : getGiveUpReason(updated);
    return {
      machine: ended.machine,
      effects: [...failureEffects, { kind: 'given-up', reason }, ...ended.effects],
    };
  }
  return {
    machine: { ...updated, phase: RequestPhase.Pausing },
    effects: [
      ...failureEffects,
      { kind: 'ask-retry', mode: next, failed, retryAfter: failure.retryAfter, fruitless },
    ],
  };
}

function getGiveUpReason({ idempotent, run }: RequestMachine): GiveUpReasonName {
  const mustNotRepeat = !idempotent && run !== RunState.NotRun;
  return mustNotRepeat ? GiveUpReason.MustNotRepeat : GiveUpReason.Fruitless;
}

function createFailureEffect(
  machine: RequestMachine,
  failure: AttemptFailure,
  failureClass: FailureClassName,
  failed: readonly EngineId[],
  now: Millis,
): RequestEffect {
  return {
    kind: 'attempt-failed',
    attempt: machine.attempt,
    place: failure.place,
    failureClass,
    engines: failed,
    isCrash: isCrashLike(failure),
    isRefusal: isRefusal(failure),
    isLost:
      isEngineLost(failure) && !isStageRefusal(failure) && failure.place !== FailurePlace.Link,
    attemptTokens: machine.attemptTokens,
    detection: now - machine.lastActivityAt,
  };
}

function createAnsweredOutcome(machine: RequestMachine, now: Millis): AttemptOutcome {
  const gaps = machine.attemptTokens - 1;
  const duration = now - machine.firstTokenAt;
  return {
    kind: 'answered',
    firstToken: machine.firstTokenAt - machine.openedAt,
    meanGap: gaps > 0 ? duration / gaps : null,
  };
}

/** Names an engine only if it is the single suspect; blaming several would eject healthy engines. */
function createFailedOutcome(
  failure: AttemptFailure,
  failed: readonly EngineId[],
  isSlow: boolean,
): AttemptOutcome {
  const [engine = null] = failed.length === 1 ? failed : [];
  return { kind: 'failed', engine, cause: isSlow ? 'slow' : describeCause(failure) };
}

/** Returns the engines assumed to have failed: the named one, else the suspects, else the first stage; none for a link. */
function listFailedEngines(
  machine: RequestMachine,
  failure: AttemptFailure,
  suspects: readonly EngineId[],
): readonly EngineId[] {
  if (failure.place === FailurePlace.Link) {
    return [];
  }
  if (failure.engine !== null) {
    return [failure.engine];
  }
  if (suspects.length > 0) {
    return suspects;
  }
  const first = machine.chain?.stages[0];
  return first ? [first.engine] : [];
}
