/**
 * Builds the head that a slot's next swap writes, and applies a swap that is confirmed as stored. A batch
 * adds and removes claims, adds sealed and merged segments, and drops expired ones.
 */
import type { SegmentRef, SlotClaim, SlotHead } from './ClaimHead.js';
import { isSealed } from './ClaimSlotLookup.js';
import {
  SlotPhase,
  type ClaimSlotState,
  type SegmentWork,
  type SlotClaimRequest,
  type SlotEffect,
  type SlotStep,
} from './ClaimSlotTypes.js';

/**
 * Maximum number of withdrawn claims in a head. Beyond it, a released claim in a sealed segment stays
 * claimed.
 */
const WITHDRAWN_LIMIT = 500;

/**
 * Whether a batch is due: there are waiting requests or claims to remove. While the open segment is full,
 * waiting requests do not count, but a written segment that the head does not refer to yet does.
 */
export function hasBatch(state: ClaimSlotState): boolean {
  const claims = state.known?.head.claims ?? [];
  const isFull = claims.length >= state.settings.openLimit;
  if (isFull) {
    return state.work?.state === 'written' || state.released.size > 0;
  }
  return state.waiting.length > 0 || state.released.size > 0;
}

/** Builds the head that the next batch writes on top of the known one. */
export function buildBatch(
  state: ClaimSlotState,
  known: SlotHead,
  writeId: string,
  wallTime: number,
): SlotHead {
  const work = state.work?.state === 'written' ? state.work : null;
  const sealed = new Set(work?.replaces.length === 0 ? work.claims.map((c) => c.askId) : []);
  const kept = known.claims
    .filter((claim) => !state.released.has(claim.askId) && !sealed.has(claim.askId))
    .map((claim) => ({ ...claim, outcome: state.outcomes.get(claim.askId) ?? claim.outcome }));
  const claims = [...kept, ...chooseNewClaims(state, kept)];
  const replaced = new Set(work?.replaces ?? []);
  const expired = known.segments.filter((segment) => isExpired(segment, state, wallTime));
  const segments = known.segments
    .filter((segment) => !replaced.has(segment.name) && !expired.includes(segment))
    .concat(work ? [createSegmentRef(work)] : []);
  return {
    ...known,
    writeId,
    claims,
    segments,
    withdrawn: chooseWithdrawn(state, known, segments),
    // The floor follows the newest dropped key and not the wall clock. A clock that is set far in the
    // future then drops claims too early, but does not make every later key look too old.
    floor: expired.reduce(
      (floor, segment) => Math.max(floor, (segment.newest ?? 0) + 1),
      known.floor,
    ),
  };
}

/** Applies `head`, which is confirmed as stored at `revision`. This settles all unconfirmed swaps. */
export function adoptHead(state: ClaimSlotState, revision: number, head: SlotHead): SlotStep {
  const names = new Set(head.segments.map((segment) => segment.name));
  const dropped = (state.known?.head.segments ?? []).filter(({ name }) => !names.has(name));
  const segments = new Map([...state.segments].filter(([name]) => names.has(name)));
  const workDone = state.work !== null && names.has(state.work.name);
  if (state.work && workDone) {
    segments.set(state.work.name, indexClaims(state.work.claims));
  }
  const open = indexClaims(head.claims);
  const withdrawn = new Set(head.withdrawn);
  const isFull = head.withdrawn.length >= WITHDRAWN_LIMIT;
  const isStillStored = ([askId, keyHash]: readonly [string, string]): boolean =>
    open.get(keyHash)?.askId === askId ||
    (!withdrawn.has(askId) && !isFull && isSealed(state, askId, keyHash));
  // While the slot is being acquired, its sealed segments are not loaded. Every release is kept, because
  // its claim may be in one of them.
  const isTaking = state.phase === SlotPhase.Taking;
  const withoutOutcome = new Set(head.claims.filter((c) => c.outcome === null).map((c) => c.askId));
  return {
    state: {
      ...state,
      known: { revision, head, open },
      segments,
      work: workDone ? null : state.work,
      released: isTaking ? state.released : new Map([...state.released].filter(isStillStored)),
      outcomes: new Map([...state.outcomes].filter(([askId]) => withoutOutcome.has(askId))),
      inFlightHead: null,
      unconfirmedSwaps: [],
      needsRead: false,
    },
    effects: dropped.map(({ name }): SlotEffect => ({ kind: 'remove-segment', name })),
  };
}

