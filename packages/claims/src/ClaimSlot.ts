/**
 * The state machine of one slot at one instance. It grants a key only once a swap that carries the
 * claim is known to have won: by its answer, or by finding its write id in the stored head. What an
 * unanswered swap did is never guessed: it is closed out by reading its id back, or by a later swap
 * from the same revision that did win. No clock is trusted: a paused owner loses its next swap.
 */
import type { RunStateName } from '@skylarksail/core/CoreConstants';
import type { PlatformEntry, PlatformOutcome } from '@skylarksail/platform/PlatformPort';
import { decodeClaims, decodeHead, type SlotHead } from './ClaimHead.js';
import { adoptHead, buildBatch, hasBatch, indexClaims, planWork } from './ClaimSlotBatch.js';
import { answerAsk, getAddedAsks, isInDoubt, isSealed } from './ClaimSlotLookup.js';
import {
  SlotPhase,
  type ClaimSlotSettings,
  type ClaimSlotState,
  type SlotAsk,
  type SlotClock,
  type SlotEffect,
  type SlotEvent,
  type SlotReply,
  type SlotStep,
} from './ClaimSlotTypes.js';

const PARALLEL_SEGMENT_READS = 8;
const RETRY_WHEN_LATE_MS = 1000;

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
    swapping: null,
    reading: false,
    readingSegments: new Set(),
    work: null,
    doubtful: [],
    needsRead: false,
    nextCallAt: 0,
    nextWriteNumber: 1,
    lostTo: '',
    deferUntil: 0,
  };
}

/** Takes an event and gives the next state with what is to be done. */
export function stepSlot(state: ClaimSlotState, event: SlotEvent, clock: SlotClock): SlotStep {
  return chain(chain(handleEvent(state, event, clock), answerWaiting, clock), advance, clock);
}

/** When the slot wants a tick, or null while it waits for an answer or has nothing to do. */
export function getWakeTime(state: ClaimSlotState): number | null {
  const deadline = state.waiting.reduce((least, ask) => Math.min(least, ask.deadline), Infinity);
  const isCalling = state.swapping !== null || state.reading;
  const next = !isCalling && hasWork(state) ? state.nextCallAt : Infinity;
  const wakeAt = Math.min(deadline, next);
  return wakeAt === Infinity ? null : wakeAt;
}

type Part = (state: ClaimSlotState, clock: SlotClock) => SlotStep;

function chain(step: SlotStep, part: Part, clock: SlotClock): SlotStep {
  const next = part(step.state, clock);
  return { state: next.state, effects: [...step.effects, ...next.effects] };
}

function stay(state: ClaimSlotState): SlotStep {
  return { state, effects: [] };
}

function reply(askId: string, answer: SlotReply): SlotEffect {
  return { kind: 'reply', askId, reply: answer };
}

function handleEvent(state: ClaimSlotState, event: SlotEvent, clock: SlotClock): SlotStep {
  switch (event.kind) {
    case 'ask':
      return handleAsk(state, event.ask, clock);
    case 'release':
      return stay(handleRelease(state, event.askId, event.keyHash));
    case 'settle':
      return stay(handleSettle(state, event.askId, event.outcome));
    case 'head-read':
      return handleHeadRead({ ...state, reading: false }, event.outcome, clock);
    case 'head-swapped':
      return handleSwapped(state, event.outcome, clock);
    case 'segment-read':
      return stay(handleSegmentRead(state, event.name, event.outcome, clock));
    case 'segment-written':
      return stay(handleSegmentWritten(state, event, clock));
    default:
      return stay(state);
  }
}

function handleAsk(state: ClaimSlotState, ask: SlotAsk, { now }: SlotClock): SlotStep {
  if (state.released.has(ask.askId)) {
    // Its asker gave up; this is a copy of the ask that was still on its way.
    return {
      state,
      effects: [reply(ask.askId, { kind: 'unavailable', retryAfter: RETRY_WHEN_LATE_MS })],
    };
  }
  if (state.phase === SlotPhase.Idle && now < state.deferUntil) {
    return {
      state,
      effects: [reply(ask.askId, { kind: 'not-owner', owner: state.lostTo })],
    };
  }
  const others = state.waiting.filter((waiting) => waiting.askId !== ask.askId);
  return stay({ ...state, waiting: [...others, ask] });
}

function handleRelease(state: ClaimSlotState, askId: string, keyHash: string): ClaimSlotState {
  if (state.phase === SlotPhase.Idle) {
    return state;
  }
  const waiting = state.waiting.filter((ask) => ask.askId !== askId);
  const mayBeStored =
    state.phase !== SlotPhase.Held ||
    state.known?.open.get(keyHash)?.askId === askId ||
    isInDoubt(state, askId) ||
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
  outcome: PlatformOutcome<PlatformEntry>,
  clock: SlotClock,
): SlotStep {
  if (outcome.kind !== 'done') {
    return stay(pause(state, outcome, clock));
  }
  const { revision } = outcome.value;
  const head = decodeHead(outcome.value.value);
  if (state.doubtful.some((swap) => swap.writeId === head.writeId)) {
    // A swap without an answer did take effect.
    return adoptOwn(state, revision, head);
  }
  if (state.known?.revision === revision) {
    // This proves nothing: an unanswered swap may still be on its way. Only the next swap from this
    // revision, once it has won, keeps the earlier ones from ever landing.
    return stay({ ...state, needsRead: false });
  }
  const isTaking = state.phase === SlotPhase.Taking;
  if (isTaking && (state.known === null || state.known.head.epoch === head.epoch)) {
    const known = { revision, head, open: indexClaims(head.claims) };
    return stay({ ...state, known, doubtful: [], needsRead: false });
  }
  return loseSlot(state, head.owner, clock);
}

