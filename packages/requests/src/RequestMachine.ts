/**
 * The state machine of one model request, from submission to its single end. Pure: it maps a state, an event and the
 * time to the next state and effects. The router keeps the tokens; the machine only counts them.
 */
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { tolerateSilence, checkSilence, openAttempt, stepAttempt } from './RequestAttempt.js';
import type { RequestEffect, RequestEvent } from './RequestMessages.js';
import { GiveUpReason, RequestPhase } from './RequestMessages.js';
import type { MachineStep, RequestMachine } from './RequestState.js';
import { dropFrame, endWith, failWith, getFirstTokenDeadline, keepState } from './RequestState.js';
import { ProblemKind } from './RequestTypes.js';
import { MAX_BACKOFF_WAIT } from './RunBackoff.js';

/** Handles one event. Frames of an earlier attempt, or after the end, are dropped and counted. */
export function stepRequest(
  machine: RequestMachine,
  event: RequestEvent,
  now: Millis,
): MachineStep {
  if (machine.phase === RequestPhase.Ended) {
    return 'attempt' in event ? dropFrame(machine, 'late-frame') : keepState(machine);
  }
  if ('attempt' in event) {
    const isCurrent = machine.phase === RequestPhase.Running && event.attempt === machine.attempt;
    return isCurrent ? stepAttempt(machine, event, now) : dropFrame(machine, 'late-frame');
  }
  switch (event.kind) {
    case 'admitted':
      return admit(machine, now);
    case 'refused':
      return endWith(machine, event.problem);
    case 'answer-held':
      return {
        machine: { ...machine, phase: RequestPhase.Ended },
        effects: [{ kind: 'replay', answer: event.answer }],
      };
    case 'condemned':
      return failWith(machine, ProblemKind.Poison, null);
    case 'chosen':
      return openAttempt(machine, event, now);
    case 'no-chain':
      return waitForChain(machine, event, now);
    case 'retry-granted':
      return chooseAgain(machine, event.failed);
    case 'retry-refused':
      return machine.phase === RequestPhase.Pausing
        ? failWith(machine, ProblemKind.EngineFailed, event.retryAfter)
        : keepState(machine);
    case 'budget-spent':
      return machine.phase === RequestPhase.Pausing
        ? failWith(machine, ProblemKind.Overloaded, event.retryAfter)
        : keepState(machine);
    case 'tick':
      return checkSilence(machine, event.dueAt, now);
    case 'silence-borne':
      return tolerateSilence(machine);
    case 'look-again':
      return machine.phase === RequestPhase.Running
        ? { machine, effects: [{ kind: 'watch', delay: event.delay }] }
        : keepState(machine);
    case 'stood-still':
      return machine.phase === RequestPhase.Running
        ? failWith(machine, ProblemKind.EngineFailed, null)
        : keepState(machine);
    case 'patience-over':
      return failIfNotStarted(machine);
    case 'hang-up':
      return failWith(machine, ProblemKind.HungUp, null);
    case 'deadline':
      return failWith(machine, ProblemKind.Deadline, null);
    case 'drain-limit':
      return failWith(machine, ProblemKind.Draining, null);
    default:
      return failUnreachable(event);
  }
}

/** Ends a request without a token before its caller leaves, so that the caller can still retry elsewhere. */
function failIfNotStarted(machine: RequestMachine): MachineStep {
  if (getFirstTokenDeadline(machine) === null) {
    return keepState(machine);
  }
  if (machine.phase !== RequestPhase.Running) {
    return failWith(machine, ProblemKind.NoChain, null);
  }
  const ended = failWith(machine, ProblemKind.EngineFailed, null);
  const givenUp: RequestEffect = { kind: 'given-up', reason: GiveUpReason.Standstill };
  return { machine: ended.machine, effects: [givenUp, ...ended.effects] };
}

function admit(machine: RequestMachine, now: Millis): MachineStep {
  if (machine.phase !== RequestPhase.Waiting) {
    return keepState(machine);
  }
  return {
    machine: { ...machine, phase: RequestPhase.Choosing, progressAt: now },
    effects: [{ kind: 'choose', broken: null, failed: [], avoid: machine.avoid }],
  };
}

function chooseAgain(machine: RequestMachine, failed: readonly EngineId[]): MachineStep {
  if (machine.phase !== RequestPhase.Pausing) {
    return keepState(machine);
  }
  const broken = failed.length > 0 ? machine.chain : null;
  return {
    machine: { ...machine, phase: RequestPhase.Choosing },
    effects: [{ kind: 'choose', broken, failed, avoid: machine.avoid }],
  };
}

function waitForChain(
  machine: RequestMachine,
  {
    isFull,
    isTooLate,
    retryAfter,
    isGone = false,
    backoffLeft = 0,
  }: Extract<RequestEvent, { kind: 'no-chain' }>,
  now: Millis,
): MachineStep {
  if (machine.phase !== RequestPhase.Choosing) {
    return keepState(machine);
  }
  if (isGone && machine.tokenCount > 0) {
    // The caller may resend at once: its request then runs on another version from the beginning.
    return failWith(machine, ProblemKind.EngineFailed, 0);
  }
  if (machine.tokenCount === 0 && backoffLeft > MAX_BACKOFF_WAIT) {
    return failWith(machine, ProblemKind.Overloaded, backoffLeft);
  }
  if (machine.tokenCount === 0 && (isTooLate || !mayLookAgain(machine, isFull, now))) {
    return failWith(machine, ProblemKind.NoChain, retryAfter);
  }
  // Without the failed engines there may be no chain. The next choice may use them again, as some may have recovered.
  return {
    machine: { ...machine, phase: RequestPhase.Pausing, avoid: [] },
    effects: [{ kind: 'ask-retry', mode: 'rechoose', failed: [], retryAfter, fruitless: 1 }],
  };
}

/** Whether a request without a token may look for a chain again. */
function mayLookAgain(machine: RequestMachine, isFull: boolean, now: Millis): boolean {
  return machine.patientUntil === null ? isFull || machine.attempt > 0 : now < machine.patientUntil;
}
