/**
 * Failure detection: probes of random members, directly and through others; suspicion of those that do
 * not answer, questions to the suspects, and death when a suspicion runs out.
 */
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { applyLocalRecord } from './MembershipApply.js';
import type { MembershipStep, StepContext } from './MembershipEffects.js';
import { createStep, runActions } from './MembershipEffects.js';
import { GossipKind } from './MembershipMessages.js';
import type { PingMessage } from './MembershipMessages.js';
import { createViewHash, findAddress, sendMessage } from './MembershipOutbox.js';
import { Health, isPresent } from './MembershipRecords.js';
import type { ListedInstance, MembershipState, Probe } from './MembershipState.js';
import { getDomainView, getKnownDomains } from './MembershipViews.js';

/** Shares of its time after which a suspect is asked directly, by each member that suspects it. */
const CHECK_SHARES = [0.2, 0.45, 0.7] as const;
/** Suspects asked in one tick; bounds the cost when many fail at once. */
const CHECKS_PER_TICK = 4;
/** Rounds of one probe: direct, then three times direct and through others. */
const PROBE_ROUNDS = 4;
const RELAYED_LIMIT = 256;

/** Starts the next probe of a member of our own domain when it is time. */
export function startProbe(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.now < state.nextProbeAt) {
    return createStep(state);
  }
  const timed = { ...state, nextProbeAt: ctx.now + state.cfg.probePeriod };
  const { target, probeOrder } = takeTarget(timed, ctx);
  const next = { ...timed, probeOrder };
  const to = target === null ? null : findAddress(next, target);
  return to === null ? createStep(next) : sendProbe(next, ctx, to, true);
}

/** Pings an instance and waits for its answer. */
export function sendProbe(
  state: MembershipState,
  ctx: StepContext,
  to: ListedInstance,
  suspects: boolean,
): MembershipStep {
  const seq = state.nextSeq;
  const probe: Probe = { seq, target: to.id, startedAt: ctx.now, rounds: 1, suspects };
  const next = { ...state, nextSeq: seq + 1, probes: [...state.probes, probe] };
  return sendPing(next, ctx, to, seq);
}

/** Repeats probes that are still without an answer, and ends those whose time is over. */
export function continueProbes(state: MembershipState, ctx: StepContext): MembershipStep {
  return runActions(
    state,
    ctx,
    state.probes.map((probe) => (current: MembershipState) => continueProbe(current, ctx, probe)),
  );
}

/** Asks suspects directly, and declares those dead whose time is over. */
export function continueSuspicions(state: MembershipState, ctx: StepContext): MembershipStep {
  let checks = 0;
  let current = createStep(state);
  for (const [id, suspicion] of state.suspicions) {
    const { since, deadline } = suspicion;
    const share = CHECK_SHARES[suspicion.pingsSent];
    if (ctx.now >= deadline) {
      current = joinSteps(current, declareDead(current.state, id, ctx.now));
    } else if (
      share !== undefined &&
      checks < CHECKS_PER_TICK &&
      ctx.now >= since + share * (deadline - since)
    ) {
      checks += 1;
      current = joinSteps(current, checkSuspect(current.state, ctx, id));
    }
  }
  return current;
}

/** Ends the probe that an answer belongs to. */
export function endProbe(state: MembershipState, seq: number, who: InstanceId): MembershipState {
  const probes = state.probes.filter((probe) => probe.seq !== seq || probe.target !== who);
  if (probes.length === state.probes.length) {
    return state;
  }
  const lost = new Set([...state.lost].filter((id) => id !== who));
  return { ...state, probes, lost };
}

/** Probes a member because another instance, which has no answer from it, asks us to. */
export function sendIndirectProbe(
  state: MembershipState,
  ctx: StepContext,
  origin: InstanceId,
  originSeq: number,
  target: InstanceId,
): MembershipStep {
  const to = findAddress(state, target);
  if (!to || state.indirectProbes.length >= RELAYED_LIMIT) {
    return createStep(state);
  }
  const seq = state.nextSeq;
  const relayed = [...state.indirectProbes, { seq, origin, originSeq, startedAt: ctx.now }];
  return sendPing({ ...state, nextSeq: seq + 1, indirectProbes: relayed }, ctx, to, seq);
}

/** Forgets probes made for others whose time is over. */
export function expireIndirectProbes(state: MembershipState, now: Millis): MembershipState {
  const oldest = now - state.cfg.probeTimeout;
  if (!state.indirectProbes.some(({ startedAt }) => startedAt < oldest)) {
    return state;
  }
  return { ...state, indirectProbes: state.indirectProbes.filter(({ startedAt }) => startedAt >= oldest) };
}

