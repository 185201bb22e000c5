/** The events of a recorded history: timestamped actions of callers, instances, engines and services. */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type {
  EngineId,
  InstanceId,
  LayerRange,
  Millis,
  RequestId,
} from '@skylarksail/core/CoreTypes';

/** A request as its caller sent it to one instance. A resend is a separate request with the same key. */
export interface SubmittedEvent {
  readonly kind: 'submitted';
  readonly at: Millis;
  readonly request: RequestId;
  readonly instance: InstanceId;
  readonly work: 'model' | 'service';
  readonly key: string | null;
  readonly idempotent: boolean;
  /** Tokens of the correct answer; for a service, the response body as a single token. */
  readonly expected: readonly string[];
  /** Length of the prompt, which is the position of answer token 0 in the sequence. */
  readonly promptTokens: number;
  readonly layerCount: number;
  readonly deadline: Millis;
}

/** Something that a caller received or did after it sent a request. */
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
  /** An engine started an attempt. */
  | {
      readonly kind: 'taken';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly engine: EngineId;
    }
  /** Tokens up to position `end`, exclusive, were computed through a range of layers. */
  | {
      readonly kind: 'pass';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly end: number;
      readonly layers: LayerRange;
    }
  /** A token's frame reached the instance. The latest frame before a token event carried that token. */
  | {
      readonly kind: 'frame';
      readonly at: Millis;
      readonly request: RequestId;
      readonly attempt: number;
      readonly index: number;
    }
  /** A plain service executed a call. */
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
  /** The instance accepts no new requests from here on. */
  | InstanceChange<'instance-stopping'>
  | InstanceChange<'instance-stopped'>
  /** The router gave up on a request and must report the failure to the caller at once. */
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
  /** The platform or the network between instances started or stopped failing. */
  | { readonly kind: 'config-fault'; readonly at: Millis; readonly isFailing: boolean };

export type HistoryEvent =
  | SubmittedEvent
  | CallerEvent
  | WorkEvent
  | InstanceEvent
  | ConfigEvent
  | { readonly kind: 'end'; readonly at: Millis };

/** Rules that every history must satisfy. */
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

/** A violated rule, and the event or state that violates it. */
export interface HistoryViolation {
  readonly rule: HistoryRuleName;
  readonly detail: string;
}
