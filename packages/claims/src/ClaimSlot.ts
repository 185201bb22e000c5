/**
 * State machine of one claim slot on one instance. It grants a key only after the compare-and-swap that
 * contains the claim is confirmed, either by its result or by reading its write id back from the stored
 * head. The effect of a swap without a result is never guessed: it is settled by reading back its write
 * id, or by a later successful swap from the same revision. Ownership does not depend on clocks: the next
 * swap of an owner that was paused fails if another instance has acquired the slot.
 */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { StoreEntry, StoreOutcome } from '@skylarksail/store/StorePort';
import { decodeClaims, decodeHead, tryDecode, type SlotHead } from './ClaimHead.js';
import { adoptHead, indexClaims } from './ClaimSlotBatch.js';
import { startNextCall } from './ClaimSlotCalls.js';
import {
  findUnloadedSegments,
  getAddedRequestIds,
  isInUnconfirmedSwap,
  isSealed,
} from './ClaimSlotLookup.js';
import {
  answerWaiting,
  continueStep,
  reply,
  RETRY_AFTER_TIMEOUT_MS,
  createStep,
} from './ClaimSlotSteps.js';
import {
  SlotPhase,
  type ClaimSlotSettings,
  type ClaimSlotState,
  type SlotClaimRequest,
  type SlotClock,
  type SlotEvent,
  type SlotStep,
} from './ClaimSlotTypes.js';

/** Creates the state of a slot that this instance does not own. */
export function createClaimSlot(
  slot: number,
  owner: string,
  settings: ClaimSlotSettings,
): ClaimSlotState {
  return {
    slot,
    owner,
    settings,
    phase: SlotPhase.Idle,
    known: null,
    segments: new Map(),
    waiting: [],
    released: new Map(),
    outcomes: new Map(),
    inFlightHead: null,
    reading: false,
    readingSegments: new Set(),
    work: null,
    unconfirmedSwaps: [],
    needsRead: false,
    nextCallAt: 0,
    nextWriteNumber: 1,
    newOwner: '',
    deferUntil: 0,
  };
}

/** Applies an event and returns the next state with the effects to execute. */
export function stepSlot(state: ClaimSlotState, event: SlotEvent, clock: SlotClock): SlotStep {
  return continueStep(
    continueStep(handleEvent(state, event, clock), answerWaiting, clock),
    startNextCall,
    clock,
  );
}

function handleEvent(state: ClaimSlotState, event: SlotEvent, clock: SlotClock): SlotStep {
  switch (event.kind) {
    case 'ask':
      return handleClaimRequest(state, event.ask, clock);
    case 'release':
      return createStep(handleRelease(state, event.askId, event.keyHash));
    case 'settle':
      return createStep(handleSettle(state, event.askId, event.outcome));
    case 'head-read':
      return handleHeadRead({ ...state, reading: false }, event.outcome, clock);
    case 'head-swapped':
      return handleSwapResult(state, event.outcome, clock);
    case 'segment-read':
      return createStep(handleSegmentRead(state, event.name, event.outcome, clock));
    case 'segment-written':
      return createStep(handleSegmentWritten(state, event, clock));
    default:
      return createStep(state);
  }
}

function handleClaimRequest(
  state: ClaimSlotState,
  ask: SlotClaimRequest,
  { now }: SlotClock,
): SlotStep {
  if (state.released.has(ask.askId)) {
    // The requester gave up; this is a delayed copy of its claim request.
    return {
      state,
      effects: [reply(ask.askId, { kind: 'unavailable', retryAfter: RETRY_AFTER_TIMEOUT_MS })],
    };
  }
  if (state.phase === SlotPhase.Idle && now < state.deferUntil) {
    return {
      state,
      effects: [reply(ask.askId, { kind: 'not-owner', owner: state.newOwner })],
    };
  }
  const others = state.waiting.filter((waiting) => waiting.askId !== ask.askId);
  return createStep({ ...state, waiting: [...others, ask] });
}

function handleRelease(state: ClaimSlotState, askId: string, keyHash: string): ClaimSlotState {
  if (state.phase === SlotPhase.Idle) {
    return state;
  }
  const waiting = state.waiting.filter((ask) => ask.askId !== askId);
  const mayBeStored =
    state.phase !== SlotPhase.Held ||
    state.known?.open.get(keyHash)?.askId === askId ||
    isInUnconfirmedSwap(state, askId) ||
    isSealed(state, askId, keyHash);
  return mayBeStored
    ? { ...state, waiting, released: new Map([...state.released, [askId, keyHash]]) }
    : { ...state, waiting };
}

function handleSettle(state: ClaimSlotState, askId: string, outcome: RunStateName): ClaimSlotState {
  const isOpen = state.known?.head.claims.some((claim) => claim.askId === askId) ?? false;
  return isOpen ? { ...state, outcomes: new Map([...state.outcomes, [askId, outcome]]) } : state;
}

