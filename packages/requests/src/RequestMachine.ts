/**
 * The state machine of one model request, from submission to its one end. Pure: an event and the time
 * go in, the next state and the effects come out. The tokens themselves stay with the router; the
 * machine counts them.
 */
import type { Chain } from '@skylarksail/core/CoreChain';
import { isSameChain } from '@skylarksail/core/CoreChain';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { RunState } from '@skylarksail/core/CoreConstants';
import { failUnreachable } from '@skylarksail/core/CoreErrors';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { FailureClassName } from './RequestFailures.js';
import {
  classifyFailure,
  combineRunStates,
  decideNextStep,
  describeCause,
  getRunState,
  isCrashLike,
  isEngineLost,
  NextStep,
} from './RequestFailures.js';
import type {
  RequestEffect,
  RequestEvent,
  RequestPhaseName,
  SilenceLimits,
} from './RequestMessages.js';
import { RequestPhase } from './RequestMessages.js';
import type { Pace } from './RequestPace.js';
import { addSample, computeSilenceLimit, createPace, GAP_BOUNDS } from './RequestPace.js';
import type { AttemptFailure } from './RequestPorts.js';
import { FailurePlace } from './RequestPorts.js';
import type { AttemptOutcome, ProblemKindName, RequestProblem } from './RequestTypes.js';
import { ProblemKind } from './RequestTypes.js';

/** State of one request. */
export interface RequestMachine {
  readonly phase: RequestPhaseName;
  readonly idempotent: boolean;
  readonly maxTokens: number;
  /** Number of the running attempt, or of the last one; 0 before the first. */
  readonly attempt: number;
  readonly chain: Chain | null;
  readonly acknowledged: boolean;
  /** Tokens given to the caller. */
  readonly tokenCount: number;
  /** Those of them that the present attempt gave. */
  readonly attemptTokens: number;
  /** What the attempts that are over have come to. */
  readonly run: RunStateName;
  /** Attempts in a row that failed without a token. */
  readonly fruitless: number;
  /** Engines that failed this request since its last token. */
  readonly avoid: readonly EngineId[];
  readonly limits: SilenceLimits;
  readonly pace: Pace;
  readonly openedAt: Millis;
  /** When the present attempt gave its first token. */
  readonly firstTokenAt: Millis;
  /** When the caller last got something, or the request was admitted. */
  readonly progressAt: Millis;
  /** When the present attempt last gave a sign of life. */
  readonly signAt: Millis;
  /** When the last failure showed; null while nothing is being mended. */
  readonly failedAt: Millis | null;
}

/** Next state and what is to be done. */
export interface MachineStep {
  readonly machine: RequestMachine;
  readonly effects: readonly RequestEffect[];
}

/** A tick that comes this late says that we slept ourselves; the streams get another chance. */
export const LATE_TICK: Millis = 50;

const DEFAULT_LIMITS: SilenceLimits = { acknowledgement: 1500, firstToken: 4000, gap: 40 };

/** The state of a request that has just been submitted. */
export function createRequestMachine(
  idempotent: boolean,
  maxTokens: number,
  now: Millis,
): RequestMachine {
  return {
    phase: RequestPhase.Waiting,
    idempotent,
    maxTokens,
    attempt: 0,
    chain: null,
    acknowledged: false,
    tokenCount: 0,
    attemptTokens: 0,
    run: RunState.NotRun,
    fruitless: 0,
    avoid: [],
    limits: DEFAULT_LIMITS,
    pace: createPace(DEFAULT_LIMITS.gap),
    openedAt: now,
    firstTokenAt: now,
    progressAt: now,
    signAt: now,
    failedAt: null,
  };
}

/** What may be told now of whether the request ran, the open attempt included. */
export function getMachineRun(machine: RequestMachine): RunStateName {
  if (machine.tokenCount > 0) {
    return RunState.Ran;
  }
  return machine.phase === RequestPhase.Running
    ? combineRunStates(machine.run, RunState.Unknown)
    : machine.run;
}

