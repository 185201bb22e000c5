/** What instances tell each other about claims, whatever carries it. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimRecord } from './ClaimPort.js';

/** An ask on its way to the slot's owner. Asking again with the same id does no harm. */
export interface PeerClaimRequest {
  readonly askId: string;
  readonly keyHash: string;
  readonly fingerprint: string;
  readonly stamp: number | null;
  readonly timeLeft: Millis;
}

export type ClaimPeerMessage =
  | { readonly kind: 'claim-ask'; readonly slot: number; readonly ask: PeerClaimRequest }
  /** The sender will never dispatch the ask. */
  | {
      readonly kind: 'claim-release';
      readonly slot: number;
      readonly askId: string;
      readonly keyHash: string;
    }
  | {
      readonly kind: 'claim-settle';
      readonly slot: number;
      readonly askId: string;
      readonly record: ClaimRecord;
    }
  /** Asks the instance that a claim names what became of it. */
  | { readonly kind: 'claim-query'; readonly askId: string };

/** What the owner of a slot answers to an ask. */
export type OwnerAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'running'; readonly instance: string | null }
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  | { readonly kind: 'key-mismatch' }
  | { readonly kind: 'key-expired' }
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  | { readonly kind: 'not-owner'; readonly owner: string };

/** What the holder of a claim knows of it. */
export type HolderState =
  | { readonly kind: 'running' }
  /** It was never dispatched and never will be. */
  | { readonly kind: 'never' }
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  /** Another process made the ask, or it was too long ago. */
  | { readonly kind: 'unknown' };

export type ClaimPeerReply =
  | { readonly kind: 'claim-answer'; readonly answer: OwnerAnswer }
  | { readonly kind: 'claim-holder'; readonly state: HolderState }
  | { readonly kind: 'claim-noted' };

/** Names a process: the instance, and what tells its starts apart. */
export function createProcessName(instance: string, bootId: string): string {
  return `${instance}#${bootId}`;
}

/** The instance of a process. */
export function readInstance(processName: string): string {
  return processName.slice(0, processName.lastIndexOf('#'));
}

export function createAskId(processName: string, number: number): string {
  return `${processName}/${number.toString(36)}`;
}

/** The process that made an ask, the only one that may dispatch it. */
export function readProcessName(askId: string): string {
  return askId.slice(0, askId.lastIndexOf('/'));
}
