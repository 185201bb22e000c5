/**
 * Queue of interrupted answers that wait for recovery. Those whose callers have waited longest go first.
 * Concurrency is bounded: after the loss of a rack, repeating the prefill of all its prompts at once would
 * stall the answers that still run on the remaining engines.
 */
import type { Millis, RequestId } from '@skylarksail/core/CoreTypes';
import TinyQueue from 'tinyqueue';

/** An answer that waits for recovery. */
export interface RecoveryEntry {
  readonly id: RequestId;
  /** When its caller last received a token, or when the request was admitted. */
  readonly waitingSince: Millis;
}

/** Waiting and running recoveries. */
export interface RecoveryQueue {
  push(entry: RecoveryEntry): void;
  /** Calls `start` for waiting recoveries while fewer than `bound` are running. */
  startNext(bound: number, start: (id: RequestId) => void): void;
  /** Removes a recovery that is over: a token arrived, it failed again, or its request ended. */
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
