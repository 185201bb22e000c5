/**
 * Start of an instance: it reads the platform and at the same time queries several peers in several
 * domains. If the platform does not answer, it takes the highest revision of the peers. A single peer may
 * be stale, and the instance could then serve an older revision than before the restart.
 */
import { invariant } from '@skylarksail/core/CoreErrors';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { requestRoot, getKnownRevision } from './ManifestFetch.js';
import { selectStartPeers } from './ManifestPeers.js';
import type { SpreadContext, SpreadStart, SpreadState, SpreadStep } from './ManifestSpreadTypes.js';
import { createStep, createToldEffect, drawQueryId, getRevisionOf } from './ManifestSpreadTypes.js';

/** Starts a query to several peers; the caller reads the root from the platform. */
export function beginStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const queriedPeers = selectStartPeers(state.plan, ctx.random);
  const endsAt = at + ctx.settings.startLimit;
  const revision = getRevisionOf(state.held);
  const ask = drawQueryId(ctx);
  return createStep(
    {
      ...state,
      start: {
        ask,
        queriedPeers,
        answers: new Map(),
        isPlatformUnavailable: false,
        goal: null,
        endsAt,
      },
    },
    queriedPeers.map((to) => createToldEffect(to, revision, { ask })),
  );
}

/** Records the revision that a queried peer holds. */
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
 * Chooses the highest revision among the answers once there are enough, and ends the start when that
 * revision is held; a successful read from the platform ends it earlier. If no peer answers with a
 * revision, or the chosen one cannot be fetched in time, the peers are queried again.
 */
export function advanceStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { start } = state;
  if (!start) {
    return createStep(state);
  }
  if (start.goal !== null && getRevisionOf(state.held) >= start.goal) {
    return createStep({ ...state, start: null });
  }
  if (start.goal === null && hasEnoughAnswers(start, at)) {
    return decideGoal(ctx, state, start, at);
  }
  return at < start.endsAt ? createStep(state) : beginStart(ctx, state, at);
}

/** Records that the platform did not answer, so that the start can rely on the peers alone. */
export function noteRootFailure(state: SpreadState): SpreadState {
  const { start } = state;
  return start && !start.isPlatformUnavailable
    ? { ...state, start: { ...start, isPlatformUnavailable: true } }
    : state;
}

/**
 * Whether the peers' answers suffice to choose a revision: all have answered and the platform has
 * failed, or the timeout has passed with at least one answer. Before the timeout, they do not suffice
 * while the platform may still answer: all known peers may be in a partitioned domain and equally stale,
 * and the instance would serve an older revision than before its restart until the platform answers.
 */
function hasEnoughAnswers(start: SpreadStart, at: Millis): boolean {
  const { queriedPeers, answers, endsAt, isPlatformUnavailable } = start;
  const hasAllAnswers = isPlatformUnavailable && answers.size === queriedPeers.length;
  return answers.size > 0 && (hasAllAnswers || at >= endsAt);
}

function decideGoal(
  ctx: SpreadContext,
  state: SpreadState,
  start: SpreadStart,
  at: Millis,
): SpreadStep {
  const [best] = [...start.answers].sort((a, b) => b[1] - a[1]);
  invariant(best, 'enough answers include at least one');
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
