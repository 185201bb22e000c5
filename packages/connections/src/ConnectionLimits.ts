/** Limits on what all clients of one port hold together, and the reasons for which connections are closed. */
import { readFileSync } from 'node:fs';

/** Limits of one port. */
export interface ConnectionLimits {
  /** Maximum open connections. */
  readonly connections: number;
  /** Maximum bytes of requests not yet answered and of answers not yet read, of all connections together. */
  readonly heldBytes: number;
  /** Maximum requests that wait behind others of their connections, of all connections together. */
  readonly requestsAhead: number;
  /** Maximum requests of one connection that wait for their answers. */
  readonly requestsEach: number;
}

/** Why a connection was closed, or its request refused, before its client wanted that. */
export const CloseReason = {
  /** The port had its maximum of connections, and this one was without progress for longest. */
  Connections: 'connections',
  /** All clients together held too many bytes, and this one the most. */
  HeldBytes: 'held_bytes',
  /** A body did not arrive within the time that its caller waits, or stood still. */
  SlowBody: 'slow_body',
  /** An answer stood unread. */
  UnreadAnswer: 'unread_answer',
  /** Its bytes were no request, or a head that was too long or too slow. */
  BadRequest: 'bad_request',
} as const;

/** A value of `CloseReason`. */
export type CloseReasonName = (typeof CloseReason)[keyof typeof CloseReason];

/** Maximum connections of callers, unless the settings give another. */
export const DEFAULT_CALLER_CONNECTIONS = 2000;
/** Part of the process's descriptors that its callers' connections may use; the rest is for its own connections. */
const CALLERS_SHARE = 0.5;
const OPEN_FILES = /^Max open files\s+(\d+)/m;

/** Maximum connections of a port: `wanted`, or a share of the descriptors that the process may open, if those are fewer. */
export function limitToDescriptors(wanted: number, share = CALLERS_SHARE): number {
  return Math.max(1, Math.min(wanted, Math.floor(readDescriptorLimit() * share)));
}

/** Number of descriptors that this process may open; Infinity if the system does not tell. */
function readDescriptorLimit(): number {
  try {
    return Number(OPEN_FILES.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1] ?? Infinity);
  } catch {
    return Infinity;
  }
}
