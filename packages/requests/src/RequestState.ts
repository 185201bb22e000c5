/** The state of one model request, and the transitions that end it or leave it unchanged. Pure. */
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

/** A broken stream that does not show whether the engine ended or only its connection was reset. */
export interface UnprovenEnd {
  readonly engine: EngineId;
  readonly brokenAt: Millis;
}

/** State of one request. */
export interface RequestMachine {
  readonly phase: RequestPhaseName;
  readonly idempotent: boolean;
  readonly maxTokens: number;
  readonly submittedAt: Millis;
  /** Number of further engines that the request may run on. Engines lost during an attempt do not count. */
  readonly attemptsLeft: number;
  /**
   * First engines whose stream broke during an attempt and that may still run. Each takes one of `attemptsLeft` until
   * it is shown to have ended.
   */
  readonly unprovenEnds: readonly UnprovenEnd[];
  /** End of the wait for engines that can take the request; null if the request has no `patience`. */
  readonly patientUntil: Millis | null;
  /** Time by which the first token is due, as the caller leaves soon after; null if the caller stays. */
  readonly firstTokenDeadline: Millis | null;
  /** Number of the running or last attempt; 0 before the first. */
  readonly attempt: number;
  readonly chain: Chain | null;
  readonly acknowledged: boolean;
  /** Tokens sent to the caller. */
  readonly tokenCount: number;
  /** Tokens produced by the current attempt. */
  readonly attemptTokens: number;
  /** Combined run state of the finished attempts. */
  readonly run: RunStateName;
  /** Consecutive attempts that failed without a token. */
  readonly fruitless: number;
  /** Engines that failed for this request since its last token. */
  readonly avoid: readonly EngineId[];
  readonly limits: SilenceLimits;
  readonly pace: Pace;
  readonly openedAt: Millis;
  /** When the current attempt produced its first token. */
  readonly firstTokenAt: Millis;
  /** When the caller last received a token, or the request was admitted. */
  readonly progressAt: Millis;
  /** When the current attempt last showed activity. */
  readonly lastActivityAt: Millis;
  /** Consecutive silence timeouts after which the attempt was left running. */
  readonly toleratedSilences: number;
  /** When the last failure was detected; null if no recovery is in progress. */
  readonly failedAt: Millis | null;
}

/** The next state and the effects to carry out. */
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

/** Creates the state of a newly submitted request. */
export function createRequestMachine(
  spec: Pick<RequestSpec, 'idempotent' | 'maxTokens' | 'maxAttempts' | 'patience' | 'breakAfter'>,
  now: Millis,
): RequestMachine {
  const hasChainWait = spec.patience !== undefined;
  return {
    phase: RequestPhase.Waiting,
    idempotent: spec.idempotent,
    maxTokens: spec.maxTokens,
    submittedAt: now,
    attemptsLeft: spec.maxAttempts ?? Infinity,
    unprovenEnds: [],
    patientUntil: hasChainWait ? now + spec.patience : null,
    firstTokenDeadline:
      hasChainWait && spec.breakAfter !== undefined ? now + spec.breakAfter : null,
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

/** Returns the time by which the first token is due; null if it has come, or the caller stays. */
export function getFirstTokenDeadline({
  tokenCount,
  firstTokenDeadline: beginBy,
}: RequestMachine): Millis | null {
  return tokenCount === 0 ? beginBy : null;
}

/** Returns the run state to report now, including the running attempt. */
export function getMachineRun(machine: RequestMachine): RunStateName {
  if (machine.tokenCount > 0) {
    return RunState.Ran;
  }
  return machine.phase === RequestPhase.Running
    ? combineRunStates(machine.run, RunState.Unknown)
    : machine.run;
}

/** Ends the request with a failure that carries its current run state. */
export function failWith(
  machine: RequestMachine,
  kind: ProblemKindName,
  retryAfter: Millis | null,
): MachineStep {
  return endWith(machine, createProblem(kind, getMachineRun(machine), retryAfter));
}

/** Creates the description of a failed request. */
export function createProblem(
  kind: ProblemKindName,
  run: RunStateName,
  retryAfter: Millis | null,
): RequestProblem {
  return { kind, run, retryAfter, instance: null };
}

/** Ends the request with the given problem. */
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

/** Keeps the state and has no effects. */
export function keepState(machine: RequestMachine): MachineStep {
  return { machine, effects: [] };
}
