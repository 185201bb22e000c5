/** Builds messages: who sends, what rides along, and how often a change has been passed on. */
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

/** The part of a message that says what it is; the rest is filled in here. */
export type MessageBody = {
  readonly [K in GossipMessage['kind']]: BodyOf<K>;
}[GossipMessage['kind']];

type BodyOf<K> = Omit<Extract<GossipMessage, { kind: K }>, keyof GossipCommon>;

/** Sends one message, with as many waiting changes as fit. */
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

/** Where a member is reached: by its record, or by the platform's list. */
export function findAddress(state: MembershipState, id: InstanceId): ListedInstance | null {
  return state.members.get(id)?.record ?? state.listed.get(id) ?? null;
}

/** The hash of a domain's view, as a ping carries it. */
export function createViewHash(state: MembershipState, domain: string): ViewHash {
  return { domain, hash: getDomainView(state.members, domain).hash };
}

const domainHashes = new Map<string, number>();

/** Number by which a domain is named in ages: its hash, cut to 24 bits. */
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

/** The least often sent changes first; each is dropped once the whole fleet should have it. */
function takeUpdates(state: MembershipState, to: InstanceId): TakenUpdates {
  const about = getRecordToRefute(state, to);
  if (state.updates.length === 0) {
    return { records: about, updates: state.updates };
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
  const fresh = about.filter(({ id }) => !records.some((record) => record.id === id));
  return {
    records: [...fresh, ...records],
    updates: [...ordered.slice(state.cfg.updatesPerMessage), ...kept],
  };
}

/** A member that we hold to be suspect or dead is told so, that it can object. */
function getRecordToRefute(state: MembershipState, to: InstanceId): readonly MemberRecord[] {
  const record = state.members.get(to)?.record;
  return record && record.health !== Health.Ok ? [record] : [];
}

/** Our record of a sender, if what it says of itself is older: it has to hear of it. */
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
  for (const [domain, heardAt] of state.domainSeenAt) {
    const age = now - heardAt;
    if (age <= state.cfg.domainTimeout) {
      ages.push({ domainHash: hashDomain(domain), age });
    }
  }
  return ages;
}
