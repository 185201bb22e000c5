/** Records of members, their precedence, and the hash by which views are compared. */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { LifeState } from '@skylarksail/core/CoreConstants';
import { hash32 } from '@skylarksail/core/CoreHash';
import type { DomainId, HostPort, InstanceId, Millis } from '@skylarksail/core/CoreTypes';

/**
 * Health of a member. Of two records with the same incarnation and boot id, the one with the higher
 * code wins.
 */
export const Health = {
  Ok: 0,
  Suspect: 1,
  Dead: 2,
  /** Stopped as planned. */
  Left: 3,
} as const;

export type HealthCode = (typeof Health)[keyof typeof Health];

/** What one instance reports about a member. Only the member itself raises its incarnation. */
export interface MemberRecord {
  readonly id: InstanceId;
  readonly domain: DomainId;
  readonly rack: string;
  readonly address: HostPort;
  readonly peerPort: number;
  readonly bootId: number;
  readonly incarnation: number;
  readonly phase: LifeStateName;
  readonly health: HealthCode;
}

/** A record in the local view. */
export interface Member {
  readonly record: MemberRecord;
  /** Hash of the id, boot id, incarnation and phase; health is not part of it. */
  readonly hash: number;
  readonly changedAt: Millis;
}

export function createMember(record: MemberRecord, now: Millis): Member {
  return { record, hash: hashRecord(record), changedAt: now };
}

/** Whether a member is alive or suspect, i.e. neither dead nor left. */
export function isPresent(record: MemberRecord): boolean {
  return record.health < Health.Dead;
}

/** Whether a member is dead or left, i.e. its record is a tombstone. */
export function isDead(record: MemberRecord): boolean {
  return record.health >= Health.Dead;
}

/** Whether record `a` takes precedence over record `b` of the same member. */
export function isNewerRecord(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.bootId !== b.bootId) {
    // Two starts chose the same incarnation. Any rule works if all instances follow it: the start
    // that loses receives the other's record and raises its incarnation.
    return a.bootId > b.bootId;
  }
  if (a.health !== b.health) {
    return a.health > b.health;
  }
  return a.phase === LifeState.Leaving && b.phase === LifeState.Live;
}

/** Hash by which two instances compare their records of a member. */
export function hashRecord(record: MemberRecord): number {
  return hash32(`${record.id}|${record.bootId}|${record.incarnation}|${record.phase}`);
}
