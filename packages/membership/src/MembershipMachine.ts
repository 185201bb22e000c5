/**
 * SWIM membership of one instance as a pure state machine: `stepMembership` maps a state and an
 * event to the next state and the effects to run. Time and randomness come from the step's context.
 */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { LifeState } from '@skylarksail/core/CoreConstants';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { updateSelf } from './MembershipApply.js';
import type { MembershipEffect, MembershipStep, StepContext } from './MembershipEffects.js';
import { createStep, runActions } from './MembershipEffects.js';
import type { GossipMessage } from './MembershipMessages.js';
import { GossipKind } from './MembershipMessages.js';
import { findAddress, sendMessage } from './MembershipOutbox.js';
import {
  continueProbes,
  continueSuspicions,
  expireIndirectProbes,
  sendProbe,
  startProbe,
} from './MembershipProbes.js';
import { stepMessage } from './MembershipReceive.js';
import type { MemberRecord } from './MembershipRecords.js';
import { Health, isDead, isPresent } from './MembershipRecords.js';
import type { ListedInstance, MembershipState } from './MembershipState.js';
import { contactDomains, reconnectMembers } from './MembershipSync.js';
import { getDomainView } from './MembershipViews.js';

export type MembershipEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: GossipMessage }
  /**
   * The platform's instance list was read. It may be stale, so it adds instances to probe and never
   * removes a member.
   */
  | { readonly kind: 'listed'; readonly instances: readonly ListedInstance[] }
  /**
   * A connection to the instance was refused or broke. This does not prove a crash; it triggers an
   * immediate probe.
   */
  | { readonly kind: 'connection-lost'; readonly id: InstanceId }
  /** A planned stop begins: this instance gives up its duties but still answers messages. */
  | { readonly kind: 'leaving' }
  /** The planned stop ends: this instance announces that it left and sends nothing afterwards. */
  | { readonly kind: 'left' };

/** A tick that is late by at least this many periods means that this process was paused. */
const PAUSE_THRESHOLD_TICKS = 3;
/** Members that are sent the record of a planned stop immediately. */
const LEAVE_FANOUT = 8;
/** Probability that a tick prunes expired tombstones. */
const PRUNE_PROBABILITY = 0.001;

/** Applies one event and returns the next state with the effects to run. */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  ctx: StepContext,
): MembershipStep {
  switch (event.kind) {
    case 'tick':
      return stepTick(state, ctx);
    case 'message':
      return stepMessage(state, ctx, event.message);
    case 'listed':
      return createStep(updateListed(state, event.instances));
    case 'connection-lost':
      return probeNow(state, ctx, event.id);
    case 'leaving':
      return announceSelf(state, ctx, { phase: LifeState.Leaving });
    case 'left':
      return announceSelf(state, ctx, { phase: LifeState.Leaving, health: Health.Left });
    default:
      return createStep(state);
  }
}

function stepTick(state: MembershipState, ctx: StepContext): MembershipStep {
  if (state.self.health === Health.Left) {
    return createStep(state);
  }
  const resumed = resumeAfterPause(state, ctx.now);
  const timed = { ...expireIndirectProbes(resumed, ctx.now), lastTick: ctx.now };
  return runActions(timed, ctx, [
    continueProbes,
    continueSuspicions,
    startProbe,
    contactDomains,
    reconnectMembers,
    updateReachability,
    pruneTombstones,
  ]);
}

/**
 * Cancels open probes and shifts deadlines if this process was paused. Acks and refutations that
 * arrived during the pause are still unread, so without the shift a process resuming from a long
 * pause would declare half of its domain dead.
 */
function resumeAfterPause(state: MembershipState, now: Millis): MembershipState {
  const pause = now - state.lastTick - state.cfg.tick;
  if (pause < PAUSE_THRESHOLD_TICKS * state.cfg.tick) {
    return state;
  }
  // A message may have arrived between the end of the pause and this tick. The shift stops at
  // `now`, because a time in the future would give a negative age, which cannot be encoded.
  const getShift = (at: Millis): Millis => Math.min(pause, now - at);
  const suspicions = new Map(
    [...state.suspicions].map(([id, suspicion]) => {
      const shift = getShift(suspicion.since);
      return [
        id,
        { ...suspicion, since: suspicion.since + shift, deadline: suspicion.deadline + shift },
      ];
    }),
  );
  const seenAt = new Map(
    [...state.domainSeenAt].map(([domain, at]) => [domain, at + getShift(at)]),
  );
  return { ...state, probes: [], suspicions, domainSeenAt: seenAt };
}

function updateReachability(state: MembershipState, ctx: StepContext): MembershipStep {
  const effects: MembershipEffect[] = [];
  const reachable = new Set<DomainId>([state.self.domain]);
  for (const [domain, seenAt] of state.domainSeenAt) {
    const isReachable = ctx.now - seenAt <= state.cfg.domainTimeout;
    if (isReachable) {
      reachable.add(domain);
    }
    if (isReachable !== state.reachable.has(domain)) {
      effects.push({ kind: 'domain', domain, reachable: isReachable });
    }
  }
  return effects.length === 0 ? createStep(state) : createStep({ ...state, reachable }, effects);
}

function pruneTombstones(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.random.nextFloat() >= PRUNE_PROBABILITY) {
    return createStep(state);
  }
  const oldest = ctx.now - state.cfg.tombstoneTime;
  const members = new Map(
    [...state.members].filter(([, member]) => !isDead(member.record) || member.changedAt >= oldest),
  );
  return createStep(members.size === state.members.size ? state : { ...state, members });
}

function updateListed(
  state: MembershipState,
  instances: readonly ListedInstance[],
): MembershipState {
  const others = instances.filter(({ id }) => id !== state.self.id);
  return {
    ...state,
    listed: new Map(others.map((instance) => [instance.id, instance])),
    listedDomains: new Set(others.map(({ domain }) => domain)),
    listedInDomain: others.filter(({ domain }) => domain === state.self.domain),
  };
}

function probeNow(state: MembershipState, ctx: StepContext, id: InstanceId): MembershipStep {
  const to = state.members.get(id)?.record;
  if (!to || id === state.self.id || !isPresent(to) || to.domain !== state.self.domain) {
    return createStep(state);
  }
  const next = { ...state, lost: new Set([...state.lost, id]) };
  const isProbed = state.probes.some(({ target }) => target === id);
  return isProbed ? createStep(next) : sendProbe(next, ctx, to, true);
}

function announceSelf(
  state: MembershipState,
  ctx: StepContext,
  change: { phase: LifeStateName; health?: MemberRecord['health'] },
): MembershipStep {
  const others = getDomainView(state.members, state.self.domain).present.filter(
    (id) => id !== state.self.id,
  );
  const told = sampleElements(ctx.random, others, LEAVE_FANOUT);
  return runActions(state, ctx, [
    (current) => updateSelf(current, change, ctx.now),
    ...told.map((id) => (current: MembershipState) => {
      const address = findAddress(current, id);
      return address
        ? sendMessage(current, address, { kind: GossipKind.Records, wanted: [] }, ctx.now, [
            current.self,
          ])
        : createStep(current);
    }),
  ]);
}
