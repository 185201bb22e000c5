/**
 * The queue of answers that broke off and wait to go on. Those whose callers have waited longest go
 * first, and only so many at once: the prompts of a whole rack read again at the same time would stop
 * the answers that still run on the engines that are left.
 */
import type { Millis, RequestId } from '@skylarksail/core/CoreTypes';
import TinyQueue from 'tinyqueue';

/** An answer that waits to be recovered. */
export interface RecoveryEntry {
  readonly id: RequestId;
  /** When its caller last got something. */
  readonly waitingSince: Millis;
}

/** Recoveries that wait and that run. */
export interface RecoveryQueue {
  push(entry: RecoveryEntry): void;
  /** Starts recoveries while fewer than `bound` run; calls `start` for each. */
  startNext(bound: number, start: (id: RequestId) => void): void;
  /** The recovery is over: a token came, it failed again, or its request ended. */
  finish(id: RequestId): void;
  countWaiting(): number;
  countRunning(): number;
}

/** Creates an empty queue. */
export function createRecoveryQueue(): RecoveryQueue {
  const heap = new TinyQueue<RecoveryEntry>([], (a, b) => a.waitingSince - b.waitingSince);
  const waiting = new Map<RequestId, RecoveryEntry>();
  const running = new Set<RequestId>();
  return {
    push(entry) {
      running.delete(entry.id);
      waiting.set(entry.id, entry);
      heap.push(entry);
    },
    startNext(bound, start) {
      while (running.size < bound && heap.length > 0) {
        const entry = heap.pop();
        if (entry && waiting.get(entry.id) === entry) {
          waiting.delete(entry.id);
          running.add(entry.id);
          start(entry.id);
        }
      }
    },
    finish(id) {
      waiting.delete(id);
      running.delete(id);
    },
    countWaiting: () => waiting.size,
    countRunning: () => running.size,
  };
}
