/** Takes in what others claim of members: newer claims stand, claims against ourselves are refuted. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { MembershipEffect, MembershipStep, MemberChangeName } from './MembershipEffects.js';
import { createStep, MemberChangeKind } from './MembershipEffects.js';
import type { Member, MemberRecord } from './MembershipRecords.js';
import { createMember, Health, isDead, isNewerRecord, isPresent } from './MembershipRecords.js';
import type { MembershipState, QueuedUpdate, Suspicion } from './MembershipState.js';
import { getRetransmitLimit, getSuspicionTime } from './MembershipState.js';

/** What is changed while a batch of records is taken in; it becomes the next state at the end. */
interface Batch {
  readonly state: MembershipState;
  readonly now: Millis;
  readonly members: Map<InstanceId, Member>;
  readonly suspicions: Map<InstanceId, Suspicion>;
  readonly queued: Map<InstanceId, QueuedUpdate>;
  readonly effects: MembershipEffect[];
  readonly changed: Set<InstanceId>;
  /** How often the changes of this batch count as passed on already. */
  readonly firstSends: number;
}

/**
 * Claims that come as many at once are those of a whole view: others get them the same way, so they are
 * passed on less. Otherwise a fleet that starts together would chatter about it for many minutes.
 */
const BULK_COUNT = 12;
const BULK_SENDS_SHARE = 0.7;
/** A view as large as this is not passed on at all. */
const WHOLE_VIEW_COUNT = 64;

/** Takes in claims made by others. */
export function applyRecords(
  state: MembershipState,
  records: readonly MemberRecord[],
  now: Millis,
): MembershipStep {
  const fresh = records.filter((record) => isOfInterest(state, record));
  const counted = countRepeats(
    state,
    records.filter((record) => !fresh.includes(record)),
  );
  if (fresh.length === 0) {
    return createStep(counted);
  }
  const batch = createBatch(counted, now, getFirstSends(state, fresh.length));
  fresh.forEach((record) => applyClaim(batch, record));
  return finishBatch(batch);
}

function getFirstSends(state: MembershipState, count: number): number {
  if (count <= BULK_COUNT) {
    return 0;
  }
  const limit = getRetransmitLimit(state);
  return count > WHOLE_VIEW_COUNT ? limit : Math.ceil(BULK_SENDS_SHARE * limit);
}

/** After so many times of hearing a change again we stop passing it on. */
const REPEATS = 5;

/** A change that comes to us once more is known to others already, and is passed on much less. */
function countRepeats(state: MembershipState, records: readonly MemberRecord[]): MembershipState {
  if (state.updates.length === 0 || records.length === 0) {
    return state;
  }
  const ids = new Set(records.map(({ id }) => id));
  const limit = getRetransmitLimit(state);
  const updates = state.updates
    .map((update) =>
      ids.has(update.id) ? { ...update, sends: update.sends + limit / REPEATS } : update,
    )
    .filter(({ sends }) => sends < limit);
  return { ...state, updates };
}

/** Takes in what we found ourselves: a suspicion that began, or that ran out. */
export function applyLocalRecord(
  state: MembershipState,
  record: MemberRecord,
  now: Millis,
): MembershipStep {
  const batch = createBatch(state, now);
  setRecord(batch, record);
  return finishBatch(batch);
}

/** Changes what we say of ourselves; the incarnation rises so that the new word stands. */
export function updateSelf(
  state: MembershipState,
  change: Partial<Pick<MemberRecord, 'phase' | 'health'>>,
  now: Millis,
  aboveIncarnation = state.self.incarnation,
): MembershipStep {
  const batch = createBatch(state, now);
  raiseSelf(batch, aboveIncarnation, change);
  return finishBatch(batch);
}

function isOfInterest(state: MembershipState, record: MemberRecord): boolean {
  if (record.id === state.self.id) {
    return isAgainstSelf(state.self, record);
  }
  const known = state.members.get(record.id);
  return (
    !known ||
    isNewerRecord(record, known.record) ||
    (isDead(known.record) && isNewerRecord(known.record, record))
  );
}

function applyClaim(batch: Batch, record: MemberRecord): void {
  if (record.id === batch.state.self.id) {
    if (isAgainstSelf(getSelf(batch), record)) {
      raiseSelf(batch, record.incarnation, {});
    }
    return;
  }
  const known = batch.members.get(record.id)?.record;
  if (!known) {
    addUnknown(batch, record);
    return;
  }
  if (isNewerRecord(record, known)) {
    const weighed = weighDeath(batch, record, known);
    if (weighed) {
      setRecord(batch, weighed);
    }
    return;
  }
  if (isDead(known) && isNewerRecord(known, record)) {
    // Somebody still spreads an old record of a dead member. Without our word the two claims would
    // stand beside each other, and the dead member would live on in part of the fleet.
    queueUpdate(batch, record.id);
  }
}

