/** A member's record, which of two records is the newer, and the hash by which views are compared. */
import type { LifeStateName } from '@skylarksail/core/CoreConstants';
import { LifeState } from '@skylarksail/core/CoreConstants';
import { hash32 } from '@skylarksail/core/CoreHash';
import type { DomainId, HostPort, InstanceId, Millis } from '@skylarksail/core/CoreTypes';

/** What is held of a member's health; of two claims at one incarnation the higher one stands. */
export const Health = {
  Ok: 0,
  Suspect: 1,
  Dead: 2,
  /** Ended as planned. */
  Left: 3,
} as const;

export type HealthCode = (typeof Health)[keyof typeof Health];

/** One claim about a member. Only the member itself raises its incarnation. */
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

/** A record as we hold it. */
export interface Member {
  readonly record: MemberRecord;
  /** Hash of the identity, incarnation and phase; suspicion is not part of it. */
  readonly hash: number;
  readonly changedAt: Millis;
}

export function createMember(record: MemberRecord, now: Millis): Member {
  return { record, hash: hashRecord(record), changedAt: now };
}

/** Neither dead nor gone. */
export function isPresent(record: MemberRecord): boolean {
  return record.health < Health.Dead;
}

export function isDead(record: MemberRecord): boolean {
  return record.health >= Health.Dead;
}

/** Whether `a` tells something newer than `b`, both about one id. */
export function isNewerRecord(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.bootId !== b.bootId) {
    // Two starts that chose the same incarnation: any rule will do if all follow it. The one that
    // loses hears of it and raises its incarnation.
    return a.bootId > b.bootId;
  }
  if (a.health !== b.health) {
    return a.health > b.health;
  }
  return a.phase === LifeState.Leaving && b.phase === LifeState.Live;
}

/** The hash by which two instances compare what they hold of a member. */
export function hashRecord(record: MemberRecord): number {
  return hash32(`${record.id}|${record.bootId}|${record.incarnation}|${record.phase}`);
}
