/**
 * Shares the event loop between connections: each reads a slice in turn, and no turn of the loop spends more than a few
 * milliseconds on reading. A client whose bytes are dear to parse so gets its share of the time and not of the bytes.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

/** A connection with bytes to read. */
export interface TurnTaker {
  /** Reads one slice. */
  readSlice(): void;
  /** Whether it has bytes that it may read now. */
  isWaiting(): boolean;
}

/** Calls `work` in a later turn of the event loop. */
export type LaterTurn = (work: () => void) => void;

export interface ConnectionTurns {
  /** Lets a connection read a slice in its turn; with `isNew`, for bytes that just came, at once if few others do. */
  request(taker: TurnTaker, isNew: boolean): void;
}

/** Time of reading in one turn of the event loop. */
const TURN_TIME: Millis = 4;
/** Slices in one turn of the event loop that are read as their bytes arrive. */
const SLICES_AT_ONCE = 16;

export function createConnectionTurns(now: () => Millis, laterTurn: LaterTurn): ConnectionTurns {
  const waiting = new Set<TurnTaker>();
  let slicesAtOnce = SLICES_AT_ONCE;
  let isScheduled = false;

  function schedule(): void {
    if (!isScheduled) {
      isScheduled = true;
      laterTurn(runTurn);
    }
  }

  function runTurn(): void {
    isScheduled = false;
    slicesAtOnce = SLICES_AT_ONCE;
    const startedAt = now();
    for (const taker of waiting) {
      waiting.delete(taker);
      read(taker);
      if (now() - startedAt >= TURN_TIME) {
        break;
      }
    }
    if (waiting.size > 0) {
      slicesAtOnce = 0;
      schedule();
    }
  }

  function read(taker: TurnTaker): void {
    taker.readSlice();
    if (taker.isWaiting()) {
      waiting.add(taker);
    }
  }

  return {
    request(taker, isNew) {
      if (waiting.has(taker) || !taker.isWaiting()) {
        return;
      }
      if (isNew && slicesAtOnce > 0) {
        slicesAtOnce -= 1;
        read(taker);
      } else {
        waiting.add(taker);
      }
      schedule();
    },
  };
}
