/**
 * Ports of a running request: calls to engines and plain services, and claims of keyed requests. The daemon
 * implements them with sockets, tests and benchmarks with fakes.
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

/** The point of an attempt at which it failed. */
export const FailurePlace = {
  /** Connecting failed; no byte was sent. */
  Connect: 'connect',
  /** While the request was being sent. */
  Send: 'send',
  /** The backend server refused the request before it started. */
  Refused: 'refused',
  /** The acknowledgement named another chain, version or layer range. */
  Acknowledgement: 'acknowledgement',
  /** The stream broke, or ended without an end frame. */
  Stream: 'stream',
  /** A frame was invalid. */
  Garbage: 'garbage',
  /** No frame arrived within the silence timeout. */
  Silence: 'silence',
  /** A stage after the first failed, as reported by the first stage. */
  Stage: 'stage',
  /** The way to the backend server is cut; the server itself goes on. */
  Link: 'link',
} as const;

export type FailurePlaceName = (typeof FailurePlace)[keyof typeof FailurePlace];

/** Structured description of a failed attempt, independent of message texts. */
export interface AttemptFailure {
  readonly place: FailurePlaceName;
  /** Backend server that failed, if known. */
  readonly engine: EngineId | null;
  /** HTTP status, if a response arrived. */
  readonly status: number | null;
  /** Delay that the backend server asked for. */
  readonly retryAfter: Millis | null;
  /** True only if the backend server stated it, or if no byte was sent. */
  readonly provenNotRun: boolean;
}

/** A request as its caller sent it, for engines that take the unchanged request in place of a prompt. */
export interface OriginalRequest {
  readonly method: string;
  /** Path with the query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** One attempt to run a request, or the remainder of it, on a chain of engines. */
export interface EngineCall {
  readonly request: RequestId;
  /** Attempt number, starting at 1; frames of other attempts are dropped. */
  readonly attempt: number;
  readonly chain: Chain;
  readonly team: TeamId;
  /** Null if the engines use the router's own protocol. */
  readonly original: OriginalRequest | null;
  /** The model's input, in the form that the engines take. */
  readonly prompt: string;
  /** Tokens to prefill before the next token, if known: the prompt and the answer so far. */
  readonly contextTokens?: number;
  /** Whether it yields to others of its priority in the engines' queues; not if omitted. */
  readonly isYielding?: boolean;
  /** Tokens already sent to the caller; generation continues after them. */
  readonly resumeTokens: readonly string[];
  /** Maximum number of tokens in the whole answer, including resumed tokens. */
  readonly maxTokens: number;
  readonly priority: PriorityName;
  /** Time left until the caller's deadline. */
  readonly timeLeft: Millis;
  /** Stages of the previous chain whose KV cache may be imported, ordered by first layer. */
  readonly importFrom: readonly Stage[];
}

/** Status and headers of a backend server's response, for callers that get them unchanged. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /**
   * True if the response has neither a content length nor chunked encoding, so that only the close of its
   * connection ends it. Such a response cannot be checked for completeness.
   */
  readonly isUnframed?: boolean;
  /** Whether the server says that it leaves. */
  readonly isLeaving?: boolean;
}

/** What the first stage reports before the first token. */
export interface ChainAcknowledgement {
  readonly variant: ModelVariant;
  readonly stages: readonly Stage[];
  /** Head of the engine's response, if the caller uses the engine's own protocol. */
  readonly head?: AnswerHead;
}

/** Why a complete answer ended. */
export type FinishReason = 'stop' | 'length';

/** Callbacks for one attempt. The last call is exactly one of `onEnd` and `onFailure`. */
export interface EngineCallListener {
  /** Whether any byte of the call may have been sent by now; it may have if this is never called. */
  onConnection?(isSent: boolean): void;
  onAcknowledged(acknowledgement: ChainAcknowledgement): void;
  /** `index` is the token's position in the whole answer, from 0 and including resumed tokens. */
  onToken(index: number, token: string): void;
  onEnd(reason: FinishReason, tokenCount: number): void;
  onFailure(failure: AttemptFailure): void;
}

/** Starts an attempt. The returned function cancels it, including at the engines. */
export type OpenEngineCall = (call: EngineCall, listener: EngineCallListener) => Unregister;

/** A call to a plain service. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly attempt: number;
  readonly service: ServiceId;
  /** Backend server that receives the call. */
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
  /** Whether any byte of the call may have been sent by now; it may have if this is never called. */
  onConnection?(isSent: boolean): void;
  onAnswer(answer: ServiceAnswer): void;
  onFailure(failure: AttemptFailure): void;
}

export type OpenServiceCall = (call: ServiceCall, listener: ServiceCallListener) => Unregister;

/** Claims of keyed requests, as defined by the claims package. */
export type {
  ClaimRequest,
  ClaimOutcome,
  ClaimPort,
  ClaimRecord,
} from '@skylarksail/claims/ClaimPort';
