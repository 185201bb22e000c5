/**
 * Anti-entropy and reconnection. Two instances compare their views of a domain and exchange the
 * records that differ. Contacts probe other domains. Listed instances that are unknown or dead are
 * probed, and so are members that died recently.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import { sampleElements } from '@skylarksail/core/CoreRandom';
import type { DomainId, InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { MembershipStep, StepContext } from './MembershipEffects.js';
import { createStep } from './MembershipEffects.js';
import { GossipKind } from './MembershipMessages.js';
import type { SyncMessage, ViewHash } from './MembershipMessages.js';
import { findAddress, sendMessage } from './MembershipOutbox.js';
import type { Member, MemberRecord } from './MembershipRecords.js';
import { Health, isDead } from './MembershipRecords.js';
import type { ListedInstance, MembershipState } from './MembershipState.js';
import { getContacts, getDomainView, getKnownDomains } from './MembershipViews.js';
import { sendProbe } from './MembershipProbes.js';

/**
 * A view that changed within this time may differ only because the change is still being
 * disseminated.
 */
const SETTLE_TIME: Millis = 3000;
/** A view that keeps changing is synced anyway once a sync has been due for this long. */
const UNSETTLED_PERIOD: Millis = 8000;
/**
 * For this long after its start an instance syncs without waiting for its view to settle: it lacks
 * most records.
 */
const STARTUP_TIME: Millis = 20_000;
/** Instances probed in parallel by an instance that knows no other member of its domain. */
const JOIN_PROBES = 3;

/**
 * Compares the view hash of a ping with the local one; if they differ, starts a sync with the
 * sender.
 */
export function compareView(
  state: MembershipState,
  ctx: StepContext,
  from: InstanceId,
  view: ViewHash,
): MembershipStep {
  const own = getDomainView(state.members, view.domain);
  if (own.hash === view.hash || !isSyncDue(state, ctx.now)) {
    return createStep(state);
  }
  return startSync(state, ctx, from, view.domain);
}

/** Starts a sync: sends the hashes of the local view of a domain. */
export function startSync(
  state: MembershipState,
  ctx: StepContext,
  to: InstanceId,
  domain: DomainId,
): MembershipStep {
  const address = findAddress(state, to);
  if (!address) {
    return createStep(state);
  }
  const hashes = [...getDomainView(state.members, domain).byHash.keys()];
  const next = { ...state, nextSyncAt: ctx.now + state.cfg.syncPeriod };
  return sendMessage(next, address, { kind: GossipKind.Sync, domain, hashes }, ctx.now);
}

/** Answers a sync with the records that its sender lacks, and requests those missing locally. */
export function answerSync(
  state: MembershipState,
  ctx: StepContext,
  message: SyncMessage,
): MembershipStep {
  const address = findAddress(state, message.sender.id);
  if (!address) {
    return createStep(state);
  }
  const { byHash } = getDomainView(state.members, message.domain);
  const theirHashes = new Set(message.hashes);
  const missingIds = [...byHash].filter(([hash]) => !theirHashes.has(hash)).map(([, id]) => id);
  const wanted = message.hashes.filter((hash) => !byHash.has(hash));
  return sendRecords(state, ctx, address, missingIds, wanted);
}

/** Sends the records that another instance requested by their hashes. */
export function sendWantedRecords(
  state: MembershipState,
  ctx: StepContext,
  from: InstanceId,
  wanted: readonly number[],
): MembershipStep {
  const address = findAddress(state, from);
  if (!address || wanted.length === 0) {
    return createStep(state);
  }
  const hashes = new Set(wanted);
  const ids: InstanceId[] = [];
  for (const { hash, record } of state.members.values()) {
    if (hashes.has(hash)) {
      ids.push(record.id);
    }
  }
  return ids.length === 0 ? createStep(state) : sendRecords(state, ctx, address, ids, []);
}

/** Probes one instance of each other domain for which this instance is a contact. */
export function contactDomains(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.now < state.nextContactAt) {
    return createStep(state);
  }
  let step = createStep({ ...state, nextContactAt: ctx.now + state.cfg.contactPeriod });
  for (const domain of getOtherDomains(state)) {
    const target = isContact(state, domain) ? chooseContact(state, ctx, domain) : null;
    if (target) {
      const sent = sendProbe(step.state, ctx, target, false);
      step = { state: sent.state, effects: [...step.effects, ...sent.effects] };
    }
  }
  return step;
}

