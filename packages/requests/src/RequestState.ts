/** The state of one model request, and the steps that end it or change nothing. Pure. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import { RunState } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { combineRunStates } from './RequestFailures.js';
import type { RequestEffect, RequestPhaseName, SilenceLimits } from './RequestMessages.js';
import { RequestPhase } from './RequestMessages.js';
import type { Pace } from './RequestPace.js';
import { createPace, DEFAULT_SILENCE_CONFIG } from './RequestPace.js';
import type { ProblemKindName, RequestProblem, RequestSpec } from './RequestTypes.js';

/** State of one request. */
export interface RequestMachine {
  readonly phase: RequestPhaseName;
  readonly idempotent: boolean;
  readonly maxTokens: number;
  readonly submittedAt: Millis;
  /** Engines that it may still run on. One that was lost under it does not count. */
  readonly attemptsLeft: number;
  /** Until when it waits for engines that can take it; null if it has no patience of its own. */
  readonly patientUntil: Millis | null;
  /** By when its answer must begin, as its caller leaves soon after; null if the caller stays. */
  readonly firstTokenDeadline: Millis | null;
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
  readonly lastActivityAt: Millis;
  /** Silences in a row that were borne. */
  readonly toleratedSilences: number;
  /** When the last failure showed; null while nothing is being mended. */
  readonly failedAt: Millis | null;
}

/** Next state and what is to be done. */
export interface MachineStep {
  readonly machine: RequestMachine;
  readonly effects: readonly RequestEffect[];
}

const DEFAULT_LIMITS: SilenceLimits = {
  acknowledgement: 1500,
  firstToken: 4000,
  gap: 40,
  gapBounds: DEFAULT_SILENCE_CONFIG.gap,
};

/** The state of a request that has just been submitted. */
export function createRequestMachine(
  spec: Pick<RequestSpec, 'idempotent' | 'maxTokens' | 'maxAttempts' | 'patience' | 'breakAfter'>,
  now: Millis,
): RequestMachine {
  const isPatient = spec.patience !== undefined;
  return {
    phase: RequestPhase.Waiting,
    idempotent: spec.idempotent,
    maxTokens: spec.maxTokens,
    submittedAt: now,
    attemptsLeft: spec.maxAttempts ?? Infinity,
    patientUntil: isPatient ? now + spec.patience : null,
    firstTokenDeadline: isPatient && spec.breakAfter !== undefined ? now + spec.breakAfter : null,
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
    lastActivityAt: now,
    toleratedSilences: 0,
    failedAt: null,
  };
}

/** By when an answer must begin; null if it has begun, or its caller stays. */
export function getFirstTokenDeadline({
  tokenCount,
  firstTokenDeadline: beginBy,
}: RequestMachine): Millis | null {
  return tokenCount === 0 ? beginBy : null;
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

/** Ends the request without an answer, with what is known of whether it ran. */
export function failWith(
  machine: RequestMachine,
  kind: ProblemKindName,
  retryAfter: Millis | null,
): MachineStep {
  return endWith(machine, createProblem(kind, getMachineRun(machine), retryAfter));
}

/** The truth about a request that got no answer. */
export function createProblem(
  kind: ProblemKindName,
  run: RunStateName,
  retryAfter: Millis | null,
): RequestProblem {
  return { kind, run, retryAfter, instance: null };
}

/** Ends the request with a problem that is already worded. */
export function endWith(machine: RequestMachine, problem: RequestProblem): MachineStep {
  const close: readonly RequestEffect[] =
    machine.phase === RequestPhase.Running
      ? [{ kind: 'close', outcome: { kind: 'cancelled' } }]
      : [];
  return {
    machine: { ...machine, phase: RequestPhase.Ended },
    effects: [...close, { kind: 'fail', problem }],
  };
}

/** Drops a frame and counts it. */
export function dropFrame(
  machine: RequestMachine,
  name: 'late-frame' | 'repeated-frame',
): MachineStep {
  return { machine, effects: [{ kind: 'count', name }] };
}

/** Nothing is to be done. */
export function keepState(machine: RequestMachine): MachineStep {
  return { machine, effects: [] };
}
