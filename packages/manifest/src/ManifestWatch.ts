/** Reads of the root by an instance: by its watch, if it is a watcher, and by its poll. */
import { jitter } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { advanceTarget, choosePeerSource, learnRoot, receiveChunks } from './ManifestFetch.js';
import type { ChunkRef } from './ManifestChunks.js';
import { getReaderRank } from './ManifestPeers.js';
import { advanceStart, noteRootFailure } from './ManifestStart.js';
import type { ManifestRoot } from './ManifestRoot.js';
import type {
  ChunkSource,
  RootReading,
  SpreadContext,
  SpreadState,
  SpreadStep,
} from './ManifestSpreadTypes.js';
import { continueStep, createStep, getRevisionOf } from './ManifestSpreadTypes.js';

const POLL_JITTER = 0.5;
const BACKOFF_JITTER = 0.5;

/** Polls the root if the poll is due. */
export function poll(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  if (at < state.pollAt) {
    return createStep(state);
  }
  const pollAt = at + jitter(ctx.random, getPollPeriod(ctx, state), POLL_JITTER);
  return createStep({ ...state, pollAt }, [{ type: 'read-root' }]);
}

/** Poll period of one instance. It grows with the fleet, so that the fleet's poll rate is constant. */
export function getPollPeriod(ctx: SpreadContext, state: SpreadState): Millis {
  const { minPollPeriod, pollPeriodPerInstance } = ctx.settings;
  return Math.max(minPollPeriod, pollPeriodPerInstance * (state.plan.others.length + 1));
}

/** Starts a watch of the root if this instance is a watcher, none is pending and the backoff is over. */
export function ensureWatch(state: SpreadState, at: Millis): SpreadStep {
  const { watch, plan } = state;
  if (!plan.isWatcher || watch.isWaiting || at < watch.retryAt) {
    return createStep(state);
  }
  return createStep({ ...state, watch: { ...watch, isWaiting: true } }, [
    { type: 'watch-root', known: watch.platformRevision },
  ]);
}

/** Handles the result of reading the root; a successful read also ends the start of the instance. */
export function receiveRoot(
  ctx: SpreadContext,
  state: SpreadState,
  via: 'watch' | 'poll',
  reading: RootReading,
  at: Millis,
): SpreadStep {
  const watched = via === 'watch' ? endWatch(ctx, state, reading, at) : state;
  if (reading.kind === 'failed') {
    const failed = noteRootFailure(watched);
    const next = state.platformSeen === null ? pollSoon(ctx, failed, at) : failed;
    return advanceStart(ctx, next, at);
  }
  const seen = recordReading(watched, reading.root, at);
  const source = chooseChunkSource(ctx, state, via, reading.root);
  const learned = reading.root ? learnRoot(ctx, seen, reading.root, source, at) : createStep(seen);
  return continueStep(learned, (next) => ensureWatch(next, at));
}

/**
 * Chooses where to fetch the chunks of a root. A root that the watch returns to an instance with a held
 * revision is new to the fleet: its readers fetch it from the platform at once, and the other watchers
 * wait for them to announce it. Any other root is fetched from a peer first.
 */
function chooseChunkSource(
  ctx: SpreadContext,
  state: SpreadState,
  via: 'watch' | 'poll',
  root: ManifestRoot | null,
): ChunkSource {
  if (via !== 'watch' || !root || !state.held) {
    return choosePeerSource(ctx, state);
  }
  return getReaderRank(state.plan, root.revision) === 0 ? { kind: 'platform' } : { kind: 'none' };
}

/** Moves up the next poll of an instance that has had no answer from the platform yet. */
function pollSoon(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadState {
  const soon = at + jitter(ctx.random, ctx.settings.minPollPeriod, POLL_JITTER);
  return { ...state, pollAt: Math.min(state.pollAt, soon) };
}

function recordReading(state: SpreadState, root: ManifestRoot | null, at: Millis): SpreadState {
  const revision = root?.revision ?? 0;
  const { held } = state;
  const isOlder = revision < Math.max(state.platformSeen ?? 0, getRevisionOf(held));
  const isDifferentRoot = held?.root.revision === revision && held.root.body !== root?.body;
  const olderRoots = state.counts.olderRoots + (isOlder || isDifferentRoot ? 1 : 0);
  return {
    ...state,
    counts: { ...state.counts, olderRoots },
    start: null,
    platformSeen: Math.max(state.platformSeen ?? 0, revision),
    platformSeenAt: at,
  };
}

function endWatch(
  ctx: SpreadContext,
  state: SpreadState,
  reading: RootReading,
  at: Millis,
): SpreadState {
  const { watch } = state;
  const { minBackoff, maxBackoff } = ctx.settings;
  if (reading.kind === 'read') {
    const { platformRevision } = reading;
    // Delays the next watch if the service answered without a change, to avoid a busy loop.
    const hasChanged = platformRevision !== watch.platformRevision;
    const retryAt = hasChanged ? at : at + jitter(ctx.random, minBackoff, BACKOFF_JITTER);
    const next = { isWaiting: false, retryAt, backoff: minBackoff, platformRevision };
    return { ...state, watch: next };
  }
  const retryAt = at + jitter(ctx.random, watch.backoff, BACKOFF_JITTER);
  const backoff = Math.min(watch.backoff * 2, maxBackoff);
  return { ...state, watch: { ...watch, isWaiting: false, retryAt, backoff } };
}

/** Handles a root accepted through this instance, with the chunks of its submission. */
export function receiveAccepted(
  ctx: SpreadContext,
  state: SpreadState,
  root: ManifestRoot,
  chunks: ReadonlyMap<ChunkRef, string>,
  at: Millis,
): SpreadStep {
  const seen = recordReading(state, root, at);
  const learned = learnRoot(ctx, seen, root, { kind: 'none' }, at);
  return continueStep(learned, (next) => advanceTarget(ctx, receiveChunks(next, chunks), at));
}
