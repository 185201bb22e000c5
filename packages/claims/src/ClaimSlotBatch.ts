/**
 * What the next swap of a slot writes, and what follows from a swap that is known to be stored: claims
 * put in and taken out, segments sealed, merged and let go.
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

/** Withdrawn asks that a head names at the most; beyond it a claim given back stays claimed. */
const WITHDRAWN_LIMIT = 500;

/** Whether a swap is worth making now. */
export function hasBatch(state: ClaimSlotState): boolean {
  const claims = state.known?.head.claims ?? [];
  const isFull = claims.length >= state.settings.openLimit;
  if (isFull) {
    return state.work?.state === 'written' || state.released.size > 0;
  }
  return state.waiting.length > 0 || state.released.size > 0;
}

/** The head that the next batch writes, from the known one. */
export function buildBatch(
  state: ClaimSlotState,
  known: SlotHead,
  writeId: string,
  wall: number,
): SlotHead {
  const work = state.work?.state === 'written' ? state.work : null;
  const sealed = new Set(work?.replaces.length === 0 ? work.claims.map((c) => c.askId) : []);
  const kept = known.claims
    .filter((claim) => !state.released.has(claim.askId) && !sealed.has(claim.askId))
    .map((claim) => ({ ...claim, outcome: state.outcomes.get(claim.askId) ?? claim.outcome }));
  const claims = [...kept, ...chooseNewClaims(state, kept)];
  const replaced = new Set(work?.replaces ?? []);
  const aged = known.segments.filter((segment) => isAged(segment, state, wall));
  const segments = known.segments
    .filter((segment) => !replaced.has(segment.name) && !aged.includes(segment))
    .concat(work ? [nameSegment(work)] : []);
  return {
    ...known,
    writeId,
    claims,
    segments,
    withdrawn: chooseWithdrawn(state, known, segments),
    // Only just above the newest key that is let go: a wall clock far in the future then makes old
    // keys expire early, and cannot make every later key look too old.
    floor: aged.reduce((floor, segment) => Math.max(floor, (segment.newest ?? 0) + 1), known.floor),
  };
}

/** The state once `head` is known to be stored at `revision`; closes out all doubtful swaps. */
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
  // While the slot is being taken its sealed segments are not known, so nothing can be ruled out.
  const isTaking = state.phase === SlotPhase.Taking;
  const unmarked = new Set(head.claims.filter((c) => c.outcome === null).map((c) => c.askId));
  return {
    state: {
      ...state,
      known: { revision, head, open },
      segments,
      work: workDone ? null : state.work,
      released: isTaking ? state.released : new Map([...state.released].filter(isStillStored)),
      outcomes: new Map([...state.outcomes].filter(([askId]) => unmarked.has(askId))),
      inFlightHead: null,
      unconfirmedSwaps: [],
      needsRead: false,
    },
    effects: dropped.map(({ name }): SlotEffect => ({ kind: 'remove-segment', name })),
  };
}

/** The next segment to seal or to merge, if it is time. */
export function planSegmentWork(
  state: ClaimSlotState,
  head: SlotHead,
  name: string,
): SegmentWork | null {
  return planSeal(state, head, name) ?? planMerge(state, head, name);
}

/** A segment's claims by key. */
export function indexClaims(claims: readonly SlotClaim[]): ReadonlyMap<string, SlotClaim> {
  return new Map(claims.map((claim) => [claim.keyHash, claim]));
}

function chooseNewClaims(state: ClaimSlotState, kept: readonly SlotClaim[]): SlotClaim[] {
  const room = Math.max(0, state.settings.openLimit - kept.length);
  const firstOfKey = new Map<string, SlotClaimRequest>();
  for (const ask of state.waiting) {
    if (!firstOfKey.has(ask.keyHash)) {
      firstOfKey.set(ask.keyHash, ask);
    }
  }
  return [...firstOfKey.values()].slice(0, room).map((ask) => ({
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
  return isShrinking ? dropUnneeded(state, withdrawn, segments) : withdrawn;
}

/** Forgets withdrawn asks whose claims went with a segment that was merged or let go. */
function dropUnneeded(
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

function isAged(segment: SegmentRef, state: ClaimSlotState, wall: number): boolean {
  return segment.newest !== null && segment.newest < wall - state.settings.retention;
}

function nameSegment({ name, claims }: SegmentWork): SegmentRef {
  return { name, count: claims.length, newest: findNewest(claims) };
}

/** Segments hold either keys with a time or keys without, so that the first can be let go whole. */
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