/**
 * Probes an instance that is listed but unknown, or that was declared dead. After a partition each
 * side has declared the members of the other dead, and without these probes the two sides would never
 * exchange messages again.
 */
export function reconnectMembers(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.now < state.nextReconnectAt) {
    return createStep(state);
  }
  const next = { ...state, nextReconnectAt: ctx.now + state.cfg.reconnectPeriod };
  const candidates = getReconnectCandidates(next, ctx.now);
  const isAlone = getDomainView(next.members, next.self.domain).present.length <= 1;
  const tries = isAlone ? JOIN_PROBES : 1;
  let step = createStep(next);
  for (const target of sampleElements(ctx.random, candidates, tries)) {
    const sent = sendProbe(step.state, ctx, target, false);
    step = { state: sent.state, effects: [...step.effects, ...sent.effects] };
  }
  return step;
}

function sendRecords(
  state: MembershipState,
  ctx: StepContext,
  to: ListedInstance,
  ids: readonly InstanceId[],
  wanted: readonly number[],
): MembershipStep {
  if (ids.length === 0 && wanted.length === 0) {
    return createStep(state);
  }
  const records: MemberRecord[] = [];
  for (const id of ids.slice(0, state.cfg.recordsPerSync)) {
    const member = state.members.get(id);
    if (member) {
      records.push(member.record);
    }
  }
  return sendMessage(state, to, { kind: GossipKind.Records, wanted }, ctx.now, records);
}

function isSyncDue(state: MembershipState, now: Millis): boolean {
  const isSettled = now - state.viewChangedAt >= SETTLE_TIME;
  const isOverdue = now - state.nextSyncAt >= UNSETTLED_PERIOD;
  const isNew = now - state.startedAt < STARTUP_TIME;
  return now >= state.nextSyncAt && (isSettled || isOverdue || isNew);
}

function isContact(state: MembershipState, domain: DomainId): boolean {
  const { members, self, cfg } = state;
  return getContacts(members, self.domain, domain, cfg.contacts).includes(self.id);
}

/**
 * Chooses a random present member of a domain. If none is present or the domain is unreachable, the
 * domain's listed instances are candidates too.
 */
function chooseContact(
  state: MembershipState,
  ctx: StepContext,
  domain: DomainId,
): ListedInstance | null {
  const { present } = getDomainView(state.members, domain);
  const useList = present.length === 0 || !state.reachable.has(domain);
  const listed = useList
    ? [...state.listed.values()].filter((instance) => instance.domain === domain)
    : [];
  const choices = [...present.map((id) => findAddress(state, id)), ...listed];
  return choices[ctx.random.nextInt(Math.max(1, choices.length))] ?? null;
}

/**
 * Returns all other domains that occur among the members or in the platform's list.
 */
export function getOtherDomains(state: MembershipState): readonly DomainId[] {
  const known = getKnownDomains(state.members);
  const listed = [...state.listedDomains].filter((domain) => !known.includes(domain));
  return [...known, ...listed].filter((domain) => domain !== state.self.domain);
}

/** A dead member that the platform's list lacks is probed again for this long after its death. */
const DEAD_RETRY_TIME: Millis = 2 * 3_600_000;

function getReconnectCandidates(state: MembershipState, now: Millis): readonly ListedInstance[] {
  const { self, members } = state;
  const listed = state.listedInDomain.filter(({ id }) => {
    const known = members.get(id)?.record;
    return !known || isDead(known);
  });
  const candidates = [...listed];
  for (const id of getDomainView(members, self.domain).gone) {
    const member = members.get(id);
    if (member && isRetried(member, now) && !state.listed.has(id)) {
      candidates.push(member.record);
    }
  }
  return candidates;
}

function isRetried({ record, changedAt }: Member, now: Millis): boolean {
  const isUnplanned = record.health === Health.Dead && record.phase === LifeState.Live;
  return isUnplanned && now - changedAt < DEAD_RETRY_TIME;
}
