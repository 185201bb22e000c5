/**
 * Piggybacks small digests of other modules on membership messages. Each topic has a number, a byte
 * budget, a function that collects bytes to send and one that merges received bytes.
 */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { invariant } from '@skylarksail/core/CoreErrors';
import type { TopicPayload } from './MembershipMessages.js';

/** Numbers of the topics on the wire; a number is never reused for another topic. */
export const TopicNumber = {
  Load: 1,
  Cache: 2,
  Manifest: 3,
  Poison: 4,
  DomainLoad: 5,
} as const;

export type TopicCode = (typeof TopicNumber)[keyof typeof TopicNumber] | number;

/** A kind of digest that is piggybacked on gossip. Its bytes may be lost, repeated or late. */
export interface GossipTopic {
  readonly topic: TopicCode;
  /** Average rate at which it may send; unused budget accumulates for a few seconds. */
  readonly bytesPerSecond: number;
  /** Maximum size of its payload in one message. */
  readonly bytesPerMessage: number;
  /** Whether it also goes to instances of other domains. */
  readonly crossesDomains: boolean;
  /** Returns at most `maxBytes` to send to `to` now, or null. */
  collect(maxBytes: number, to: InstanceId, now: Millis): Uint8Array | null;
  /** Merges the bytes of another instance; if it throws, they are dropped and counted. */
  merge(bytes: Uint8Array, from: InstanceId, now: Millis): void;
}

/** The registered topics and their byte budgets. */
export interface TopicTable {
  registerTopic(topic: GossipTopic): Unregister;
  collectPayloads(to: InstanceId, crossesDomains: boolean, now: Millis): readonly TopicPayload[];
  /** Returns the number of payloads that could not be merged. */
  mergePayloads(payloads: readonly TopicPayload[], from: InstanceId, now: Millis): number;
}

interface TopicBudget {
  readonly topic: GossipTopic;
  readonly tokens: number;
  readonly refilledAt: Millis;
}

/** Maximum budget that an idle topic accumulates, in seconds of its rate. */
const BURST_SECONDS = 4;
/** Encoding overhead of a payload: the topic number, the length and the array that holds the pair. */
const PAYLOAD_OVERHEAD = 4;

export function createTopicTable(): TopicTable {
  const budgets = new Map<number, TopicBudget>();

  function collectPayload(budget: TopicBudget, to: InstanceId, now: Millis): TopicPayload | null {
    const { topic, refilledAt } = budget;
    const refill = ((now - refilledAt) * topic.bytesPerSecond) / MILLIS_PER_SECOND;
    const tokens = Math.min(topic.bytesPerSecond * BURST_SECONDS, budget.tokens + refill);
    const maxBytes = Math.floor(Math.min(topic.bytesPerMessage, tokens - PAYLOAD_OVERHEAD));
    const bytes = maxBytes > 0 ? topic.collect(maxBytes, to, now) : null;
    const spent = bytes && bytes.length > 0 ? bytes.length + PAYLOAD_OVERHEAD : 0;
    budgets.set(topic.topic, { topic, tokens: tokens - spent, refilledAt: now });
    if (!bytes || spent === 0) {
      return null;
    }
    invariant(bytes.length <= maxBytes, `topic ${topic.topic} stays within its byte limit`);
    return { topic: topic.topic, bytes };
  }

  return {
    registerTopic(topic) {
      invariant(!budgets.has(topic.topic), `topic ${topic.topic} is registered once`);
      budgets.set(topic.topic, { topic, tokens: topic.bytesPerMessage, refilledAt: 0 });
      return () => {
        budgets.delete(topic.topic);
      };
    },
    collectPayloads(to, crossesDomains, now) {
      const payloads: TopicPayload[] = [];
      for (const budget of budgets.values()) {
        const payload =
          crossesDomains && !budget.topic.crossesDomains ? null : collectPayload(budget, to, now);
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
