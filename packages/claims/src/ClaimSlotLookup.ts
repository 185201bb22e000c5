/** What a slot knows of a key. Reads only. */
import type { SlotClaim, SlotHead } from './ClaimHead.js';
import type { ClaimSlotState, SlotClaimRequest, SlotReply } from './ClaimSlotTypes.js';

/** A refused key is worth another try once claims have been let go, which takes long. */
const RETRY_WHEN_FULL_MS = 60_000;

/** The claim that a key has, or null. Withdrawn claims do not count. */
export function findClaim(state: ClaimSlotState, keyHash: string): SlotClaim | null {
  if (!state.known) {
    return null;
  }
  const { head, open } = state.known;
  const openClaim = open.get(keyHash);
  if (openClaim) {
    return openClaim;
  }
  for (const { name } of head.segments) {
    const claim = state.segments.get(name)?.get(keyHash);
    if (claim && !head.withdrawn.includes(claim.askId)) {
      return claim;
    }
  }
  return null;
}

/** Whether a sealed segment, or one about to be sealed, holds the ask's claim. */
export function isSealed(state: ClaimSlotState, askId: string, keyHash: string): boolean {
  return (
    [...state.segments.values()].some((claims) => claims.get(keyHash)?.askId === askId) ||
    (state.work?.claims.some((claim) => claim.askId === askId) ?? false)
  );
}

/** Asks whose claims a swap from the known head puts in; those that it only keeps are left out. */
export function getAddedRequestIds(state: ClaimSlotState, swap: SlotHead): ReadonlySet<string> {
  const open = state.known?.open;
  const added = swap.claims.filter(({ keyHash, askId }) => open?.get(keyHash)?.askId !== askId);
  return new Set(added.map((claim) => claim.askId));
}

/** Whether a swap that may still land would put the ask's claim in. */
export function isInUnconfirmedSwap(state: ClaimSlotState, askId: string): boolean {
  const { inFlightHead: swapping, unconfirmedSwaps: doubtful } = state;
  return (
    (swapping !== null && getAddedRequestIds(state, swapping).has(askId)) ||
    doubtful.some((swap) => swap.askIds.has(askId))
  );
}

/** Claims of the slot, withdrawn ones included. */
export function countClaims(state: ClaimSlotState): number {
  const head = state.known?.head;
  return head ? head.segments.reduce((sum, segment) => sum + segment.count, head.claims.length) : 0;
}

/** The reply to an ask from what is stored, or null if it takes a swap to tell. */
export function createReply(state: ClaimSlotState, ask: SlotClaimRequest): SlotReply | null {
  const claim = findClaim(state, ask.keyHash);
  if (claim && state.released.has(claim.askId)) {
    // The next batch takes that claim out, and may give the key to this ask.
    return null;
  }
  if (claim) {
    return answerClaimed(claim, ask);
  }
  const floor = state.known?.head.floor ?? 0;
  if (ask.stamp !== null && ask.stamp < floor) {
    // The key's claim may have been let go. Granting it could run the request a second time.
    return { kind: 'key-expired' };
  }
  if (countClaims(state) >= state.settings.claimLimit) {
    return { kind: 'unavailable', retryAfter: RETRY_WHEN_FULL_MS };
  }
  return null;
}

function answerClaimed(claim: SlotClaim, ask: SlotClaimRequest): SlotReply {
  if (claim.askId === ask.askId) {
    return { kind: 'granted' };
  }
  if (claim.fingerprint !== ask.fingerprint) {
    return { kind: 'key-mismatch' };
  }
  return { kind: 'taken', askId: claim.askId, outcome: claim.outcome };
}

/** Sealed segments that the head names and that are not read yet. */
export function findUnloadedSegments(state: ClaimSlotState, head: SlotHead): readonly string[] {
  return head.segments.map((segment) => segment.name).filter((name) => !state.segments.has(name));
}
