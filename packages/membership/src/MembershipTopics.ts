/**
 * Small digests of other parts that ride on the messages of membership: each topic has a number, a byte
 * budget, a function that gives bytes to send and one that takes them in.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { TopicPayload } from './MembershipMessages.js';

/** Numbers of the topics. They are on the wire and are never given a new meaning. */
export const TopicNumber = {
  Load: 1,
  Cache: 2,
  Manifest: 3,
  Poison: 4,
  DomainLoad: 5,
} as const;

export type TopicCode = (typeof TopicNumber)[keyof typeof TopicNumber] | number;

/** A digest that rides on gossip. Bytes may be lost, repeated and late. */
export interface GossipTopic {
  readonly topic: TopicCode;
  /** Bytes a second that it may send, on average; what is saved is kept for a few seconds. */
  readonly bytesPerSecond: number;
  /** Most bytes in one message. */
  readonly bytesPerMessage: number;
  /** Whether it also goes to instances of other domains. */
  readonly crossesDomains: boolean;
  /** At most `room` bytes to send to `to` now, or null. */
  collect(room: number, to: InstanceId, now: Millis): Uint8Array | null;
  /** Takes in bytes of another instance; throwing drops and counts them. */
  merge(bytes: Uint8Array, from: InstanceId, now: Millis): void;
}

/** Topics and their budgets. */
export interface TopicTable {
  registerTopic(topic: GossipTopic): Unregister;
  collectPayloads(to: InstanceId, crossesDomains: boolean, now: Millis): readonly TopicPayload[];
  /** Gives the number of payloads that could not be taken in. */
  mergePayloads(payloads: readonly TopicPayload[], from: InstanceId, now: Millis): number;
}

interface TopicBudget {
  readonly topic: GossipTopic;
  readonly tokens: number;
  readonly filledAt: Millis;
}

/** Budget that an idle topic may save up, in seconds of its rate. */
const SAVED_SECONDS = 4;
/** Bytes around a payload: its number, its length and the pair. */
const PAYLOAD_OVERHEAD = 4;

/** Creates an empty table of topics. */
export function createTopicTable(): TopicTable {
  const budgets = new Map<number, TopicBudget>();

  function collectOne(budget: TopicBudget, to: InstanceId, now: Millis): TopicPayload | null {
    const { topic, filledAt } = budget;
    const earned = ((now - filledAt) * topic.bytesPerSecond) / MILLIS_PER_SECOND;
    const tokens = Math.min(topic.bytesPerSecond * SAVED_SECONDS, budget.tokens + earned);
    const room = Math.floor(Math.min(topic.bytesPerMessage, tokens - PAYLOAD_OVERHEAD));
    const bytes = room > 0 ? topic.collect(room, to, now) : null;
    const spent = bytes && bytes.length > 0 ? bytes.length + PAYLOAD_OVERHEAD : 0;
    budgets.set(topic.topic, { topic, tokens: tokens - spent, filledAt: now });
    if (!bytes || spent === 0) {
      return null;
    }
    invariant(bytes.length <= room, `topic ${topic.topic} keeps to its room`);
    return { topic: topic.topic, bytes };
  }

  return {
    registerTopic(topic) {
      invariant(!budgets.has(topic.topic), `topic ${topic.topic} is registered once`);
      budgets.set(topic.topic, { topic, tokens: topic.bytesPerMessage, filledAt: 0 });
      return () => {
        budgets.delete(topic.topic);
      };
    },
    collectPayloads(to, crossesDomains, now) {
      const payloads: TopicPayload[] = [];
      for (const budget of budgets.values()) {
        const payload =
          crossesDomains && !budget.topic.crossesDomains ? null : collectOne(budget, to, now);
        if (payload) {
          payloads.push(payload);
        }
      }
      return payloads;
    },
    mergePayloads(payloads, from, now) {
      let failed = 0;
      for (const { topic, bytes } of payloads) {
        try {
          budgets.get(topic)?.topic.merge(bytes, from, now);
        } catch {
          failed += 1;
        }
      }
      return failed;
    },
  };
}
