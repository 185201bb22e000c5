/** Fetching of a higher revision: from the peer that told of it, then others, then the platform. */
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

/** Revisions whose deltas are kept; a peer further behind asks for chunks by name. */
const MAX_DELTAS = 16;
const MAX_TELLERS = 4;
/** Peers told of a new revision besides those below in the tree. */
const RANDOM_LISTENERS = 2;
/** Chunks asked for in one message; the answer is bounded by its bytes anyway. */
const MAX_REFS_ASKED = 256;
const BACKOFF_JITTER = 0.5;

/** Highest revision known of, held or not. */
export function getKnownRevision(state: SpreadState): number {
  return Math.max(getRevisionOf(state.held), state.target?.root.revision ?? 0);
}

/** Takes note of a root; starts to fetch it if it is higher than all known ones, and else drops it. */
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
 * A peer holds the target's revision or a higher one: ask it, unless another peer is being asked. A read
 * from the platform goes on beside it; were it waited for, one lost call would hold up an instance that
 * all its peers could help.
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

/** A peer told of a higher revision: ask it, or remember it while another is being asked. */
export function requestRoot(
  ctx: SpreadContext,
  state: SpreadState,
  teller: InstanceId,
  revision: number,
  at: Millis,
): SpreadStep {
  const { rootRequest: asking } = state;
  if (asking && asking.revision >= revision) {
    const tellers = [...asking.announcers.filter((id) => id !== teller), teller];
    return createStep({ ...state, rootRequest: { ...asking, announcers: tellers.slice(-MAX_TELLERS) } });
  }
  return askForRoot(ctx, state, teller, { revision, announcers: [], answerBy: at }, at);
}

function askForRoot(
  ctx: SpreadContext,
  state: SpreadState,
  peer: InstanceId,
  asking: RootRequest,
  at: Millis,
): SpreadStep {
  const answerBy = at + ctx.settings.peerTimeout;
  return createStep({ ...state, rootRequest: { ...asking, answerBy } }, [
    {
      type: 'send',
      to: peer,
      message: { type: 'asked', have: getRevisionOf(state.held), refs: [] },
    },
  ]);
}

/** Asks the next peer that told of the revision if the one before has not answered. */
export function requestRootFromNext(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { rootRequest: asking } = state;
  if (!asking || at < asking.answerBy) {
    return createStep(state);
  }
  const [next, ...tellers] = asking.announcers;
  return next === undefined
    ? createStep({ ...state, rootRequest: null })
    : askForRoot(ctx, state, next, { ...asking, announcers: tellers }, at);
}

/** Takes the chunks whose text is the one that their name stands for. */
export function receiveChunks(
  state: SpreadState,
  chunks: Iterable<readonly [ChunkRef, string]>,
): SpreadState {
  const { target } = state;
  if (!target) {
    return state;
  }
  const all = new Map(target.chunks);
  let dropped = 0;
  for (const [ref, text] of chunks) {
    if (matchesChunkHash(ref, text)) {
      all.set(ref, text);
    } else {
      dropped += 1;
    }
  }
  const counts = { ...state.counts, droppedChunks: state.counts.droppedChunks + dropped };
  return { ...state, target: { ...target, chunks: all }, counts };
}

/** Goes on with the target: holds it if it is whole, else asks its source for what is missing. */
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
    return askSource(ctx, state, target, walk.refs, at);
  }
  const refs = [...listTreeChunks(walk.tree)];
  const chunks = new Map(refs.map((ref) => [ref, getChunk(ref) as string]));
  return holdManifest(ctx, state, { root: target.root, tree: walk.tree, chunks }, at);
}

function askSource(
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
            refs: refs.slice(0, MAX_REFS_ASKED),
          },
        }
      : { type: 'read-chunks', body: target.root.body, refs };
  return createStep({ ...state, target: { ...target, answerBy } }, [effect]);
}

