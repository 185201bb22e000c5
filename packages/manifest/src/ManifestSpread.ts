/**
 * Distribution of accepted revisions to one instance, as a pure state machine. Few instances of a domain
 * watch the root, the others receive new revisions from peers, and each polls at a low rate as a
 * fallback. The revision in force only rises. After a start, none is in force until the platform or
 * several peers have answered.
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

/** Creates the state of an instance that has not started. */
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

/** Handles one event, then puts the held revision into force if that is allowed by now. */
export function stepSpread(ctx: SpreadContext, state: SpreadState, event: SpreadEvent): SpreadStep {
  const step = handleEvent(ctx, state, event);
  return continueStep(step, (next) => putInForce(ctx, next, event.at));
}

function handleEvent(ctx: SpreadContext, state: SpreadState, event: SpreadEvent): SpreadStep {
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
      return receiveChunksRead(ctx, state, event);
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
  const started = continueStep(beginStart(ctx, timed, at), (next) =>
    createStep(next, [{ type: 'read-root' }]),
  );
  return continueStep(started, (next) => ensureWatch(next, at));
}

function changeMembers(
  state: SpreadState,
  members: readonly SpreadMember[],
  at: Millis,
): SpreadStep {
  const before = state.plan;
  const plan = createPeerPlan(before.self, members);
  const next = pruneConfirmations({ ...state, plan });
  const ownDomain = plan.self.domain;
  const hasSameCollectors =
    String(before.collectors.get(ownDomain)) === String(plan.collectors.get(ownDomain));
  const confirmed = hasSameCollectors || !state.inForce ? createStep(next) : sendConfirmation(next);
  return continueStep(confirmed, (following) => ensureWatch(following, at));
}

function tick(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const parts = [
    advanceStart,
    poll,
    gossip,
    repeatConfirmation,
    retryWatch,
    retryFetch,
    requestRootFromNext,
  ];
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
  return createStep(
    { ...state, gossipAt },
    to === undefined ? [] : [createToldEffect(to, revision)],
  );
}

function repeatConfirmation(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  if (at < state.confirmAt) {
    return createStep(state);
  }
  const confirmAt = at + jitter(ctx.random, ctx.settings.confirmPeriod, GOSSIP_JITTER);
  const next = { ...state, confirmAt };
  return state.inForce ? sendConfirmation(next) : createStep(next);
}

function retryWatch(_ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  return ensureWatch(state, at);
}

function retryFetch(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  return state.target && at >= state.target.answerBy
    ? changeSource(ctx, state, at)
    : createStep(state);
}

function receiveChunksRead(
  ctx: SpreadContext,
  state: SpreadState,
  event: Extract<SpreadEvent, { type: 'chunks-read' }>,
): SpreadStep {
  const received = receiveChunks(state, event.chunks);
  const { target } = received;
  if (!target || target.root.body !== event.body || target.source.kind !== 'platform') {
    // The read was for a root that has been superseded, or whose source has changed.
    return createStep(received);
  }
  const hasChunks = event.chunks.size > 0;
  return hasChunks
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

/** Handles the revision that a peer holds: fetches a higher one, replies to a lower one or to a query. */
function receiveTold(
  ctx: SpreadContext,
  state: SpreadState,
  from: InstanceId,
  { revision, ask, reply }: Extract<SpreadMessage, { type: 'told' }>,
  at: Millis,
): SpreadStep {
  const answered = recordKeeperAnswer(
    receiveStartAnswer(state, from, revision, reply),
    revision,
    reply,
  );
  const checked = dropStaleSource(ctx, answered, from, revision, at);
  return continueStep(checked, (next) => answerTold(ctx, next, from, { revision, ask }, at));
}

function answerTold(
  ctx: SpreadContext,
  state: SpreadState,
  from: InstanceId,
  { revision, ask }: { readonly revision: number; readonly ask: number },
  at: Millis,
): SpreadStep {
  const own = getRevisionOf(state.held);
  if (revision > own) {
    const next = ask === 0 ? state : addPendingReply(state, from, ask);
    const isNewRevision = revision > getKnownRevision(state) && state.start?.goal !== null;
    return isNewRevision
      ? requestRoot(ctx, next, from, revision, at)
      : adoptPeerSource(ctx, next, from, revision, at);
  }
  return ask !== 0 || revision < own
    ? createStep(state, [createToldEffect(from, own, { reply: ask })])
    : createStep(state);
}

function addPendingReply(state: SpreadState, peer: InstanceId, ask: number): SpreadState {
  const others = state.pendingReplies.filter((waiter) => waiter.peer !== peer);
  return { ...state, pendingReplies: [...others, { peer, ask }] };
}

function recordKeeperAnswer(state: SpreadState, revision: number, reply: number): SpreadState {
  const isAnswer = reply !== 0 && reply === state.keeperQueryId;
  return isAnswer && revision >= getRevisionOf(state.held) ? { ...state, isKept: true } : state;
}

/**
 * Puts the held revision into force if it is higher, the start is over and a keeper holds it too; the
 * last condition is dropped without keepers and after `holdLimit`. Without it, an instance could serve a
 * revision that it alone holds, restart during an outage of the platform and receive a lower one from
 * its peers.
 */
function putInForce(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { held } = state;
  if (!held || state.start || held.root.revision <= getRevisionOf(state.inForce)) {
    return createStep(state);
  }
  const canWait = state.plan.keepers.length > 0 && at < state.heldSince + ctx.settings.holdLimit;
  if (!state.isKept && canWait) {
    return createStep(state);
  }
  const applied = createStep({ ...state, inForce: held }, [{ type: 'apply', manifest: held }]);
  return continueStep(applied, sendConfirmation);
}

/** Returns where the instance learned the revision in force, for readiness and status. */
export function getKnownBy(state: SpreadState): KnownByName {
  if (state.platformSeen !== null && state.platformSeen >= getRevisionOf(state.inForce)) {
    return KnownBy.Platform;
  }
  return state.inForce ? KnownBy.Peers : KnownBy.Nothing;
}
