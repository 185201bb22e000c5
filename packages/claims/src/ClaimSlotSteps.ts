/** Small parts that the slot's state machine is put together from: joined steps, and replies. */
import { createReply, isInUnconfirmedSwap } from './ClaimSlotLookup.js';
import {
  SlotPhase,
  type ClaimSlotState,
  type SlotClaimRequest,
  type SlotClock,
  type SlotEffect,
  type SlotReply,
  type SlotStep,
} from './ClaimSlotTypes.js';

/** A caller that was told "not run" may come again after this time. */
export const RETRY_AFTER_TIMEOUT_MS = 1000;

/** A part of a step. */
export type SlotTransition = (state: ClaimSlotState, clock: SlotClock) => SlotStep;

/** Goes on with `part` and joins the effects. */
export function continueStep(step: SlotStep, part: SlotTransition, clock: SlotClock): SlotStep {
  const next = part(step.state, clock);
  return { state: next.state, effects: [...step.effects, ...next.effects] };
}

/** A step without effects. */
export function createStep(state: ClaimSlotState): SlotStep {
  return { state, effects: [] };
}

/** Answers an ask. */
export function reply(askId: string, answer: SlotReply): SlotEffect {
  return { kind: 'reply', askId, reply: answer };
}

/** Replies to the asks that can be told by now: decided, or out of time. */
export function answerWaiting(state: ClaimSlotState, { now }: SlotClock): SlotStep {
  const effects: SlotEffect[] = [];
  const waiting: SlotClaimRequest[] = [];
  const released = new Map(state.released);
  for (const ask of state.waiting) {
    const answer = state.phase === SlotPhase.Held ? createReply(state, ask) : null;
    if (answer) {
      effects.push(reply(ask.askId, answer));
    } else if (ask.deadline <= now) {
      // The ask's claim may be in a swap that lands yet; the next batch must take it out again, or
      // a resend would be told "unknown" for ever about work that never ran. Only what this owner
      // put in itself, and never granted, may go: a claim that it finds may be running.
      if (isInUnconfirmedSwap(state, ask.askId)) {
        released.set(ask.askId, ask.keyHash);
      }
      effects.push(reply(ask.askId, { kind: 'unavailable', retryAfter: RETRY_AFTER_TIMEOUT_MS }));
    } else {
      waiting.push(ask);
    }
  }
  return { state: effects.length > 0 ? { ...state, waiting, released } : state, effects };
}
