/** Messages between instances about claims, independent of the transport. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ClaimRecord } from './ClaimPort.js';

/** A claim request sent to the slot's owner, identified by `askId`. Resending it is idempotent. */
export interface PeerClaimRequest {
  readonly askId: string;
  readonly keyHash: string;
  readonly fingerprint: string;
  readonly stamp: number | null;
  readonly timeLeft: Millis;
}

export type ClaimPeerMessage =
  | { readonly kind: 'claim-ask'; readonly slot: number; readonly ask: PeerClaimRequest }
  /** The sender will never dispatch the request, or the request provably did not run. */
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
  /** Queries the instance that holds a claim for the state of its request. */
  | { readonly kind: 'claim-query'; readonly askId: string };

/** The slot owner's answer to a claim request. */
export type OwnerAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'running'; readonly instance: string | null }
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  | { readonly kind: 'key-mismatch' }
  | { readonly kind: 'key-expired' }
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis }
  | { readonly kind: 'not-owner'; readonly owner: string };

/** State of a claimed request, as the instance that holds the claim reports it. */
export type HolderState =
  | { readonly kind: 'running' }
  /** The request was never dispatched and never will be. */
  | { readonly kind: 'never' }
  | { readonly kind: 'ended'; readonly record: ClaimRecord }
  /** Another process made the request, or its record has been evicted. */
  | { readonly kind: 'unknown' };

export type ClaimPeerReply =
  | { readonly kind: 'claim-answer'; readonly answer: OwnerAnswer }
  | { readonly kind: 'claim-holder'; readonly state: HolderState }
  | { readonly kind: 'claim-noted' };

/** Joins the instance id with the boot id, which differs for each start of the instance. */
export function createProcessName(instance: string, bootId: string): string {
  return `${instance}#${bootId}`;
}

/** Returns the instance id in a process name. */
export function readInstance(processName: string): string {
  return processName.slice(0, processName.lastIndexOf('#'));
}

export function createAskId(processName: string, number: number): string {
  return `${processName}/${number.toString(36)}`;
}

/** Returns the name of the process that made a claim request; only that process may dispatch it. */
export function readProcessName(askId: string): string {
  return askId.slice(0, askId.lastIndexOf('/'));
}
