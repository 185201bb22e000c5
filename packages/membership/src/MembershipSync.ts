/** Repair of what gossip missed: two instances compare the view of a domain and exchange what differs. */
import { LifeState } from '@skylarksail/core/CoreConstants';
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

/** A view that changed this recently may differ only because the change is still under way. */
const SETTLE_TIME: Millis = 3000;
/** A view that never settles is compared all the same, this long after the last time. */
const UNSETTLED_PERIOD: Millis = 8000;
/** A new instance compares views without waiting: it lacks most of them. */
const NEW_TIME: Millis = 20_000;
/** Listed instances asked at once by an instance that knows nobody. */
const FIRST_CONTACTS = 3;

/** Compares a view hash that came with a ping; if it differs, sends our view for the other to compare. */
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

/** Sends the hashes of our view of a domain. */
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

/** Answers a view with the records that its sender lacks, and asks for those that we lack. */
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
  const theirs = new Set(message.hashes);
  const lacking = [...byHash].filter(([hash]) => !theirs.has(hash)).map(([, id]) => id);
  const wanted = message.hashes.filter((hash) => !byHash.has(hash));
  return sendRecords(state, ctx, address, lacking, wanted);
}

/** Sends the records that another instance asked for by their hashes. */
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

/** Speaks with one instance of each domain that it is our part to speak with. */
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
 * Tries to reach an instance that is listed but unknown, or was declared dead. After a partition both
 * sides hold each other dead and would otherwise never speak again.
 */
export function reconnectMembers(state: MembershipState, ctx: StepContext): MembershipStep {
  if (ctx.now < state.nextReconnectAt) {
    return createStep(state);
  }
  const next = { ...state, nextReconnectAt: ctx.now + state.cfg.reconnectPeriod };
  const candidates = getRepairCandidates(next, ctx.now);
  const isAlone = getDomainView(next.members, next.self.domain).present.length <= 1;
  const tries = Math.min(candidates.length, isAlone ? FIRST_CONTACTS : 1);
  let step = createStep(next);
  for (let i = 0; i < tries; i++) {
    const target = candidates[ctx.random.nextInt(candidates.length)];
    if (target) {
      const sent = sendProbe(step.state, ctx, target, false);
      step = { state: sent.state, effects: [...step.effects, ...sent.effects] };
    }
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
  const isNew = now - state.startedAt < NEW_TIME;
  return now >= state.nextSyncAt && (isSettled || isOverdue || isNew);
}

function isContact(state: MembershipState, domain: DomainId): boolean {
  const { members, self, cfg } = state;
  return getContacts(members, self.domain, domain, cfg.contacts).includes(self.id);
}

/** Any present member of the domain; while it is cut off, anything that the list names there. */
function chooseContact(
  state: MembershipState,
  ctx: StepContext,
  domain: DomainId,
): ListedInstance | null {
  const { present } = getDomainView(state.members, domain);
  const useList = present.length === 0 || !state.reachable.has(domain);
  const listed = useList ? [...state.listed.values()].filter((one) => one.domain === domain) : [];
  const choices = [...present.map((id) => findAddress(state, id)), ...listed];
  return choices[ctx.random.nextInt(Math.max(1, choices.length))] ?? null;
}

/** All domains but ours that the list or the members tell of. */
export function getOtherDomains(state: MembershipState): readonly DomainId[] {
  const known = getKnownDomains(state.members);
  const listed = [...state.listedDomains].filter((domain) => !known.includes(domain));
  return [...known, ...listed].filter((domain) => domain !== state.self.domain);
}

/** Time after its death during which a member is tried again, if the list does not name it. */
const RETRY_DEAD_TIME: Millis = 2 * 3_600_000;

function getRepairCandidates(state: MembershipState, now: Millis): readonly ListedInstance[] {
  const { self, members } = state;
  const listed = state.listedInDomain.filter(({ id }) => {
    const known = members.get(id)?.record;
    return !known || isDead(known);
  });
  const candidates = [...listed];
  for (const id of getDomainView(members, self.domain).gone) {
    const member = members.get(id);
    if (member && isWorthTrying(member, now) && !state.listed.has(id)) {
      candidates.push(member.record);
    }
  }
  return candidates;
}

function isWorthTrying({ record, changedAt }: Member, now: Millis): boolean {
  const isUnplanned = record.health === Health.Dead && record.phase === LifeState.Live;
  return isUnplanned && now - changedAt < RETRY_DEAD_TIME;
}
