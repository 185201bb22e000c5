/**
 * Runs the pure membership state machine with timers, topics and message encoding. It opens no sockets:
 * `send` gets encoded envelopes, `receive` takes the payloads of decoded ones.
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

export interface MembershipDeps {
  readonly self: MembershipSelf;
  readonly timers: TimerService;
  readonly random: Random;
  /** Sends an encoded envelope. Delivery is best effort, and losses are not reported. */
  readonly send: (to: ListedInstance, bytes: Uint8Array) => void;
  readonly cfg?: Partial<MembershipConfig>;
}

/** A change that listeners are notified of. */
export type MembershipChange =
  | { readonly kind: 'member'; readonly change: MemberChange }
  | { readonly kind: 'domain'; readonly domain: DomainId; readonly reachable: boolean };

/** Counters since the process started. */
export interface MembershipCounters {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
  /** Messages and topic payloads that could not be decoded or merged. */
  readonly garbage: number;
}

export interface Membership {
  /** Processes the payload of an envelope of kind Gossip. An invalid one is counted and dropped. */
  receive(payload: unknown): void;
  /** Applies a snapshot of the platform's instance list, without entries of backend servers. */
  applyInstanceList(instances: readonly ListedInstance[]): void;
  /** Returns the delay until the platform's list should be read next; callers add jitter. */
  getListPeriod(): Millis;
  /** Reports that a connection to the instance was refused or broken. */
  reportConnectionLost(id: InstanceId): void;
  getLiveInstances(domain?: DomainId): readonly LiveInstance[];
  getInstance(id: InstanceId): LiveInstance | null;
  isDomainReachable(domain: DomainId): boolean;
  getState(): MembershipState;
  getCounters(): MembershipCounters;
  registerListener(listener: (change: MembershipChange) => void): Unregister;
  registerTopic(topic: GossipTopic): Unregister;
  /** Begins a planned stop: duties move to other instances at once, messages are still answered. */
  startLeaving(): void;
  /** Completes the planned stop; nothing is sent afterwards. */
  stop(): void;
}

/** Creates membership and starts its periodic ticks. */
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
