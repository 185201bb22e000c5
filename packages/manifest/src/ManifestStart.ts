/**
 * The start of an instance: it hears the platform, or else several peers in several domains, and takes
 * the highest. One peer alone may lag, and its word would take the instance back to what it had left.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { requestRoot, getKnownRevision } from './ManifestFetch.js';
import { selectStartPeers } from './ManifestPeers.js';
import type { SpreadContext, SpreadStart, SpreadState, SpreadStep } from './ManifestSpreadTypes.js';
import { createStep, createToldEffect, drawQueryId, getRevisionOf } from './ManifestSpreadTypes.js';

/** Asks the platform's root (by the caller) and several peers. */
export function beginStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const askedPeers = selectStartPeers(state.plan, ctx.random);
  const endsAt = at + ctx.settings.startLimit;
  const revision = getRevisionOf(state.held);
  const ask = drawQueryId(ctx);
  return createStep(
    {
      ...state,
      start: { ask, queriedPeers: askedPeers, answers: new Map(), isPlatformUnavailable: false, goal: null, endsAt },
    },
    askedPeers.map((to) => createToldEffect(to, revision, { ask })),
  );
}

/** Notes what a peer that was asked holds. */
export function receiveStartAnswer(
  state: SpreadState,
  peer: InstanceId,
  revision: number,
  reply: number,
): SpreadState {
  const { start } = state;
  if (!start || start.ask !== reply || start.goal !== null) {
    return state;
  }
  return { ...state, start: { ...start, answers: new Map(start.answers).set(peer, revision) } };
}

/**
 * Decides on the highest answer when all peers have answered or the time is up, and ends the start when
 * that is held; an answer of the platform ends it earlier. Without any answer that names a revision, or
 * if the one decided on cannot be had, the asking begins anew.
 */
export function advanceStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { start } = state;
  if (!start) {
    return createStep(state);
  }
  if (start.goal !== null && getRevisionOf(state.held) >= start.goal) {
    return createStep({ ...state, start: null });
  }
  if (start.goal === null && isAnswered(start, at)) {
    return decideGoal(ctx, state, start, at);
  }
  return at < start.endsAt ? createStep(state) : beginStart(ctx, state, at);
}

/** Notes that the platform did not answer, so that the peers' word has to do. */
export function noteRootFailure(state: SpreadState): SpreadState {
  const { start } = state;
  return start && !start.isPlatformUnavailable
    ? { ...state, start: { ...start, isPlatformUnavailable: true } }
    : state;
}

/**
 * Whether the peers' answers are enough. While the platform may still answer they are not: all peers that
 * are known may be of a domain that was cut off and lag together, and an instance that took their word
 * served an older revision than it had before its restart until the platform's answer came.
 */
function isAnswered(start: SpreadStart, at: Millis): boolean {
  const { queriedPeers: askedPeers, answers, endsAt, isPlatformUnavailable: isPlatformOut } = start;
  const isComplete = isPlatformOut && answers.size === askedPeers.length;
  return answers.size > 0 && (isComplete || at >= endsAt);
}

function decideGoal(
  ctx: SpreadContext,
  state: SpreadState,
  start: SpreadStart,
  at: Millis,
): SpreadStep {
  const [best] = [...start.answers].sort((a, b) => b[1] - a[1]);
  invariant(best, 'a start that is answered has an answer');
  const [peer, goal] = best;
  if (goal === 0) {
    return at < start.endsAt ? createStep(state) : beginStart(ctx, state, at);
  }
  const endsAt = at + ctx.settings.startFetchLimit;
  const decided = { ...state, start: { ...start, goal, endsAt } };
  return goal > getKnownRevision(state)
    ? requestRoot(ctx, decided, peer, goal, at)
    : createStep(decided);
}
