/** What each connection of a port holds, and which one goes first when all together hold too much. Pure. */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** A connection, as far as the choice needs it. */
export interface ConnectionEntry {
  /** Last time at which bytes of it were read, or it took bytes of an answer. */
  progressAt: Millis;
  /** Requests that wait for their answers, one that is still being read included. */
  requests: number;
  /** Whether a body of it is being read. */
  isReadingBody: boolean;
  /** Bytes that were received and not passed on, of bodies, and of answers that it has not taken. */
  receivedBytes: number;
  bodyBytes: number;
  unreadBytes: number;
  /** Time since which it holds bytes. */
  heldSince: Millis;
  /** Whether it only waits to be closed. */
  isClosing: boolean;
}

/** Counted on top of the time for which bytes are held, so that among new connections the size decides. */
const LEAST_TIME: Millis = 10;

/** Creates the entry of a new connection. */
export function createConnectionEntry(now: Millis): ConnectionEntry {
  return {
    progressAt: now,
    requests: 0,
    isReadingBody: false,
    receivedBytes: 0,
    bodyBytes: 0,
    unreadBytes: 0,
    heldSince: now,
    isClosing: false,
  };
}

/** All bytes that a connection holds. */
export function getHeldBytes(entry: ConnectionEntry): number {
  return entry.receivedBytes + entry.bodyBytes + entry.unreadBytes;
}

/** Whether its client waits for an answer, or has not taken all of one. */
export function isAnswerDue({ requests, unreadBytes }: ConnectionEntry): boolean {
  return requests > 0 || unreadBytes > 0;
}

/** Requests of a connection that wait behind another of it. */
export function countRequestsAhead({ requests }: ConnectionEntry): number {
  return Math.max(0, requests - 1);
}

/**
 * Connection that holds the most bytes for the longest time, by the product of the two, without being served; null if none
 * holds any. A request that is whole is served: its bytes are let go with its answer.
 */
export function findLargest<T extends ConnectionEntry>(
  entries: Iterable<T>,
  now: Millis,
): T | null {
  let found: T | null = null;
  let most = 0;
  for (const entry of entries) {
    const weight = getClosableBytes(entry) * (now - entry.heldSince + LEAST_TIME);
    if (weight > most) {
      found = entry;
      most = weight;
    }
  }
  return found;
}

function getClosableBytes({
  isReadingBody,
  bodyBytes,
  receivedBytes,
  unreadBytes,
}: ConnectionEntry): number {
  return receivedBytes + unreadBytes + (isReadingBody ? bodyBytes : 0);
}

/**
 * Connection to close for a new one: one that is closing anyway, else the one without progress for longest that waits
 * for no answer; null if all wait for one.
 */
export function findLongestIdle<T extends ConnectionEntry>(entries: Iterable<T>): T | null {
  let found: T | null = null;
  for (const entry of entries) {
    if (entry.isClosing) {
      return entry;
    }
    if (isWithoutAnswerDue(entry) && (found === null || entry.progressAt < found.progressAt)) {
      found = entry;
    }
  }
  return found;
}

function isWithoutAnswerDue({ requests, isReadingBody }: ConnectionEntry): boolean {
  return requests === 0 || (requests === 1 && isReadingBody);
}
