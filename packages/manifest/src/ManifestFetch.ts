/** Fetches a higher revision: from the peer that announced it, then other peers, then the platform. */
import { jitter, sampleElements } from '@skylarksail/core/CoreRandom';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { ChunkRef, GetChunk } from './ManifestChunks.js';
import { matchesChunkHash, listTreeChunks, walkTree } from './ManifestChunks.js';
import type { ManifestRoot } from './ManifestRoot.js';
import { getReaderRank, selectRecipients } from './ManifestPeers.js';
import type {
  ChunkSource,
  RevisionDelta,
  RootRequest,
  SpreadContext,
  SpreadEffect,
  SpreadState,
  SpreadStep,
  SpreadTarget,
} from './ManifestSpreadTypes.js';
import {
  continueStep,
  createStep,
  createToldEffect,
  drawQueryId,
  getRevisionOf,
} from './ManifestSpreadTypes.js';
import type { HeldManifest } from './ManifestView.js';

/** Number of revisions whose deltas are kept; a peer further behind requests chunks by ref. */
const MAX_DELTAS = 16;
const MAX_ANNOUNCERS = 4;
/** Random peers that a new revision is announced to besides the children in the fan-out tree. */
const RANDOM_RECIPIENTS = 2;
/** Limit on the chunks requested in one message; the answer has its own limit in bytes. */
const MAX_REQUESTED_REFS = 256;
const BACKOFF_JITTER = 0.5;

/** The higher of the held revision and the one being fetched. */
export function getKnownRevision(state: SpreadState): number {
  return Math.max(getRevisionOf(state.held), state.target?.root.revision ?? 0);
}

/** Starts to fetch a root if it is higher than any known revision; ignores it otherwise. */
export function learnRoot(
  ctx: SpreadContext,
  state: SpreadState,
  root: ManifestRoot,
  source: ChunkSource,
  at: Millis,
): SpreadStep {
  if (root.revision <= getKnownRevision(state)) {
    return createStep(state);
  }
  const target: SpreadTarget = {
    root,
    chunks: state.target?.chunks ?? new Map(),
    source,
    triedPeers: source.kind === 'peer' ? [source.id] : [],
    answerBy: at + ctx.settings.readerTimeout * getReaderRank(state.plan, root.revision),
    backoff: ctx.settings.minBackoff,
  };
  return advanceTarget(ctx, { ...state, target }, at);
}

/**
 * Fetches the target from a peer that holds its revision or a higher one, unless another peer is already
 * the source. A read from the platform in progress continues in parallel: waiting for it would let a
 * single lost call delay an instance although its peers hold the revision.
 */
export function adoptPeerSource(
  ctx: SpreadContext,
  state: SpreadState,
  peer: InstanceId,
  revision: number,
  at: Millis,
): SpreadStep {
  const { target } = state;
  if (!target || target.source.kind === 'peer' || revision < target.root.revision) {
    return createStep(state);
  }
  const next: SpreadTarget = { ...target, source: { kind: 'peer', id: peer }, triedPeers: [peer] };
  return advanceTarget(ctx, { ...state, target: next }, at);
}

/** Requests the root of a higher revision from its announcer; queues the peer if a request is pending. */
export function requestRoot(
  ctx: SpreadContext,
  state: SpreadState,
  announcer: InstanceId,
  revision: number,
  at: Millis,
): SpreadStep {
  const { rootRequest } = state;
  if (rootRequest && rootRequest.revision >= revision) {
    const announcers = [...rootRequest.announcers.filter((id) => id !== announcer), announcer];
    return createStep({
      ...state,
      rootRequest: { ...rootRequest, announcers: announcers.slice(-MAX_ANNOUNCERS) },
    });
  }
  return sendRootRequest(ctx, state, announcer, { revision, announcers: [], answerBy: at }, at);
}

function sendRootRequest(
  ctx: SpreadContext,
  state: SpreadState,
  peer: InstanceId,
  rootRequest: RootRequest,
  at: Millis,
): SpreadStep {
  const answerBy = at + ctx.settings.peerTimeout;
  return createStep({ ...state, rootRequest: { ...rootRequest, answerBy } }, [
    {
      type: 'send',
      to: peer,
      message: { type: 'asked', have: getRevisionOf(state.held), refs: [] },
    },
  ]);
}

/** Requests the root from the next announcer if the previous one has not answered in time. */
export function requestRootFromNext(
  ctx: SpreadContext,
  state: SpreadState,
  at: Millis,
): SpreadStep {
  const { rootRequest } = state;
  if (!rootRequest || at < rootRequest.answerBy) {
    return createStep(state);
  }
  const [next, ...announcers] = rootRequest.announcers;
  return next === undefined
    ? createStep({ ...state, rootRequest: null })
    : sendRootRequest(ctx, state, next, { ...rootRequest, announcers }, at);
}

