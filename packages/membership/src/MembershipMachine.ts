/**
 * The membership machine of one instance, after SWIM: `stepMembership` takes the state and an event and
 * gives the next state and what is to be sent and told. It reads no clock and draws from the given source.
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
  /** The platform's list was read; it lags, so it adds names and never takes one away. */
  | { readonly kind: 'listed'; readonly instances: readonly ListedInstance[] }
  /** A connection to the instance was refused or broke: no proof, but grounds to ask at once. */
  | { readonly kind: 'connection-lost'; readonly id: InstanceId }
  /** A planned stop begins: no more duties, though we still answer. */
  | { readonly kind: 'leaving' }
  /** The planned stop ends: the next thing is silence. */
  | { readonly kind: 'left' };

/** Ticks that come later than this many periods mean that this process was paused. */
const LATE_TICKS = 3;
/** Members told at once of a planned stop. */
const FAREWELLS = 8;
const PRUNE_SHARE = 0.001;

/** One step of membership. */
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
      return createStep(readListed(state, event.instances));
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
    judgeDomains,
    pruneTombstones,
  ]);
}

/**
 * After a pause of our own, the answers to our probes lie unread and the suspects' objections too. Judged
 * by the clock, a process that woke from a long pause would declare half of its domain dead.
 */
function resumeAfterPause(state: MembershipState, now: Millis): MembershipState {
  const pause = now - state.lastTick - state.cfg.tick;
  if (pause < LATE_TICKS * state.cfg.tick) {
    return state;
  }
  // News may have come in after the pause and before this tick. Moved into the future it would have a negative age,
  // which cannot be told.
  const getShift = (at: Millis): Millis => Math.min(pause, now - at);
  const suspicions = new Map(
    [...state.suspicions].map(([id, one]) => {
      const shift = getShift(one.since);
      return [id, { ...one, since: one.since + shift, deadline: one.deadline + shift }];
    }),
  );
  const heard = new Map([...state.domainSeenAt].map(([domain, at]) => [domain, at + getShift(at)]));
  return { ...state, probes: [], suspicions, domainSeenAt: heard };
}

function judgeDomains(state: MembershipState, ctx: StepContext): MembershipStep {
  const effects: MembershipEffect[] = [];
  const reachable = new Set<DomainId>([state.self.domain]);
  for (const [domain, heardAt] of state.domainSeenAt) {
    const isReachable = ctx.now - heardAt <= state.cfg.domainTimeout;
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
  if (ctx.random.nextFloat() >= PRUNE_SHARE) {
    return createStep(state);
  }
  const oldest = ctx.now - state.cfg.tombstoneTime;
  const members = new Map(
    [...state.members].filter(([, one]) => !isDead(one.record) || one.changedAt >= oldest),
  );
  return createStep(members.size === state.members.size ? state : { ...state, members });
}

function readListed(state: MembershipState, instances: readonly ListedInstance[]): MembershipState {
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
  const told = sampleElements(ctx.random, others, FAREWELLS);
  return runActions(state, ctx, [
    (current) => updateSelf(current, change, ctx.now),
    ...told.map((id) => (current: MembershipState) => {
      const to = findAddress(current, id);
      return to
        ? sendMessage(current, to, { kind: GossipKind.Records, wanted: [] }, ctx.now, [
            current.self,
          ])
        : createStep(current);
    }),
  ]);
}
