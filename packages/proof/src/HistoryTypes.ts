/** The events of a recorded history: what callers, instances, engines and services did, and when. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type {
  EngineId,
  InstanceId,
  LayerRange,
  Millis,
  RequestId,
} from '@skylarksail/core/CoreTypes';

/** A request as its caller sent it to one instance. A resend is a request of its own with the same key. */
export interface SubmittedEvent {
  readonly kind: 'submitted';
  readonly at: Millis;
  readonly request: RequestId;
  readonly instance: InstanceId;
  readonly work: 'model' | 'service';
  readonly key: string | null;
  readonly idempotent: boolean;
  /** Tokens of the right answer, or the body of a service's answer as a single one. */
  readonly expected: readonly string[];
  /** Position in the sequence at which token 0 is made: the length of the prompt. */
  readonly promptTokens: number;
  readonly layerCount: number;
  readonly deadline: Millis;
}

/** Something that a caller saw, or did, after it had sent a request. */
export type CallerEvent =
  | {
      readonly kind: 'token';
      readonly at: Millis;
      readonly request: RequestId;
      readonly index: number;
      readonly token: string;
    }
  | { readonly kind: 'answered'; readonly at: Millis; readonly request: RequestId }
  | {
      readonly kind: 'failed';
      readonly at: Millis;
      readonly request: RequestId;
      readonly problem: string;
      readonly run: RunStateName;
    }
  | { readonly kind: 'hung-up'; readonly at: Millis; readonly request: RequestId };

/** Something that an engine or a service did. */
export type WorkEvent =
  /** An engine took an attempt up. */
  | {
      readonly kind: 'taken';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly engine: EngineId;
    }
  /** Tokens up to position `end`, exclusive, passed some layers. */
  | {
      readonly kind: 'pass';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly end: number;
      readonly layers: LayerRange;
    }
  /** A token's frame reached the instance; the latest one before a token is the one that it came in. */
  | {
      readonly kind: 'frame';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly index: number;
    }
  /** A plain service did what a call asked for. */
  | { readonly kind: 'effect'; readonly at: Millis; readonly request: RequestId }
  | { readonly kind: 'engine-leaving'; readonly at: Millis; readonly engine: EngineId };

interface InstanceChange<K extends string> {
  readonly kind: K;
  readonly at: Millis;
  readonly instance: InstanceId;
}

/** Something that happened to an instance. */
export type InstanceEvent =
  | InstanceChange<'instance-started'>
  | InstanceChange<'instance-killed'>
  /** It takes nothing new from here on. */
  | InstanceChange<'instance-stopping'>
  | InstanceChange<'instance-stopped'>
  /** The router gave a request up; its caller is to hear of it at once. */
  | { readonly kind: 'given-up'; readonly at: Millis; readonly request: RequestId };

/** Something that happened to the configuration. */
export type ConfigEvent =
  | { readonly kind: 'accepted'; readonly at: Millis; readonly revision: number }
  | {
      readonly kind: 'in-force';
      readonly at: Millis;
      readonly instance: InstanceId;
      readonly revision: number;
    }
  /** The platform or the network between instances began or ceased to fail. */
  | { readonly kind: 'config-fault'; readonly at: Millis; readonly isFailing: boolean };

export type HistoryEvent =
  | SubmittedEvent
  | CallerEvent
  | WorkEvent
  | InstanceEvent
  | ConfigEvent
  | { readonly kind: 'end'; readonly at: Millis };

/** What a history may be found to break. */
export const HistoryRule = {
  OneAnswer: 'one-answer',
  WholeAnswer: 'whole-answer',
  LayersInOrder: 'layers-in-order',
  AtMostOnce: 'at-most-once',
  TrueRun: 'true-run',
  TrueRunOfKey: 'true-run-of-key',
  RevisionsRise: 'revisions-rise',
  InForceInTime: 'in-force-in-time',
  LeavingEngine: 'leaving-engine',
  PlannedStop: 'planned-stop',
  AnsweredAtOnce: 'answered-at-once',
} as const;

export type HistoryRuleName = (typeof HistoryRule)[keyof typeof HistoryRule];

/** A rule that a history breaks, with what broke it. */
export interface HistoryViolation {
  readonly rule: HistoryRuleName;
  readonly detail: string;
}
