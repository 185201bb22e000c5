/** How the router and the choice of chains are set for these deployments, each figure with its reason. */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { LimitConfig } from '@skylarksail/requests/RequestLimits';
import type { SilenceConfig } from '@skylarksail/requests/RequestPace';
import type { RouterConfig } from '@skylarksail/requests/RouterTypes';
import { DEFAULT_ROUTER_CONFIG } from '@skylarksail/requests/RouterTypes';

/** Bounds that the deployment sets for the whole fleet. */
export interface RelayBounds {
  /** Repeated arrivals at a service, as a share of its requests, that the whole fleet may cause. */
  readonly retryShare: number;
  /** Repeated arrivals beyond that share, for the whole fleet. */
  readonly retrySlack: number;
  /** Any span of this length, in ms, is to be kept within both. */
  readonly retryWindow: Millis;
}

/** A part of the fleet's retries stays unused: instances may count each other late. */
export const RETRY_SAFETY_FACTOR = 0.9;
/**
 * Part of the slack for repeats that lies in pools and is lent where it is needed. The rest is held by all
 * instances alike, for the time in which nobody lends: in a cut, and for fifteen seconds after a granter is lost.
 */
export const POOL_SHARE = 0.6;
/**
 * An answer that is moved pauses for longer than is on time, so a chain is given up only when it is most
 * likely dead, and soon enough for the rest to come before the caller leaves, two seconds after the last
 * event. Lower bounds would move answers whenever sound engines read long prompts.
 */
const SILENCE: SilenceConfig = {
  acknowledgement: { least: 350, most: 3000 },
  firstToken: { least: 350, most: 3000 },
  gap: { least: 500, most: 900 },
  mostUnclear: 0,
  leastSlowGap: 150,
};
/**
 * Engines bound what runs, by memory and by the requests that they take at once; they refuse what is too
 * much before it has run. A limit that falls with late events would refuse requests that engines have room for
 * whenever one domain's answers are held up by a fault.
 */
const LIMITS: LimitConfig = {
  initial: 1024,
  least: 1024,
  most: 1024,
  gapTarget: 200,
  firstTokenTarget: 2000,
};
/**
 * Answers come to a fifth of what is allowed, as events hold two tokens. Reckoned at their full length, requests of
 * a sound fleet would be refused as too late for their deadline.
 */
const LENGTH_SHARE = 0.2;
/** A dead engine's entry lapses after three heartbeats of 1.2 s; until then its chain is kept off. */
const DOUBT_TIME: Millis = 4000;
/** Chains are filled by memory and not by pace; other domains lend all that they have. */
export const ROUTING_TUNING = {
  tokenGapMs: 150,
  crossDomainShare: 3,
  isOwnDoubted: true,
  doubtTime: DOUBT_TIME,
};
/** Settings of the router under the deployment's bounds. */
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
    keepsOffRefusing: true,
  };
}
