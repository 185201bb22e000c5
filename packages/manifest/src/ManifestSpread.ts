/**
 * How a revision gets into force at one instance, as a pure machine. Few instances of a domain watch the
 * root; the others learn from peers; a slow poll by each is the safety net. Revisions only rise. After a
 * start nothing is in force before the platform, or several peers, have been heard.
 */
import { jitter } from '@skylarksail/core/CoreRandom';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import {
  requestDigests,
  createDigest,
  pruneConfirmations,
  receiveDigest,
  recordConfirmation,
  sendConfirmation,
} from './ManifestConfirm.js';
import {
  advanceTarget,
  answerRequest,
  requestRootFromNext,
  requestRoot,
  changeSource,
  getKnownRevision,
  dropStaleSource,
  adoptPeerSource,
  pauseTarget,
  receiveChunks,
  receiveGiven,
} from './ManifestFetch.js';
import type { SpreadMessage } from './ManifestMessages.js';
import type { SpreadMember } from './ManifestPeers.js';
import { createPeerPlan, selectGossipPeer } from './ManifestPeers.js';
import type {
  KnownByName,
  SpreadContext,
  SpreadEvent,
  SpreadState,
  SpreadStep,
} from './ManifestSpreadTypes.js';
import {
  continueStep,
  createStep,
  createToldEffect,
  getRevisionOf,
  KnownBy,
} from './ManifestSpreadTypes.js';
import { getPollPeriod, ensureWatch, poll, receiveAccepted, receiveRoot } from './ManifestWatch.js';
import { advanceStart, beginStart, receiveStartAnswer } from './ManifestStart.js';

const GOSSIP_JITTER = 0.3;

/** State of an instance that has not started. */
export function createSpread(self: SpreadMember, members: readonly SpreadMember[]): SpreadState {
  return {
    plan: createPeerPlan(self, members),
    start: null,
    held: null,
    heldSince: 0,
    inForce: null,
    rootRequest: null,
    target: null,
    deltas: [],
    keeperQueryId: 0,
    isKept: false,
    pendingReplies: [],
    platformSeen: null,
    platformSeenAt: 0,
    watch: { isWaiting: false, retryAt: 0, backoff: 0, platformRevision: 0 },
    pollAt: Infinity,
    gossipAt: Infinity,
    confirmAt: Infinity,
    confirmed: new Map(),
    digests: new Map(),
    counts: { droppedMessages: 0, droppedChunks: 0, olderRoots: 0, unreadableRoots: 0 },
  };
}

/** Takes one event. */
export function stepSpread(ctx: SpreadContext, state: SpreadState, event: SpreadEvent): SpreadStep {
  const step = takeEvent(ctx, state, event);
  return continueStep(step, (next) => putInForce(ctx, next, event.at));
}

function takeEvent(ctx: SpreadContext, state: SpreadState, event: SpreadEvent): SpreadStep {
  switch (event.type) {
    case 'started':
      return startSpread(ctx, state, event.at);
    case 'members-changed':
      return changeMembers(state, event.members, event.at);
    case 'tick':
      return tick(ctx, state, event.at);
    case 'root-read':
      return receiveRoot(ctx, state, event.via, event.reading, event.at);
    case 'chunks-read':
      return receiveRead(ctx, state, event);
    case 'message':
      return receiveMessage(ctx, state, event.from, event.message, event.at);
    case 'accepted':
      return receiveAccepted(ctx, state, event.root, event.chunks, event.at);
    case 'garbage':
      return createStep({
        ...state,
        counts: { ...state.counts, droppedMessages: state.counts.droppedMessages + 1 },
      });
    case 'digest-wanted':
      return requestDigests(state, event.revision, event.at);
    default:
      return createStep(state);
  }
}

function startSpread(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const timed: SpreadState = {
    ...state,
    pollAt: at + getPollPeriod(ctx, state) * ctx.random.nextFloat(),
    gossipAt: at + jitter(ctx.random, ctx.settings.gossipPeriod, GOSSIP_JITTER),
    confirmAt: at + jitter(ctx.random, ctx.settings.confirmPeriod, GOSSIP_JITTER),
    watch: { ...state.watch, backoff: ctx.settings.minBackoff },
  };
  const asked = continueStep(beginStart(ctx, timed, at), (next) =>
    createStep(next, [{ type: 'read-root' }]),
  );
  return continueStep(asked, (next) => ensureWatch(next, at));
}

function changeMembers(
  state: SpreadState,
  members: readonly SpreadMember[],
  at: Millis,
): SpreadStep {
  const before = state.plan;
  const plan = createPeerPlan(before.self, members);
  const next = pruneConfirmations({ ...state, plan });
  const own = plan.self.domain;
  const isSameCollectors = String(before.collectors.get(own)) === String(plan.collectors.get(own));
  const confirmed = isSameCollectors || !state.inForce ? createStep(next) : sendConfirmation(next);
  return continueStep(confirmed, (following) => ensureWatch(following, at));
}

function tick(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const parts = [advanceStart, poll, gossip, confirmAgain, watchAgain, fetchAgain, requestRootFromNext];
  return parts.reduce<SpreadStep>(
    (step, part) => continueStep(step, (next) => part(ctx, next, at)),
    createStep(state),
  );
}

