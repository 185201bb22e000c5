/**
 * SWIM failure detection: direct and indirect probes of members in shuffled order, suspicion of
 * members that send no ack, direct pings of suspects, and death when a suspicion times out.
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

/**
 * Shares of the suspicion timeout after which each member that suspects another pings it directly.
 */
const SUSPECT_PING_SHARES = [0.2, 0.45, 0.7] as const;
/** Suspects pinged in one tick; bounds the cost when many members fail at the same time. */
const SUSPECT_PINGS_PER_TICK = 4;
/** Rounds of one probe: one direct ping, then three rounds of a direct ping and ping requests. */
const PROBE_ROUNDS = 4;
/** Indirect probes open for other instances; further ping requests are ignored. */
const MAX_INDIRECT_PROBES = 256;

/** Probes the next member of this instance's domain once every probe period. */
export function startProbe(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.now < state.nextProbeAt) {
    return createStep(state);
  }
  const timed = { ...state, nextProbeAt: ctx.now + state.cfg.probePeriod };
  const { target, probeOrder } = chooseTarget(timed, ctx);
  const next = { ...timed, probeOrder };
  const to = target === null ? null : findAddress(next, target);
  return to === null ? createStep(next) : sendProbe(next, ctx, to, true);
}

/** Pings an instance and records the open probe. */
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

/** Starts the next round of open probes, and fails those that timed out. */
export function continueProbes(state: MembershipState, ctx: StepContext): MembershipStep {
  return runActions(
    state,
    ctx,
    state.probes.map((probe) => (current: MembershipState) => continueProbe(current, ctx, probe)),
  );
}

/** Pings suspects directly, and declares them dead when their suspicion times out. */
export function continueSuspicions(state: MembershipState, ctx: StepContext): MembershipStep {
  let pings = 0;
  let current = createStep(state);
  for (const [id, suspicion] of state.suspicions) {
    const { since, deadline } = suspicion;
    const share = SUSPECT_PING_SHARES[suspicion.pingsSent];
    if (ctx.now >= deadline) {
      current = joinSteps(current, declareDead(current.state, id, ctx.now));
    } else if (
      share !== undefined &&
      pings < SUSPECT_PINGS_PER_TICK &&
      ctx.now >= since + share * (deadline - since)
    ) {
      pings += 1;
      current = joinSteps(current, pingSuspect(current.state, ctx, id));
    }
  }
  return current;
}

/** Closes the probe that an ack belongs to; the target no longer counts as disconnected. */
export function endProbe(
  state: MembershipState,
  seq: number,
  responder: InstanceId,
): MembershipState {
  const probes = state.probes.filter((probe) => probe.seq !== seq || probe.target !== responder);
  if (probes.length === state.probes.length) {
    return state;
  }
  const lost = new Set([...state.lost].filter((id) => id !== responder));
  return { ...state, probes, lost };
}

/** Answers a ping request: pings `target` for `origin`, which has received no ack from `target`. */
export function sendIndirectProbe(
  state: MembershipState,
  ctx: StepContext,
  origin: InstanceId,
  originSeq: number,
  target: InstanceId,
): MembershipStep {
  const to = findAddress(state, target);
  if (!to || state.indirectProbes.length >= MAX_INDIRECT_PROBES) {
    return createStep(state);
  }
  const seq = state.nextSeq;
  const probes = [...state.indirectProbes, { seq, origin, originSeq, startedAt: ctx.now }];
  return sendPing({ ...state, nextSeq: seq + 1, indirectProbes: probes }, ctx, to, seq);
}

/** Drops indirect probes that timed out. */
export function expireIndirectProbes(state: MembershipState, now: Millis): MembershipState {
  const oldest = now - state.cfg.probeTimeout;
  if (!state.indirectProbes.some(({ startedAt }) => startedAt < oldest)) {
    return state;
  }
  return {
    ...state,
    indirectProbes: state.indirectProbes.filter(({ startedAt }) => startedAt >= oldest),
  };
}

function continueProbe(state: MembershipState, ctx: StepContext, probe: Probe): MembershipStep {
  const { cfg } = state;
  const age = ctx.now - probe.startedAt;
  if (age >= cfg.probeTimeout) {
    return failProbe(state, ctx, probe);
  }
  const dueRounds = 1 + Math.floor(age / cfg.tick / 2);
  if (!probe.suspects || probe.rounds >= Math.min(dueRounds, PROBE_ROUNDS)) {
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
  return joinSteps(pinged, requestIndirectProbes(pinged.state, ctx, probe));
}

function requestIndirectProbes(
  state: MembershipState,
  ctx: StepContext,
  probe: Probe,
): MembershipStep {
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

function pingSuspect(state: MembershipState, ctx: StepContext, id: InstanceId): MembershipStep {
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

/**
 * Chooses the domain whose view hash a ping carries. A ping within a domain carries the hash of
 * that domain or of any known one; a ping to another domain carries the hash of the sender's or the
 * receiver's domain.
 */
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

/**
 * Takes each member once per round, in an order shuffled by this instance; this bounds the time
 * between probes.
 */
function chooseTarget(state: MembershipState, ctx: StepContext): Target {
  const fromOrder = takeFirstPresent(state, state.probeOrder);
  if (fromOrder.target !== null) {
    return fromOrder;
  }
  const { present } = getDomainView(state.members, state.self.domain);
  const shuffled = sampleElements(ctx.random, present, present.length);
  return takeFirstPresent(state, shuffled);
}

function takeFirstPresent(state: MembershipState, order: readonly InstanceId[]): Target {
  const index = order.findIndex((id) => {
    const record = state.members.get(id)?.record;
    return record && isPresent(record) && id !== state.self.id;
  });
  if (index < 0) {
    return { target: null, probeOrder: [] };
  }
  return { target: order[index] as InstanceId, probeOrder: order.slice(index + 1) };
}

function joinSteps(first: MembershipStep, second: MembershipStep): MembershipStep {
  return { state: second.state, effects: [...first.effects, ...second.effects] };
}
