/**
 * Builds outgoing messages: fills in the common fields, piggybacks queued updates and counts their
 * sends.
 */
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { hash32 } from '@skylarksail/core/CoreHash';
import type { MembershipEffect, MembershipStep } from './MembershipEffects.js';
import { createStep } from './MembershipEffects.js';
import type {
  DomainAge,
  GossipCommon,
  GossipMessage,
  SenderTag,
  ViewHash,
} from './MembershipMessages.js';
import type { MemberRecord } from './MembershipRecords.js';
import { Health, isNewerRecord } from './MembershipRecords.js';
import type { ListedInstance, MembershipState, QueuedUpdate } from './MembershipState.js';
import { getRetransmitLimit } from './MembershipState.js';
import { getDomainView } from './MembershipViews.js';

/** A message without its common fields, which `sendMessage` fills in. */
export type MessageBody = {
  readonly [K in GossipMessage['kind']]: BodyOf<K>;
}[GossipMessage['kind']];

type BodyOf<K> = Omit<Extract<GossipMessage, { kind: K }>, keyof GossipCommon>;

/**
 * Sends one message with up to `updatesPerMessage` queued updates; `extra` records are added to
 * them.
 */
export function sendMessage(
  state: MembershipState,
  to: ListedInstance,
  body: MessageBody,
  now: Millis,
  extra: readonly MemberRecord[] = [],
): MembershipStep {
  const taken = takeUpdates(state, to.id);
  const ids = new Set(taken.records.map(({ id }) => id));
  const common: GossipCommon = {
    sender: createSenderTag(state.self),
    updates: [...taken.records, ...extra.filter(({ id }) => !ids.has(id))],
    ages: getDomainAges(state, now),
    topics: [],
  };
  const message: GossipMessage = { ...common, ...body };
  const effect: MembershipEffect = { kind: 'send', to, message };
  return createStep({ ...state, updates: taken.updates }, [effect]);
}

export function createSenderTag(record: MemberRecord): SenderTag {
  const { id, bootId, incarnation, phase } = record;
  return { id, bootId, incarnation, phase };
}

/** Finds the address of an instance in its record or, if it is unknown, in the platform's list. */
export function findAddress(state: MembershipState, id: InstanceId): ListedInstance | null {
  return state.members.get(id)?.record ?? state.listed.get(id) ?? null;
}

/** Builds the view hash of a domain that a ping carries. */
export function createViewHash(state: MembershipState, domain: string): ViewHash {
  return { domain, hash: getDomainView(state.members, domain).hash };
}

const domainHashes = new Map<string, number>();

/** Key of a domain in encoded ages: its hash truncated to 24 bits. */
export function hashDomain(domain: string): number {
  const known = domainHashes.get(domain);
  if (known !== undefined) {
    return known;
  }
  const hash = hash32(domain) % 2 ** 24;
  domainHashes.set(domain, hash);
  return hash;
}

interface TakenUpdates {
  readonly records: readonly MemberRecord[];
  readonly updates: readonly QueuedUpdate[];
}

/**
 * Takes the updates with the fewest sends. Those that reach the retransmit limit are dropped, since
 * by then the whole fleet should have them.
 */
function takeUpdates(state: MembershipState, to: InstanceId): TakenUpdates {
  const toRefute = getRecordsToRefute(state, to);
  if (state.updates.length === 0) {
    return { records: toRefute, updates: state.updates };
  }
  const ordered = [...state.updates].sort((a, b) => a.sends - b.sends);
  const taken = ordered.slice(0, state.cfg.updatesPerMessage);
  const limit = getRetransmitLimit(state);
  const kept = taken
    .map(({ id, sends }) => ({ id, sends: sends + 1 }))
    .filter(({ sends }) => sends < limit);
  const records = taken
    .map(({ id }) => state.members.get(id)?.record)
    .filter((record) => record !== undefined);
  const notQueued = toRefute.filter(({ id }) => !records.some((record) => record.id === id));
  return {
    records: [...notQueued, ...records],
    updates: [...ordered.slice(state.cfg.updatesPerMessage), ...kept],
  };
}

/**
 * Returns the receiver's own record if it is suspect, dead or left locally, so that the receiver
 * can refute it.
 */
function getRecordsToRefute(state: MembershipState, to: InstanceId): readonly MemberRecord[] {
  const record = state.members.get(to)?.record;
  return record && record.health !== Health.Ok ? [record] : [];
}

/** Returns the local record of a sender if it is newer than the sender's own tag, or null. */
export function findNewerRecord(state: MembershipState, tag: SenderTag): MemberRecord | null {
  const record = state.members.get(tag.id)?.record;
  if (!record) {
    return null;
  }
  const claimed: MemberRecord = { ...record, ...tag, health: Health.Ok };
  return isNewerRecord(record, claimed) ? record : null;
}

function getDomainAges(state: MembershipState, now: Millis): readonly DomainAge[] {
  const ages: DomainAge[] = [];
  for (const [domain, seenAt] of state.domainSeenAt) {
    const age = now - seenAt;
    if (age <= state.cfg.domainTimeout) {
      ages.push({ domainHash: hashDomain(domain), age });
    }
  }
  return ages;
}
