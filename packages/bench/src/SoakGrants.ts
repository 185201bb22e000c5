/**
 * Reports which leases the stopped daemons of a soak left at the platform; has no side effects. A lease that is left
 * keeps all others from placing a domain until it lapses.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LeaseCallRecord } from '@skylarksail/stand-ins/StandInLeaseRoutes';
import { LeaseCallFate } from '@skylarksail/stand-ins/StandInLeaseRoutes';
import type { GrantRecord } from '@skylarksail/stand-ins/StandInLeases';
import { END_BOUND } from '@skylarksail/store/FakeShutdown';
import type { SoakProcess } from './SoakChecker.js';
import type { Span } from './SoakLeaseTypes.js';

export interface GrantEvidence {
  readonly processes: readonly SoakProcess[];
  readonly grants: readonly GrantRecord[];
  readonly leaseCalls: readonly LeaseCallRecord[];
  /** Time to which the times of the processes relate, in milliseconds since 1970. */
  readonly startedAt: Millis;
  /** Times in which the platform was out, related to `startedAt`. */
  readonly down: readonly Span[];
}

/** A lease that a stopped daemon had at its exit. */
export interface LeftGrant {
  readonly process: string;
  readonly key: string;
  /** Time from the exit until its holder's next process took it, or until it lapses. */
  readonly afterExit: Millis;
  readonly end: string;
  /** The daemon's calls for leases from its stop on, with times since its exit. */
  readonly trace: readonly string[];
}

export interface GrantReport {
  /** Daemons that were stopped and have exited, and those of them that had a lease at the stop or got one after it. */
  readonly stopped: number;
  readonly holders: number;
  readonly left: readonly LeftGrant[];
  /** Leases left although the platform answered the daemon's calls for leases, see `wasAbleToEnd`. */
  readonly broken: readonly string[];
}

type StoppedProcess = SoakProcess & { readonly stopAt: Millis; readonly endedAt: Millis };

/** Creates the report of one seed. */
export function reportGrants(evidence: GrantEvidence): GrantReport {
  const stopped = evidence.processes.filter(isStopped);
  const held = stopped.flatMap((process) =>
    listGrants(evidence, process).map((grant) => ({ process, grant })),
  );
  const left = held.filter(
    ({ process, grant }) => getEnd(grant) > evidence.startedAt + process.endedAt,
  );
  return {
    stopped: stopped.length,
    holders: new Set(held.map(({ process }) => process.id)).size,
    left: left.map(({ process, grant }) => describeGrant(evidence, process, grant)),
    broken: left
      .filter(({ process }) => wasAbleToEnd(evidence, process))
      .map(({ process, grant }) => `lease left: ${grant.key} by ${process.id}`),
  };
}

function isStopped(process: SoakProcess): process is StoppedProcess {
  return process.stopAt !== null && process.killAt === null && process.endedAt !== null;
}

function getHolder({ id }: SoakProcess): string {
  return id.slice(0, id.lastIndexOf('#'));
}

/** When the grant ended, or will lapse. */
function getEnd({ endedAt, expiresAt }: GrantRecord): Millis {
  return endedAt ?? expiresAt;
}

/** Grants to the process, not to one before it of the same name, that were in force at its stop or came after it. */
function listGrants(
  { grants, processes, startedAt }: GrantEvidence,
  process: StoppedProcess,
): readonly GrantRecord[] {
  const holder = getHolder(process);
  const earlierEnds = processes
    .filter((one) => getHolder(one) === holder && (one.endedAt ?? Infinity) < process.stopAt)
    .map(({ endedAt }) => endedAt ?? 0);
  const from = startedAt + Math.max(-Infinity, ...earlierEnds);
  return grants.filter(
    (one) =>
      one.holder === holder &&
      one.grantedAt > from &&
      one.grantedAt < startedAt + process.endedAt &&
      getEnd(one) > startedAt + process.stopAt,
  );
}

function listCalls(
  { leaseCalls, startedAt }: GrantEvidence,
  process: StoppedProcess,
): readonly LeaseCallRecord[] {
  return leaseCalls.filter(
    ({ holder, at }) =>
      holder === getHolder(process) &&
      at >= startedAt + process.stopAt &&
      at <= startedAt + process.endedAt,
  );
}

/**
 * Whether the platform was up and lost or refused no call for a lease, either from the stop to the exit, or for
 * END_BOUND before the exit.
 */
function wasAbleToEnd(evidence: GrantEvidence, process: StoppedProcess): boolean {
  const { startedAt, down } = evidence;
  const faultEnds = [
    ...listCalls(evidence, process)
      .filter(({ fate }) => fate !== LeaseCallFate.Answered)
      .map(({ at }) => at - startedAt),
    ...down
      .filter(({ from, to }) => from < process.endedAt && to > process.stopAt)
      .map(({ to }) => to),
  ];
  return faultEnds.every((at) => process.endedAt - at >= END_BOUND);
}

function describeGrant(
  evidence: GrantEvidence,
  process: StoppedProcess,
  grant: GrantRecord,
): LeftGrant {
  const exitAt = evidence.startedAt + process.endedAt;
  return {
    process: process.id,
    key: grant.key,
    afterExit: Math.round(getEnd(grant) - exitAt),
    end: grant.end ?? 'held',
    trace: [
      `${Math.round(process.stopAt - process.endedAt)} SIGTERM`,
      ...listCalls(evidence, process).map(
        ({ kind, at, fate, status }) =>
          `${Math.round(at - exitAt)} ${kind} ${fate} ${status ?? ''}`,
      ),
      '0 exit',
    ],
  };
}