function handleHeadRead(
  state: ClaimSlotState,
  outcome: StoreOutcome<StoreEntry>,
  clock: SlotClock,
): SlotStep {
  if (outcome.kind !== 'done') {
    return createStep(delayNextCall(state, outcome, clock));
  }
  const { revision } = outcome.value;
  const head = tryDecode(decodeHead, outcome.value.value);
  if (!head) {
    return createStep(delayNextCall(state, { kind: 'unknown' }, clock));
  }
  if (state.unconfirmedSwaps.some((swap) => swap.writeId === head.writeId)) {
    // A swap without a result did take effect.
    return adoptOwnHead(state, revision, head);
  }
  if (state.known?.revision === revision) {
    // An unchanged revision proves nothing: a swap without a result may still be in flight. Only a
    // successful later swap from this revision rules out that the earlier ones take effect.
    return createStep({ ...state, needsRead: false });
  }
  const isTaking = state.phase === SlotPhase.Taking;
  if (isTaking && (state.known === null || state.known.head.epoch === head.epoch)) {
    const known = { revision, head, open: indexClaims(head.claims) };
    return createStep({ ...state, known, unconfirmedSwaps: [], needsRead: false });
  }
  return loseSlot(state, head.owner, clock);
}

function handleSwapResult(
  state: ClaimSlotState,
  outcome: StoreOutcome<number>,
  clock: SlotClock,
): SlotStep {
  const { inFlightHead } = state;
  const afterSwap = { ...state, inFlightHead: null };
  if (!inFlightHead) {
    return createStep(state);
  }
  if (outcome.kind === 'done') {
    return adoptOwnHead(afterSwap, outcome.value, inFlightHead);
  }
  if (outcome.kind === 'unknown') {
    const askIds = getAddedRequestIds(state, inFlightHead);
    const unconfirmedSwaps = [...state.unconfirmedSwaps, { writeId: inFlightHead.writeId, askIds }];
    return createStep(
      delayNextCall({ ...afterSwap, unconfirmedSwaps, needsRead: true }, outcome, clock),
    );
  }
  if (outcome.reason.kind === 'conflict') {
    return createStep({ ...afterSwap, needsRead: true, nextCallAt: clock.now });
  }
  return createStep(delayNextCall(afterSwap, outcome, clock));
}

function adoptOwnHead(state: ClaimSlotState, revision: number, head: SlotHead): SlotStep {
  const { state: adopted, effects } = adoptHead(state, revision, head);
  if (state.phase !== SlotPhase.Taking) {
    return { state: adopted, effects };
  }
  const phase = findUnloadedSegments(adopted, head).length > 0 ? SlotPhase.Loading : SlotPhase.Held;
  return { state: { ...adopted, phase }, effects };
}

/**
 * Gives the slot up after another owner has incremented the epoch. If a claim that this instance stored
 * is in the new owner's head, the new owner grants it to the same claim request.
 */
function loseSlot(state: ClaimSlotState, owner: string, { now }: SlotClock): SlotStep {
  const idle = createClaimSlot(state.slot, state.owner, state.settings);
  return {
    state: {
      ...idle,
      // Sealed segments are immutable, so the loaded ones stay valid.
      segments: state.segments,
      nextWriteNumber: state.nextWriteNumber,
      newOwner: owner,
      deferUntil: now + state.settings.deferAfterLoss,
    },
    effects: state.waiting.map((ask) => reply(ask.askId, { kind: 'not-owner', owner })),
  };
}

function handleSegmentRead(
  state: ClaimSlotState,
  name: string,
  outcome: StoreOutcome<StoreEntry>,
  clock: SlotClock,
): ClaimSlotState {
  const readingSegments = new Set([...state.readingSegments].filter((other) => other !== name));
  const afterRead = { ...state, readingSegments };
  // If a referenced segment were skipped, its claimed keys would look free. The slot therefore grants
  // nothing until the segment is loaded.
  const isFound = outcome.kind === 'done' && outcome.value.revision > 0;
  const rows = isFound ? tryDecode(decodeClaims, outcome.value.value) : null;
  if (!rows) {
    return delayNextCall(afterRead, outcome, clock);
  }
  const claims = indexClaims(rows);
  return { ...afterRead, segments: new Map([...state.segments, [name, claims]]) };
}

function handleSegmentWritten(
  state: ClaimSlotState,
  { name, outcome }: { readonly name: string; readonly outcome: StoreOutcome<number> },
  clock: SlotClock,
): ClaimSlotState {
  const { work } = state;
  if (work?.name !== name) {
    return state;
  }
  // No other process writes under this name, so a conflict means that an earlier write took effect.
  const isStored =
    outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason.kind === 'conflict');
  return isStored
    ? { ...state, work: { ...work, state: 'written' } }
    : delayNextCall({ ...state, work: { ...work, state: 'planned' } }, outcome, clock);
}

function delayNextCall(
  state: ClaimSlotState,
  outcome: StoreOutcome<unknown>,
  { now }: SlotClock,
): ClaimSlotState {
  const requestedDelay =
    outcome.kind === 'refused' && 'retryAfter' in outcome.reason ? outcome.reason.retryAfter : 0;
  return { ...state, nextCallAt: now + Math.max(requestedDelay, state.settings.retryPause) };
}
