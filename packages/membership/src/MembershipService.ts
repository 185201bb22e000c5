/**
 * Membership as the daemon uses it: the pure machine with timers, topics and bytes around it. Sockets stay
 * outside; `send` and `receive` carry whole envelopes.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { decodeGossip, encodeGossip } from './MembershipCodec.js';
import type { MemberChange, MembershipEffect } from './MembershipEffects.js';
import { EnvelopeKind, encodeEnvelope } from './MembershipEnvelope.js';
import type { MembershipEvent } from './MembershipMachine.js';
import { stepMembership } from './MembershipMachine.js';
import type { GossipMessage } from './MembershipMessages.js';
import type {
  ListedInstance,
  LiveInstance,
  MembershipConfig,
  MembershipSelf,
  MembershipState,
} from './MembershipState.js';
import {
  createMembershipState,
  DEFAULT_MEMBERSHIP_CONFIG,
  getInstance,
  getLiveInstances,
  isDomainReachable,
} from './MembershipState.js';
import type { GossipTopic } from './MembershipTopics.js';
import { createTopicTable } from './MembershipTopics.js';
import { countPresent, isListReader } from './MembershipViews.js';
import { readBytes } from './MembershipWire.js';

/** What membership needs from outside. */
export interface MembershipDeps {
  readonly self: MembershipSelf;
  readonly timers: TimerService;
  readonly random: Random;
  /** Sends an envelope's bytes; it may be lost without a word. */
  readonly send: (to: ListedInstance, bytes: Uint8Array) => void;
  readonly cfg?: Partial<MembershipConfig>;
}

/** A change that listeners hear of. */
export type MembershipChange =
  | { readonly kind: 'member'; readonly change: MemberChange }
  | { readonly kind: 'domain'; readonly domain: DomainId; readonly reachable: boolean };

/** Counters since the start. */
export interface MembershipCounters {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
  /** Messages, or payloads of topics, that made no sense. */
  readonly garbage: number;
}

export interface Membership {
  /** Takes in the payload of an envelope of kind Gossip. Garbage is counted and dropped. */
  receive(payload: unknown): void;
  /** Takes in a reading of the platform's instance list: entry instances only. */
  applyInstanceList(instances: readonly ListedInstance[]): void;
  /** When to read the platform's list next, from now; jitter it. */
  getListPeriod(): Millis;
  /** A connection to the instance was refused or broke. */
  reportConnectionLost(id: InstanceId): void;
  getLiveInstances(domain?: DomainId): readonly LiveInstance[];
  getInstance(id: InstanceId): LiveInstance | null;
  isDomainReachable(domain: DomainId): boolean;
  getState(): MembershipState;
  getCounters(): MembershipCounters;
  registerListener(listener: (change: MembershipChange) => void): Unregister;
  registerTopic(topic: GossipTopic): Unregister;
  /** A planned stop begins: duties go to others at once, messages are still answered. */
  startLeaving(): void;
  /** The planned stop ends; nothing is sent after this. */
  stop(): void;
}

/** Creates membership and starts its ticks. */
export function createMembership(deps: MembershipDeps): Membership {
  const { timers, random } = deps;
  const cfg = { ...DEFAULT_MEMBERSHIP_CONFIG, ...deps.cfg };
  const topics = createTopicTable();
  const listeners = new Set<(change: MembershipChange) => void>();
  let state = createMembershipState(deps.self, timers.now(), cfg);
  let counters: MembershipCounters = {
    messagesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    bytesReceived: 0,
    garbage: 0,
  };

  function step(event: MembershipEvent): void {
    const result = stepMembership(state, event, { now: timers.now(), random });
    state = result.state;
    result.effects.forEach(runEffect);
  }

  function runEffect(effect: MembershipEffect): void {
    if (effect.kind === 'send') {
      sendGossip(effect.to, effect.message);
      return;
    }
    listeners.forEach((listener) => listener(effect));
  }

  function sendGossip(to: ListedInstance, message: GossipMessage): void {
    const crossesDomains = to.domain !== deps.self.domain;
    const payloads = topics.collectPayloads(to.id, crossesDomains, timers.now());
    const payload = encodeGossip({ ...message, topics: payloads });
    const bytes = encodeEnvelope({ from: deps.self.id, kind: EnvelopeKind.Gossip, payload });
    counters = {
      ...counters,
      messagesSent: counters.messagesSent + 1,
      bytesSent: counters.bytesSent + bytes.length,
    };
    deps.send(to, bytes);
  }

  function receive(payload: unknown): void {
    let message: GossipMessage;
    try {
      message = decodeGossip(readBytes(payload));
    } catch {
      counters = { ...counters, garbage: counters.garbage + 1 };
      return;
    }
    const size = (payload as Uint8Array).length;
    const failed = topics.mergePayloads(message.topics, message.sender.id, timers.now());
    counters = {
      ...counters,
      messagesReceived: counters.messagesReceived + 1,
      bytesReceived: counters.bytesReceived + size,
      garbage: counters.garbage + failed,
    };
    step({ kind: 'message', message });
  }

  const stopTicks = timers.registerInterval(cfg.tick, () => step({ kind: 'tick' }));

  return {
    receive,
    applyInstanceList: (instances) => step({ kind: 'listed', instances }),
    getListPeriod: () => getListPeriod(state),
    reportConnectionLost: (id) => step({ kind: 'connection-lost', id }),
    getLiveInstances: (domain) => getLiveInstances(state, domain),
    getInstance: (id) => getInstance(state, id),
    isDomainReachable: (domain) => isDomainReachable(state, domain),
    getState: () => state,
    getCounters: () => counters,
    registerListener(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    registerTopic: topics.registerTopic,
    startLeaving: () => step({ kind: 'leaving' }),
    stop() {
      step({ kind: 'left' });
      stopTicks();
    },
  };
}

function getListPeriod({ cfg, members, self }: MembershipState): Millis {
  if (isListReader(members, self.id, self.domain, cfg.listReaders)) {
    return cfg.listPeriod;
  }
  return Math.max(cfg.slowListPeriod, cfg.slowListPerInstance * countPresent(members));
}
