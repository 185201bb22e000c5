/** What is known of one engine and its order, and how each report, answer and passing of time changes it. */
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

/** A record with what should be logged about the change. */
export interface RecordStep {
  readonly record: EngineRecord;
  readonly decision: DecisionKindName | null;
}

/** A record made from the first report. */
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

/** Takes a report in. A new boot id is a restart; several within a while are a crash loop. */
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
    ? fail(next, settings, now, DecisionKind.CrashLoop)
    : { record: next, decision: null };
}

/** Takes the answer to an order in. */
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
        ? settle(record, order, now, DecisionKind.Done)
        : fail(record, settings, now, DecisionKind.HalfFinished);
    case 'refused':
      // A later order of the same lease was there first; any other number is the engine's refusal.
      return answer.highest >= number && getOrderFencing(answer.highest) === getOrderFencing(number)
        ? { record: { ...record, order: null }, decision: DecisionKind.Superseded }
        : fail(record, settings, now, DecisionKind.Refused);
    default:
      return {
        record: { ...record, order: { ...order, isUnknown: true } },
        decision: DecisionKind.Unknown,
      };
  }
}

/**
 * Settles an order without an answer by what the engine reports. A report may be older than the order,
 * so a lower number proves nothing until the order can no longer start and reports have caught up.
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
      return settle(record, order, now, DecisionKind.Settled);
    }
    return load.holding !== null || isOverdue
      ? fail(record, settings, now, DecisionKind.HalfFinished)
      : { record, decision: null };
  }
  const startsUntil = order.sentAt + settings.validFor + settings.transit;
  return now >= startsUntil + settings.reportLag
    ? fail(record, settings, now, DecisionKind.NotTaken)
    : { record, decision: null };
}

function settle(
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

/** Drops the order and backs off, twice as long as the last time. */
function fail(
  record: EngineRecord,
  settings: OrderSettings,
  now: Millis,
  decision: DecisionKindName,
): RecordStep {
  const pause = Math.min(settings.maxBackoff, settings.backoff * 2 ** record.failures);
  const failed = {
    ...record,
    order: null,
    settled: null,
    failures: record.failures + 1,
    backoffUntil: now + pause,
  };
  return { record: failed, decision };
}

/** What an engine holds now: the last answer while reports may be older than it, else the report. */
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
 * Whether an engine holds something else than its last order said, of which it reports no later one.
 * An engine that ignores numbers took a late order, or lost part of what it held.
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

/** Whether an engine is to be planned with. */
export function isUsable(record: EngineRecord, settings: OrderSettings, now: Millis): boolean {
  const isBackedOff = record.failures >= settings.maxFailures && now < record.backoffUntil;
  const isLooping = record.starts.length >= settings.maxStarts && now < record.backoffUntil;
  return (
    record.load.state === 'live' &&
    record.isHealthy &&
    now < record.reportedAt + settings.goneAfter &&
    !isBackedOff &&
    !isLooping
  );
}
