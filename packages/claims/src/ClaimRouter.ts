/**
 * Claims as requests use them: finds the owner of the key's slot, asks it, asks again after a change
 * of owner, and answers what peers want to know. An ask keeps its id however often it is sent, and
 * this process dispatches it at most once: when `claim` settles as granted.
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

/** Carries a message to another instance; rejects if no reply comes. */
export type SendToPeer = (
  instance: InstanceId,
  message: ClaimPeerMessage,
) => Promise<ClaimPeerReply>;

export interface ClaimRouterOptions {
  readonly instance: InstanceId;
  /** Tells the starts of this instance apart; random, and never used again. */
  readonly bootId: string;
  readonly owner: ClaimOwner;
  readonly slots: number;
  /** Live instances as far as is known, ourselves included. Nothing that must be safe rests on it. */
  readonly getLiveInstances: () => readonly InstanceId[];
  readonly sendToPeer: SendToPeer;
  readonly timers: TimerService;
  readonly random: Random;
  readonly recordLimits?: ClaimRecordLimits;
}

export interface ClaimRouter extends ClaimPort {
  /** Answers a message of another instance. */
  handleMessage(message: ClaimPeerMessage): Promise<ClaimPeerReply>;
}

/** Time after which an ask is sent again, perhaps to a new owner. */
const ASK_TIMEOUT_MS = 2000;
const QUERY_TIMEOUT_MS = 500;
const RETRY_PAUSE_MS = 60;
const RETRY_AFTER_MS = 1000;
/** A slot that names too many withdrawn asks takes out no more for a while. */
const RELEASE_TRIES = 3;
const FINGERPRINT_DIGITS = 8;

interface GrantedClaim {
  readonly slot: number;
  readonly keyHash: string;
}

/** Creates the claims' face of an instance. */
export function createClaimRouter(options: ClaimRouterOptions): ClaimRouter {
  const { instance, owner, slots, getLiveInstances, sendToPeer, timers, random } = options;
  const processName = createProcessName(instance, options.bootId);
  const records = createClaimRecords(options.recordLimits ?? DEFAULT_RECORD_LIMITS);
  const granted = new Map<string, GrantedClaim>();
  let nextAsk = 1;

  function send(target: InstanceId, message: ClaimPeerMessage): Promise<ClaimPeerReply> {
    return target === instance ? handleMessage(message) : sendToPeer(target, message);
  }

  /** Sends without waiting for the outcome; what is lost is found out by a query later. */
  function tell(slot: number, message: ClaimPeerMessage): void {
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

  /** The reply, or null if none came in time. */
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

  async function askOwner(
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
        const reply = await sendWithin(target, message, Math.min(ASK_TIMEOUT_MS, timeLeft));
        const answer = reply?.kind === 'claim-answer' ? reply.answer : null;
        if (answer && answer.kind !== 'not-owner') {
          return answer;
        }
        hint = chooseHint(answer, target);
      }
      await sleep(jitter(random, RETRY_PAUSE_MS, 0.5));
    }
    return { kind: 'unavailable', retryAfter: RETRY_AFTER_MS };
  }

  function chooseHint(answer: OwnerAnswer | null, asked: InstanceId): InstanceId | null {
    if (answer?.kind !== 'not-owner') {
      return null;
    }
    const named = readInstance(answer.owner);
    return named !== asked && getLiveInstances().includes(named) ? named : null;
  }

  async function claim(ask: ClaimRequest): Promise<ClaimOutcome> {
    const key = createClaimKey(ask.team, ask.key, slots);
    const askId = createAskId(processName, nextAsk);
    nextAsk += 1;
    records.setRunning(askId);
    const peerAsk = {
      askId,
      keyHash: key.hash,
      fingerprint: hash64Hex(ask.fingerprint).slice(0, FINGERPRINT_DIGITS),
      stamp: key.stamp,
    };
    const deadline = timers.now() + ask.timeLeft;
    const answer = await askOwner(key, peerAsk, deadline);
    if (answer.kind === 'granted' && timers.now() < deadline) {
      granted.set(askId, { slot: key.slot, keyHash: key.hash });
      return { kind: 'granted', token: askId };
    }
    // From here on this ask is never dispatched, whatever reply comes yet.
    records.setNeverDispatched(askId);
    if (answer.kind === 'granted' || answer.kind === 'unavailable') {
      tell(key.slot, { kind: 'claim-release', slot: key.slot, askId, keyHash: key.hash });
    }
    return answer.kind === 'granted' || answer.kind === 'not-owner'
      ? { kind: 'unavailable', retryAfter: RETRY_AFTER_MS }
      : answer;
  }

  async function handleAsk(slot: number, ask: PeerClaimRequest): Promise<OwnerAnswer> {
    const deadline = timers.now() + ask.timeLeft;
    const slotAsk = {
      askId: ask.askId,
      keyHash: ask.keyHash,
      fingerprint: ask.fingerprint,
      stamp: ask.stamp,
      deadline,
    };
    for (let tries = 1; ; tries++) {
      const reply = await owner.ask(slot, slotAsk);
      if (reply.kind !== 'taken') {
        return reply;
      }
      const state = await queryHolder(reply.askId);
      if (state.kind !== 'never') {
        return describeTaken(reply, state);
      }
      if (tries === RELEASE_TRIES) {
        return { kind: 'unavailable', retryAfter: RETRY_AFTER_MS };
      }
      // Its asker gave up, and its release got lost. Without this the key would stay claimed by
      // work that never ran.
      owner.release(slot, reply.askId, ask.keyHash);
    }
  }

  /** What is known here of an ask; one that runs is never forgotten. */
  function describeAsk(askId: string): HolderState {
    return granted.has(askId) ? { kind: 'running' } : records.get(askId);
  }

  async function queryHolder(askId: string): Promise<HolderState> {
    const held = describeAsk(askId);
    if (held.kind !== 'unknown' || readProcessName(askId) === processName) {
      return held;
    }
    const holder = readInstance(readProcessName(askId));
    if (holder === instance || !getLiveInstances().includes(holder)) {
      return held;
    }
    const reply = await sendWithin(holder, { kind: 'claim-query', askId }, QUERY_TIMEOUT_MS);
    if (reply?.kind !== 'claim-holder') {
      // It lives, as far as is known, so its request may be running.
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
        return { kind: 'claim-answer', answer: await handleAsk(message.slot, message.ask) };
      case 'claim-query':
        return { kind: 'claim-holder', state: describeAsk(message.askId) };
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
      tell(held.slot, { kind: 'claim-release', askId: token, ...held });
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
      tell(held.slot, { kind: 'claim-settle', slot: held.slot, askId: token, record });
    }
  }

  return { claim, settle, release, handleMessage };
}

function describeTaken(
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
