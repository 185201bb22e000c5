/**
 * Tells how far this process is behind. Whatever it reads after a late turn of its event loop may have waited unread for
 * as long as that turn took: requests, the closes of their callers' connections, and answers of backend servers alike. Only a
 * turn that begins after that has read them all.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis, Unregister } from '@skylarksail/core/CoreTypes';

/** Calls `work` at the end of the present turn of the event loop, or of the next one if called at the end of a turn. */
export type AfterTurn = (work: () => void) => void;

export interface LoopWatchOptions {
  readonly timers: TimerService;
  /** Wall-clock time in ms. It also advances while the machine is suspended, when the monotonic clock may not. */
  readonly wallNow: () => Millis;
  readonly afterTurn: AfterTurn;
  /** Receives the length of each late turn. */
  readonly onLate: (turn: Millis) => void;
}

export interface LoopWatch {
  /** Maximum time for which something that is read now may have waited unread; 0 while this process keeps up. */
  getUnreadTime(): Millis;
  /** A connection was accepted. The event loop accepts one a turn, so others that came in a late turn may still wait. */
  noteAccepted(): void;
  /** Runs `work` at once, or, while this process is behind, after all that waits unread; the returned function cancels it. */
  whenRead(work: () => void): Unregister;
  /** Runs `work` when all input has just been read: what `whenRead` gets meanwhile runs at once. */
  runCurrent(work: () => void): void;
  readonly stop: Unregister;
}

interface ClockReading {
  readonly monotonic: Millis;
  readonly wall: Millis;
}

/** Nothing may be sent later than half a second after its caller has left; each wake-up of an idle instance costs. */
const TICK: Millis = 300;
/** A timer fires this much late on a busy machine whose process keeps up. */
const TOLERANCE: Millis = 50;

/** Time after a late turn from which connections are held to be new, though some are accepted in each turn. */
const MAX_ACCEPTING: Millis = 1000;

export function createLoopWatch(options: LoopWatchOptions): LoopWatch {
  const { timers, wallNow, afterTurn, onLate } = options;
  let tickedAt = readClocks();
  /** Beginning of the last late turn, until what came during it has been read. */
  let lateSince: ClockReading | null = null;
  let lateEndedAt = -Infinity;
  let hasAccepted = false;
  let isCurrent = false;

  /**
   * The end of this turn, and of the next one: what belongs to one connection may take two turns, as the first reads a
   * request and only the second the close that came right behind it.
   */
  function afterReading(work: () => void): void {
    afterTurn(() => afterTurn(work));
  }

  function readClocks(): ClockReading {
    return { monotonic: timers.now(), wall: wallNow() };
  }

  function getTimeSince({ monotonic, wall }: ClockReading): Millis {
    return Math.max(timers.now() - monotonic, wallNow() - wall);
  }

  function isLate(): boolean {
    return getTimeSince(tickedAt) > TICK + TOLERANCE;
  }

  function tick(): void {
    if (isLate()) {
      const since = tickedAt;
      lateSince = since;
      lateEndedAt = timers.now();
      onLate(getTimeSince(since));
      afterReading(() => settle(since));
    }
    tickedAt = readClocks();
  }

  /** Ends what is held to be unread since a late turn, unless a later one was late as well. */
  function settle(since: ClockReading): void {
    if (lateSince !== since) {
      return;
    }
    const isAccepting = hasAccepted && timers.now() - lateEndedAt < MAX_ACCEPTING;
    hasAccepted = false;
    if (isAccepting) {
      afterReading(() => settle(since));
    } else {
      lateSince = null;
    }
  }

  function getUnreadTime(): Millis {
    const since = lateSince ?? (isLate() ? tickedAt : null);
    return since === null ? 0 : getTimeSince(since);
  }

  return {
    getUnreadTime,
    noteAccepted() {
      hasAccepted = true;
    },
    whenRead(work) {
      if (isCurrent || getUnreadTime() === 0) {
        work();
        return () => undefined;
      }
      let isCancelled = false;
      afterReading(() => {
        if (!isCancelled) {
          work();
        }
      });
      return () => {
        isCancelled = true;
      };
    },
    runCurrent(work) {
      isCurrent = true;
      try {
        work();
      } finally {
        isCurrent = false;
      }
    },
    stop: timers.registerInterval(TICK, tick),
  };
}
