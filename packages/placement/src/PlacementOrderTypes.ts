/** Settings, state, events and effects of the state machine that sends orders to engines. */
import type { EngineFacts, EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { MoveReasonName, PlacementMove } from './PlacementTypes.js';

export interface OrderSettings {
  /** How long an order may wait at an engine; if it has not started by then, the engine drops it. */
  readonly validFor: Millis;
  /** Assumed upper bound on the time from sending an order to its arrival. */
  readonly transit: Millis;
  /** Upper bound on the age of a report. */
  readonly reportLag: Millis;
  /**
   * Longest time that an engine takes to carry out an order, including loading. An engine without a
   * report for this long is removed from the state.
   */
  readonly loadTimeout: Millis;
  /** An engine without a report for this long counts as gone. */
  readonly goneAfter: Millis;
  /** Delay after a failed order; doubled with each consecutive failure. */
  readonly backoff: Millis;
  readonly maxBackoff: Millis;
  /**
   * Number of consecutive failures after which plans leave an engine out until its backoff ends.
   * `maxStarts` is the same for restarts within `startsWindow`.
   */
  readonly maxFailures: number;
  readonly maxStarts: number;
  readonly startsWindow: Millis;
}

export const DEFAULT_ORDER_SETTINGS: OrderSettings = {
  validFor: 5000,
  transit: 2000,
  reportLag: 10_000,
  loadTimeout: 300_000,
  goneAfter: 15_000,
  backoff: 10_000,
  maxBackoff: 600_000,
  maxFailures: 2,
  maxStarts: 3,
  startsWindow: 300_000,
};

/** An engine's answer to an order; `unknown` if none arrived. */
export type OrderAnswer =
  | { readonly kind: 'done'; readonly holding: Holding | null }
  | { readonly kind: 'refused'; readonly highest: number }
  | { readonly kind: 'unknown' };

/** An order to an engine: the state that the engine must reach. */
export interface Order {
  /** Combines the lease's fencing number and a count of orders under it; see `createOrderNumber`. */
  readonly number: number;
  readonly want: Holding | null;
  readonly validForMs: Millis;
}

/** An order whose outcome is not settled yet. */
export interface SentOrder {
  readonly number: number;
  readonly want: Holding | null;
  readonly reason: MoveReasonName;
  readonly sentAt: Millis;
  /** True if no answer arrived; the engine's reports then settle the order. */
  readonly isUnknown: boolean;
}

/** An engine's last order that is known to be done. */
export interface SettledOrder {
  readonly number: number;
  readonly holding: Holding | null;
  readonly at: Millis;
  readonly bootId: string;
}

/** A lease holder's record of an engine. */
export interface EngineRecord {
  readonly facts: EngineFacts;
  readonly load: EngineLoad;
  readonly isHealthy: boolean;
  readonly reportedAt: Millis;
  readonly order: SentOrder | null;
  readonly settled: SettledOrder | null;
  /** A move that waits for a grant from the weight store's rate budget. */
  readonly asked: PlacementMove | null;
  readonly failures: number;
  readonly backoffUntil: Millis;
  /** Times of the engine's restarts within `startsWindow`. */
  readonly starts: readonly Millis[];
}

/** The lease as read just before a step. Null instead of a snapshot means that no lease is safe to act under. */
export interface LeaseSnapshot {
  readonly fencing: number;
}

/** The lease in use, with the number of orders sent under it. */
export interface HeldOrderLease {
  readonly fencing: number;
  readonly gainedAt: Millis;
  readonly ordersSent: number;
}

export interface OrdersState {
  readonly domain: DomainId;
  readonly settings: OrderSettings;
  readonly lease: HeldOrderLease | null;
  /** Highest fencing number in any report or refusal of an engine. */
  readonly highestFencing: number;
  /** Fencing number of the last lease that this holder stepped down from; no order is sent under it again. */
  readonly droppedFencing: number;
  readonly engines: ReadonlyMap<EngineId, EngineRecord>;
}

/** An engine's report of its load, with routing's view of its health. */
export interface EngineReport {
  readonly facts: EngineFacts;
  readonly load: EngineLoad;
  /** False if routing has ejected the engine; counts as true if omitted. */
  readonly isHealthy?: boolean;
}

export type OrdersEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'reported'; readonly reports: readonly EngineReport[] }
  | {
      readonly kind: 'planned';
      readonly moves: readonly PlacementMove[];
      /** Engines that do not check fencing numbers and accept any order. */
      readonly unfencedEngines: ReadonlySet<EngineId>;
    }
  | { readonly kind: 'weights-answered'; readonly engine: EngineId; readonly isGranted: boolean }
  | {
      readonly kind: 'answered';
      readonly engine: EngineId;
      readonly number: number;
      readonly answer: OrderAnswer;
    };

/** What happened to an engine's order or to the lease. */
export const DecisionKind = {
  Ordered: 'ordered',
  Done: 'done',
  /** No answer arrived, but a report shows that the order is done. */
  Settled: 'settled',
  Refused: 'refused',
  Unknown: 'unknown',
  /** Reports show that the engine never started the order. */
  NotTaken: 'not-taken',
  /** The engine finished the order but holds something else than ordered. */
  HalfFinished: 'half-finished',
  /** The engine no longer holds what its last settled order specified. */
  Overwritten: 'overwritten',
  CrashLoop: 'crash-loop',
  /** The engine has taken a later order. */
  Superseded: 'superseded',
  LeaseGained: 'lease-gained',
  LeaseLost: 'lease-lost',
  SteppedDown: 'stepped-down',
} as const;

export type DecisionKindName = (typeof DecisionKind)[keyof typeof DecisionKind];

/** A decision as it is logged. Without an order, `number` is the lease's fencing number. */
export interface PlacementDecision {
  readonly domain: DomainId;
  readonly kind: DecisionKindName;
  readonly engine: EngineId | null;
  readonly number: number | null;
  readonly want: Holding | null;
  readonly reason: MoveReasonName | null;
}

export type OrdersEffect =
  | { readonly kind: 'send-order'; readonly engine: EngineId; readonly order: Order }
  | {
      readonly kind: 'ask-weights';
      readonly engine: EngineId;
      readonly bytes: number;
      readonly reason: MoveReasonName;
    }
  | { readonly kind: 'step-down' }
  | { readonly kind: 'log'; readonly decision: PlacementDecision };

export interface OrdersStep {
  readonly state: OrdersState;
  readonly effects: readonly OrdersEffect[];
}

/** Maximum number of orders under one lease, so that an order's number stays a safe integer. */
export const ORDERS_PER_LEASE = 2 ** 20;

/** Creates a number that increases with each lease and, under one lease, with each order. */
export function createOrderNumber(fencing: number, count: number): number {
  return fencing * ORDERS_PER_LEASE + count;
}

/** Extracts the lease's fencing number from an order's number. */
export function getOrderFencing(number: number): number {
  return Math.floor(number / ORDERS_PER_LEASE);
}
