/** Events that the machine of a request takes, and effects that it returns. */
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

/** Where a request stands. */
export const RequestPhase = {
  /** In the queue, or its key is being claimed. */
  Waiting: 'waiting',
  /** A chain has been asked for. */
  Choosing: 'choosing',
  /** An attempt is open. */
  Running: 'running',
  /** Between attempts. */
  Pausing: 'pausing',
  Ended: 'ended',
} as const;

export type RequestPhaseName = (typeof RequestPhase)[keyof typeof RequestPhase];

/** Silence that an attempt is allowed, and the gap that its tokens are expected to have. */
export interface SilenceLimits {
  readonly acknowledgement: Millis;
  readonly firstToken: Millis;
  readonly gap: Millis;
  /** Bounds of the silence between tokens. */
  readonly gapBounds: SilenceBounds;
}

/** What happened. Events with an attempt number come from an attempt; the others from ourselves. */
export type RequestEvent =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly problem: RequestProblem }
  /** An earlier request with the key got this answer. */
  | { readonly kind: 'answer-held'; readonly answer: string }
  /** The request was found to crash engines. */
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
      /** Whether there are chains, and it would begin at none before its caller leaves. */
      readonly isTooLate: boolean;
      readonly retryAfter: Millis;
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
      /** Engines that may be to blame, where the failure names none. */
      readonly suspects: readonly EngineId[];
      /** Whether tokens came too slowly, as against not at all. */
      readonly isSlow: boolean;
    }
  /** The timer of the last `watch`; `dueAt` is when it should have fired. */
  | { readonly kind: 'tick'; readonly dueAt: Millis }
  /** A silent attempt is left to go on. */
  | { readonly kind: 'silence-borne' }
  /** The same where nothing can follow the attempt now; something may after `delay`. */
  | { readonly kind: 'look-again'; readonly delay: Millis }
  /** The answer has stood still for too long, and no other attempt can follow. */
  | { readonly kind: 'stood-still' }
  | { readonly kind: 'retry-granted'; readonly failed: readonly EngineId[] }
  | { readonly kind: 'retry-refused'; readonly retryAfter: Millis | null }
  /** The retry budget is spent; the caller may come back by itself. */
  | { readonly kind: 'budget-spent'; readonly retryAfter: Millis }
  /** The answer must have begun by now, as its caller leaves soon after. */
  | { readonly kind: 'patience-over' }
  | { readonly kind: 'hang-up' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'drain-limit' };

/** Why a request is given up after a failed attempt. */
export const GiveUpReason = {
  /** It ran on as many engines as its route allows. */
  AttemptsSpent: 'attempts-spent',
  /** It may have run, and must not run twice. */
  MustNotRepeat: 'must-not-repeat',
  /** Too many attempts in a row gave nothing, or its caller's patience is over. */
  Fruitless: 'fruitless',
  /** The next attempt would come after its caller's deadline, or when the caller has left. */
  DeadlineNear: 'deadline-near',
  /** Its caller has got nothing for too long, and may be better served elsewhere. */
  Standstill: 'standstill',
} as const;

export type GiveUpReasonName = (typeof GiveUpReason)[keyof typeof GiveUpReason];

/** What is asked of the router: a recovery slot, a retry out of the budget, or another look for a chain. */
export type RetryMode = 'recover' | 'retry' | 'rechoose';

/** What is to be done. */
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
  /** The attempt is over; cancels it if it still runs. */
  | { readonly kind: 'close'; readonly outcome: AttemptOutcome }
  | {
      readonly kind: 'token';
      readonly index: number;
      readonly token: string;
      /** When the wait for this token began. */
      readonly since: Millis;
      readonly isFirst: boolean;
    }
  /** Sends a tick after `delay`. */
  | { readonly kind: 'watch'; readonly delay: Millis }
  /** The attempt was silent too long: find the suspects and send a failure. */
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
      /** Whether an engine's process seems to have died while it ran the request. */
      readonly isCrash: boolean;
      /** Whether the engine answered that it does not take the work. */
      readonly isRefusal: boolean;
      readonly isLost: boolean;
      /** Tokens that the attempt gave. */
      readonly attemptTokens: number;
      /** From the last sign of life to now. */
      readonly detection: Millis;
    }
  /** The first token after a failure: since its attempt was opened, and since the caller's last one. */
  | { readonly kind: 'recovered'; readonly firstToken: Millis; readonly pause: Millis }
  /** No attempt follows; `fail` comes next. */
  | { readonly kind: 'given-up'; readonly reason: GiveUpReasonName }
  | { readonly kind: 'complete'; readonly reason: FinishReason }
  | { readonly kind: 'replay'; readonly answer: string }
  | { readonly kind: 'fail'; readonly problem: RequestProblem }
  | { readonly kind: 'count'; readonly name: 'late-frame' | 'repeated-frame' };
