/** Input events and output effects of a request's state machine. */
import type { Chain, Stage } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { FailureClassName } from './RequestFailures.js';
import type {
  AttemptFailure,
  ChainAcknowledgement,
  FailurePlaceName,
  FinishReason,
} from './RequestPorts.js';
import type { SilenceBounds } from './RequestPace.js';
import type { AttemptOutcome, RequestProblem } from './RequestTypes.js';

/** Phase of a request. */
export const RequestPhase = {
  /** In the queue, or its key is being claimed. */
  Waiting: 'waiting',
  /** A chain has been requested. */
  Choosing: 'choosing',
  /** An attempt is open. */
  Running: 'running',
  /** Waiting between attempts. */
  Pausing: 'pausing',
  Ended: 'ended',
} as const;

export type RequestPhaseName = (typeof RequestPhase)[keyof typeof RequestPhase];

/** Silence timeouts of an attempt, and the expected gap between its tokens. */
export interface SilenceLimits {
  readonly acknowledgement: Millis;
  readonly firstToken: Millis;
  readonly gap: Millis;
  /** Bounds of the silence timeout between tokens. */
  readonly gapBounds: SilenceBounds;
}

/** Events with an attempt number come from an attempt; the others come from the router. */
export type RequestEvent =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly problem: RequestProblem }
  /** An earlier request with the same key has this answer. */
  | { readonly kind: 'answer-held'; readonly answer: string }
  /** The request is classified as a poison request. */
  | { readonly kind: 'condemned' }
  | {
      readonly kind: 'chosen';
      readonly chain: Chain;
      readonly importFrom: readonly Stage[];
      readonly limits: SilenceLimits;
    }
  | {
      readonly kind: 'no-chain';
      readonly isFull: boolean;
      /** Whether chains exist, but none would start the request before its caller leaves. */
      readonly isTooLate: boolean;
      readonly retryAfter: Millis;
      /** Whether no chain can come back for an answer that has begun. */
      readonly isGone?: boolean;
      /** Time until engines that asked for a backoff may be used again, if there would be a chain with them. */
      readonly backoffLeft?: Millis;
    }
  | {
      readonly kind: 'acknowledged';
      readonly attempt: number;
      readonly acknowledgement: ChainAcknowledgement;
    }
  | {
      readonly kind: 'token';
      readonly attempt: number;
      readonly index: number;
      readonly token: string;
    }
  | {
      readonly kind: 'end';
      readonly attempt: number;
      readonly reason: FinishReason;
      readonly tokenCount: number;
    }
  | {
      readonly kind: 'failure';
      readonly attempt: number;
      readonly failure: AttemptFailure;
      /** Engines that may have caused the failure, if the failure names none. */
      readonly suspects: readonly EngineId[];
      /** Whether tokens arrived too slowly, as opposed to not at all. */
      readonly isSlow: boolean;
      /** Whether the first engine may still run although its stream broke; it is assumed to have ended if omitted. */
      readonly isEndUnproven?: boolean;
    }
  /** The timer of the last `watch` fired; `dueAt` is when it was due. */
  | { readonly kind: 'tick'; readonly dueAt: Millis }
  /** A silent attempt is allowed to continue. */
  | { readonly kind: 'silence-borne' }
  /** A silent attempt continues because no other attempt can replace it now; check again after `delay`. */
  | { readonly kind: 'look-again'; readonly delay: Millis }
  /** The answer has stalled for too long, and no other attempt can replace this one. */
  | { readonly kind: 'stood-still' }
  | { readonly kind: 'retry-granted'; readonly failed: readonly EngineId[] }
  | { readonly kind: 'retry-refused'; readonly retryAfter: Millis | null }
  /** The retry budget is exhausted; the caller may retry on its own. */
  | { readonly kind: 'budget-spent'; readonly retryAfter: Millis }
  /** No token has arrived by the first-token deadline; the caller leaves soon. */
  | { readonly kind: 'patience-over' }
  | { readonly kind: 'hang-up' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'drain-limit' };

/** Why a request is not attempted again. */
export const GiveUpReason = {
  /** It ran on the maximum number of engines that its route allows. */
  AttemptsSpent: 'attempts-spent',
  /** It may have run, and must not run twice. */
  MustNotRepeat: 'must-not-repeat',
  /** Too many consecutive attempts produced no token, or the wait for engines is over. */
  Fruitless: 'fruitless',
  /** The next attempt would start after the deadline, or after the caller has left. */
  DeadlineNear: 'deadline-near',
  /** Its caller has received no token for too long, and may be better served elsewhere. */
  Standstill: 'standstill',
} as const;

export type GiveUpReasonName = (typeof GiveUpReason)[keyof typeof GiveUpReason];

/** What a request asks the router for: a recovery slot, a retry from the budget, or another chain choice. */
export type RetryMode = 'recover' | 'retry' | 'rechoose';

/** An action that the router carries out for the request. */
export type RequestEffect =
  | {
      readonly kind: 'choose';
      readonly broken: Chain | null;
      readonly failed: readonly EngineId[];
      readonly avoid: readonly EngineId[];
    }
  | {
      readonly kind: 'open';
      readonly attempt: number;
      readonly chain: Chain;
      readonly importFrom: readonly Stage[];
    }
  /** Closes the attempt, and cancels it if it is still running. */
  | { readonly kind: 'close'; readonly outcome: AttemptOutcome }
  | {
      readonly kind: 'token';
      readonly index: number;
      readonly token: string;
      /** When the wait for this token began. */
      readonly since: Millis;
      readonly isFirst: boolean;
    }
  /** Schedules a `tick` after `delay`. */
  | { readonly kind: 'watch'; readonly delay: Millis }
  /** The silence timeout of the attempt expired: decide whether it failed, and report that as an event. */
  | { readonly kind: 'silent'; readonly attempt: number }
  | {
      readonly kind: 'ask-retry';
      readonly mode: RetryMode;
      readonly failed: readonly EngineId[];
      readonly retryAfter: Millis | null;
      readonly fruitless: number;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: number;
      readonly place: FailurePlaceName;
      readonly failureClass: FailureClassName;
      readonly engines: readonly EngineId[];
      /** Whether an engine's process probably crashed while it ran the request. */
      readonly isCrash: boolean;
      /** Whether the engine refused the request. */
      readonly isRefusal: boolean;
      readonly isLost: boolean;
      /** Tokens that the attempt produced. */
      readonly attemptTokens: number;
      /** Time from the last activity to the detection. */
      readonly detection: Millis;
    }
  /** The first token after a failure, with the time since its attempt opened and since the caller's last token. */
  | { readonly kind: 'recovered'; readonly firstToken: Millis; readonly pause: Millis }
  /** No other attempt is made; followed by `fail`. */
  | { readonly kind: 'given-up'; readonly reason: GiveUpReasonName }
  | { readonly kind: 'complete'; readonly reason: FinishReason }
  | { readonly kind: 'replay'; readonly answer: string }
  | { readonly kind: 'fail'; readonly problem: RequestProblem }
  | { readonly kind: 'count'; readonly name: 'late-frame' | 'repeated-frame' };