/** After a failure or silence of the source: another peer, or, once enough were tried, the platform. */
export function changeSource(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  const { target } = state;
  if (!target) {
    return createStep(state);
  }
  const tried = target.triedPeers;
  const rest = state.plan.ownDomain.filter(
    (id) => id !== state.plan.self.id && !tried.includes(id),
  );
  const [peer] = sampleElements(ctx.random, rest, 1);
  if (target.source.kind === 'peer' && tried.length < ctx.settings.peerTries && peer) {
    const source: ChunkSource = { kind: 'peer', id: peer };
    const next = { ...target, source, triedPeers: [...tried, peer] };
    return advanceTarget(ctx, { ...state, target: next }, at);
  }
  const next: SpreadTarget = { ...target, source: { kind: 'platform' } };
  return advanceTarget(ctx, { ...state, target: next }, at);
}

/**
 * After the platform could not give a chunk: a pause, then peers again. The chunk may be gone because
 * the revision was superseded; then a peer or the poll will tell of the newer one.
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

/** Peers of the own domain, or of the others if there are none. */
function listNearestPeers({ plan }: SpreadState): readonly InstanceId[] {
  const near = plan.ownDomain.filter((id) => id !== plan.self.id);
  return near.length > 0 ? near : plan.others.map(({ id }) => id);
}

/** A peer to try first for a root that is not news to the fleet, the platform if there is none. */
export function choosePeerSource(ctx: SpreadContext, state: SpreadState): ChunkSource {
  const [id] = sampleElements(ctx.random, listNearestPeers(state), 1);
  return id === undefined ? { kind: 'platform' } : { kind: 'peer', id };
}

/** A peer holds `revision`: if that is too low for what was asked of it, another source is tried. */
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

/** Holds a whole manifest and tells the peers that depend on this instance for it. */
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
  const keeperAsk = drawQueryId(ctx);
  const next: SpreadState = {
    ...state,
    held: manifest,
    heldSince: at,
    keeperQueryId: keeperAsk,
    isKept: false,
    rootRequest: null,
    target: null,
    deltas,
    pendingReplies: [],
  };
  const replies = new Map(state.pendingReplies.map(({ peer, ask }) => [peer, ask]));
  const listeners = new Set([
    ...selectRecipients(state.plan, revision),
    // Whoever is below an instance that just died, or lost a message, would else wait for gossip.
    ...sampleElements(ctx.random, listNearestPeers(state), RANDOM_LISTENERS),
    ...replies.keys(),
  ]);
  const effects = [...listeners].map((to) => {
    const ask = state.plan.keepers.includes(to) ? keeperAsk : 0;
    return createToldEffect(to, revision, { ask, reply: replies.get(to) ?? 0 });
  });
  return createStep(next, effects);
}

/** Answers a peer that asked: the root, what it added to what the peer holds, and the chunks named. */
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
  const wanted = new Set([...refs, ...listDelta(state, have)]);
  const chunks: { ref: ChunkRef; text: string }[] = [];
  let bytes = 0;
  for (const ref of wanted) {
    const text = held.chunks.get(ref);
    const fits = bytes + (text?.length ?? 0) <= ctx.settings.maxMessageBytes || bytes === 0;
    if (text !== undefined && fits) {
      chunks.push({ ref, text });
      bytes += text.length;
    }
  }
  return createStep(state, [
    { type: 'send', to: peer, message: { type: 'given', root: held.root, chunks } },
  ]);
}

function listDelta({ deltas, held }: SpreadState, have: number): readonly ChunkRef[] {
  const newer = deltas.filter(({ revision }) => revision > have);
  // A delta that begins before `have` gives too much, but one that begins after it would give too little.
  return newer[0] && newer[0].after <= have
    ? newer.flatMap(({ refs }) => refs).filter((ref) => held?.chunks.has(ref))
    : [];
}

/** Takes a peer's answer. An answer without anything new means that this peer cannot help. */
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
  const gained = (received.target?.chunks.size ?? 0) > base.chunks.size;
  const isFromSource = base.source.kind === 'peer' && base.source.id === from;
  if (!isHigher && !isFromSource) {
    // A late answer: keep its chunks, and wait for the source that was asked meanwhile.
    return createStep(received);
  }
  return isHigher || gained
    ? advanceTarget(ctx, received, at)
    : continueStep(createStep(received), (next) => changeSource(ctx, next, at));
}
