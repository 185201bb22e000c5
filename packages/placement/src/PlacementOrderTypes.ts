/** What the machine that sends orders is made of: its settings, state, events and effects. */
import type { EngineFacts, EngineLoad, Holding } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { MoveReasonName, PlacementMove } from './PlacementTypes.js';

export interface OrderSettings {
  /** How long an order may wait at an engine before its start; the engine then drops it. */
  readonly validFor: Millis;
  /** Longest time that an order may be under way to an engine, as far as we reckon. */
  readonly transit: Millis;
  /** Age that a report may have. */
  readonly reportLag: Millis;
  /** Longest time that an engine takes to load. */
  readonly loadTimeout: Millis;
  /** An engine that is not told of for so long is gone. */
  readonly goneAfter: Millis;
  /** Pause after an order that failed; doubled with each further one. */
  readonly backoff: Millis;
  readonly maxBackoff: Millis;
  /** Failed orders in a row, or starts within the window, from which an engine is planned around. */
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

/** What an engine answered to an order. */
export type OrderAnswer =
  | { readonly kind: 'done'; readonly holding: Holding | null }
  | { readonly kind: 'refused'; readonly highest: number }
  | { readonly kind: 'unknown' };

/** An order as an engine takes it: the state that it shall reach. */
export interface Order {
  /** Fencing number of the lease and a count under it, as one number; see `createOrderNumber`. */
  readonly number: number;
  readonly want: Holding | null;
  readonly validForMs: Millis;
}

/** An order that is not settled yet. */
export interface SentOrder {
  readonly number: number;
  readonly want: Holding | null;
  readonly reason: MoveReasonName;
  readonly sentAt: Millis;
  /** No answer came; the engine's reports settle it. */
  readonly isUnknown: boolean;
}

/** The last order that is known to be done. */
export interface SettledOrder {
  readonly number: number;
  readonly holding: Holding | null;
  readonly at: Millis;
  readonly bootId: string;
}

/** What is known of an engine. */
export interface EngineRecord {
  readonly facts: EngineFacts;
  readonly load: EngineLoad;
  readonly isHealthy: boolean;
  readonly reportedAt: Millis;
  readonly order: SentOrder | null;
  readonly settled: SettledOrder | null;
  /** A move that waits for the weight store's budget. */
  readonly asked: PlacementMove | null;
  readonly failures: number;
  readonly backoffUntil: Millis;
  /** Times of its restarts. */
  readonly starts: readonly Millis[];
}

/** A lease as it was looked at just before a step; null if there is none that is safe to act under. */
export interface LeaseSnapshot {
  readonly fencing: number;
}

/** A lease with what is counted under it. */
export interface HeldOrderLease {
  readonly fencing: number;
  readonly gainedAt: Millis;
  readonly ordersSent: number;
}

export interface OrdersState {
  readonly domain: DomainId;
  readonly settings: OrderSettings;
  readonly lease: HeldOrderLease | null;
  /** Highest fencing number that engines were seen to carry. */
  readonly highestFencing: number;
  /** Number of the last lease that was stepped down from; it is not acted under again. */
  readonly droppedFencing: number;
  readonly engines: ReadonlyMap<EngineId, EngineRecord>;
}

/** A report of an engine. */
export interface EngineReport {
  readonly facts: EngineFacts;
  readonly load: EngineLoad;
  /** False if routing has ejected it; left out if nothing is known against it. */
  readonly isHealthy?: boolean;
}

export type OrdersEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'reported'; readonly reports: readonly EngineReport[] }
  | {
      readonly kind: 'planned';
      readonly moves: readonly PlacementMove[];
      /** Engines that take orders whatever their number. */
      readonly unfencedEngines: ReadonlySet<EngineId>;
    }
  | { readonly kind: 'weights-answered'; readonly engine: EngineId; readonly isGranted: boolean }
  | {
      readonly kind: 'answered';
      readonly engine: EngineId;
      readonly number: number;
      readonly answer: OrderAnswer;
    };

/** What became of an engine's order, or of the lease. */
export const DecisionKind = {
  Ordered: 'ordered',
  Done: 'done',
  Settled: 'settled',
  Refused: 'refused',
  Unknown: 'unknown',
  NotTaken: 'not-taken',
  HalfFinished: 'half-finished',
  Overwritten: 'overwritten',
  CrashLoop: 'crash-loop',
  Superseded: 'superseded',
  LeaseGained: 'lease-gained',
  LeaseLost: 'lease-lost',
  SteppedDown: 'stepped-down',
} as const;

export type DecisionKindName = (typeof DecisionKind)[keyof typeof DecisionKind];

/** A line of the log. */
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

/** Orders that one lease may send. Its fencing number and the count fit into an exact whole number. */
export const ORDERS_PER_LEASE = 2 ** 20;

/** A number that rises with the lease and, under one lease, with each order. */
export function createOrderNumber(fencing: number, count: number): number {
  return fencing * ORDERS_PER_LEASE + count;
}

/** The lease's fencing number in an order's number. */
export function getOrderFencing(number: number): number {
  return Math.floor(number / ORDERS_PER_LEASE);
}