/**
 * Hearsay of a death in our own domain does not end a member that we hold to be present, unless we too
 * have suspected it for a while. Two halves of a domain that meet again after a partition each bring the
 * other's death lists; taken at their word, both halves would lose all their members until each had
 * objected. Null: the claim changes nothing.
 */
function weighDeath(batch: Batch, record: MemberRecord, known: MemberRecord): MemberRecord | null {
  if (record.health !== Health.Dead || record.domain !== batch.state.self.domain || isDead(known)) {
    return record;
  }
  const suspicion = batch.suspicions.get(record.id);
  if (!suspicion || record.incarnation > known.incarnation) {
    return { ...record, health: Health.Suspect };
  }
  const halfTime = (suspicion.since + suspicion.deadline) / 2;
  return batch.now >= halfTime ? record : null;
}

function addUnknown(batch: Batch, record: MemberRecord): void {
  if (isPresent(record)) {
    setRecord(batch, record);
    return;
  }
  // A dead member that we never knew is remembered without a word to anybody.
  batch.members.set(record.id, createMember(record, batch.now));
  batch.changed.add(record.id);
}

/** A claim that we have to answer: of another start of ours, of our death, or from our own future. */
function isAgainstSelf(self: MemberRecord, record: MemberRecord): boolean {
  if (record.incarnation !== self.incarnation) {
    return record.incarnation > self.incarnation;
  }
  if (self.health === Health.Left) {
    return false;
  }
  return (
    record.bootId !== self.bootId || record.health !== Health.Ok || record.phase !== self.phase
  );
}

function raiseSelf(
  batch: Batch,
  aboveIncarnation: number,
  change: Partial<Pick<MemberRecord, 'phase' | 'health'>>,
): void {
  const self = getSelf(batch);
  const incarnation = Math.max(aboveIncarnation, self.incarnation) + 1;
  const record = { ...self, ...change, incarnation };
  batch.members.set(record.id, createMember(record, batch.now));
  batch.changed.add(record.id);
  queueUpdate(batch, record.id);
  tellChange(batch, self, record);
}

function getSelf(batch: Batch): MemberRecord {
  return batch.members.get(batch.state.self.id)?.record ?? batch.state.self;
}

function setRecord(batch: Batch, record: MemberRecord): void {
  const known = batch.members.get(record.id)?.record;
  batch.members.set(record.id, createMember(record, batch.now));
  batch.changed.add(record.id);
  queueUpdate(batch, record.id);
  setSuspicion(batch, record);
  tellChange(batch, known, record);
}

function tellChange(batch: Batch, before: MemberRecord | undefined, after: MemberRecord): void {
  const kind = getChangeKind(before, after);
  if (kind) {
    const { id, domain } = after;
    batch.effects.push({ kind: 'member', change: { kind, id, domain, record: after } });
  }
}

/** Only our own domain's suspects are timed here; other domains judge their own members. */
function setSuspicion(batch: Batch, record: MemberRecord): void {
  if (record.health !== Health.Suspect) {
    batch.suspicions.delete(record.id);
    return;
  }
  if (record.domain === batch.state.self.domain) {
    const deadline = batch.now + getSuspicionTime(batch.state, record.id);
    batch.suspicions.set(record.id, { since: batch.now, deadline, pingsSent: 0 });
  }
}

function queueUpdate(batch: Batch, id: InstanceId): void {
  if (batch.firstSends >= getRetransmitLimit(batch.state)) {
    return;
  }
  batch.queued.set(id, { id, sends: batch.firstSends });
}

function getChangeKind(
  before: MemberRecord | undefined,
  after: MemberRecord,
): MemberChangeName | null {
  if (after.health === Health.Left) {
    return before && isPresent(before) ? MemberChangeKind.Left : null;
  }
  if (after.health === Health.Dead) {
    return before && isPresent(before) ? MemberChangeKind.Dead : null;
  }
  if (!before || isDead(before)) {
    return MemberChangeKind.Joined;
  }
  if (before.bootId !== after.bootId) {
    return MemberChangeKind.Restarted;
  }
  if (after.phase === LifeState.Leaving && before.phase === LifeState.Live) {
    return MemberChangeKind.Leaving;
  }
  if (before.health !== after.health) {
    return after.health === Health.Suspect ? MemberChangeKind.Suspected : MemberChangeKind.Refuted;
  }
  return null;
}

function createBatch(state: MembershipState, now: Millis, firstSends = 0): Batch {
  return {
    state,
    now,
    members: new Map(state.members),
    suspicions: new Map(state.suspicions),
    queued: new Map(state.updates.map((update) => [update.id, update])),
    effects: [],
    changed: new Set(),
    firstSends,
  };
}

function finishBatch(batch: Batch): MembershipStep {
  const { state, effects } = batch;
  const isChanged = batch.changed.size > 0;
  return createStep(
    {
      ...state,
      self: getSelf(batch),
      members: isChanged ? batch.members : state.members,
      viewChangedAt: isChanged ? batch.now : state.viewChangedAt,
      suspicions: batch.suspicions,
      updates: [...batch.queued.values()],
    },
    effects,
  );
}