/** Adds the chunks whose text matches the hash in their ref to the target; drops and counts the others. */
export function receiveChunks(
  state: SpreadState,
  chunks: Iterable<readonly [ChunkRef, string]>,
): SpreadState {
  const { target } = state;
  if (!target) {
    return state;
  }
  const allChunks = new Map(target.chunks);
  let dropped = 0;
  for (const [ref, text] of chunks) {
    if (matchesChunkHash(ref, text)) {
      allChunks.set(ref, text);
    } else {
      dropped += 1;
    }
  }
  const counts = { ...state.counts, droppedChunks: state.counts.droppedChunks + dropped };
  return { ...state, target: { ...target, chunks: allChunks }, counts };
}

/** Makes the target the held manifest once all its chunks are available; else requests the others. */
export function advanceTarget(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { target } = state;
  if (!target) {
    return createStep(state);
  }
  const getChunk: GetChunk = (ref) => state.held?.chunks.get(ref) ?? target.chunks.get(ref);
  const walk = walkTree(target.root.body, getChunk);
  if (walk.kind === 'unreadable') {
    const counts = { ...state.counts, unreadableRoots: state.counts.unreadableRoots + 1 };
    return createStep({ ...state, target: null, counts });
  }
  if (walk.kind === 'missing') {
    return requestChunks(ctx, state, target, walk.refs, at);
  }
  const refs = [...listTreeChunks(walk.tree)];
  const chunks = new Map(refs.map((ref) => [ref, getChunk(ref) as string]));
  return holdManifest(ctx, state, { root: target.root, tree: walk.tree, chunks }, at);
}

function requestChunks(
  ctx: SpreadContext,
  state: SpreadState,
  target: SpreadTarget,
  refs: readonly ChunkRef[],
  at: Millis,
): SpreadStep {
  const { source } = target;
  if (source.kind === 'none') {
    return createStep(state);
  }
  const answerBy = source.kind === 'peer' ? at + ctx.settings.peerTimeout : Infinity;
  const effect: SpreadEffect =
    source.kind === 'peer'
      ? {
          type: 'send',
          to: source.id,
          message: {
            type: 'asked',
            have: getRevisionOf(state.held),
            refs: refs.slice(0, MAX_REQUESTED_REFS),
          },
        }
      : { type: 'read-chunks', body: target.root.body, refs };
  return createStep({ ...state, target: { ...target, answerBy } }, [effect]);
}

/** Replaces a failed or silent source with another peer or, after `peerTries` peers, the platform. */
export function changeSource(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { target } = state;
  if (!target) {
    return createStep(state);
  }
  const tried = target.triedPeers;
  const untriedPeers = state.plan.ownDomain.filter(
    (id) => id !== state.plan.self.id && !tried.includes(id),
  );
  const [peer] = sampleElements(ctx.random, untriedPeers, 1);
  if (target.source.kind === 'peer' && tried.length < ctx.settings.peerTries && peer) {
    const source: ChunkSource = { kind: 'peer', id: peer };
    const next = { ...target, source, triedPeers: [...tried, peer] };
    return advanceTarget(ctx, { ...state, target: next }, at);
  }
  const next: SpreadTarget = { ...target, source: { kind: 'platform' } };
  return advanceTarget(ctx, { ...state, target: next }, at);
}

/**
 * Pauses the fetch after the platform supplied none of the missing chunks; it is read again after a
 * backoff, and a peer that announces the revision meanwhile becomes the source. The chunks may have been
 * removed because the revision was superseded; the newer one then arrives from a peer or by the poll.
 */
