/** Evidence of a lease soak: what the stand-in store and the parent of the processes saw. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { KeyRecord, LeaseRecord } from '@skylarksail/stand-ins/StandInRangeStore';

export const CallKind = {
  Grant: 'grant',
  Renew: 'renew',
  Revoke: 'revoke',
  Write: 'write',
  Range: 'range',
  Watch: 'watch',
} as const;
export type CallKindName = (typeof CallKind)[keyof typeof CallKind];

/** What became of the answer to a call. */
export const CallAnswer = {
  Pending: 'pending',
  Sent: 'sent',
  /** Sent after the process had closed the connection. */
  Late: 'late',
  Reset: 'reset',
  Silence: 'silence',
} as const;
export type CallAnswerName = (typeof CallAnswer)[keyof typeof CallAnswer];

/** Status of a call that the store refuses without an effect. */
export const REFUSED_STATUS = 503;

/** A call as the stand-in store saw it. */
export interface StoreCall {
  readonly owner: string;
  readonly kind: CallKindName;
  readonly at: Millis;
  readonly lease: number | null;
  /** Keys that a write sets. */
  readonly keys: readonly string[];
  /** Null if the call was lost without an effect. */
  readonly status: number | null;
  /** When the store carried it out; null if it did not. */
  readonly appliedAt: Millis | null;
  readonly answer: CallAnswerName;
  readonly answeredAt: Millis | null;
}

/** A process of the soak; the time of an event that did not happen is null. */
export interface LeaseProcess {
  readonly id: string;
  readonly domain: string;
  readonly startedAt: Millis;
  readonly stopAt: Millis | null;
  /** When the process handled SIGTERM, by its own log. */
  readonly handledAt: Millis | null;
  readonly endedAt: Millis | null;
  /** Exit code, or name of the signal that ended the process. */
  readonly end: string | null;
}

/** Prefix of the entries of instances. */
export const ENTRY_PREFIX = 'skylarksail/instances/';
/** Prefix of the duties of domains. */
export const DUTY_PREFIX = 'skylarksail/placement/';

/** A process that was stopped. */
export type StoppedProcess = LeaseProcess & { readonly stopAt: Millis };

/** Whether a process was stopped. */
export function isStopped(process: LeaseProcess): process is StoppedProcess {
  return process.stopAt !== null;
}

/** A time span. */
export interface Span {
  readonly from: Millis;
  readonly to: Millis;
}

export interface LeaseEvidence {
  readonly processes: readonly LeaseProcess[];
  readonly calls: readonly StoreCall[];
  readonly leases: readonly LeaseRecord[];
  readonly keys: readonly KeyRecord[];
  readonly domains: readonly string[];
  /** Times in which the store was faulty, and in which it was down. */
  readonly faulty: readonly Span[];
  readonly down: readonly Span[];
  /** Times in which the process of the store did not run, as the machine was busy. */
  readonly stalls: readonly Span[];
  /** When the last process was stopped for good; domains are not placed from then on. */
  readonly closedAt: Millis;
}
