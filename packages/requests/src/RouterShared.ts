/** What the running requests of one router share. */
import type { EngineId, Millis, ModelId, RequestId } from '@skylarksail/core/CoreTypes';
import type { Admission } from './RequestAdmission.js';
import type { RetryBudget } from './RequestBudget.js';
import { hasRetry, noteFirstAttempt, refundRetry, takeRetry } from './RequestBudget.js';
import type { GiveUpReasonName } from './RequestMessages.js';
import { GiveUpReason } from './RequestMessages.js';
import type { Fingerprint, PoisonState, PoisonVerdictName } from './RequestPoison.js';
import { judgeRequest } from './RequestPoison.js';
import type { ProgressTracker } from './RequestProgress.js';
import type { RecoveryQueue } from './RequestRecovery.js';
import type { PostWork } from './RouterWorkQueue.js';
import type { RouterMeters } from './RouterMeters.js';
import type { QueuedRun } from './RunQueue.js';
import type { DecisionRecord, RouterDeps, RouterMetricName, StreamPace } from './RouterTypes.js';

/** A running request as the others see it. */
export interface ModelRun {
  readonly fingerprint: Fingerprint;
  /** Engines that it runs on now. */
  getEngines(): readonly EngineId[];
  /** Where it waits to begin; null if it has begun, or waits for a chain. */
  getQueued(): QueuedRun | null;
  /** Whether its answer has begun and stands still now. */
  isStalled(now: Millis): boolean;
  /** How its answer got on since this was last asked; null if it has not begun. */
  takePace(now: Millis): StreamPace | null;
  /** A slot for its recovery is free. */
  startRecovery(): void;
  /** Moves it if its stream is slow and moving pays. */
  checkSlow(usualGap: Millis): void;
  condemn(): void;
  onDrainLimit(): void;
}

/** Models of which begun answers wait for a chain: new requests of those wait their turn. */
export interface StarvedModels {
  noteStarved(model: ModelId, now: Millis): void;
  isStarved(model: ModelId, now: Millis): boolean;
}

const STARVED_TIME: Millis = 300;

/** Creates the record of starved models, empty. */
export function createStarvedModels(): StarvedModels {
  const until = new Map<ModelId, Millis>();
  return {
    noteStarved: (model, now) => {
      until.set(model, now + STARVED_TIME);
    },
    isStarved: (model, now) => (until.get(model) ?? 0) > now,
  };
}

/** State and services shared by all requests of a router. */
export interface RouterShared {
  readonly deps: RouterDeps;
  readonly admission: Admission;
  readonly recovery: RecoveryQueue;
  readonly progress: ProgressTracker;
  readonly meters: RouterMeters;
  readonly starved: StarvedModels;
  readonly runs: Map<string, ModelRun>;
  readonly post: PostWork;
  readonly getPoison: () => PoisonState;
  readonly setPoison: (state: PoisonState) => void;
  /** Budgets by model or service: repeats at one must not be paid for by calls to another. */
  readonly getBudget: (name: string) => RetryBudget;
  readonly setBudget: (name: string, budget: RetryBudget) => void;
  /** Begun answers that wait for the budget of a model: their callers have a part, and can't go elsewhere. */
  readonly begunWaits: Map<RequestId, ModelId>;
  readonly isDraining: () => boolean;
  /** Share of the begun answers that stand still now. */
  readonly getStalledShare: () => number;
  /** Starts recoveries while there are slots. */
  readonly startQueuedRecoveries: () => void;
}

/** Counts one, or records a time. */
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

/** Counts a request that no attempt follows for. */
export function countGiveUp(shared: RouterShared, reason: GiveUpReasonName): void {
  countMetric(shared, GIVE_UP_METRICS[reason]);
}

/** Writes a decision to the log. */
export function logDecision(shared: RouterShared, record: Omit<DecisionRecord, 'at'>): void {
  shared.deps.onDecision({ at: shared.deps.timers.now(), ...record });
}

/** Takes a retry out of the budget of a model or service, if it has one left. */
export function takeFromBudget(shared: RouterShared, name: string): boolean {
  const left = takeRetry(shared.getBudget(name), shared.deps.timers.now());
  countMetric(shared, left ? 'retries' : 'retriesDenied');
  if (left) {
    shared.setBudget(name, left);
  }
  return left !== null;
}

/** Whether the budget of a model or service has a retry left. */
export function hasBudget(shared: RouterShared, name: string): boolean {
  return hasRetry(shared.getBudget(name), shared.deps.timers.now());
}

/** Gives back a retry that reached no engine. */
export function returnToBudget(shared: RouterShared, name: string): void {
  shared.setBudget(name, refundRetry(shared.getBudget(name), shared.deps.timers.now()));
}

/** Lets a first try add its share to the budget. */
export function creditBudget(shared: RouterShared, name: string): void {
  shared.setBudget(name, noteFirstAttempt(shared.getBudget(name), shared.deps.timers.now()));
}

/** How a request stands now. */
export function getPoisonVerdict(
  shared: RouterShared,
  fingerprint: Fingerprint,
): PoisonVerdictName {
  return judgeRequest(shared.getPoison(), fingerprint, shared.deps.timers.now());
}

/** The other running requests with a fingerprint out of `wanted`. */
export function findRunsByFingerprint(
  shared: RouterShared,
  wanted: ReadonlySet<Fingerprint>,
): readonly ModelRun[] {
  return [...shared.runs.values()].filter((run) => wanted.has(run.fingerprint));
}
