/** What an instance reads of the root: by its watch, if it is a watcher, and by its poll. */
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

/** Polls the root if it is time. The period grows with the fleet, so that the fleet's rate is flat. */
export function poll(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadStep {
  if (at < state.pollAt) {
    return createStep(state);
  }
  const pollAt = at + jitter(ctx.random, getPollPeriod(ctx, state), POLL_JITTER);
  return createStep({ ...state, pollAt }, [{ type: 'read-root' }]);
}

/** Period of the poll of one instance. */
export function getPollPeriod(ctx: SpreadContext, state: SpreadState): Millis {
  const { minPollPeriod, pollPeriodPerInstance } = ctx.settings;
  return Math.max(minPollPeriod, pollPeriodPerInstance * (state.plan.others.length + 1));
}

/** Lets a watch wait, if this instance is a watcher and none is waiting. */
export function ensureWatch(state: SpreadState, at: Millis): SpreadStep {
  const { watch, plan } = state;
  if (!plan.isWatcher || watch.isWaiting || at < watch.retryAt) {
    return createStep(state);
  }
  return createStep({ ...state, watch: { ...watch, isWaiting: true } }, [
    { type: 'watch-root', known: watch.platformRevision },
  ]);
}

/** Takes a reading of the root, which also ends the start of an instance. */
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
  const seen = noteReading(watched, reading.root, at);
  const source = chooseSource(ctx, state, via, reading.root);
  const learned = reading.root ? learnRoot(ctx, seen, reading.root, source, at) : createStep(seen);
  return continueStep(learned, (next) => ensureWatch(next, at));
}

/** A revision that came by the watch is news: few read it from the platform, and the others from them. */
function chooseSource(
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

/** An instance that has never heard the platform does not wait for its ordinary poll. */
function pollSoon(ctx: SpreadContext, state: SpreadState, at: Millis): SpreadState {
  const soon = at + jitter(ctx.random, ctx.settings.minPollPeriod, POLL_JITTER);
  return { ...state, pollAt: Math.min(state.pollAt, soon) };
}

function noteReading(state: SpreadState, root: ManifestRoot | null, at: Millis): SpreadState {
  const revision = root?.revision ?? 0;
  const { held } = state;
  const isOlder = revision < Math.max(state.platformSeen ?? 0, getRevisionOf(held));
  const isOther = held?.root.revision === revision && held.root.body !== root?.body;
  const olderRoots = state.counts.olderRoots + (isOlder || isOther ? 1 : 0);
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
    // A service that answers watches at once although nothing changed must not be asked in a loop.
    const isNews = platformRevision !== watch.platformRevision;
    const retryAt = isNews ? at : at + jitter(ctx.random, minBackoff, BACKOFF_JITTER);
    const next = { isWaiting: false, retryAt, backoff: minBackoff, platformRevision };
    return { ...state, watch: next };
  }
  const retryAt = at + jitter(ctx.random, watch.backoff, BACKOFF_JITTER);
  const backoff = Math.min(watch.backoff * 2, maxBackoff);
  return { ...state, watch: { ...watch, isWaiting: false, retryAt, backoff } };
}

/** Takes a root that was accepted through this instance, with the chunks that came with it. */
export function receiveAccepted(
  ctx: SpreadContext,
  state: SpreadState,
  root: ManifestRoot,
  chunks: ReadonlyMap<ChunkRef, string>,
  at: Millis,
): SpreadStep {
  const seen = noteReading(state, root, at);
  const learned = learnRoot(ctx, seen, root, { kind: 'none' }, at);
  return continueStep(learned, (next) => advanceTarget(ctx, receiveChunks(next, chunks), at));
}
