/** Read-only queries on a slot's state. */
import type { SlotClaim, SlotHead } from './ClaimHead.js';
import type { ClaimSlotState, SlotClaimRequest, SlotReply } from './ClaimSlotTypes.js';

/** Retry delay for a key refused by a full slot. It is long because claims are deleted only slowly. */
const RETRY_WHEN_FULL_MS = 60_000;

/** Returns the claim on a key, or null. Withdrawn claims do not count. */
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

/** Whether a sealed segment, or one that is being sealed or merged, contains the claim of the request. */
export function isSealed(state: ClaimSlotState, askId: string, keyHash: string): boolean {
  return (
    [...state.segments.values()].some((claims) => claims.get(keyHash)?.askId === askId) ||
    (state.work?.claims.some((claim) => claim.askId === askId) ?? false)
  );
}

/** Returns the ids of the requests whose claims are in the swap but not in the known head. */
export function getAddedRequestIds(state: ClaimSlotState, swap: SlotHead): ReadonlySet<string> {
  const open = state.known?.open;
  const added = swap.claims.filter(({ keyHash, askId }) => open?.get(keyHash)?.askId !== askId);
  return new Set(added.map((claim) => claim.askId));
}

/** Whether a swap that may still take effect would add the claim of the request. */
export function isInUnconfirmedSwap(state: ClaimSlotState, askId: string): boolean {
  const { inFlightHead, unconfirmedSwaps } = state;
  return (
    (inFlightHead !== null && getAddedRequestIds(state, inFlightHead).has(askId)) ||
    unconfirmedSwaps.some((swap) => swap.askIds.has(askId))
  );
}

/** Counts the slot's claims, including withdrawn ones. */
export function countClaims(state: ClaimSlotState): number {
  const head = state.known?.head;
  return head ? head.segments.reduce((sum, segment) => sum + segment.count, head.claims.length) : 0;
}

/** Returns the reply that the stored claims determine, or null if it depends on the next swap. */
export function createReply(state: ClaimSlotState, ask: SlotClaimRequest): SlotReply | null {
  const claim = findClaim(state, ask.keyHash);
  if (claim && state.released.has(claim.askId)) {
    // The next batch removes that claim and may grant the key to this request.
    return null;
  }
  if (claim) {
    return createReplyForClaim(claim, ask);
  }
  const floor = state.known?.head.floor ?? 0;
  if (ask.stamp !== null && ask.stamp < floor) {
    // The key's claim may have expired. Granting the key could run the request a second time.
    return { kind: 'key-expired' };
  }
  if (countClaims(state) >= state.settings.claimLimit) {
    return { kind: 'unavailable', retryAfter: RETRY_WHEN_FULL_MS };
  }
  return null;
}

function createReplyForClaim(claim: SlotClaim, ask: SlotClaimRequest): SlotReply {
  if (claim.askId === ask.askId) {
    return { kind: 'granted' };
  }
  if (claim.fingerprint !== ask.fingerprint) {
    return { kind: 'key-mismatch' };
  }
  return { kind: 'taken', askId: claim.askId, outcome: claim.outcome };
}

/** Names of the sealed segments that the head refers to and that are not loaded yet. */
export function findUnloadedSegments(state: ClaimSlotState, head: SlotHead): readonly string[] {
  return head.segments.map((segment) => segment.name).filter((name) => !state.segments.has(name));
}
