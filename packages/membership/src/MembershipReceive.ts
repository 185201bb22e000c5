/** What a message of another instance changes, and how it is answered. */
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

/** Takes in one message of another instance and answers it. */
export function stepMessage(
  state: MembershipState,
  ctx: StepContext,
  message: GossipMessage,
): MembershipStep {
  if (state.self.health === Health.Left || message.sender.id === state.self.id) {
    return createStep(state);
  }
  return runActions(state, ctx, [
    (current) => hearSender(current, ctx.now, message),
    (current) => applyRecords(current, message.updates, ctx.now),
    (current) => answerMessage(current, ctx, message),
    (current) => correctSender(current, ctx, message.sender),
  ]);
}

/** Takes in what the message says of its sender, and of the domains that were heard of. */
function hearSender(state: MembershipState, now: Millis, message: GossipMessage): MembershipStep {
  const heard = mergeHeard(state, now, message);
  const next = heard === state.domainSeenAt ? state : { ...state, domainSeenAt: heard };
  const record = describeSender(next, message);
  return record ? applyRecords(next, [record], now) : createStep(next);
}

function describeSender(state: MembershipState, message: GossipMessage): MemberRecord | null {
  if (message.kind === GossipKind.Ping) {
    return message.self;
  }
  return describeTag(state, message.sender);
}

/** A full record from a tag, if we know the rest from an earlier record or the list. */
function describeTag(state: MembershipState, tag: SenderTag): MemberRecord | null {
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
      return takeAck(state, ctx, message.seq, message.who);
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

function takeAck(
  state: MembershipState,
  ctx: StepContext,
  seq: number,
  who: SenderTag,
): MembershipStep {
  const wasAlone = getDomainView(state.members, state.self.domain).present.length <= 2;
  const ended = endProbe(state, seq, who.id);
  const record = describeTag(ended, who);
  return runActions(ended, ctx, [
    (current) => (record ? applyRecords(current, [record], ctx.now) : createStep(current)),
    (current) => passAckOn(current, ctx, seq, who),
    (current) =>
      wasAlone && ctx.now >= current.nextSyncAt
        ? startSync(current, ctx, who.id, current.self.domain)
        : createStep(current),
  ]);
}

function passAckOn(
  state: MembershipState,
  ctx: StepContext,
  seq: number,
  who: SenderTag,
): MembershipStep {
  const relayed = state.indirectProbes.find((one) => one.seq === seq);
  const to = relayed && findAddress(state, relayed.origin);
  if (!relayed || !to) {
    return createStep(state);
  }
  const next = { ...state, indirectProbes: state.indirectProbes.filter((one) => one !== relayed) };
  return sendMessage(next, to, { kind: GossipKind.Ack, seq: relayed.originSeq, who }, ctx.now);
}

/** Tells a sender that we hold a newer claim about it: of an earlier start, or of its death. */
function correctSender(state: MembershipState, ctx: StepContext, tag: SenderTag): MembershipStep {
  const record = findNewerRecord(state, tag);
  const to = record && findAddress(state, tag.id);
  if (!record || !to || record.health === Health.Suspect) {
    return createStep(state);
  }
  return sendMessage(state, to, { kind: GossipKind.Records, wanted: [] }, ctx.now, [record]);
}

function mergeHeard(
  state: MembershipState,
  now: Millis,
  message: GossipMessage,
): ReadonlyMap<DomainId, Millis> {
  const own = state.self.domain;
  const sender = findAddress(state, message.sender.id);
  const from = message.kind === GossipKind.Ping ? message.self.domain : sender?.domain;
  const heard = new Map(state.domainSeenAt);
  if (from !== undefined && from !== own) {
    heard.set(from, now);
  }
  const others = message.ages.length > 0 ? getOtherDomains(state) : [];
  for (const domain of others) {
    const hash = hashDomain(domain);
    const told = message.ages.find(({ domainHash }) => domainHash === hash);
    if (told) {
      heard.set(domain, Math.max(heard.get(domain) ?? -Infinity, now - told.age));
    }
  }
  return heard;
}
