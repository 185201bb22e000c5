/** Effects of the membership state machine, and helpers to create and combine its steps. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { GossipMessage } from './MembershipMessages.js';
import type { MemberRecord } from './MembershipRecords.js';
import type { ListedInstance, MembershipState } from './MembershipState.js';

/** How the status of a member changed. */
export const MemberChangeKind = {
  Joined: 'joined',
  Restarted: 'restarted',
  Suspected: 'suspected',
  Refuted: 'refuted',
  Leaving: 'leaving',
  Left: 'left',
  Dead: 'dead',
} as const;

export type MemberChangeName = (typeof MemberChangeKind)[keyof typeof MemberChangeKind];

export interface MemberChange {
  readonly kind: MemberChangeName;
  readonly id: InstanceId;
  readonly domain: DomainId;
  readonly record: MemberRecord;
}

export type MembershipEffect =
  | { readonly kind: 'send'; readonly to: ListedInstance; readonly message: GossipMessage }
  | { readonly kind: 'member'; readonly change: MemberChange }
  | { readonly kind: 'domain'; readonly domain: DomainId; readonly reachable: boolean };

/** Time and randomness, passed in so that the state machine is deterministic. */
export interface StepContext {
  readonly now: Millis;
  readonly random: Random;
}

export interface MembershipStep {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

export type MembershipAction = (state: MembershipState, ctx: StepContext) => MembershipStep;

export function createStep(
  state: MembershipState,
  effects: readonly MembershipEffect[] = [],
): MembershipStep {
  return { state, effects };
}

/** Runs actions in sequence, each on the state that the previous one returned. */
export function runActions(
  state: MembershipState,
  ctx: StepContext,
  actions: readonly MembershipAction[],
): MembershipStep {
  let current = state;
  const effects: MembershipEffect[] = [];
  for (const action of actions) {
    const step = action(current, ctx);
    current = step.state;
    effects.push(...step.effects);
  }
  return { state: current, effects };
}
