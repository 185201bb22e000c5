/**
 * Routes claim requests to the owner of the key's slot, retries them after a change of owner, and
 * handles claim messages from peers. A claim request keeps its id across retries, and this process
 * dispatches it at most once: when `claim` resolves to `granted`.
 */
import { RunState } from '@skylarksail/core/CoreConstants';
import { hash64Hex, selectOwners } from '@skylarksail/core/CoreHash';
import { jitter, type Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { InstanceId, Millis } from '@skylarksail/core/CoreTypes';
import { createClaimKey, type ClaimKey } from './ClaimKey.js';
import {
  createAskId,
  createProcessName,
  readProcessName,
  readInstance,
  type ClaimPeerMessage,
  type ClaimPeerReply,
  type HolderState,
  type OwnerAnswer,
  type PeerClaimRequest,
} from './ClaimMessages.js';
import type { ClaimOwner } from './ClaimOwner.js';
import type { ClaimRequest, ClaimOutcome, ClaimPort, ClaimRecord } from './ClaimPort.js';
import {
  createClaimRecords,
  DEFAULT_RECORD_LIMITS,
  type ClaimRecordLimits,
} from './ClaimRecords.js';
import type { SlotReply } from './ClaimSlotTypes.js';

/** Sends a message to another instance; rejects if there is no reply. */
export type SendToPeer = (
  instance: InstanceId,
  message: ClaimPeerMessage,
) => Promise<ClaimPeerReply>;

export interface ClaimRouterOptions {
  readonly instance: InstanceId;
  /** Random id of this start of the instance; never reused. */
  readonly bootId: string;
  readonly owner: ClaimOwner;
  readonly slots: number;
  /** Instances known to be live, including this one. At-most-once execution does not depend on it. */
  readonly getLiveInstances: () => readonly InstanceId[];
  readonly sendToPeer: SendToPeer;
  readonly timers: TimerService;
  readonly random: Random;
  readonly recordLimits?: ClaimRecordLimits;
}

export interface ClaimRouter extends ClaimPort {
  /** Handles a message from another instance. */
  handleMessage(message: ClaimPeerMessage): Promise<ClaimPeerReply>;
}

/** Timeout of one claim request to an owner; the retry may go to a new owner. */
const OWNER_TIMEOUT_MS = 2000;
const QUERY_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 60;
const RETRY_AFTER_MS = 1000;
/**
 * Maximum number of tries to claim a key whose holders never dispatched their requests. The tries are
 * limited because a slot whose list of withdrawn claims is full releases none until the list shrinks.
 */
const MAX_RELEASE_TRIES = 3;
const FINGERPRINT_DIGITS = 8;

interface GrantedClaim {
  readonly slot: number;
  readonly keyHash: string;
}

/** Creates the claim router of an instance. */
export function createClaimRouter(options: ClaimRouterOptions): ClaimRouter {
  const { instance, owner, slots, getLiveInstances, sendToPeer, timers, random } = options;
  const processName = createProcessName(instance, options.bootId);
  const records = createClaimRecords(options.recordLimits ?? DEFAULT_RECORD_LIMITS);
  const granted = new Map<string, GrantedClaim>();
  let nextRequestNumber = 1;

  function send(target: InstanceId, message: ClaimPeerMessage): Promise<ClaimPeerReply> {
    return target === instance ? handleMessage(message) : sendToPeer(target, message);
  }

  /**
   * Sends a message to the slot's owner without waiting for a reply. If the message is lost, the owner gets
   * the same information from a later query.
   */
  function sendBestEffort(slot: number, message: ClaimPeerMessage): void {
    const target = findOwner(slot);
    if (target !== undefined) {
      send(target, message).catch(() => undefined);
    }
  }

  function findOwner(slot: number): InstanceId | undefined {
    return selectOwners(`claim-slot ${slot}`, getLiveInstances(), 1)[0];
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, resolve);
    });
  }

  /** Resolves to the reply, or to null on failure or timeout. */
  function sendWithin(
    target: InstanceId,
    message: ClaimPeerMessage,
    timeout: Millis,
  ): Promise<ClaimPeerReply | null> {
    return new Promise((resolve) => {
      const cancel = timers.registerTimeout(timeout, () => resolve(null));
      const finish = (reply: ClaimPeerReply | null): void => {
        cancel();
        resolve(reply);
      };
      send(target, message).then(finish, () => finish(null));
    });
  }

  async function requestFromOwner(
    key: ClaimKey,
    ask: Omit<PeerClaimRequest, 'timeLeft'>,
    deadline: Millis,
  ): Promise<OwnerAnswer> {
    let hint: InstanceId | null = null;
    while (timers.now() < deadline) {
      const target: InstanceId | undefined = hint ?? findOwner(key.slot);
      hint = null;
      if (target !== undefined) {
        const timeLeft = deadline - timers.now();
        const message = { kind: 'claim-ask', slot: key.slot, ask: { ...ask, timeLeft } } as const;
        const reply = await sendWithin(target, message, Math.min(OWNER_TIMEOUT_MS, timeLeft));
        const answer = reply?.kind === 'claim-answer' ? reply.answer : null;
        if (answer && answer.kind !== 'not-owner') {
          return answer;
        }
        hint = getOwnerHint(answer, target);
      }
      await sleep(jitter(random, RETRY_DELAY_MS, 0.5));
    }
    return { kind: 'unavailable', retryAfter: RETRY_AFTER_MS };
  }

  function getOwnerHint(answer: OwnerAnswer | null, askedInstance: InstanceId): InstanceId | null {
    if (answer?.kind !== 'not-owner') {
      return null;
    }
    const ownerInstance = readInstance(answer.owner);
    return ownerInstance !== askedInstance && getLiveInstances().includes(ownerInstance)
      ? ownerInstance
      : null;
  }

  async function claim(ask: ClaimRequest): Promise<ClaimOutcome> {
    const key = createClaimKey(ask.team, ask.key, slots);
    const askId = createAskId(processName, nextRequestNumber);
    nextRequestNumber += 1;
    records.setRunning(askId);
    const peerRequest = {
      askId,
      keyHash: key.hash,
      fingerprint: hash64Hex(ask.fingerprint).slice(0, FINGERPRINT_DIGITS),
      stamp: key.stamp,
    };
    const deadline = timers.now() + ask.timeLeft;
    const answer = await requestFromOwner(key, peerRequest, deadline);
    if (answer.kind === 'granted' && timers.now() < deadline) {
      granted.set(askId, { slot: key.slot, keyHash: key.hash });
      return { kind: 'granted', token: askId };
    }
    // From here on this claim request is never dispatched, whatever reply still arrives.
    records.setNeverDispatched(askId);
    if (answer.kind === 'granted' || answer.kind === 'unavailable') {
      sendBestEffort(key.slot, { kind: 'claim-release', slot: key.slot, askId, keyHash: key.hash });
    }
    return answer.kind === 'granted' || answer.kind === 'not-owner'
      ? { kind: 'unavailable', retryAfter: RETRY_AFTER_MS }
      : answer;
  }

  async function handleClaimRequest(slot: number, ask: PeerClaimRequest): Promise<OwnerAnswer> {
    const deadline = timers.now() + ask.timeLeft;
    const slotRequest = {
      askId: ask.askId,
      keyHash: ask.keyHash,
      fingerprint: ask.fingerprint,
      stamp: ask.stamp,
      deadline,
    };
    for (let tries = 1; ; tries++) {
      const reply = await owner.ask(slot, slotRequest);
      if (reply.kind !== 'taken') {
        return reply;
      }
      const state = await queryHolder(reply.askId);
      if (state.kind !== 'never') {
        return createTakenAnswer(reply, state);
      }
      if (tries === MAX_RELEASE_TRIES) {
        return { kind: 'unavailable', retryAfter: RETRY_AFTER_MS };
      }
      // The process that made the request gave up and its release message was lost. Without this
      // release, the key would stay claimed although nothing ran.
      owner.release(slot, reply.askId, ask.keyHash);
    }
  }

  /**
   * Returns the state of a claim request as recorded by this process. A granted request that is still
   * running is never evicted.
   */
  function getRequestState(askId: string): HolderState {
    return granted.has(askId) ? { kind: 'running' } : records.get(askId);
  }

  async function queryHolder(askId: string): Promise<HolderState> {
    const held = getRequestState(askId);
    if (held.kind !== 'unknown' || readProcessName(askId) === processName) {
      return held;
    }
    const holder = readInstance(readProcessName(askId));
    if (holder === instance || !getLiveInstances().includes(holder)) {
      return held;
    }
    const reply = await sendWithin(holder, { kind: 'claim-query', askId }, QUERY_TIMEOUT_MS);
    if (reply?.kind !== 'claim-holder') {
      // The holder is considered live, so its request may be running.
      return { kind: 'running' };
    }
    if (reply.state.kind === 'ended') {
      records.setEnded(askId, reply.state.record);
    }
    return reply.state;
  }

  async function handleMessage(message: ClaimPeerMessage): Promise<ClaimPeerReply> {
    switch (message.kind) {
      case 'claim-ask':
        return {
          kind: 'claim-answer',
          answer: await handleClaimRequest(message.slot, message.ask),
        };
      case 'claim-query':
        return { kind: 'claim-holder', state: getRequestState(message.askId) };
      case 'claim-release':
        owner.release(message.slot, message.askId, message.keyHash);
        return { kind: 'claim-noted' };
      default:
        records.setEnded(message.askId, message.record);
        owner.settle(message.slot, message.askId, message.record.run);
        return { kind: 'claim-noted' };
    }
  }

  function release(token: string): void {
    const held = granted.get(token);
    if (held) {
      granted.delete(token);
      records.setNeverDispatched(token);
      sendBestEffort(held.slot, { kind: 'claim-release', askId: token, ...held });
    }
  }

  function settle(token: string, record: ClaimRecord): void {
    if (record.run === RunState.NotRun) {
      release(token);
      return;
    }
    const held = granted.get(token);
    if (held) {
      granted.delete(token);
      records.setEnded(token, record);
      sendBestEffort(held.slot, { kind: 'claim-settle', slot: held.slot, askId: token, record });
    }
  }

  return { claim, settle, release, handleMessage };
}

function createTakenAnswer(
  taken: Extract<SlotReply, { kind: 'taken' }>,
  state: Exclude<HolderState, { kind: 'never' }>,
): OwnerAnswer {
  switch (state.kind) {
    case 'running':
      return { kind: 'running', instance: readInstance(readProcessName(taken.askId)) };
    case 'ended':
      return { kind: 'ended', record: state.record };
    default:
      return {
        kind: 'ended',
        record: { run: taken.outcome ?? RunState.Unknown, answer: null },
      };
  }
}
