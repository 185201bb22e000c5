/** Updates the record of one engine and its order by reports, answers and timeouts. */
import type { Holding } from '@skylarksail/core/CoreEngine';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { isSameHolding } from './PlacementMoves.js';
import type {
  DecisionKindName,
  EngineRecord,
  EngineReport,
  OrderAnswer,
  OrderSettings,
  SentOrder,
} from './PlacementOrderTypes.js';
import { DecisionKind, getOrderFencing } from './PlacementOrderTypes.js';

/** An updated record, with the decision to log about the change, if any. */
export interface RecordStep {
  readonly record: EngineRecord;
  readonly decision: DecisionKindName | null;
}

/** Creates a record from an engine's first report. */
export function createRecord(report: EngineReport, now: Millis): EngineRecord {
  return {
    facts: report.facts,
    load: report.load,
    isHealthy: report.isHealthy ?? true,
    reportedAt: now,
    order: null,
    settled: null,
    asked: null,
    failures: 0,
    backoffUntil: 0,
    starts: [],
  };
}

/** Applies a report. A new boot id is a restart; `maxStarts` of them in the window are a crash loop. */
export function noteReport(
  record: EngineRecord,
  report: EngineReport,
  settings: OrderSettings,
  now: Millis,
): RecordStep {
  const { facts, load, isHealthy = true } = report;
  const isRestart = load.bootId !== record.load.bootId;
  const recent = record.starts.filter((at) => at > now - settings.startsWindow);
  const starts = isRestart ? [...recent, now] : recent;
  const next = { ...record, facts, load, isHealthy, reportedAt: now, starts };
  return isRestart && starts.length >= settings.maxStarts
    ? failOrder(next, settings, now, DecisionKind.CrashLoop)
    : { record: next, decision: null };
}

/** Applies the answer to the current order; ignores answers to earlier ones. */
export function noteAnswer(
  record: EngineRecord,
  number: number,
  answer: OrderAnswer,
  settings: OrderSettings,
  now: Millis,
): RecordStep {
  const { order } = record;
  if (order?.number !== number) {
    return { record, decision: null };
  }
  switch (answer.kind) {
    case 'done':
      return isSameHolding(answer.holding, order.want)
        ? settleOrder(record, order, now, DecisionKind.Done)
        : failOrder(record, settings, now, DecisionKind.HalfFinished);
    case 'refused':
      // An equal or higher number of the same lease means that a later order arrived first. Any other
      // number counts as a refusal by the engine.
      return answer.highest >= number && getOrderFencing(answer.highest) === getOrderFencing(number)
        ? { record: { ...record, order: null }, decision: DecisionKind.Superseded }
        : failOrder(record, settings, now, DecisionKind.Refused);
    default:
      return {
        record: { ...record, order: { ...order, isUnknown: true } },
        decision: DecisionKind.Unknown,
      };
  }
}

/**
 * Settles an order without an answer by what the engine reports. A report may be older than the order,
 * so a lower number proves nothing until the order can no longer start and `reportLag` has passed since.
 */
export function settleByReport(
  record: EngineRecord,
  settings: OrderSettings,
  now: Millis,
): RecordStep {
  const { order, load } = record;
  if (!order) {
    return { record, decision: null };
  }
  const isOverdue = now >= order.sentAt + settings.loadTimeout;
  if (!order.isUnknown) {
    return isOverdue
      ? {
          record: { ...record, order: { ...order, isUnknown: true } },
          decision: DecisionKind.Unknown,
        }
      : { record, decision: null };
  }
  if (load.orderNumber > order.number) {
    return { record: { ...record, order: null }, decision: DecisionKind.Superseded };
  }
  if (load.orderNumber === order.number) {
    if (isSameHolding(load.holding, order.want)) {
      return settleOrder(record, order, now, DecisionKind.Settled);
    }
    return load.holding !== null || isOverdue
      ? failOrder(record, settings, now, DecisionKind.HalfFinished)
      : { record, decision: null };
  }
  const startDeadline = order.sentAt + settings.validFor + settings.transit;
  return now >= startDeadline + settings.reportLag
    ? failOrder(record, settings, now, DecisionKind.NotTaken)
    : { record, decision: null };
}

function settleOrder(
  record: EngineRecord,
  order: SentOrder,
  now: Millis,
  decision: DecisionKindName,
): RecordStep {
  const settled = {
    number: order.number,
    holding: order.want,
    at: now,
    bootId: record.load.bootId,
  };
  return { record: { ...record, order: null, settled, failures: 0 }, decision };
}

/** Drops the order and backs off, twice as long as after the previous failure, up to `maxBackoff`. */
function failOrder(
  record: EngineRecord,
  settings: OrderSettings,
  now: Millis,
  decision: DecisionKindName,
): RecordStep {
  const backoffDelay = Math.min(settings.maxBackoff, settings.backoff * 2 ** record.failures);
  const failed = {
    ...record,
    order: null,
    settled: null,
    failures: record.failures + 1,
    backoffUntil: now + backoffDelay,
  };
  return { record: failed, decision };
}

/** What an engine holds now: by its settled order while reports may be older, else by its report. */
export function getHolding(
  { settled, load }: EngineRecord,
  settings: OrderSettings,
  now: Millis,
): Holding | null {
  const isFresh =
    settled !== null && settled.bootId === load.bootId && now < settled.at + settings.reportLag;
  return isFresh ? settled.holding : load.holding;
}

/**
 * Whether an engine holds something other than its last settled order specified, without a restart in
 * between: it ignores fencing numbers and accepted a late order, or it lost part of what it held.
 */
export function isOverwritten(record: EngineRecord, settings: OrderSettings, now: Millis): boolean {
  const { settled, load } = record;
  return (
    settled !== null &&
    settled.bootId === load.bootId &&
    now >= settled.at + settings.reportLag &&
    !isSameHolding(load.holding, settled.holding)
  );
}

/** Whether plans may use an engine. */
export function isUsable(record: EngineRecord, settings: OrderSettings, now: Millis): boolean {
  const isBackedOff = record.failures >= settings.maxFailures && now < record.backoffUntil;
  const isCrashLooping = record.starts.length >= settings.maxStarts && now < record.backoffUntil;
  return (
    record.load.state === 'live' &&
    record.isHealthy &&
    now < record.reportedAt + settings.goneAfter &&
    !isBackedOff &&
    !isCrashLooping
  );
}