function handleSwapped(
  state: ClaimSlotState,
  outcome: PlatformOutcome<number>,
  clock: SlotClock,
): SlotStep {
  const { swapping } = state;
  const calm = { ...state, swapping: null };
  if (!swapping) {
    return stay(state);
  }
  if (outcome.kind === 'done') {
    return adoptOwn(calm, outcome.value, swapping);
  }
  if (outcome.kind === 'unknown') {
    const askIds = getAddedAsks(state, swapping);
    const doubtful = [...state.doubtful, { writeId: swapping.writeId, askIds }];
    return stay(pause({ ...calm, doubtful, needsRead: true }, outcome, clock));
  }
  if (outcome.reason.kind === 'conflict') {
    return stay({ ...calm, needsRead: true, nextCallAt: clock.now });
  }
  return stay(pause(calm, outcome, clock));
}

function adoptOwn(state: ClaimSlotState, revision: number, head: SlotHead): SlotStep {
  const { state: adopted, effects } = adoptHead(state, revision, head);
  if (state.phase !== SlotPhase.Taking) {
    return { state: adopted, effects };
  }
  const phase = findMissing(adopted, head).length > 0 ? SlotPhase.Loading : SlotPhase.Held;
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
      lostTo: owner,
      deferUntil: now + state.settings.deferAfterLoss,
    },
    effects: state.waiting.map((ask) => reply(ask.askId, { kind: 'not-owner', owner })),
  };
}

function handleSegmentRead(
  state: ClaimSlotState,
  name: string,
  outcome: PlatformOutcome<PlatformEntry>,
  clock: SlotClock,
): ClaimSlotState {
  const readingSegments = new Set([...state.readingSegments].filter((other) => other !== name));
  const calm = { ...state, readingSegments };
  // A segment that is named but not found would make claimed keys look free, so the slot waits.
  if (outcome.kind !== 'done' || outcome.value.revision === 0) {
    return pause(calm, outcome, clock);
  }
  const claims = indexClaims(decodeClaims(outcome.value.value));
  return { ...calm, segments: new Map([...state.segments, [name, claims]]) };
}

function handleSegmentWritten(
  state: ClaimSlotState,
  { name, outcome }: { readonly name: string; readonly outcome: PlatformOutcome<number> },
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
  outcome: PlatformOutcome<unknown>,
  { now }: SlotClock,
): ClaimSlotState {
  const asked =
    outcome.kind === 'refused' && 'retryAfter' in outcome.reason ? outcome.reason.retryAfter : 0;
  return { ...state, nextCallAt: now + Math.max(asked, state.settings.retryPause) };
}

/** Replies to the asks that can be told by now: decided, or out of time. */
function answerWaiting(state: ClaimSlotState, { now }: SlotClock): SlotStep {
  const effects: SlotEffect[] = [];
  const waiting: SlotAsk[] = [];
  const released = new Map(state.released);
  for (const ask of state.waiting) {
    const answer = state.phase === SlotPhase.Held ? answerAsk(state, ask) : null;
    if (answer) {
      effects.push(reply(ask.askId, answer));
    } else if (ask.deadline <= now) {
      // The ask's claim may be in a swap that lands yet; the next batch must take it out again, or
      // a resend would be told "unknown" for ever about work that never ran. Only what this owner
      // put in itself, and never granted, may go: a claim that it finds may be running.
      if (isInDoubt(state, ask.askId)) {
        released.set(ask.askId, ask.keyHash);
      }
      effects.push(reply(ask.askId, { kind: 'unavailable', retryAfter: RETRY_WHEN_LATE_MS }));
    } else {
      waiting.push(ask);
    }
  }
  return { state: effects.length > 0 ? { ...state, waiting, released } : state, effects };
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

/** Starts the next call, if it is time and none is under way. */
function advance(state: ClaimSlotState, clock: SlotClock): SlotStep {
  if (state.swapping || state.reading || clock.now < state.nextCallAt || !hasWork(state)) {
    return stay(state);
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
      return chain(startWork(state, state.known.head), startBatch, clock);
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
    return stay(state);
  }
  const swapping = change(known.head, `${state.owner}.${state.nextWriteNumber}`);
  return {
    state: {
      ...state,
      swapping,
      nextWriteNumber: state.nextWriteNumber + 1,
      nextCallAt: state.phase === SlotPhase.Held ? now + state.settings.batchInterval : now,
    },
    effects: [{ kind: 'swap-head', expected: known.revision, head: swapping }],
  };
}

function findMissing(state: ClaimSlotState, head: SlotHead): readonly string[] {
  return head.segments.map((segment) => segment.name).filter((name) => !state.segments.has(name));
}

function loadSegments(state: ClaimSlotState, head: SlotHead, clock: SlotClock): SlotStep {
  const missing = findMissing(state, head);
  if (missing.length === 0) {
    const held = { ...state, phase: SlotPhase.Held };
    return chain(chain(stay(held), answerWaiting, clock), advance, clock);
  }
  const names = missing.slice(0, PARALLEL_SEGMENT_READS);
  return {
    state: { ...state, readingSegments: new Set(names) },
    effects: names.map((name) => ({ kind: 'read-segment', name })),
  };
}

function startWork(state: ClaimSlotState, head: SlotHead): SlotStep {
  const work = state.work ?? planWork(state, head, `${head.epoch}-${state.nextWriteNumber}`);
  if (work?.state !== 'planned') {
    return stay(state);
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
    return stay(state);
  }
  return swapHead(state, clock, (head, writeId) => buildBatch(state, head, writeId, clock.wall));
}
