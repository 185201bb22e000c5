/**
 * The ports of a running request: calls to engines and plain services, and claims of keyed requests.
 * Adapters with sockets implement them in the daemon; small fakes do in tests and benches.
 */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type {
  EngineId,
  Millis,
  RequestId,
  ServiceId,
  TeamId,
  Unregister,
} from '@skylarksail/core/CoreTypes';

/** Where in an attempt a failure showed. */
export const FailurePlace = {
  /** No connection; no byte was sent. */
  Connect: 'connect',
  /** While the request was being sent. */
  Send: 'send',
  /** The backend server answered with a refusal before it started. */
  Refused: 'refused',
  /** The acknowledgement named another chain, version or layer range. */
  Acknowledgement: 'acknowledgement',
  /** The stream broke, or ended without its end frame. */
  Stream: 'stream',
  /** A frame made no sense. */
  Garbage: 'garbage',
  /** No frame came for too long. */
  Silence: 'silence',
  /** A stage behind the first failed, as the first one says. */
  Stage: 'stage',
} as const;

export type FailurePlaceName = (typeof FailurePlace)[keyof typeof FailurePlace];

/** What went wrong with an attempt, told by structure and never by message text. */
export interface AttemptFailure {
  readonly place: FailurePlaceName;
  /** Backend server that failed, if it is known which. */
  readonly engine: EngineId | null;
  /** HTTP status, if an answer came. */
  readonly status: number | null;
  /** Wait that the backend server asked for. */
  readonly retryAfter: Millis | null;
  /** True only on the backend server's own word, or if no byte left us. */
  readonly provenNotRun: boolean;
}

/** A request as its caller sent it, for engines that take it unchanged in place of a prompt. */
export interface OriginalRequest {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** One attempt to run a request, or the rest of it, on a chain of engines. */
export interface EngineCall {
  readonly request: RequestId;
  /** Counts up from 1; frames of another attempt are dropped. */
  readonly attempt: number;
  readonly chain: Chain;
  readonly team: TeamId;
  /** Null where the engines speak our own protocol. */
  readonly original: OriginalRequest | null;
  /** What the model reads, as the engines take it. */
  readonly prompt: string;
  /** Tokens already given to the caller; generation goes on after them. */
  readonly resumeTokens: readonly string[];
  /** Tokens of the whole answer at the most, those resumed included. */
  readonly maxTokens: number;
  readonly priority: PriorityName;
  /** Time that is left until the caller's deadline. */
  readonly timeLeft: Millis;
  /** Engines of the earlier chain whose KV cache may be imported, by first layer. */
  readonly importFrom: readonly Stage[];
}

/** Status and headers of a backend server's answer, for callers that get them unchanged. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /**
   * True if the answer has neither a length nor chunks, so that only the end of its connection ends it.
   * Nobody can tell whether such an answer is whole, and it must not be passed on as if it were known.
   */
  readonly isUnframed?: boolean;
}

/** What the first stage says before the first token. */
export interface ChainAcknowledgement {
  readonly variant: ModelVariant;
  readonly stages: readonly Stage[];
  /** Head of the engine's answer, where the caller speaks the engine's own protocol. */
  readonly head?: AnswerHead;
}

/** Why a whole answer ended. */
export type FinishReason = 'stop' | 'length';

/** Hears of one attempt. Exactly one of `onEnd` and `onFailure` comes last, then nothing more. */
export interface EngineCallListener {
  onAcknowledged(acknowledgement: ChainAcknowledgement): void;
  /** `index` counts the tokens of the whole answer from 0, those resumed included. */
  onToken(index: number, token: string): void;
  onEnd(reason: FinishReason, tokenCount: number): void;
  onFailure(failure: AttemptFailure): void;
}

/** Starts an attempt; the returned function cancels it, also at the engines. */
export type OpenEngineCall = (call: EngineCall, listener: EngineCallListener) => Unregister;

/** A call to a plain service. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly attempt: number;
  readonly service: ServiceId;
  /** Backend server that takes it. */
  readonly server: EngineId;
  readonly team: TeamId;
  readonly priority: PriorityName;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeLeft: Millis;
}

export interface ServiceAnswer extends AnswerHead {
  readonly body: Uint8Array;
}

export interface ServiceCallListener {
  onAnswer(answer: ServiceAnswer): void;
  onFailure(failure: AttemptFailure): void;
}

export type OpenServiceCall = (call: ServiceCall, listener: ServiceCallListener) => Unregister;

/** Claims of keyed requests, as the claims package defines them. */
export type { ClaimAsk, ClaimOutcome, ClaimPort, ClaimRecord } from '@skylarksail/claims/ClaimPort';
