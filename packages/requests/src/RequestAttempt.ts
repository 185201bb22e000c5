/**
 * One attempt of a model request: its frames, its silence and its failure. Pure, as the machine is of
 * which it is a part.
 */
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

/** Events of an attempt. */
export type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

/** A tick that comes this late says that we slept ourselves; the streams get another chance. */
export const LATE_TICK_TOLERANCE: Millis = 50;

const MAX_DOUBLINGS = 4;

/** Opens the next attempt on a chain that was chosen. */
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
      // Work that must not run twice is never replaced, so its silence is borne until the deadline.
      ...watchSilence(opened),
    ],
  };
}

/** Takes an event of the present attempt. */
export function stepAttempt(
  machine: RequestMachine,
  event: AttemptEvent,
  now: Millis,
): MachineStep {
  switch (event.kind) {
    case 'acknowledged':
      if (!machine.chain || !isSameChain(machine.chain, event.acknowledgement)) {
        return failAttempt(machine, brokenRule(FailurePlace.Acknowledgement), [], now);
      }
      return keepState({ ...machine, acknowledged: true, lastActivityAt: now });
    case 'token':
      return takeToken(machine, event.index, event.token, now);
    case 'end':
      if (!machine.acknowledged || event.tokenCount !== machine.tokenCount) {
        // An end that counts other tokens than came would pass a cut answer off as complete.
        return failAttempt(machine, brokenRule(FailurePlace.Garbage), [], now);
      }
      return {
        machine: { ...machine, phase: RequestPhase.Ended },
        effects: [
          { kind: 'close', outcome: describeAnswer(machine, now) },
          { kind: 'complete', reason: event.reason },
        ],
      };
    case 'failure':
      return failAttempt(machine, event.failure, event.suspects, now, event.isSlow);
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
    return failAttempt(machine, brokenRule(FailurePlace.Garbage), [], now);
  }
  const isFirst = machine.attemptTokens === 0;
  const recovered: readonly RequestEffect[] =
    isFirst && machine.failedAt !== null
      ? [{ kind: 'recovered', firstToken: now - machine.openedAt, pause: now - machine.progressAt }]
      : [];
  return {
    machine: advance(machine, isFirst, now),
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
 * The state after one more token. Every field is named: copying so many by spread and then replacing
 * some costs forty times as much, and this runs once for each token.
 */
function advance(machine: RequestMachine, isFirst: boolean, now: Millis): RequestMachine {
  return {
    phase: machine.phase,
    idempotent: machine.idempotent,
    maxTokens: machine.maxTokens,
    submittedAt: machine.submittedAt,
    attemptsLeft: machine.attemptsLeft,
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

/** Takes a tick: waits on, or finds the attempt silent. */
export function checkSilence(machine: RequestMachine, dueAt: Millis, now: Millis): MachineStep {
  if (machine.phase !== RequestPhase.Running) {
    return keepState(machine);
  }
  const limit = getSilenceLimit(machine);
  if (now - dueAt > LATE_TICK_TOLERANCE) {
    // We were paused: frames that came meanwhile are still unread, and all streams look hung at once.
    return {
      machine: { ...machine, lastActivityAt: now },
      effects: [{ kind: 'watch', delay: limit }],
    };
  }
  const silentFor = now - machine.lastActivityAt;
  if (silentFor < limit) {
    // A fraction of a millisecond can be too little to move the clock on: the tick would come for ever.
    return { machine, effects: [{ kind: 'watch', delay: Math.ceil(limit - silentFor) }] };
  }
  return { machine, effects: [{ kind: 'silent', attempt: machine.attempt }] };
}

function watchSilence(machine: RequestMachine): readonly RequestEffect[] {
  return machine.idempotent ? [{ kind: 'watch', delay: getSilenceLimit(machine) }] : [];
}

/** Gives a silent attempt as much time again. */
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

/** How long the present attempt may be silent from its last sign of life on. */
function getSilenceLimit(machine: RequestMachine): Millis {
  // Silence after silence says that all is slow: recovering ever again would make it slower.
  const doubled = 2 ** Math.min(MAX_DOUBLINGS, machine.fruitless) * (1 + machine.toleratedSilences);
  if (!machine.acknowledged) {
    return doubled * machine.limits.acknowledgement;
  }
  if (machine.attemptTokens === 0) {
    return doubled * machine.limits.firstToken;
  }
  return doubled * computeSilenceLimit(machine.pace, machine.limits.gapBounds);
}

function failAttempt(
  machine: RequestMachine,
  failure: AttemptFailure,
  suspects: readonly EngineId[],
  now: Millis,
  isSlow = false,
): MachineStep {
  const failureClass = classifyFailure(failure, {
    acknowledged: machine.acknowledged,
    tokens: machine.attemptTokens,
    ended: false,
  });
  const failed = nameFailed(machine, failure, suspects);
  const fruitless = machine.attemptTokens > 0 ? 1 : machine.fruitless + 1;
  const run = combineRunStates(machine.run, getRunState(failureClass));
  const isSpent = isAttemptSpent(failure, failureClass);
  const closed: RequestMachine = {
    ...machine,
    attemptsLeft: machine.attemptsLeft - (isSpent ? 1 : 0),
    run,
    fruitless,
    failedAt: now,
    avoid: [...new Set([...machine.avoid, ...failed])],
  };
  const noted: readonly RequestEffect[] = [
    { kind: 'close', outcome: describeFailure(failure, failed, isSlow) },
    noteFailure(closed, failure, failureClass, failed, now),
  ];
  const next = decideNextStep(failure, failureClass, {
    idempotent: machine.idempotent,
    fruitless,
    hasTokens: machine.tokenCount > 0,
    isPatient: machine.patientUntil === null ? null : now < machine.patientUntil,
  });
  if (next === NextStep.Stop || closed.attemptsLeft <= 0) {
    const ended = endWith(
      { ...closed, phase: RequestPhase.Pausing },
      createProblem(ProblemKind.EngineFailed, run, failure.retryAfter),
    );
    const reason = closed.attemptsLeft <= 0 ? GiveUpReason.AttemptsSpent : nameStop(closed);
    return {
      machine: ended.machine,
      effects: [...noted, { kind: 'given-up', reason }, ...ended.effects],
    };
  }
  return {
    machine: { ...closed, phase: RequestPhase.Pausing },
    effects: [
      ...noted,
      { kind: 'ask-retry', mode: next, failed, retryAfter: failure.retryAfter, fruitless },
    ],
  };
}

function nameStop({ idempotent, run }: RequestMachine): GiveUpReasonName {
  const mustNotRepeat = !idempotent && run !== RunState.NotRun;
  return mustNotRepeat ? GiveUpReason.MustNotRepeat : GiveUpReason.Fruitless;
}

function noteFailure(
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
    isLost: isEngineLost(failure) && !isStageRefusal(failure),
    attemptTokens: machine.attemptTokens,
    detection: now - machine.lastActivityAt,
  };
}

function describeAnswer(machine: RequestMachine, now: Millis): AttemptOutcome {
  const gaps = machine.attemptTokens - 1;
  const spent = now - machine.firstTokenAt;
  return {
    kind: 'answered',
    firstToken: machine.firstTokenAt - machine.openedAt,
    meanGap: gaps > 0 ? spent / gaps : null,
  };
}

/** Several suspects share no blame: that would eject engines that did nothing wrong. */
function describeFailure(
  failure: AttemptFailure,
  failed: readonly EngineId[],
  isSlow: boolean,
): AttemptOutcome {
  const [engine = null] = failed.length === 1 ? failed : [];
  return { kind: 'failed', engine, cause: isSlow ? 'slow' : describeCause(failure) };
}

/** Engines held to have failed: the one that is named, else the suspects, else the first stage. */
function nameFailed(
  machine: RequestMachine,
  failure: AttemptFailure,
  suspects: readonly EngineId[],
): readonly EngineId[] {
  if (failure.engine !== null) {
    return [failure.engine];
  }
  if (suspects.length > 0) {
    return suspects;
  }
  const first = machine.chain?.stages[0];
  return first ? [first.engine] : [];
}

/** A failure that we found ourselves in what the engine sent. */
function brokenRule(place: AttemptFailure['place']): AttemptFailure {
  return { place, engine: null, status: null, retryAfter: null, provenNotRun: false };
}
