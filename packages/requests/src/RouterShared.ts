/** State that the running requests of one router share. */
import type { ModelVariant } from '@skylarksail/core/CoreChain';
import type { EngineId, Millis, ModelId, RequestId } from '@skylarksail/core/CoreTypes';
import type { Admission } from './RequestAdmission.js';
import type { RetryBudget } from './RequestBudget.js';
import { hasRetry, noteFirstAttempt, refundRetry, takeRetry } from './RequestBudget.js';
import type { GiveUpReasonName } from './RequestMessages.js';
import { GiveUpReason } from './RequestMessages.js';
import type { ProgressTracker } from './RequestProgress.js';
import type { RecoveryQueue } from './RequestRecovery.js';
import type { RequestSuspects } from './RequestSuspects.js';
import type { RouterCrashes } from './RouterCrashes.js';
import type { RouterPriorities } from './RouterPriorities.js';
import type { PostWork } from './RouterWorkQueue.js';
import type { RouterMeters } from './RouterMeters.js';
import type { QueuedRun } from './RunQueue.js';
import type { DecisionRecord, RouterDeps, RouterMetricName, StreamPace } from './RouterTypes.js';

/** A running request of a model or a plain service, as the detection of crashing requests sees it. */
export interface GuardedRun {
  /** What may crash the engines that run it. */
  readonly suspects: RequestSuspects;
  /** Engines that it runs on at present. */
  getEngines(): readonly EngineId[];
  /** Whether its present attempt has produced a part of the answer. */
  hasBegun(): boolean;
  /** Ends it, since it crashes the engines that run it. */
  condemn(): void;
}

/** Interface of a running model request for the router and the other requests. */
export interface ModelRun extends GuardedRun {
  /** Its place in an engine's queue; null if its answer has begun or it has no chain. */
  getQueued(): QueuedRun | null;
  /** Whether its answer has begun and is stalled. */
  isStalled(now: Millis): boolean;
  /** Variant of its answer while that has begun and no attempt runs; null otherwise. */
  getInterrupted(): ModelVariant | null;
  /** Progress of its answer since the last call; null if the answer has not begun. */
  takePace(now: Millis): StreamPace | null;
  /** Starts its recovery, for which a slot is free. */
  startRecovery(): void;
  /** Moves it to other engines if its stream is slow and the move is worth its cost. */
  checkSlow(usualGap: Millis): void;
  onDrainLimit(): void;
}

/** Versions with begun answers that wait for a chain; new requests for these versions wait behind them. */
export interface StarvedVersions {
  noteStarved(variant: ModelVariant, now: Millis): void;
  isStarved(variant: ModelVariant, now: Millis): boolean;
}

const STARVATION_TIME: Millis = 300;

export function createStarvedVersions(): StarvedVersions {
  const until = new Map<string, Millis>();
  const getKey = ({ model, version }: ModelVariant): string => `${model}/${version}`;
  return {
    noteStarved: (variant, now) => {
      until.set(getKey(variant), now + STARVATION_TIME);
    },
    isStarved: (variant, now) => (until.get(getKey(variant)) ?? 0) > now,
  };
}

/** State and services shared by all requests of a router. */
export interface RouterShared {
  readonly deps: RouterDeps;
  readonly admission: Admission;
  readonly recovery: RecoveryQueue;
  readonly progress: ProgressTracker;
  readonly meters: RouterMeters;
  readonly priorities: RouterPriorities;
  readonly starved: StarvedVersions;
  readonly runs: Map<string, ModelRun>;
  /** All runs, of models and of plain services. */
  readonly guarded: Set<GuardedRun>;
  readonly post: PostWork;
  readonly crashes: RouterCrashes;
  /** Retry budgets by model or service: calls to one must not fund retries at another. */
  readonly getBudget: (name: string) => RetryBudget;
  readonly setBudget: (name: string, budget: RetryBudget) => void;
  /** Begun answers that wait for a model's retry budget: their callers have a partial answer and can't go elsewhere. */
  readonly begunWaits: Map<RequestId, ModelId>;
  readonly isDraining: () => boolean;
  /** Share of the begun answers that are stalled; 0 if none has begun. */
  readonly getStalledShare: () => number;
  /** Starts queued recoveries while slots are free. */
  readonly startQueuedRecoveries: () => void;
}

/** Increments a counter, or records a duration. */
export function countMetric(shared: RouterShared, name: RouterMetricName, value = 1): void {
  shared.deps.onCount({ name, value });
}

const GIVE_UP_METRICS: Readonly<Record<GiveUpReasonName, RouterMetricName>> = {
  [GiveUpReason.AttemptsSpent]: 'gaveUpAttemptsSpent',
  [GiveUpReason.MustNotRepeat]: 'gaveUpMustNotRepeat',
  [GiveUpReason.Fruitless]: 'gaveUpFruitless',
  [GiveUpReason.DeadlineNear]: 'gaveUpDeadlineNear',
  [GiveUpReason.Standstill]: 'gaveUpStandstill',
};

/** Counts a request that gets no further attempt. */
export function countGiveUp(shared: RouterShared, reason: GiveUpReasonName): void {
  countMetric(shared, GIVE_UP_METRICS[reason]);
}

export function logDecision(shared: RouterShared, record: Omit<DecisionRecord, 'at'>): void {
  shared.deps.onDecision({ at: shared.deps.timers.now(), ...record });
}

/** Takes a retry from the budget of a model or service; returns whether one was left. */
export function takeFromBudget(shared: RouterShared, name: string): boolean {
  const remaining = takeRetry(shared.getBudget(name), shared.deps.timers.now());
  countMetric(shared, remaining ? 'retries' : 'retriesDenied');
  if (remaining) {
    shared.setBudget(name, remaining);
  }
  return remaining !== null;
}

/** Whether the budget of a model or service has a retry left. */
export function hasBudget(shared: RouterShared, name: string): boolean {
  return hasRetry(shared.getBudget(name), shared.deps.timers.now());
}

/** Returns a retry that reached no engine to the budget. */
export function returnToBudget(shared: RouterShared, name: string): void {
  shared.setBudget(name, refundRetry(shared.getBudget(name), shared.deps.timers.now()));
}

/** Adds the share of a first attempt to the budget. */
export function creditBudget(shared: RouterShared, name: string): void {
  shared.setBudget(name, noteFirstAttempt(shared.getBudget(name), shared.deps.timers.now()));
}

/** Running requests that hold one of some suspects: requests as wholes or parts of prompts. */
export function findRunsWith(
  shared: RouterShared,
  wanted: ReadonlySet<string>,
): readonly GuardedRun[] {
  return [...shared.guarded].filter(
    ({ suspects }) =>
      wanted.has(suspects.request) || suspects.parts.some(({ name }) => wanted.has(name)),
  );
}