function continueProbe(state: MembershipState, ctx: StepContext, probe: Probe): MembershipStep {
  const { cfg } = state;
  const age = ctx.now - probe.startedAt;
  if (age >= cfg.probeTimeout) {
    return failProbe(state, ctx, probe);
  }
  const due = 1 + Math.floor(age / cfg.tick / 2);
  if (!probe.suspects || probe.rounds >= Math.min(due, PROBE_ROUNDS)) {
    return createStep(state);
  }
  const to = findAddress(state, probe.target);
  if (!to) {
    return failProbe(state, ctx, probe);
  }
  const probes = state.probes.map((other) =>
    other === probe ? { ...probe, rounds: probe.rounds + 1 } : other,
  );
  const pinged = sendPing({ ...state, probes }, ctx, to, probe.seq);
  return joinSteps(pinged, askRelays(pinged.state, ctx, probe));
}

function askRelays(state: MembershipState, ctx: StepContext, probe: Probe): MembershipStep {
  const others = getDomainView(state.members, state.self.domain).present.filter(
    (id) => id !== state.self.id && id !== probe.target,
  );
  const actions = sampleElements(ctx.random, others, state.cfg.indirectProbers).map(
    (id) => (current: MembershipState) => {
      const to = findAddress(current, id);
      const body = { kind: GossipKind.PingRequest, seq: probe.seq, target: probe.target };
      return to ? sendMessage(current, to, body, ctx.now) : createStep(current);
    },
  );
  return runActions(state, ctx, actions);
}

function failProbe(state: MembershipState, ctx: StepContext, probe: Probe): MembershipStep {
  const next = { ...state, probes: state.probes.filter((other) => other.seq !== probe.seq) };
  const record = next.members.get(probe.target)?.record;
  if (!probe.suspects || !record || record.health !== Health.Ok) {
    return createStep(next);
  }
  return applyLocalRecord(next, { ...record, health: Health.Suspect }, ctx.now);
}

function checkSuspect(state: MembershipState, ctx: StepContext, id: InstanceId): MembershipStep {
  const suspicion = state.suspicions.get(id);
  const to = findAddress(state, id);
  if (!suspicion || !to) {
    return createStep(state);
  }
  const suspicions = new Map(state.suspicions);
  suspicions.set(id, { ...suspicion, pingsSent: suspicion.pingsSent + 1 });
  const seq = state.nextSeq;
  return sendPing({ ...state, suspicions, nextSeq: seq + 1 }, ctx, to, seq);
}

function declareDead(state: MembershipState, id: InstanceId, now: Millis): MembershipStep {
  const record = state.members.get(id)?.record;
  if (record?.health !== Health.Suspect) {
    return createStep(state);
  }
  return applyLocalRecord(state, { ...record, health: Health.Dead }, now);
}

function sendPing(
  state: MembershipState,
  ctx: StepContext,
  to: ListedInstance,
  seq: number,
): MembershipStep {
  const body: Omit<PingMessage, 'sender' | 'updates' | 'ages' | 'topics'> = {
    kind: GossipKind.Ping,
    seq,
    self: state.self,
    view: createViewHash(state, chooseViewDomain(state, ctx, to)),
  };
  return sendMessage(state, to, body, ctx.now);
}

/** Which domain's view the receiver is to compare: its own one, or within a domain any. */
function chooseViewDomain(state: MembershipState, ctx: StepContext, to: ListedInstance): string {
  const own = state.self.domain;
  if (to.domain !== own) {
    return ctx.random.nextInt(2) === 0 ? own : to.domain;
  }
  const domains = getKnownDomains(state.members);
  return ctx.random.nextInt(2) === 0 ? own : (domains[ctx.random.nextInt(domains.length)] ?? own);
}

interface Target {
  readonly target: InstanceId | null;
  readonly probeOrder: readonly InstanceId[];
}

/** Each member once a round, in an order of our own, so that the wait for a probe is bounded. */
function takeTarget(state: MembershipState, ctx: StepContext): Target {
  const fromOrder = takeFirstPresent(state, state.probeOrder);
  if (fromOrder.target !== null) {
    return fromOrder;
  }
  const { present } = getDomainView(state.members, state.self.domain);
  const shuffled = sampleElements(ctx.random, present, present.length);
  return takeFirstPresent(state, shuffled);
}

function takeFirstPresent(state: MembershipState, order: readonly InstanceId[]): Target {
  const at = order.findIndex((id) => {
    const record = state.members.get(id)?.record;
    return record && isPresent(record) && id !== state.self.id;
  });
  if (at < 0) {
    return { target: null, probeOrder: [] };
  }
  return { target: order[at] as InstanceId, probeOrder: order.slice(at + 1) };
}

function joinSteps(first: MembershipStep, second: MembershipStep): MembershipStep {
  return { state: second.state, effects: [...first.effects, ...second.effects] };
}
