/** What a caller asks for, what it hears back, and how a request that got no answer is described. */
import type { Chain, ModelVariant, Stage } from '@skylarksail/core/CoreChain';
import type { PriorityName, RunStateName } from '@skylarksail/core/CoreConstants';
import type { EngineId, Millis, ModelId, RequestId, TeamId } from '@skylarksail/core/CoreTypes';
import type { AnswerHead, FinishReason, OriginalRequest } from './RequestPorts.js';

/** A model request as the router takes it. */
export interface RequestSpec {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly model: ModelId;
  readonly variant: ModelVariant;
  readonly layerCount: number;
  readonly prompt: string;
  /** Tokens of the prompt, if they were counted; estimated from its length otherwise. */
  readonly promptTokens?: number;
  readonly maxTokens: number;
  readonly priority: PriorityName;
  /** Time on the timer service's clock after which the caller no longer wants the answer. */
  readonly deadline: Millis;
  readonly idempotencyKey: string | null;
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
  /**
   * How long from its submission a request without any answer waits for engines that can take it. Left
   * out, it is refused at once where its layers are missing, and after a few fruitless attempts.
   */
  readonly patience?: Millis;
  /**
   * Silence in a begun answer after which it is broken off, so that its caller can go on elsewhere; left
   * out, it waits until its deadline.
   */
  readonly breakAfter?: Millis;
  /** The caller's own request, where engines take it unchanged. */
  readonly original?: OriginalRequest;
  /** Engines that it may run on, those that were lost under it not counted; no bound if left out. */
  readonly maxAttempts?: number;
  /** Hashes of the prompt's prefixes, shortest first, for engines' prefix caches. */
  readonly prefixKeys: readonly string[];
}

/** Why a request ended without a whole answer. */
export const ProblemKind = {
  /** Its share is used up; waiting would outlast the deadline or the queue's bound. */
  Overloaded: 'overloaded',
  /** The deadline passed. */
  Deadline: 'deadline',
  /** No chain of engines holds the model. */
  NoChain: 'no-chain',
  /** Attempts failed and no further one is allowed. */
  EngineFailed: 'engine-failed',
  /** The request crashed engines and is not run again. */
  Poison: 'poison',
  /** An earlier request with the key is still running. */
  AlreadyRunning: 'already-running',
  /** An earlier request with the key ran; its answer is no longer held. */
  AnswerGone: 'answer-gone',
  /** Nobody can tell whether an earlier request with the key ran. */
  OutcomeUnknown: 'outcome-unknown',
  /** The key was used with other content. */
  KeyMismatch: 'key-mismatch',
  /** The key is older than claims are kept. */
  KeyExpired: 'key-expired',
  /** The key could not be claimed in time. */
  ClaimUnavailable: 'claim-unavailable',
  /** The instance is stopping. */
  Draining: 'draining',
  /** The caller hung up. */
  HungUp: 'hung-up',
} as const;

export type ProblemKindName = (typeof ProblemKind)[keyof typeof ProblemKind];

/** The truth about a request that got no whole answer. */
export interface RequestProblem {
  readonly kind: ProblemKindName;
  /** `not-run` is said on proof only. */
  readonly run: RunStateName;
  /** Wait before a resend makes sense, or null if none does. */
  readonly retryAfter: Millis | null;
  /** Instance that runs the earlier request, for `already-running`. */
  readonly instance: string | null;
}

/** Hears of one request. Exactly one of `onEnd` and `onError` comes last, then nothing more. */
export interface RequestSink {
  /** Once, before the first token, with the head of the attempt that gave it if it had one. */
  onStart(head: AnswerHead | null): void;
  /** Tokens in order from index 0, each once. */
  onToken(index: number, token: string): void;
  onEnd(reason: FinishReason): void;
  onError(problem: RequestProblem): void;
}

/** A submitted request, held by its caller's connection. */
export interface RequestHandle {
  /** The caller hung up. Unkeyed work stops; keyed work goes on, so that a resend finds its answer. */
  cancel(): void;
}

/** What a chain is wanted for. */
export interface ChainRequest {
  readonly spec: RequestSpec;
  /** Tokens that the engines must read before the next one: the prompt and the answer so far. */
  readonly contextTokens: number;
  /** Whether the caller has a part of the answer, and waits for the rest. */
  readonly isBegun: boolean;
  /** Engines that must not be in the chain. */
  readonly avoid: readonly EngineId[];
}

/** The same for an answer that broke off. */
export interface RepairRequest extends ChainRequest {
  readonly broken: Chain;
  /** Stages of the broken chain to replace; the others keep their KV cache if they stay. */
  readonly failed: readonly EngineId[];
}

/** How an attempt ended, for the choice of later ones and the health of engines. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly firstToken: Millis; readonly meanGap: Millis | null }
  /** `engine` is null where the blame cannot be put on one. */
  | { readonly kind: 'failed'; readonly engine: EngineId | null; readonly cause: FailureCause }
  | { readonly kind: 'cancelled' };

/** What a failed attempt says of the engine. */
export type FailureCause = 'lost' | 'silent' | 'slow' | 'refused' | 'broken';

/** What a choice reserved on its engines. */
export interface ChainHold {
  /** The prompt has been read. */
  noteFirstToken(): void;
  /** Gives the reservation back; called once, when the attempt is over. */
  release(outcome: AttemptOutcome): void;
}

export type ChainChoice =
  | {
      readonly kind: 'chain';
      readonly chain: Chain;
      /** Engines of the broken chain whose KV cache may be imported. */
      readonly importFrom: readonly Stage[];
      readonly hold: ChainHold;
    }
  /** `isFull` says that engines hold the model but have no room now, so that waiting helps. */
  | { readonly kind: 'none'; readonly isFull: boolean; readonly retryAfter: Millis };

export type ChooseChain = (wish: ChainRequest) => ChainChoice;
export type ChooseRepair = (wish: RepairRequest) => ChainChoice;

const CHARACTERS_PER_TOKEN = 4;

/** Tokens of a request's prompt, for costs and expected times. */
export function getPromptTokens(spec: Pick<RequestSpec, 'prompt' | 'promptTokens'>): number {
  return spec.promptTokens ?? Math.ceil(spec.prompt.length / CHARACTERS_PER_TOKEN);
}
