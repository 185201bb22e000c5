/**
 * The start of an instance: it hears the platform, or else several peers in several domains, and takes
 * the highest. One peer alone may lag, and its word would take the instance back to what it had left.
 */
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { selectStartPeers } from './ManifestPeers.js';
import type {
  SpreadContext,
  SpreadEffect,
  SpreadState,
  SpreadStep,
} from './ManifestSpreadTypes.js';
import { createStep, getRevisionOf } from './ManifestSpreadTypes.js';

/** Asks the platform's root (by the caller) and several peers. */
export function beginStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const askedPeers = selectStartPeers(state.plan, ctx.random);
  const endsAt = at + ctx.settings.startLimit;
  const revision = getRevisionOf(state.held);
  return createStep(
    { ...state, start: { askedPeers, answers: new Map(), endsAt } },
    askedPeers.map((to): SpreadEffect => {
      const message = { type: 'told', revision, wantsReply: true } as const;
      return { type: 'send', to, message };
    }),
  );
}

/** Notes what a peer that was asked holds. */
export function receiveStartAnswer(
  state: SpreadState,
  peer: InstanceId,
  revision: number,
): SpreadState {
  const { start } = state;
  if (!start?.askedPeers.includes(peer)) {
    return state;
  }
  return { ...state, start: { ...start, answers: new Map(start.answers).set(peer, revision) } };
}

/**
 * Ends the start when all peers have answered or the time is up, with the highest answer; an answer of
 * the platform ends it earlier. Without any answer that names a revision the asking goes on.
 */
export function advanceStart(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { start } = state;
  if (!start) {
    return createStep(state);
  }
  const isComplete = start.answers.size === start.askedPeers.length && start.askedPeers.length > 0;
  if (!isComplete && at < start.endsAt) {
    return createStep(state);
  }
  const [best] = [...start.answers].sort((a, b) => b[1] - a[1]);
  if (!best || best[1] === 0) {
    return at < start.endsAt ? createStep(state) : beginStart(ctx, state, at);
  }
  const have = getRevisionOf(state.held);
  const ended = { ...state, start: null };
  return best[1] > have
    ? createStep(ended, [{ type: 'send', to: best[0], message: { type: 'asked', have, refs: [] } }])
    : createStep(ended);
}