function gossip(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  if (at < state.gossipAt) {
    return createStep(state);
  }
  const gossipAt = at + jitter(ctx.random, ctx.settings.gossipPeriod, GOSSIP_JITTER);
  const to = selectGossipPeer(state.plan, ctx.random, ctx.settings.gossipFarShare);
  const revision = getRevisionOf(state.held);
  return createStep({ ...state, gossipAt }, to === undefined ? [] : [createToldEffect(to, revision)]);
}

function confirmAgain(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  if (at < state.confirmAt) {
    return createStep(state);
  }
  const confirmAt = at + jitter(ctx.random, ctx.settings.confirmPeriod, GOSSIP_JITTER);
  const next = { ...state, confirmAt };
  return state.inForce ? sendConfirmation(next) : createStep(next);
}

function watchAgain(_ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  return ensureWatch(state, at);
}

function fetchAgain(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  return state.target && at >= state.target.answerBy
    ? changeSource(ctx, state, at)
    : createStep(state);
}

function receiveRead(
  ctx: SpreadContext,
  state: SpreadState,
  event: Extract<SpreadEvent, { type: 'chunks-read' }>,
): SpreadStep {
  const received = receiveChunks(state, event.chunks);
  const { target } = received;
  if (!target || target.root.body !== event.body || target.source.kind !== 'platform') {
    // The end of a read for a root that was superseded meanwhile, or whose source was changed.
    return createStep(received);
  }
  const gained = event.chunks.size > 0;
  return gained
    ? advanceTarget(ctx, received, event.at)
    : createStep(pauseTarget(ctx, received, event.at));
}

function receiveMessage(
  ctx: SpreadContext,
  state: SpreadState,
  from: InstanceId,
  message: SpreadMessage,
  at: Millis,
): SpreadStep {
  switch (message.type) {
    case 'told':
      return continueStep(receiveTold(ctx, state, from, message, at), (next) =>
        advanceStart(ctx, next, at),
      );
    case 'asked':
      return answerRequest(ctx, state, from, message.have, message.refs);
    case 'given':
      return receiveGiven(ctx, state, message.root, message.chunks, from, at);
    case 'confirmed':
      return createStep(recordConfirmation(state, from, message.revision));
    case 'digest-asked':
      return createStep(state, [
        {
          type: 'send',
          to: from,
          message: { type: 'digest-given', digest: createDigest(state, message.revision) },
        },
      ]);
    case 'digest-given':
      return createStep(receiveDigest(state, message.digest, at));
    default:
      return createStep(state);
  }
}

/** A peer said what it holds: ask it if that is higher, tell it if it is lower. */
function receiveTold(
  ctx: SpreadContext,
  state: SpreadState,
  from: InstanceId,
  { revision, ask, reply }: Extract<SpreadMessage, { type: 'told' }>,
  at: Millis,
): SpreadStep {
  const heard = noteKeeper(receiveStartAnswer(state, from, revision, reply), revision, reply);
  const given = dropStaleSource(ctx, heard, from, revision, at);
  return continueStep(given, (noted) => answerTold(ctx, noted, from, { revision, ask }, at));
}

function answerTold(
  ctx: SpreadContext,
  noted: SpreadState,
  from: InstanceId,
  { revision, ask }: { readonly revision: number; readonly ask: number },
  at: Millis,
): SpreadStep {
  const own = getRevisionOf(noted.held);
  if (revision > own) {
    const waiting = ask === 0 ? noted : addWaiter(noted, from, ask);
    const isNews = revision > getKnownRevision(noted) && noted.start?.goal !== null;
    return isNews
      ? requestRoot(ctx, waiting, from, revision, at)
      : adoptPeerSource(ctx, waiting, from, revision, at);
  }
  return ask !== 0 || revision < own
    ? createStep(noted, [createToldEffect(from, own, { reply: ask })])
    : createStep(noted);
}

function addWaiter(state: SpreadState, peer: InstanceId, ask: number): SpreadState {
  const others = state.pendingReplies.filter((waiter) => waiter.peer !== peer);
  return { ...state, pendingReplies: [...others, { peer, ask }] };
}

function noteKeeper(state: SpreadState, revision: number, reply: number): SpreadState {
  const isAnswer = reply !== 0 && reply === state.keeperQueryId;
  return isAnswer && revision >= getRevisionOf(state.held) ? { ...state, isKept: true } : state;
}

/**
 * Puts the held revision into force: only a higher one, not before the start is over, and only once a
 * keeper holds it too. Without that last condition, an instance could serve a revision that it alone
 * had read, restart in an outage of the platform, and learn a lower one from its peers.
 */
function putInForce(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { held } = state;
  if (!held || state.start || held.root.revision <= getRevisionOf(state.inForce)) {
    return createStep(state);
  }
  const mayWait = state.plan.keepers.length > 0 && at < state.heldSince + ctx.settings.holdLimit;
  if (!state.isKept && mayWait) {
    return createStep(state);
  }
  const applied = createStep({ ...state, inForce: held }, [{ type: 'apply', manifest: held }]);
  return continueStep(applied, sendConfirmation);
}

/** How the instance knows the revision in force, for readiness and status. */
export function getKnownBy(state: SpreadState): KnownByName {
  if (state.platformSeen !== null && state.platformSeen >= getRevisionOf(state.inForce)) {
    return KnownBy.Platform;
  }
  return state.inForce ? KnownBy.Peers : KnownBy.Nothing;
}
