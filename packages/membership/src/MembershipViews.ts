/**
 * Views derived from the members alone: the members of a domain, the hash of a domain's view, and
 * the contacts for other domains. They are cached per member map, which changes rarely and is read
 * for every message.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import { selectOwners } from '@skylarksail/core/CoreHash';
import type { DomainId, InstanceId } from '@skylarksail/core/CoreTypes';
import type { Member } from './MembershipRecords.js';
import { isPresent } from './MembershipRecords.js';

type Members = ReadonlyMap<InstanceId, Member>;

interface DomainView {
  readonly present: readonly InstanceId[];
  readonly live: readonly InstanceId[];
  /** Members that are dead or left and whose tombstone is still kept. */
  readonly gone: readonly InstanceId[];
  /** Hash of all present members' records. */
  readonly hash: number;
  /** Ids of the present members by the hash of their record. */
  readonly byHash: ReadonlyMap<number, InstanceId>;
}

interface MembersView {
  readonly domains: ReadonlyMap<DomainId, DomainView>;
  readonly domainIds: readonly DomainId[];
  readonly presentCount: number;
  readonly contacts: Map<string, readonly InstanceId[]>;
}

const EMPTY_VIEW: DomainView = { present: [], live: [], gone: [], hash: 0, byHash: new Map() };
const views = new WeakMap<Members, MembersView>();

/** Returns the view of one domain; empty if the domain is unknown. */
export function getDomainView(members: Members, domain: DomainId): DomainView {
  return getView(members).domains.get(domain) ?? EMPTY_VIEW;
}

/** Returns the domains that have a member or a tombstone, sorted. */
export function getKnownDomains(members: Members): readonly DomainId[] {
  return getView(members).domainIds;
}

export function countPresent(members: Members): number {
  return getView(members).presentCount;
}

/** Returns the members of `own` that are its contacts for `other`. */
export function getContacts(
  members: Members,
  own: DomainId,
  other: DomainId,
  count: number,
): readonly InstanceId[] {
  const { contacts } = getView(members);
  const key = `${own}\u0000${other}`;
  const known = contacts.get(key);
  if (known) {
    return known;
  }
  const chosen = selectOwners(`contact\u0000${key}`, getDomainView(members, own).live, count);
  contacts.set(key, chosen);
  return chosen;
}

function getView(members: Members): MembersView {
  const known = views.get(members);
  if (known) {
    return known;
  }
  const view = createView(members);
  views.set(members, view);
  return view;
}

function createView(members: Members): MembersView {
  const groups = new Map<DomainId, Member[]>();
  for (const member of members.values()) {
    const group = groups.get(member.record.domain);
    if (group) {
      group.push(member);
    } else {
      groups.set(member.record.domain, [member]);
    }
  }
  const domains = new Map([...groups].map(([domain, group]) => [domain, createDomainView(group)]));
  const counts = [...domains.values()].map(({ present }) => present.length);
  return {
    domains,
    domainIds: [...domains.keys()].sort(),
    presentCount: counts.reduce((sum, count) => sum + count, 0),
    contacts: new Map(),
  };
}

function createDomainView(group: readonly Member[]): DomainView {
  const present = group.filter(({ record }) => isPresent(record));
  const live = present.filter(({ record }) => record.phase === LifeState.Live);
  const gone = group.filter(({ record }) => !isPresent(record));
  return {
    present: present.map(({ record }) => record.id),
    live: live.map(({ record }) => record.id),
    gone: gone.map(({ record }) => record.id),
    // A sum does not depend on the order of the records and changes with each of them.
    hash: present.reduce((sum, { hash }) => (sum + hash) % 2 ** 32, 0),
    byHash: new Map(present.map(({ hash, record }) => [hash, record.id])),
  };
}

/**
 * Whether `self` is one of the `count` instances of its domain that read the platform's list often.
 */
export function isListReader(
  members: Members,
  self: InstanceId,
  domain: DomainId,
  count: number,
): boolean {
  const { live } = getDomainView(members, domain);
  return selectOwners(`list\u0000${domain}`, live, count).includes(self);
}
