/** Settings of the router and of chain selection for deployments of the relay. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LimitConfig } from '@skylarksail/requests/RequestLimits';
import type { SilenceConfig } from '@skylarksail/requests/RequestPace';
import type { RouterConfig } from '@skylarksail/requests/RouterTypes';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';

/** Limits that the deployment sets for the whole fleet. */
export interface RelayBounds {
  /** Retries that the whole fleet may cause at a service, as a share of its requests. */
  readonly retryShare: number;
  /** Retries that the whole fleet may cause in addition to that share. */
  readonly retrySlack: number;
  /** Length of the sliding window, in ms, within which both limits apply. */
  readonly retryWindow: Millis;
}

/** For which models requests share the memory of engines by need. It switches admission by memory, spillover between domains, and the
 * regard for prompt lengths and slow engines. */
export const MemorySharing = {
  On: 'on',
  Off: 'off',
  /** For models whose engines are limited by memory, and not by the number of slots. */
  Auto: 'auto',
} as const;

export type MemorySharingName = (typeof MemorySharing)[keyof typeof MemorySharing];

/** Share of the fleet's retries that is used; the rest is a margin because instances may count each other late. */
export const RETRY_SAFETY_FACTOR = 0.9;
/**
 * Share of the slack for retries that is kept in pools and granted on request. The rest is split evenly over all
 * instances, for times without a granter: in a network partition, and for fifteen seconds after a granter is lost.
 */
export const POOL_SHARE = 0.6;
/**
 * Moving an answer to another chain pauses it for longer than its latency goal allows. So a chain is abandoned only
 * when it is most likely dead, but early enough for the answer to resume before the caller leaves, two seconds after
 * the last event. Lower bounds would move answers whenever healthy engines process long prompts.
 */
const SILENCE: SilenceConfig = {
  acknowledgement: { least: 350, most: 3000 },
  firstToken: { least: 350, most: 3000 },
  gap: { least: 500, most: 900 },
  mostUnclear: 0,
  leastSlowGap: 150,
};
/**
 * A fixed concurrency limit. Engines limit running requests themselves, by memory and by concurrent requests, and
 * refuse excess requests before they run. An adaptive limit that falls when events are late would refuse requests that
 * engines have capacity for whenever a fault delays the answers of one domain.
 */
const LIMITS: LimitConfig = {
  initial: 1024,
  least: 1024,
  most: 1024,
  gapTarget: 200,
  firstTokenTarget: 2000,
};
/**
 * Answers take up a fifth of the tokens that requests allow, because events hold two tokens. If the full length were
 * assumed, a healthy fleet would refuse requests as unable to meet their deadline.
 */
const LENGTH_SHARE = 0.2;
/** The entry of a dead engine expires after three heartbeats of 1.2 s; until then its chain is avoided. */
const DOUBT_TIME: Millis = 4000;
/**
 * Crashes after which a request is refused as one that crashes engines. While engines are lost one after the other, some
 * harmless requests are the only suspects of two crashes, and hardly any of three.
 */
const POISON_CRASHES = 3;
/** Chains are filled up to their memory, not to a token rate, and other domains may be used at full capacity. */
export const ROUTING_TUNING = {
  tokenGapMs: 150,
  crossDomainShare: 3,
  isOwnDoubted: true,
  doubtTime: DOUBT_TIME,
};

/** Creates the settings of the router for the deployment's limits. */
export function createRouterConfig({ retryShare, retryWindow }: RelayBounds): RouterConfig {
  return {
    ...DEFAULT_ROUTER_CONFIG,
    limits: LIMITS,
    silence: SILENCE,
    lengthShare: LENGTH_SHARE,
    retryShare: retryShare * RETRY_SAFETY_FACTOR,
    retryBurst: 0,
    retryWindow,
    isRecoveryBudgeted: true,
    poisonCrashes: POISON_CRASHES,
    keepsOffRefusing: true,
  };
}
