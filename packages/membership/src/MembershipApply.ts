/**
 * Merges records into the state: newer records win, and records that contradict this instance's own
 * are refuted.
 */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import type { MembershipEffect, MembershipStep, MemberChangeName } from './MembershipEffects.js';
import { createStep, MemberChangeKind } from './MembershipEffects.js';
import type { Member, MemberRecord } from './MembershipRecords.js';
import { createMember, Health, isDead, isNewerRecord, isPresent } from './MembershipRecords.js';
import type { MembershipState, QueuedUpdate, Suspicion } from './MembershipState.js';
import { getRetransmitLimit, getSuspicionTime } from './MembershipState.js';

/**
 * Working copies while a batch of records is merged; `finishBatch` turns them into the next state.
 */
interface Batch {
  readonly state: MembershipState;
  readonly now: Millis;
  readonly members: Map<InstanceId, Member>;
  readonly suspicions: Map<InstanceId, Suspicion>;
  readonly queued: Map<InstanceId, QueuedUpdate>;
  readonly effects: MembershipEffect[];
  readonly changed: Set<InstanceId>;
  /** Initial `sends` of the updates that this batch queues. */
  readonly initialSends: number;
}

/**
 * More changed records than this in one message belong to a sync. Other members receive them by
 * sync too, so these updates are sent fewer times. Otherwise a fleet whose instances start together
 * would gossip about the starts for many minutes.
 */
const BULK_THRESHOLD = 12;
/** Share of the retransmit limit that counts as already sent for such updates. */
const BULK_SENDS_SHARE = 0.7;
/** If more records than this changed, none of them is queued. */
const FULL_VIEW_THRESHOLD = 64;

/** Merges records received from other instances. */
export function applyRecords(
  state: MembershipState,
  records: readonly MemberRecord[],
  now: Millis,
): MembershipStep {
  const relevant = records.filter((record) => needsProcessing(state, record));
  const counted = countDuplicates(
    state,
    records.filter((record) => !relevant.includes(record)),
  );
  if (relevant.length === 0) {
    return createStep(counted);
  }
  const batch = createBatch(counted, now, getInitialSends(state, relevant.length));
  relevant.forEach((record) => applyClaim(batch, record));
  return finishBatch(batch);
}

function getInitialSends(state: MembershipState, count: number): number {
  if (count <= BULK_THRESHOLD) {
    return 0;
  }
  const limit = getRetransmitLimit(state);
  return count > FULL_VIEW_THRESHOLD ? limit : Math.ceil(BULK_SENDS_SHARE * limit);
}

/** A queued update that is received again this many times is no longer sent. */
const MAX_DUPLICATES = 5;

/** Raises `sends` of queued updates that were received again: other instances have them already. */
function countDuplicates(
  state: MembershipState,
  records: readonly MemberRecord[],
): MembershipState {
  if (state.updates.length === 0 || records.length === 0) {
    return state;
  }
  const ids = new Set(records.map(({ id }) => id));
  const limit = getRetransmitLimit(state);
  const updates = state.updates
    .map((update) =>
      ids.has(update.id) ? { ...update, sends: update.sends + limit / MAX_DUPLICATES } : update,
    )
    .filter(({ sends }) => sends < limit);
  return { ...state, updates };
}

/** Applies what this instance detected itself: the start of a suspicion, or its timeout. */
export function applyLocalRecord(
  state: MembershipState,
  record: MemberRecord,
  now: Millis,
): MembershipStep {
  const batch = createBatch(state, now);
  setRecord(batch, record);
  return finishBatch(batch);
}

/**
 * Changes this instance's own record and raises its incarnation, so that the new record wins
 * everywhere.
 */
export function updateSelf(
  state: MembershipState,
  change: Partial<Pick<MemberRecord, 'phase' | 'health'>>,
  now: Millis,
  aboveIncarnation = state.self.incarnation,
): MembershipStep {
  const batch = createBatch(state, now);
  raiseIncarnation(batch, aboveIncarnation, change);
  return finishBatch(batch);
}

function needsProcessing(state: MembershipState, record: MemberRecord): boolean {
  if (record.id === state.self.id) {
    return contradictsSelf(state.self, record);
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
    if (contradictsSelf(getSelf(batch), record)) {
      raiseIncarnation(batch, record.incarnation, {});
    }
    return;
  }
  const known = batch.members.get(record.id)?.record;
  if (!known) {
    addUnknownMember(batch, record);
    return;
  }
  if (isNewerRecord(record, known)) {
    const accepted = checkDeathClaim(batch, record, known);
    if (accepted) {
      setRecord(batch, accepted);
    }
    return;
  }
  if (isDead(known) && isNewerRecord(known, record)) {
    // A peer still gossips an older record of a dead member. Unless the death is sent again, the
    // two records would coexist and part of the fleet would keep the dead member as present.
    queueUpdate(batch, record.id);
  }
}

/**
 * Returns the record to apply for a received one, or null if it is ignored. A reported death in this
 * instance's domain removes a present member only if this instance has itself suspected the member
 * for half of the timeout; otherwise the record at most starts a suspicion. When two halves of a
 * domain merge after a partition, each reports the other half's members as dead. Without this check
 * both halves would lose all their members until each had refuted.
 */
function checkDeathClaim(
  batch: Batch,
  record: MemberRecord,
  known: MemberRecord,
): MemberRecord | null {
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

function addUnknownMember(batch: Batch, record: MemberRecord): void {
  if (isPresent(record)) {
    setRecord(batch, record);
    return;
  }
  // The tombstone of a member that was never known is stored, but neither disseminated nor reported
  // to listeners.
  batch.members.set(record.id, createMember(record, batch.now));
  batch.changed.add(record.id);
}

/**
 * Whether a record contradicts this instance's own record and must be refuted: it has a higher
 * incarnation, or at the same incarnation another boot id, health or phase.
 */
function contradictsSelf(self: MemberRecord, record: MemberRecord): boolean {
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

function raiseIncarnation(
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
  emitChange(batch, self, record);
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
  emitChange(batch, known, record);
}

function emitChange(batch: Batch, before: MemberRecord | undefined, after: MemberRecord): void {
  const kind = getChangeKind(before, after);
  if (kind) {
    const { id, domain } = after;
    batch.effects.push({ kind: 'member', change: { kind, id, domain, record: after } });
  }
}

/**
 * Starts or clears a suspicion. Only suspects of this instance's domain time out here, since each
 * domain detects the failures of its own members.
 */
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
  if (batch.initialSends >= getRetransmitLimit(batch.state)) {
    return;
  }
  batch.queued.set(id, { id, sends: batch.initialSends });
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

function createBatch(state: MembershipState, now: Millis, initialSends = 0): Batch {
  return {
    state,
    now,
    members: new Map(state.members),
    suspicions: new Map(state.suspicions),
    queued: new Map(state.updates.map((update) => [update.id, update])),
    effects: [],
    changed: new Set(),
    initialSends,
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