/** Takes one event. Events of an earlier attempt, or after the end, change nothing but a count. */
export function stepRequest(
  machine: RequestMachine,
  event: RequestEvent,
  now: Millis,
): MachineStep {
  if (machine.phase === RequestPhase.Ended) {
    return 'attempt' in event ? dropFrame(machine, 'late-frame') : stay(machine);
  }
  if ('attempt' in event) {
    const isCurrent = machine.phase === RequestPhase.Running && event.attempt === machine.attempt;
    return isCurrent ? stepAttempt(machine, event, now) : dropFrame(machine, 'late-frame');
  }
  switch (event.kind) {
    case 'admitted':
      return {
        machine: { ...machine, phase: RequestPhase.Choosing, progressAt: now },
        effects: [{ kind: 'choose', broken: null, failed: [], avoid: machine.avoid }],
      };
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
      return waitForChain(machine, event);
    case 'retry-granted':
      return chooseAgain(machine, event.failed);
    case 'retry-refused':
      return failWith(machine, ProblemKind.EngineFailed, event.retryAfter);
    case 'tick':
      return checkSilence(machine, event.dueAt, now);
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

type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

function stepAttempt(machine: RequestMachine, event: AttemptEvent, now: Millis): MachineStep {
  switch (event.kind) {
    case 'acknowledged':
      if (!machine.chain || !isSameChain(machine.chain, event.acknowledgement)) {
        return failAttempt(machine, brokenRule(FailurePlace.Acknowledgement), [], now);
      }
      return stay({ ...machine, acknowledged: true, signAt: now });
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
    machine: {
      ...machine,
      tokenCount: machine.tokenCount + 1,
      attemptTokens: machine.attemptTokens + 1,
      pace: isFirst ? machine.pace : addSample(machine.pace, now - machine.signAt),
      run: RunState.Ran,
      fruitless: 0,
      avoid: machine.avoid.length > 0 ? [] : machine.avoid,
      firstTokenAt: isFirst ? now : machine.firstTokenAt,
      signAt: now,
      progressAt: now,
      failedAt: null,
    },
    effects: [
      { kind: 'token', index, token, since: isFirst ? machine.openedAt : machine.signAt, isFirst },
      ...recovered,
    ],
  };
}

function openAttempt(
  machine: RequestMachine,
  event: Extract<RequestEvent, { kind: 'chosen' }>,
  now: Millis,
): MachineStep {
  if (machine.phase !== RequestPhase.Choosing) {
    return stay(machine);
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
    pace: createPace(event.limits.gap),
    openedAt: now,
    signAt: now,
  };
  return {
    machine: opened,
    effects: [
      { kind: 'open', attempt, chain: event.chain, importFrom: event.importFrom },
      { kind: 'watch', delay: getSilenceLimit(opened) },
    ],
  };
}

function chooseAgain(machine: RequestMachine, failed: readonly EngineId[]): MachineStep {
  if (machine.phase !== RequestPhase.Pausing) {
    return stay(machine);
  }
  const broken = failed.length > 0 ? machine.chain : null;
  return {
    machine: { ...machine, phase: RequestPhase.Choosing },
    effects: [{ kind: 'choose', broken, failed, avoid: machine.avoid }],
  };
}

function waitForChain(
  machine: RequestMachine,
  { isFull, retryAfter }: Extract<RequestEvent, { kind: 'no-chain' }>,
): MachineStep {
  if (machine.phase !== RequestPhase.Choosing) {
    return stay(machine);
  }
  if (machine.attempt === 0 && !isFull) {
    return failWith(machine, ProblemKind.NoChain, retryAfter);
  }
  // Avoiding every engine that failed may leave none at all; a paused answer is then better served by
  // one of them, should it be back, than by no one.
  return {
    machine: { ...machine, phase: RequestPhase.Pausing, avoid: [] },
    effects: [{ kind: 'ask-retry', mode: 'rechoose', failed: [], retryAfter, fruitless: 1 }],
  };
}

function checkSilence(machine: RequestMachine, dueAt: Millis, now: Millis): MachineStep {
  if (machine.phase !== RequestPhase.Running) {
    return stay(machine);
  }
  const limit = getSilenceLimit(machine);
  if (now - dueAt > LATE_TICK) {
    // We were paused: frames that came meanwhile are still unread, and all streams look hung at once.
    return { machine: { ...machine, signAt: now }, effects: [{ kind: 'watch', delay: limit }] };
  }
  const silentFor = now - machine.signAt;
  if (silentFor < limit) {
    return { machine, effects: [{ kind: 'watch', delay: limit - silentFor }] };
  }
  return { machine, effects: [{ kind: 'silent', attempt: machine.attempt }] };
}

/** How long the present attempt may be silent from its last sign of life on. */
function getSilenceLimit(machine: RequestMachine): Millis {
  // Replacing work that must not run twice is out of the question, so there is nothing to gain.
  const patience = machine.idempotent ? 1 : 10;
  if (!machine.acknowledged) {
    return patience * machine.limits.acknowledgement;
  }
  if (machine.attemptTokens === 0) {
    return patience * machine.limits.firstToken;
  }
  return patience * computeSilenceLimit(machine.pace, GAP_BOUNDS);
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
  const closed: RequestMachine = {
    ...machine,
    run,
    fruitless,
    failedAt: now,
    avoid: [...new Set([...machine.avoid, ...failed])],
  };
  const noted: readonly RequestEffect[] = [
    { kind: 'close', outcome: describeFailure(failure, failed, isSlow) },
    noteFailure(closed, failure, failureClass, failed, now),
  ];
  const next = decideNextStep(failure, failureClass, machine.idempotent, fruitless);
  if (next === NextStep.Stop) {
    const ended = endWith(
      { ...closed, phase: RequestPhase.Pausing },
      createProblem(ProblemKind.EngineFailed, run, failure.retryAfter),
    );
    return { machine: ended.machine, effects: [...noted, ...ended.effects] };
  }
  return {
    machine: { ...closed, phase: RequestPhase.Pausing },
    effects: [
      ...noted,
      { kind: 'ask-retry', mode: next, failed, retryAfter: failure.retryAfter, fruitless },
    ],
  };
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
    isCrash: isCrashLike(failure) && machine.acknowledged,
    isLost: isEngineLost(failure),
    detection: now - machine.signAt,
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
  return { kind: 'failed', engine, cause: isSlow ? 'slow' : describeCause(failure.place) };
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

function failWith(
  machine: RequestMachine,
  kind: ProblemKindName,
  retryAfter: Millis | null,
): MachineStep {
  return endWith(machine, createProblem(kind, getMachineRun(machine), retryAfter));
}

function createProblem(
  kind: ProblemKindName,
  run: RunStateName,
  retryAfter: Millis | null,
): RequestProblem {
  return { kind, run, retryAfter, instance: null };
}

function endWith(machine: RequestMachine, problem: RequestProblem): MachineStep {
  const close: readonly RequestEffect[] =
    machine.phase === RequestPhase.Running
      ? [{ kind: 'close', outcome: { kind: 'cancelled' } }]
      : [];
  return {
    machine: { ...machine, phase: RequestPhase.Ended },
    effects: [...close, { kind: 'fail', problem }],
  };
}

function dropFrame(machine: RequestMachine, name: 'late-frame' | 'repeated-frame'): MachineStep {
  return { machine, effects: [{ kind: 'count', name }] };
}

function stay(machine: RequestMachine): MachineStep {
  return { machine, effects: [] };
}
