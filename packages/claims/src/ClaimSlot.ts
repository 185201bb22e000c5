/**
 * The state machine of one slot at one instance. It grants a key only once a swap that carries the
 * claim is known to have won: by its answer, or by finding its write id in the stored head. What an
 * unanswered swap did is never guessed: it is closed out by reading its id back, or by a later swap
 * from the same revision that did win. No clock is trusted: a paused owner loses its next swap.
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

/** A slot that is not ours yet. */
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

/** Takes an event and gives the next state with what is to be done. */
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
      return handleAsk(state, event.ask, clock);
    case 'release':
      return createStep(handleRelease(state, event.askId, event.keyHash));
    case 'settle':
      return createStep(handleSettle(state, event.askId, event.outcome));
    case 'head-read':
      return handleHeadRead({ ...state, reading: false }, event.outcome, clock);
    case 'head-swapped':
      return handleSwapped(state, event.outcome, clock);
    case 'segment-read':
      return createStep(handleSegmentRead(state, event.name, event.outcome, clock));
    case 'segment-written':
      return createStep(handleSegmentWritten(state, event, clock));
    default:
      return createStep(state);
  }
}

function handleAsk(state: ClaimSlotState, ask: SlotClaimRequest, { now }: SlotClock): SlotStep {
  if (state.released.has(ask.askId)) {
    // Its asker gave up; this is a copy of the ask that was still on its way.
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
    return createStep(pause(state, outcome, clock));
  }
  const { revision } = outcome.value;
  const head = tryDecode(decodeHead, outcome.value.value);
  if (!head) {
    return createStep(pause(state, { kind: 'unknown' }, clock));
  }
  if (state.unconfirmedSwaps.some((swap) => swap.writeId === head.writeId)) {
    // A swap without an answer did take effect.
    return adoptOwn(state, revision, head);
  }
  if (state.known?.revision === revision) {
    // This proves nothing: an unanswered swap may still be on its way. Only the next swap from this
    // revision, once it has won, keeps the earlier ones from ever landing.
    return createStep({ ...state, needsRead: false });
  }
  const isTaking = state.phase === SlotPhase.Taking;
  if (isTaking && (state.known === null || state.known.head.epoch === head.epoch)) {
    const known = { revision, head, open: indexClaims(head.claims) };
    return createStep({ ...state, known, unconfirmedSwaps: [], needsRead: false });
  }
  return loseSlot(state, head.owner, clock);
}

function handleSwapped(
  state: ClaimSlotState,
  outcome: StoreOutcome<number>,
  clock: SlotClock,
): SlotStep {
  const { inFlightHead: swapping } = state;
  const calm = { ...state, inFlightHead: null };
  if (!swapping) {
    return createStep(state);
  }
  if (outcome.kind === 'done') {
    return adoptOwn(calm, outcome.value, swapping);
  }
  if (outcome.kind === 'unknown') {
    const askIds = getAddedRequestIds(state, swapping);
    const doubtful = [...state.unconfirmedSwaps, { writeId: swapping.writeId, askIds }];
    return createStep(
      pause({ ...calm, unconfirmedSwaps: doubtful, needsRead: true }, outcome, clock),
    );
  }
  if (outcome.reason.kind === 'conflict') {
    return createStep({ ...calm, needsRead: true, nextCallAt: clock.now });
  }
  return createStep(pause(calm, outcome, clock));
}

function adoptOwn(state: ClaimSlotState, revision: number, head: SlotHead): SlotStep {
  const { state: adopted, effects } = adoptHead(state, revision, head);
  if (state.phase !== SlotPhase.Taking) {
    return { state: adopted, effects };
  }
  const phase = findUnloadedSegments(adopted, head).length > 0 ? SlotPhase.Loading : SlotPhase.Held;
  return { state: { ...adopted, phase }, effects };
}

/** Another owner has raised the epoch. What we asked for and it kept, it grants to the same asks. */
function loseSlot(state: ClaimSlotState, owner: string, { now }: SlotClock): SlotStep {
  const lost = createClaimSlot(state.slot, state.owner, state.settings);
  return {
    state: {
      ...lost,
      // Sealed segments never change, so what was read of them stays true.
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
  const calm = { ...state, readingSegments };
  // A segment that is named but not found would make claimed keys look free, so the slot waits.
  const isFound = outcome.kind === 'done' && outcome.value.revision > 0;
  const rows = isFound ? tryDecode(decodeClaims, outcome.value.value) : null;
  if (!rows) {
    return pause(calm, outcome, clock);
  }
  const claims = indexClaims(rows);
  return { ...calm, segments: new Map([...state.segments, [name, claims]]) };
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
  // Nobody else writes under this name, so a conflict means that an earlier try is stored.
  const isStored =
    outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason.kind === 'conflict');
  return isStored
    ? { ...state, work: { ...work, state: 'written' } }
    : pause({ ...state, work: { ...work, state: 'planned' } }, outcome, clock);
}

function pause(
  state: ClaimSlotState,
  outcome: StoreOutcome<unknown>,
  { now }: SlotClock,
): ClaimSlotState {
  const asked =
    outcome.kind === 'refused' && 'retryAfter' in outcome.reason ? outcome.reason.retryAfter : 0;
  return { ...state, nextCallAt: now + Math.max(asked, state.settings.retryPause) };
}