export function pauseTarget(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadState {
  const { target } = state;
  if (!target) {
    return state;
  }
  const backoff = Math.min(target.backoff * 2, ctx.settings.maxBackoff);
  const answerBy = at + jitter(ctx.random, target.backoff, BACKOFF_JITTER);
  const source: ChunkSource = { kind: 'none' };
  return { ...state, target: { ...target, source, triedPeers: [], answerBy, backoff } };
}

/** Lists the peers of the own domain or, if there are none, those of the other domains. */
function listNearestPeers({ plan }: SpreadState): readonly InstanceId[] {
  const near = plan.ownDomain.filter((id) => id !== plan.self.id);
  return near.length > 0 ? near : plan.others.map(({ id }) => id);
}

/** Chooses a random peer as the source of a root that is not new to the fleet; the platform if alone. */
export function choosePeerSource(ctx: SpreadContext, state: SpreadState): ChunkSource {
  const [id] = sampleElements(ctx.random, listNearestPeers(state), 1);
  return id === undefined ? { kind: 'platform' } : { kind: 'peer', id };
}

/** Changes the source if `peer` is the current one and holds only a `revision` below the target's. */
export function dropStaleSource(
  ctx: SpreadContext,
  state: SpreadState,
  peer: InstanceId,
  revision: number,
  at: Millis,
): SpreadStep {
  const { target } = state;
  const isSource = target?.source.kind === 'peer' && target.source.id === peer;
  return isSource && revision < target.root.revision
    ? changeSource(ctx, state, at)
    : createStep(state);
}

/** Makes a complete manifest the held one, announces it to peers and answers their pending queries. */
function holdManifest(
  ctx: SpreadContext,
  state: SpreadState,
  manifest: HeldManifest,
  at: Millis,
): SpreadStep {
  const { revision } = manifest.root;
  const delta: RevisionDelta = {
    after: getRevisionOf(state.held),
    revision,
    refs: [...manifest.chunks.keys()].filter((ref) => !state.held?.chunks.has(ref)),
  };
  const deltas = [...state.deltas, delta].slice(-MAX_DELTAS);
  const keeperQueryId = drawQueryId(ctx);
  const next: SpreadState = {
    ...state,
    held: manifest,
    heldSince: at,
    keeperQueryId,
    isKept: false,
    rootRequest: null,
    target: null,
    deltas,
    pendingReplies: [],
  };
  const replies = new Map(state.pendingReplies.map(({ peer, ask }) => [peer, ask]));
  const recipients = new Set([
    ...selectRecipients(state.plan, revision),
    // Without these, a peer whose parent in the tree has failed, or whose message was lost, would not
    // learn the revision until the next gossip message.
    ...sampleElements(ctx.random, listNearestPeers(state), RANDOM_RECIPIENTS),
    ...replies.keys(),
  ]);
  const effects = [...recipients].map((to) => {
    const ask = state.plan.keepers.includes(to) ? keeperQueryId : 0;
    return createToldEffect(to, revision, { ask, reply: replies.get(to) ?? 0 });
  });
  return createStep(next, effects);
}

/** Sends a peer the root, the chunks added since its revision `have`, and those that it listed. */
export function answerRequest(
  ctx: SpreadContext,
  state: SpreadState,
  peer: InstanceId,
  have: number,
  refs: readonly ChunkRef[],
): SpreadStep {
  const { held } = state;
  if (!held) {
    return createStep(state, [createToldEffect(peer, 0)]);
  }
  const refsToSend = new Set([...refs, ...listDelta(state, have)]);
  const chunks: { ref: ChunkRef; text: string }[] = [];
  let bytes = 0;
  for (const ref of refsToSend) {
    const text = held.chunks.get(ref);
    const size = Buffer.byteLength(text ?? '');
    const fits = bytes + size <= ctx.settings.maxMessageBytes || bytes === 0;
    if (text !== undefined && fits) {
      chunks.push({ ref, text });
      bytes += size;
    }
  }
  return createStep(state, [
    { type: 'send', to: peer, message: { type: 'given', root: held.root, chunks } },
  ]);
}

function listDelta({ deltas, held }: SpreadState, have: number): readonly ChunkRef[] {
  const newer = deltas.filter(({ revision }) => revision > have);
  // A first delta based below `have` only includes excess chunks; one based above it would omit some.
  return newer[0] && newer[0].after <= have
    ? newer.flatMap(({ refs }) => refs).filter((ref) => held?.chunks.has(ref))
    : [];
}

/**
 * Handles a peer's answer. An answer from the source with neither a higher root nor new chunks means that
 * this peer cannot supply the missing ones, so the source is changed.
 */
export function receiveGiven(
  ctx: SpreadContext,
  state: SpreadState,
  root: ManifestRoot,
  chunks: readonly { readonly ref: ChunkRef; readonly text: string }[],
  from: InstanceId,
  at: Millis,
): SpreadStep {
  const isHigher = root.revision > getKnownRevision(state);
  if (!isHigher && !state.target) {
    return createStep(state);
  }
  const isAnswer = state.rootRequest !== null && root.revision >= state.rootRequest.revision;
  const answered = isAnswer ? { ...state, rootRequest: null } : state;
  const source: ChunkSource = { kind: 'peer', id: from };
  const base: SpreadTarget = isHigher
    ? {
        root,
        chunks: state.target?.chunks ?? new Map(),
        source,
        triedPeers: [from],
        answerBy: at,
        backoff: ctx.settings.minBackoff,
      }
    : (state.target as SpreadTarget);
  const received = receiveChunks(
    { ...answered, target: base },
    chunks.map(({ ref, text }) => [ref, text] as const),
  );
  const hasNewChunks = (received.target?.chunks.size ?? 0) > base.chunks.size;
  const isFromSource = base.source.kind === 'peer' && base.source.id === from;
  if (!isHigher && !isFromSource) {
    // A late answer: keeps its chunks and continues to wait for the current source.
    return createStep(received);
  }
  return isHigher || hasNewChunks
    ? advanceTarget(ctx, received, at)
    : continueStep(createStep(received), (next) => changeSource(ctx, next, at));
}
