/** Building blocks of the slot's state machine: composing steps and replying to claim requests. */
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

/** Retry delay for a caller whose claim request timed out; its request did not run. */
export const RETRY_AFTER_TIMEOUT_MS = 1000;

/** A state transition; a step is composed of several. */
export type SlotTransition = (state: ClaimSlotState, clock: SlotClock) => SlotStep;

/** Applies `transition` to the state of `step` and appends its effects. */
export function continueStep(
  step: SlotStep,
  transition: SlotTransition,
  clock: SlotClock,
): SlotStep {
  const next = transition(step.state, clock);
  return { state: next.state, effects: [...step.effects, ...next.effects] };
}

/** Creates a step without effects. */
export function createStep(state: ClaimSlotState): SlotStep {
  return { state, effects: [] };
}

/** Creates the effect that replies to a claim request. */
export function reply(askId: string, answer: SlotReply): SlotEffect {
  return { kind: 'reply', askId, reply: answer };
}

/** Replies to the waiting claim requests that are decided or past their deadline. */
export function answerWaiting(state: ClaimSlotState, { now }: SlotClock): SlotStep {
  const effects: SlotEffect[] = [];
  const waiting: SlotClaimRequest[] = [];
  const released = new Map(state.released);
  for (const ask of state.waiting) {
    const answer = state.phase === SlotPhase.Held ? createReply(state, ask) : null;
    if (answer) {
      effects.push(reply(ask.askId, answer));
    } else if (ask.deadline <= now) {
      // The claim may be in a swap that still takes effect. The next batch must then remove it, or
      // every resend would get "unknown" although nothing ran. Only a claim that this owner added and
      // never granted may be removed: the request of a claim that it found stored may be running.
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
