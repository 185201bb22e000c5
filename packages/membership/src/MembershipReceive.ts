/** Handling of received messages: merges what they carry and answers them. */
import type { DomainId, Millis } from '@skylarksail/core/CoreTypes';
import { applyRecords } from './MembershipApply.js';
import type { MembershipStep, StepContext } from './MembershipEffects.js';
import { createStep, runActions } from './MembershipEffects.js';
import type { GossipMessage, PingMessage, SenderTag } from './MembershipMessages.js';
import { GossipKind } from './MembershipMessages.js';
import {
  createSenderTag,
  findAddress,
  findNewerRecord,
  hashDomain,
  sendMessage,
} from './MembershipOutbox.js';
import { endProbe, sendIndirectProbe } from './MembershipProbes.js';
import type { MemberRecord } from './MembershipRecords.js';
import { Health } from './MembershipRecords.js';
import type { MembershipState } from './MembershipState.js';
import {
  answerSync,
  sendWantedRecords,
  compareView,
  getOtherDomains,
  startSync,
} from './MembershipSync.js';
import { getDomainView } from './MembershipViews.js';

/** Merges the contents of one received message and answers it. */
export function stepMessage(
  state: MembershipState,
  ctx: StepContext,
  message: GossipMessage,
): MembershipStep {
  if (state.self.health === Health.Left || message.sender.id === state.self.id) {
    return createStep(state);
  }
  return runActions(state, ctx, [
    (current) => applySender(current, ctx.now, message),
    (current) => applyRecords(current, message.updates, ctx.now),
    (current) => answerMessage(current, ctx, message),
    (current) => correctSender(current, ctx, message.sender),
  ]);
}

/** Merges the sender's record and the times at which domains were last seen. */
function applySender(state: MembershipState, now: Millis, message: GossipMessage): MembershipStep {
  const seenAt = mergeSeenAt(state, now, message);
  const next = seenAt === state.domainSeenAt ? state : { ...state, domainSeenAt: seenAt };
  const record = createSenderRecord(next, message);
  return record ? applyRecords(next, [record], now) : createStep(next);
}

function createSenderRecord(state: MembershipState, message: GossipMessage): MemberRecord | null {
  if (message.kind === GossipKind.Ping) {
    return message.self;
  }
  return createRecordFromTag(state, message.sender);
}

/**
 * Completes a tag to a full record, or returns null if neither an earlier record nor the
 * platform's list has the address.
 */
function createRecordFromTag(state: MembershipState, tag: SenderTag): MemberRecord | null {
  const known = findAddress(state, tag.id);
  if (!known) {
    return null;
  }
  const { domain, rack, address, peerPort } = known;
  return { domain, rack, address, peerPort, ...tag, health: Health.Ok };
}

function answerMessage(
  state: MembershipState,
  ctx: StepContext,
  message: GossipMessage,
): MembershipStep {
  const from = message.sender.id;
  switch (message.kind) {
    case GossipKind.Ping:
      return answerPing(state, ctx, message);
    case GossipKind.PingRequest:
      return sendIndirectProbe(state, ctx, from, message.seq, message.target);
    case GossipKind.Ack:
      return handleAck(state, ctx, message.seq, message.who);
    case GossipKind.Sync:
      return answerSync(state, ctx, message);
    case GossipKind.Records:
      return sendWantedRecords(state, ctx, from, message.wanted);
    default:
      return createStep(state);
  }
}

function answerPing(state: MembershipState, ctx: StepContext, ping: PingMessage): MembershipStep {
  const body = { kind: GossipKind.Ack, seq: ping.seq, who: createSenderTag(state.self) };
  return runActions(state, ctx, [
    (current) => sendMessage(current, ping.self, body, ctx.now),
    (current) =>
      ping.view ? compareView(current, ctx, ping.sender.id, ping.view) : createStep(current),
  ]);
}

function handleAck(
  state: MembershipState,
  ctx: StepContext,
  seq: number,
  who: SenderTag,
): MembershipStep {
  const knewAtMostOnePeer = getDomainView(state.members, state.self.domain).present.length <= 2;
  const ended = endProbe(state, seq, who.id);
  const record = createRecordFromTag(ended, who);
  return runActions(ended, ctx, [
    (current) => (record ? applyRecords(current, [record], ctx.now) : createStep(current)),
    (current) => forwardAck(current, ctx, seq, who),
    (current) =>
      knewAtMostOnePeer && ctx.now >= current.nextSyncAt
        ? startSync(current, ctx, who.id, current.self.domain)
        : createStep(current),
  ]);
}

function forwardAck(
  state: MembershipState,
  ctx: StepContext,
  seq: number,
  who: SenderTag,
): MembershipStep {
  const indirectProbe = state.indirectProbes.find((probe) => probe.seq === seq);
  const to = indirectProbe && findAddress(state, indirectProbe.origin);
  if (!indirectProbe || !to) {
    return createStep(state);
  }
  const next = {
    ...state,
    indirectProbes: state.indirectProbes.filter((probe) => probe !== indirectProbe),
  };
  return sendMessage(
    next,
    to,
    { kind: GossipKind.Ack, seq: indirectProbe.originSeq, who },
    ctx.now,
  );
}

/**
 * Sends the local record of the sender back if it is newer, so that the sender can refute it. Such a
 * record can be that of an earlier start, or declare the sender dead.
 */
function correctSender(state: MembershipState, ctx: StepContext, tag: SenderTag): MembershipStep {
  const record = findNewerRecord(state, tag);
  const to = record && findAddress(state, tag.id);
  if (!record || !to || record.health === Health.Suspect) {
    return createStep(state);
  }
  return sendMessage(state, to, { kind: GossipKind.Records, wanted: [] }, ctx.now, [record]);
}

function mergeSeenAt(
  state: MembershipState,
  now: Millis,
  message: GossipMessage,
): ReadonlyMap<DomainId, Millis> {
  const own = state.self.domain;
  const sender = findAddress(state, message.sender.id);
  const senderDomain = message.kind === GossipKind.Ping ? message.self.domain : sender?.domain;
  const seenAt = new Map(state.domainSeenAt);
  if (senderDomain !== undefined && senderDomain !== own) {
    seenAt.set(senderDomain, now);
  }
  const otherDomains = message.ages.length > 0 ? getOtherDomains(state) : [];
  for (const domain of otherDomains) {
    const hash = hashDomain(domain);
    const told = message.ages.find(({ domainHash }) => domainHash === hash);
    if (told) {
      seenAt.set(domain, Math.max(seenAt.get(domain) ?? -Infinity, now - told.age));
    }
  }
  return seenAt;
}
