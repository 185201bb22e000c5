/**
 * Checks that a stopped process ends its leases as soon as the store lets it; has no side effects. A key that a process
 * leaves behind keeps its duty from all others, or draws requests to the process, until the lease lapses.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { KeyRecord, LeaseRecord } from '@skylarksail/stand-ins/StandInRangeStore';
import { END_BOUND } from '@skylarksail/store/FakeShutdown';
import { writeLeaseTrace } from './SoakLeaseTrace.js';
import type { LeaseEvidence, Span, StoppedProcess, StoreCall } from './SoakLeaseTypes.js';
import { CallAnswer, isStopped, REFUSED_STATUS } from './SoakLeaseTypes.js';

/** The rule in words. */
export const LEASE_RULE = `no stopped process keeps a key on a lease once the store has answered the calls for that lease normally for ${END_BOUND} ms, and none is killed at the end of its grace`;

/** A slower answer does not count as normal. */
const LONGEST_NORMAL_ANSWER: Millis = 100;
const KILL_SIGNAL = 'SIGKILL';

/** Returns a description of each violation; empty if there is none. */
export function checkLeases(evidence: LeaseEvidence): readonly string[] {
  return evidence.processes
    .filter(isStopped)
    .flatMap((process) => [
      ...checkEnd(process),
      ...evidence.leases
        .filter(({ owner }) => owner === process.id)
        .flatMap((lease) => checkLease(evidence, process, lease)),
    ]);
}

function checkEnd({ id, end, stopAt }: StoppedProcess): readonly string[] {
  return end === KILL_SIGNAL ? [`${id}: stopped at ${Math.round(stopAt)}, killed`] : [];
}

function checkLease(
  { calls, keys, down, stalls }: LeaseEvidence,
  process: StoppedProcess,
  lease: LeaseRecord,
): readonly string[] {
  const own = calls.filter((call) => call.owner === process.id && call.lease === lease.id);
  const spans = findNormalSpans(process, own, [...down, ...stalls]);
  const late = keys.filter(
    (key) => key.grant === lease.grant && spans.some((span) => isHeldPast(key, span)),
  );
  return late.map(({ key }) =>
    [
      `${process.id}: kept ${key} on lease ${lease.id}`,
      ...writeLeaseTrace(process, lease, own).map((line) => `    ${line}`),
    ].join('\n'),
  );
}

/** Whether the key was there for END_BOUND of the span or longer. */
function isHeldPast({ setAt, removedAt }: KeyRecord, { from, to }: Span): boolean {
  const boundAt = from + END_BOUND;
  return boundAt <= to && setAt < boundAt && (removedAt ?? Infinity) > boundAt;
}

/** The times from the stop to the exit in which the store was up and running, and answered all of the calls normally. */
function findNormalSpans(
  { stopAt, handledAt, endedAt }: StoppedProcess,
  calls: readonly StoreCall[],
  outages: readonly Span[],
): readonly Span[] {
  const end = endedAt ?? Infinity;
  const faults = [
    ...calls.filter((call) => !isNormal(call)).map(({ at }) => ({ from: at, to: at })),
    ...outages,
  ].sort((a, b) => a.from - b.from);
  const spans: Span[] = [];
  let from = handledAt ?? stopAt;
  for (const fault of [...faults, { from: end, to: end }]) {
    spans.push({ from, to: Math.min(fault.from, end) });
    from = Math.max(from, fault.to);
  }
  return spans;
}

function isNormal({ answer, status, at, answeredAt }: StoreCall): boolean {
  return (
    answer === CallAnswer.Sent &&
    status !== REFUSED_STATUS &&
    (answeredAt ?? Infinity) - at <= LONGEST_NORMAL_ANSWER
  );
}
