/** Decides which store call a slot makes next and when. At most one call on the head is in flight. */
import type { SlotHead } from './ClaimHead.js';
import { buildBatch, hasBatch, planSegmentWork } from './ClaimSlotBatch.js';
import { findUnloadedSegments } from './ClaimSlotLookup.js';
import { answerWaiting, continueStep, createStep } from './ClaimSlotSteps.js';
import { SlotPhase, type ClaimSlotState, type SlotClock, type SlotStep } from './ClaimSlotTypes.js';

const PARALLEL_SEGMENT_READS = 8;

/**
 * Returns when the slot needs a tick: at the earliest deadline of a waiting request or for its next call.
 * Null if neither is pending.
 */
export function getNextTickTime(state: ClaimSlotState): number | null {
  const deadline = state.waiting.reduce((least, ask) => Math.min(least, ask.deadline), Infinity);
  const isCalling = state.inFlightHead !== null || state.reading;
  const next = !isCalling && hasWork(state) ? state.nextCallAt : Infinity;
  const tickAt = Math.min(deadline, next);
  return tickAt === Infinity ? null : tickAt;
}

function hasWork(state: ClaimSlotState): boolean {
  switch (state.phase) {
    case SlotPhase.Idle:
      return state.waiting.length > 0;
    case SlotPhase.Taking:
      return true;
    case SlotPhase.Loading:
      return state.readingSegments.size === 0;
    default:
      return state.needsRead || hasBatch(state) || state.work?.state === 'planned';
  }
}

/** Starts the next call if it is due and none is in flight. */
export function startNextCall(state: ClaimSlotState, clock: SlotClock): SlotStep {
  if (state.inFlightHead || state.reading || clock.now < state.nextCallAt || !hasWork(state)) {
    return createStep(state);
  }
  if (state.phase === SlotPhase.Idle) {
    return readHead({ ...state, phase: SlotPhase.Taking });
  }
  if (state.needsRead || !state.known) {
    return readHead(state);
  }
  switch (state.phase) {
    case SlotPhase.Taking:
      return swapHead(state, clock, (head, writeId) => ({
        ...head,
        writeId,
        epoch: head.epoch + 1,
        owner: state.owner,
      }));
    case SlotPhase.Loading:
      return loadSegments(state, state.known.head, clock);
    default:
      return continueStep(startSegmentWrite(state, state.known.head), startBatch, clock);
  }
}

function readHead(state: ClaimSlotState): SlotStep {
  return { state: { ...state, reading: true }, effects: [{ kind: 'read-head' }] };
}

function swapHead(
  state: ClaimSlotState,
  { now }: SlotClock,
  change: (head: SlotHead, writeId: string) => SlotHead,
): SlotStep {
  const { known } = state;
  if (!known) {
    return createStep(state);
  }
  const inFlightHead = change(known.head, `${state.owner}.${state.nextWriteNumber}`);
  return {
    state: {
      ...state,
      inFlightHead,
      nextWriteNumber: state.nextWriteNumber + 1,
      nextCallAt: state.phase === SlotPhase.Held ? now + state.settings.batchInterval : now,
    },
    effects: [{ kind: 'swap-head', expected: known.revision, head: inFlightHead }],
  };
}

function loadSegments(state: ClaimSlotState, head: SlotHead, clock: SlotClock): SlotStep {
  const missing = findUnloadedSegments(state, head);
  if (missing.length === 0) {
    const held = { ...state, phase: SlotPhase.Held };
    return continueStep(continueStep(createStep(held), answerWaiting, clock), startNextCall, clock);
  }
  const names = missing.slice(0, PARALLEL_SEGMENT_READS);
  return {
    state: { ...state, readingSegments: new Set(names) },
    effects: names.map((name) => ({ kind: 'read-segment', name })),
  };
}

function startSegmentWrite(state: ClaimSlotState, head: SlotHead): SlotStep {
  const work = state.work ?? planSegmentWork(state, head, `${head.epoch}-${state.nextWriteNumber}`);
  if (work?.state !== 'planned') {
    return createStep(state);
  }
  return {
    state: {
      ...state,
      work: { ...work, state: 'writing' },
      nextWriteNumber: state.nextWriteNumber + 1,
    },
    effects: [{ kind: 'write-segment', name: work.name, claims: work.claims }],
  };
}

function startBatch(state: ClaimSlotState, clock: SlotClock): SlotStep {
  if (!hasBatch(state)) {
    return createStep(state);
  }
  return swapHead(state, clock, (head, writeId) => buildBatch(state, head, writeId, clock.wall));
}