/** Plans the next seal or merge; null if none is due. */
export function planSegmentWork(
  state: ClaimSlotState,
  head: SlotHead,
  name: string,
): SegmentWork | null {
  return planSeal(state, head, name) ?? planMerge(state, head, name);
}

/** Indexes claims by key hash. */
export function indexClaims(claims: readonly SlotClaim[]): ReadonlyMap<string, SlotClaim> {
  return new Map(claims.map((claim) => [claim.keyHash, claim]));
}

function chooseNewClaims(state: ClaimSlotState, kept: readonly SlotClaim[]): SlotClaim[] {
  const room = Math.max(0, state.settings.openLimit - kept.length);
  const firstByKey = new Map<string, SlotClaimRequest>();
  for (const ask of state.waiting) {
    if (!firstByKey.has(ask.keyHash)) {
      firstByKey.set(ask.keyHash, ask);
    }
  }
  return [...firstByKey.values()].slice(0, room).map((ask) => ({
    keyHash: ask.keyHash,
    fingerprint: ask.fingerprint,
    stamp: ask.stamp,
    askId: ask.askId,
    outcome: null,
  }));
}

function chooseWithdrawn(
  state: ClaimSlotState,
  known: SlotHead,
  segments: readonly SegmentRef[],
): readonly string[] {
  const added = [...state.released]
    .filter(([askId, keyHash]) => isSealed(state, askId, keyHash))
    .map(([askId]) => askId);
  const withdrawn = [...new Set([...known.withdrawn, ...added])].slice(0, WITHDRAWN_LIMIT);
  const isShrinking = known.segments.some((segment) => !segments.includes(segment));
  return isShrinking ? pruneWithdrawn(state, withdrawn, segments) : withdrawn;
}

/** Drops withdrawn ids whose claims no longer exist in any segment after a merge or an expiry. */
function pruneWithdrawn(
  state: ClaimSlotState,
  withdrawn: readonly string[],
  segments: readonly SegmentRef[],
): readonly string[] {
  const claims = segments
    .flatMap(({ name }) => [...(state.segments.get(name)?.values() ?? [])])
    .concat(state.work?.claims ?? []);
  const sealed = new Set(claims.map((claim) => claim.askId));
  return withdrawn.filter((askId) => sealed.has(askId));
}

function isExpired(segment: SegmentRef, state: ClaimSlotState, wallTime: number): boolean {
  return segment.newest !== null && segment.newest < wallTime - state.settings.retention;
}

function createSegmentRef({ name, claims }: SegmentWork): SegmentRef {
  return { name, count: claims.length, newest: findNewest(claims) };
}

/**
 * Returns the newest timestamp of the claims, or null if they have none. A segment contains either keys
 * with a timestamp or keys without, so that one with timestamps can expire as a whole.
 */
function findNewest(claims: readonly SlotClaim[]): number | null {
  return claims.reduce<number | null>(
    (newest, { stamp }) => (stamp === null ? newest : Math.max(newest ?? 0, stamp)),
    null,
  );
}

function planSeal(state: ClaimSlotState, head: SlotHead, name: string): SegmentWork | null {
  if (head.claims.length < state.settings.sealAt) {
    return null;
  }
  const dated = head.claims.filter((claim) => claim.stamp !== null);
  const opaque = head.claims.filter((claim) => claim.stamp === null);
  const claims = dated.length >= opaque.length ? dated : opaque;
  return { name, claims, replaces: [], state: 'planned' };
}

function planMerge(state: ClaimSlotState, head: SlotHead, name: string): SegmentWork | null {
  const { mergeAt, segmentLimit, sealAt } = state.settings;
  const groups = new Map<string, SegmentRef[]>();
  for (const segment of head.segments) {
    if (segment.count * mergeAt <= segmentLimit) {
      const level = Math.round(Math.log(segment.count / sealAt) / Math.log(mergeAt));
      const group = `${segment.newest === null ? 'opaque' : 'dated'} ${Math.max(0, level)}`;
      groups.set(group, [...(groups.get(group) ?? []), segment]);
    }
  }
  const chosen = [...groups.values()].find((group) => group.length >= mergeAt)?.slice(0, mergeAt);
  if (!chosen) {
    return null;
  }
  const replaces = chosen.map((segment) => segment.name);
  const withdrawn = new Set(head.withdrawn);
  const claims = replaces
    .flatMap((part) => [...(state.segments.get(part)?.values() ?? [])])
    .filter((claim) => !withdrawn.has(claim.askId));
  return { name, claims, replaces, state: 'planned' };
}
