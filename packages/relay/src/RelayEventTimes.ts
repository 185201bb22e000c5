/** Timing of a streamed answer, by which its route's goals are judged in the log. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { Route } from '@skylarksail/routes/RouteTypes';

/** Timing of an answer's events, for the log to show late answers. */
export interface EventTimes {
  note(now: Millis): void;
  read(route: Pick<Route, 'firstAnswerGoal' | 'pauseGoal'>): EventReport;
}

export interface EventReport {
  readonly events: number;
  readonly firstMs: Millis;
  readonly longestPauseMs: Millis;
  /** The first of the route's goals that was missed; absent if both were met. */
  readonly lateBy?: 'first' | 'pause';
}

/** `start`: time at which the request was submitted. */
export function createEventTimes(start: Millis): EventTimes {
  let events = 0;
  let first = 0;
  let last = start;
  let longestPause = 0;
  return {
    note(now) {
      if (events === 0) {
        first = now - start;
      } else {
        longestPause = Math.max(longestPause, now - last);
      }
      events += 1;
      last = now;
    },
    read: ({ firstAnswerGoal, pauseGoal }) => {
      const isLateFirst = first > firstAnswerGoal;
      const isLate = isLateFirst || longestPause > (pauseGoal ?? Infinity);
      return {
        events,
        firstMs: Math.round(first),
        longestPauseMs: Math.round(longestPause),
        ...(isLate ? { lateBy: isLateFirst ? 'first' : 'pause' } : {}),
      };
    },
  };
}
