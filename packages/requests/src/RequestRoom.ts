/**
 * Admission by the memory for running requests. When it is short, the less important requests are refused before the more
 * important ones, whichever instance they arrive at: each instance decides by the share of the domain's memory that is in
 * use. Engines that run out of memory preempt requests and repeat their prefill, which keeps them out of memory.
 */
import type { PriorityName } from '@skylarksail/core/CoreConstants';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Memory for running requests, as an instance knows it. */
export interface RoomView {
  /** Share in use, in the domain with the most free memory among those that the request may use; may exceed 1. */
  readonly share: number;
  /** Time since other instances' work was last reported. */
  readonly age: Millis;
  /** Use of the request's team divided by its fair share; above 1, the team holds more than an equal part. */
  readonly teamShare: number;
}

/** A request to be admitted by memory. */
export interface RoomRequest {
  readonly priority: PriorityName;
  /** Number of more important priorities with recent requests for the model. */
  readonly higherPriorities: number;
  /** Time until the request's deadline. */
  readonly timeLeft: Millis;
}

/** Why a request was refused: by its priority alone, or because its team holds more than its fair share. */
export const RoomRefusal = { Room: 'room', Team: 'team' } as const;

export type RoomRefusalName = (typeof RoomRefusal)[keyof typeof RoomRefusal];

export type RoomDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly reason: RoomRefusalName; readonly retryAfter: Millis };

/** Range of the share in use over which the probability of refusal rises from 0 to 1. */
export interface RefusalRange {
  readonly start: number;
  readonly end: number;
}

/**
 * Ranges by the number of more important priorities with recent requests. Each ends where that of the next more
 * important priority starts. A range is as wide as the memory that requests take within the age of a report (0.2 s and
 * the time of the messages) when each holds its memory for about five seconds. The first range extends beyond 1 because
 * requests count with their expected final length, and hold a tenth less on average; it ends before that tenth is used
 * up, as responses can be longer than expected.
 */
const RANGES: readonly RefusalRange[] = [
  { start: 0.97, end: 1.05 },
  { start: 0.91, end: 0.97 },
  { start: 0.85, end: 0.91 },
];
/** Range of all less important requests; below its start, a team's excess has no effect. */
const LAST_RANGE: RefusalRange = { start: 0.79, end: 0.85 };
/**
 * Share in use from which engines let requests wait for memory: memory is not used evenly, so the fullest engines of a
 * domain have none left while a seventh of the whole is free.
 */
export const SHORT_ROOM_SHARE = 0.85;
/**
 * Excess over the fair share at which a team is judged like one priority lower. A smaller excess raises the probability
 * in part, so that one request more or less does not change the decision from admission to refusal.
 */
const FULL_TEAM_EXCESS = 0.25;

/** Shortest retry delay: requests of a burst must not return within the same second. */
const MIN_RETRY_DELAY: Millis = 1000;
/** Added to the shortest delay for each more important priority, so that more important requests return first. */
const RETRY_DELAY_STEP: Millis = 500;
/** Longest delay as a multiple of the shortest; delays are drawn evenly between them. */
const RETRY_SPREAD = 3;
/** Callers honour a delay of at most this share of the time that they have left. */
const MAX_RETRY_SHARE = 1 / 3;

/** Decides whether a request may start. `draw` returns a random number in [0, 1). */
export function decideByRoom(
  view: RoomView,
  request: RoomRequest,
  draw: () => number,
): RoomDecision {
  const byPriority = getRefusalProbability(view.share, request.higherPriorities);
  const excess = Math.min(1, Math.max(0, (view.teamShare - 1) / FULL_TEAM_EXCESS));
  const asLower = getRefusalProbability(view.share, request.higherPriorities + 1);
  const probability = byPriority + (asLower - byPriority) * (excess > 0 ? excess : 0);
  if (!(probability > 0)) {
    return { kind: 'admitted' };
  }
  const drawn = draw();
  if (drawn >= probability) {
    return { kind: 'admitted' };
  }
  const reason = drawn < byPriority ? RoomRefusal.Room : RoomRefusal.Team;
  return { kind: 'refused', reason, retryAfter: computeRoomRetryDelay(request, draw) };
}

/** Probability of refusal at a share in use; 0 if the share is not known. */
export function getRefusalProbability(share: number, higherPriorities: number): number {
  const { start, end } = RANGES[higherPriorities] ?? LAST_RANGE;
  const risen = (share - start) / (end - start);
  return risen > 0 ? Math.min(1, risen) : 0;
}

/** The delay is drawn from a range also where the time left limits it, so that callers do not return together. */
function computeRoomRetryDelay(
  { higherPriorities, timeLeft }: RoomRequest,
  draw: () => number,
): Millis {
  const longestWait = Math.max(0, timeLeft * MAX_RETRY_SHARE);
  const shortest = MIN_RETRY_DELAY + RETRY_DELAY_STEP * higherPriorities;
  const most = Math.min(longestWait, shortest * RETRY_SPREAD);
  const least = Math.min(shortest, most / 2);
  return Math.round(least + draw() * (most - least));
}
