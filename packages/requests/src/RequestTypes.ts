/** Types of a submitted request, of its results and of the chain that is chosen for it. */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import type { PriorityName, RunStateName } from '@skylarksail/core/CoreConstants';
import type {
  EngineId,
  Millis,
  ModelId,
  RequestId,
  TeamId,
  VersionId,
} from '@skylarksail/core/CoreTypes';
import type { AnswerHead, FinishReason, OriginalRequest } from './RequestPorts.js';

/** A model request as submitted to the router. */
export interface RequestSpec {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly model: ModelId;
  /** What to run; the choice of a chain may replace the version until the answer has begun. */
  readonly variant: ModelVariant;
  readonly layerCount: number;
  readonly prompt: string;
  /** Exact token count of the prompt; if left out, it is estimated from the prompt's length. */
  readonly promptTokens?: number;
  readonly maxTokens: number;
  readonly priority: PriorityName;
  /** Time on the timer service's clock after which the caller no longer needs the answer. */
  readonly deadline: Millis;
  readonly idempotencyKey: string | null;
  /** Whether the request may safely run twice. */
  readonly idempotent: boolean;
  /**
   * How long after its submission a request without any token may wait for engines that can take it. If left
   * out, it is refused at once if layers of its model are missing, and after a few attempts without a token.
   */
  readonly patience?: Millis;
  /**
   * Time without a token after which a partial answer is aborted, so that its caller can continue elsewhere. If
   * left out, the answer may stall until the deadline.
   */
  readonly breakAfter?: Millis;
  /** The caller's original request, for engines that take it unchanged. */
  readonly original?: OriginalRequest;
  /** Maximum number of engines to run on, not counting engines lost during an attempt; unlimited if left out. */
  readonly maxAttempts?: number;
  /** Ids of the parts of its prompt that other requests may share, in order, as the caller gave them; none if left out. */
  readonly sharedParts?: readonly string[];
  /** Hashes of the prompt's prefixes, shortest first, to match the prefix caches of engines. */
  readonly prefixKeys: readonly string[];
}

/** Why a request ended without a complete answer. */
export const ProblemKind = {
  /** The request would wait past its deadline, the queue is full, or the retry budget is exhausted. */
  Overloaded: 'overloaded',
  /** The deadline passed. */
  Deadline: 'deadline',
  /** No chain of engines can serve the model. */
  NoChain: 'no-chain',
  /** Attempts failed, and no other attempt is allowed. */
  EngineFailed: 'engine-failed',
  /** The request crashed engines and is not retried. */
  Poison: 'poison',
  /** An earlier request with the same key is still running. */
  AlreadyRunning: 'already-running',
  /** An earlier request with the same key ran, and its answer is no longer stored. */
  AnswerGone: 'answer-gone',
  /** It is unknown whether an earlier request with the same key ran. */
  OutcomeUnknown: 'outcome-unknown',
  /** It was at several crashes, and nobody can tell yet whether it caused them. */
  Suspected: 'suspected',
  /** The key was already used with different content. */
  KeyMismatch: 'key-mismatch',
  /** The key is older than the retention time of claims. */
  KeyExpired: 'key-expired',
  /** The key could not be claimed before the timeout. */
  ClaimUnavailable: 'claim-unavailable',
  /** The instance is stopping. */
  Draining: 'draining',
  /** The caller closed its connection. */
  HungUp: 'hung-up',
} as const;

export type ProblemKindName = (typeof ProblemKind)[keyof typeof ProblemKind];

/** Describes the failure of a request without a complete answer. */
export interface RequestProblem {
  readonly kind: ProblemKindName;
  /** `not-run` only if proven. */
  readonly run: RunStateName;
  /** Delay after which a resend is useful; null if a resend is not useful. */
  readonly retryAfter: Millis | null;
  /** For `already-running`: the instance that runs the earlier request. */
  readonly instance: string | null;
}

/** Callbacks for one request. The last call is exactly one of `onEnd` and `onError`. */
export interface RequestSink {
  /** Called once, before the first token, with the answer head of the attempt that produced it, if there is one. */
  onStart(head: AnswerHead | null): void;
  /** Called once for each token, in order from index 0. */
  onToken(index: number, token: string): void;
  onEnd(reason: FinishReason): void;
  onError(problem: RequestProblem): void;
}

/** Handle of a submitted request, owned by its caller's connection. */
export interface RequestHandle {
  /** Called when the caller disconnects. Unkeyed work stops; keyed work continues, so a resend finds its answer. */
  cancel(): void;
}

/** The input of a chain choice. */
export interface ChainRequest {
  readonly spec: RequestSpec;
  /** Tokens to prefill before the next token: the prompt and the answer so far. */
  readonly contextTokens: number;
  /** Version that produced the caller's part of the answer, and must produce the rest; null before the first token. */
  readonly begunVersion: VersionId | null;
  /** Engines to exclude from the chain. */
  readonly avoid: readonly EngineId[];
  /** Engines of which one must be the first of the chain; any engine may be if null or omitted. */
  readonly firstEngines?: readonly EngineId[] | null;
}

/** The input of a chain choice for an interrupted answer. */
export interface RepairRequest extends ChainRequest {
  readonly broken: Chain;
  /** Engines of the broken chain to replace; the others keep their KV cache if they stay in the chain. */
  readonly failed: readonly EngineId[];
}

/** How an attempt ended, as input to later choices and to the health of engines. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly firstToken: Millis; readonly meanGap: Millis | null }
  /** `engine` is null if the failure cannot be attributed to a single engine. */
  | { readonly kind: 'failed'; readonly engine: EngineId | null; readonly cause: FailureCause }
  | { readonly kind: 'cancelled' };

/** What a failed attempt shows about the engine. */
export type FailureCause = 'lost' | 'silent' | 'slow' | 'refused' | 'broken' | 'cut-off';

/** The capacity that a choice reserved on its engines. */
export interface ChainHold {
  /** Called at the first token, when the prompt has been prefilled. */
  noteFirstToken(): void;
  /** Releases the reservation; called once, when the attempt is over. */
  release(outcome: AttemptOutcome): void;
}

export type ChainChoice =
  | {
      readonly kind: 'chain';
      readonly chain: Chain;
      /** Stages of the broken chain whose KV cache may be imported. */
      readonly importFrom: readonly Stage[];
      readonly hold: ChainHold;
    }
  /** `isFull` means that engines hold the model but have no capacity now, so that waiting helps. */
  | {
      readonly kind: 'none';
      readonly isFull: boolean;
      readonly retryAfter: Millis;
      /** Whether no chain can come back: the version with which the answer began is gone for good. */
      readonly isGone?: boolean;
      /** Time until engines that asked for a backoff may be used again, if there would be a chain with them. */
      readonly backoffLeft?: Millis;
    };

export type ChooseChain = (request: ChainRequest) => ChainChoice;
export type ChooseRepair = (request: RepairRequest) => ChainChoice;

const CHARACTERS_PER_TOKEN = 4;

/** Returns the token count of a request's prompt, for cost and time estimates. */
export function getPromptTokens(spec: Pick<RequestSpec, 'prompt' | 'promptTokens'>): number {
  return spec.promptTokens ?? Math.ceil(spec.prompt.length / CHARACTERS_PER_TOKEN);
}
