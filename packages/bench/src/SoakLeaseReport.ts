/** Reports what the stopped processes of a lease soak left in the store; has no side effects. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LeaseEndName, LeaseRecord } from '@skylarksail/stand-ins/StandInRangeStore';
import { LeaseEnd } from '@skylarksail/stand-ins/StandInRangeStore';
import { checkLeases } from './SoakLeaseCheck.js';
import type { Gap } from './SoakLeaseGaps.js';
import { findUnplaced, findUnregistered } from './SoakLeaseGaps.js';
import { writeLeaseTrace } from './SoakLeaseTrace.js';
import type { LeaseEvidence, LeaseProcess, StoppedProcess, StoreCall } from './SoakLeaseTypes.js';
import {
  CallAnswer,
  CallKind,
  DUTY_PREFIX,
  ENTRY_PREFIX,
  isStopped,
  REFUSED_STATUS,
} from './SoakLeaseTypes.js';

/** A lease that a process left when it stopped: nobody ended it, so it lapsed. */
export interface LeftLease {
  readonly process: string;
  readonly lease: number;
  readonly cause: string;
  readonly isAskedAfterStop: boolean;
  /** Age of the process at its stop. */
  readonly ageAtStop: Millis;
  /** Time from the stop to the exit. */
  readonly stopTime: Millis | null;
  /** Keys that were bound to it after the stop, with their time in the store after the stop and after the exit. */
  readonly keys: readonly LeftKey[];
  readonly endedAfterStop: Millis | null;
  readonly end: LeaseEndName | null;
  readonly trace: readonly string[];
}

export interface LeftKey {
  readonly key: string;
  readonly afterStop: Millis;
  readonly afterExit: Millis;
}

/** How often leases of stopped processes met a fault, whatever became of them. */
export interface ProvokedFaults {
  /** Leases whose first revocation was lost, or its answer was. */
  readonly lostRevocations: number;
  /** Leases whose first revocation was refused. */
  readonly refusedRevocations: number;
  /** Leases that had an entry at the stop, none of whose writes was answered in time. */
  readonly unansweredEntries: number;
}

export interface LeaseReport {
  readonly stops: number;
  /** Processes that ended by SIGTERM itself, as they had no handler yet. */
  readonly endedUnhandled: number;
  readonly stopTimes: readonly Millis[];
  /** Keys of stopped processes, however their leases ended. */
  readonly entries: readonly LeftKey[];
  readonly duties: readonly LeftKey[];
  readonly left: readonly LeftLease[];
  readonly provoked: ProvokedFaults;
  /** Leases that were granted after the stop, also those that were revoked. */
  readonly grantedAfterStop: readonly LeftLease[];
  readonly unplaced: readonly Gap[];
  readonly unregistered: readonly Gap[];
  /** How long the process of the store did not run each time, as the machine was busy. */
  readonly stalls: readonly Millis[];
  /** Violations of the rule on stopped processes, see SoakLeaseCheck. */
  readonly broken: readonly string[];
}

/** Part before the stop that the trace of a lease shows that was asked for after it. */
const STOP_LEAD: Millis = 2500;

/** Creates the report of one seed. */
export function reportLeases(evidence: LeaseEvidence): LeaseReport {
  const stopped = evidence.processes.filter(isStopped);
  const bound = stopped.flatMap((process) => listLeftKeys(evidence, process, null));
  return {
    stops: stopped.length,
    endedUnhandled: stopped.filter(({ end }) => end === 'SIGTERM').length,
    stopTimes: stopped.flatMap(({ stopAt, endedAt }) =>
      endedAt === null ? [] : [Math.round(endedAt - stopAt)],
    ),
    entries: bound.filter(({ key }) => key.startsWith(ENTRY_PREFIX)),
    duties: bound.filter(({ key }) => key.startsWith(DUTY_PREFIX)),
    left: stopped.flatMap((process) => listLeft(evidence, process)),
    provoked: countProvoked(evidence, stopped),
    grantedAfterStop: stopped.flatMap((process) => listGrantedAfterStop(evidence, process)),
    unplaced: evidence.domains.flatMap((domain) => findUnplaced(evidence, domain)),
    unregistered: evidence.processes.flatMap((process) => findUnregistered(evidence, process)),
    stalls: evidence.stalls.map(({ from, to }) => Math.round(to - from)),
    broken: checkLeases(evidence),
  };
}

function countProvoked(
  { leases, calls }: LeaseEvidence,
  stopped: readonly StoppedProcess[],
): ProvokedFaults {
  const counts = { lostRevocations: 0, refusedRevocations: 0, unansweredEntries: 0 };
  for (const { id, stopAt } of stopped) {
    const live = leases.filter(
      ({ owner, endedAt }) => owner === id && (endedAt ?? Infinity) > stopAt,
    );
    for (const lease of live) {
      const own = calls.filter((call) => call.lease === lease.id);
      const revoke = own.find(({ kind }) => kind === CallKind.Revoke);
      const entries = own.filter((call) => isEntryWrite(call) && call.at < stopAt);
      counts.lostRevocations += revoke && !isAnswered(revoke) ? 1 : 0;
      counts.refusedRevocations += revoke?.status === REFUSED_STATUS ? 1 : 0;
      counts.unansweredEntries += entries.some(isApplied) && !entries.some(isAnswered) ? 1 : 0;
    }
  }
  return counts;
}

function listGrantedAfterStop(
  evidence: LeaseEvidence,
  process: StoppedProcess,
): readonly LeftLease[] {
  return evidence.leases
    .filter(({ owner, grantedAt }) => owner === process.id && grantedAt >= process.stopAt)
    .map((lease) => describeLease(evidence, process, lease));
}

/** Keys of a process, or of one lease of it, that were in the store after the stop. */
function listLeftKeys(
  { keys, leases }: LeaseEvidence,
  { id, stopAt, endedAt }: StoppedProcess,
  grant: number | null,
): readonly LeftKey[] {
  const own = new Set(leases.filter(({ owner }) => owner === id).map((one) => one.grant));
  return keys
    .filter((one) => own.has(one.grant) && (grant === null || one.grant === grant))
    .filter(({ removedAt }) => (removedAt ?? Infinity) > stopAt)
    .map(({ key, removedAt }) => ({
      key,
      afterStop: Math.round((removedAt ?? Infinity) - stopAt),
      afterExit: Math.round((removedAt ?? Infinity) - (endedAt ?? Infinity)),
    }));
}

function listLeft(evidence: LeaseEvidence, process: StoppedProcess): readonly LeftLease[] {
  return evidence.leases
    .filter((lease) => lease.owner === process.id && lease.end !== LeaseEnd.Revoked)
    .filter((lease) => (lease.endedAt ?? Infinity) > process.stopAt)
    .map((lease) => describeLease(evidence, process, lease));
}

function describeLease(
  evidence: LeaseEvidence,
  process: StoppedProcess,
  lease: LeaseRecord,
): LeftLease {
  const { id, startedAt, stopAt, handledAt, endedAt } = process;
  const calls = evidence.calls.filter((call) => call.owner === id && call.lease === lease.id);
  const asked = calls.find(({ kind }) => kind === CallKind.Grant);
  const isAskedAfterStop = (asked?.at ?? 0) >= (handledAt ?? Infinity);
  const around = evidence.calls.filter(({ owner, at }) => owner === id && at >= stopAt - STOP_LEAD);
  return {
    process: id,
    lease: lease.id,
    cause: `${isAskedAfterStop ? 'asked for after the stop, ' : ''}${findCause(process, calls)}`,
    isAskedAfterStop,
    ageAtStop: Math.round(stopAt - startedAt),
    stopTime: endedAt === null ? null : Math.round(endedAt - stopAt),
    keys: listLeftKeys(evidence, process, lease.grant),
    endedAfterStop: lease.endedAt === null ? null : Math.round(lease.endedAt - stopAt),
    end: lease.end,
    trace: writeLeaseTrace(process, lease, isAskedAfterStop ? around : calls),
  };
}

function isApplied({ status, appliedAt }: StoreCall): boolean {
  return status === 200 && appliedAt !== null;
}

function isEntryWrite({ kind, keys }: StoreCall): boolean {
  return kind === CallKind.Write && keys.some((key) => key.startsWith(ENTRY_PREFIX));
}

function isAnswered({ answer }: StoreCall): boolean {
  return answer === CallAnswer.Sent;
}

/** Names the step in which the process lost sight of the lease or failed to end it. */
function findCause({ end }: LeaseProcess, calls: readonly StoreCall[]): string {
  const grant = calls.find(({ kind }) => kind === CallKind.Grant);
  const entryWrites = calls.filter(isEntryWrite);
  const revokes = calls.filter(({ kind }) => kind === CallKind.Revoke);
  if (revokes.length > 0) {
    return `revocation ${revokes.some(({ status }) => status === REFUSED_STATUS) ? 'refused' : 'lost'}, called ${revokes.length} times`;
  }
  if (end === 'SIGTERM') {
    return 'ended before the signal handler was set';
  }
  if (grant && !isAnswered(grant)) {
    return `answer of the grant ${grant.answer}`;
  }
  const [write] = entryWrites;
  if (write && !isAnswered(write)) {
    return isApplied(write)
      ? `entry written, its answer ${write.answer}`
      : `entry not written, call ${write.answer}`;
  }
  if (write && !isApplied(write)) {
    return `entry refused with ${write.status}`;
  }
  const isEntry = entryWrites.length > 0;
  return `no revocation called for ${isEntry ? 'an entry' : 'a duty lease'} that was granted`;
}
