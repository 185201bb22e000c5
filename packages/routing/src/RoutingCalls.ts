/** Tracks this instance's own calls: the load that they put on engines, and what they show of engine health. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { EngineHealth } from './RoutingHealth.js';
import {
  eject,
  isFailedProbe,
  isOutlier,
  MAX_EJECTED_SHARE,
  NEW_HEALTH,
  recordFailure,
  recordGap,
  recordSuccess,
} from './RoutingHealth.js';
import { countHopPrompts } from './RoutingHops.js';
import { addPrefixObservations } from './RoutingPrefixes.js';
import { getPoolKey } from './RoutingPools.js';
import { getEntry, withEntry } from './RoutingBucketMap.js';
import type { CallOutcome, OwnWork, RoutedCall, RoutingState } from './RoutingTypes.js';

export const NO_WORK: OwnWork = { calls: 0, kvTokens: 0, prefillTokens: 0 };

/** Decay factor of the observed workload mix per call. */
const MIX_DECAY = 0.995;
const MAX_PEERS_COMPARED = 24;

/** Work that this instance has on an engine. */
export function getOwnWork(state: RoutingState, engine: EngineId): OwnWork {
  return getEntry(state.own, engine) ?? NO_WORK;
}

/** Health of an engine as observed so far. */
export function getHealth(state: RoutingState, engine: EngineId): EngineHealth {
  return getEntry(state.health, engine) ?? NEW_HEALTH;
}

/** Number of own calls in a pool. */
export function getPoolCalls(state: RoutingState, poolKey: string | null): number {
  return poolKey === null ? 0 : (state.poolCalls.get(poolKey) ?? 0);
}

export function setHealth(
  state: RoutingState,
  engine: EngineId,
  health: EngineHealth,
): RoutingState {
  return { ...state, health: withEntry(state.health, engine, health) };
}

/** Tokens that a call is expected to occupy in the KV cache. */
export function getKvTokens({
  promptTokens,
  answerTokens,
  maxTokens,
}: Pick<RoutedCall, 'promptTokens' | 'answerTokens' | 'maxTokens'>): number {
  return promptTokens + Math.min(maxTokens, answerTokens ?? maxTokens);
}

/** Adds a call's work to each engine of its chain. */
export function recordCallStart(state: RoutingState, call: RoutedCall): RoutingState {
  const kvTokens = getKvTokens(call);
  const change = { calls: 1, kvTokens, prefillTokens: call.promptTokens };
  const next = countHopPrompts(state, call.chain, 1);
  return changeCallCounts(changeOwnWork(next, call.chain, change), call, 1);
}

/** Records the first token of a call: its prompt is prefilled, and its prefixes are cached. */
export function recordFirstToken(
  state: RoutingState,
  call: RoutedCall,
  now: Millis = 0,
): RoutingState {
  const change = { calls: 0, kvTokens: 0, prefillTokens: -call.promptTokens };
  const withHopCounts = countHopPrompts(clearSuspicion(state, call.chain), call.chain, -1);
  const next = changeOwnWork(withHopCounts, call.chain, change);
  const observations = call.chain.stages.map(({ engine }) => ({
    engine,
    bootId: getHealth(state, engine).bootId,
    seenAt: now,
  }));
  const prefixes = (call.prefixKeys ?? []).reduce(
    (table, { key }) => addPrefixObservations(table, key, observations),
    state.prefixes,
  );
  return { ...next, prefixes };
}

/**
 * Records the time between tokens of a call so far. Call it periodically for running calls: calls on a
 * slow engine end late, so their measurements would otherwise arrive last. Where requests share memory,
 * `RoutingSlowness` finds slow engines: ejection would take all of their memory out at once.
 */
export function recordTokenGap(
  state: RoutingState,
  chain: Chain,
  gap: Millis,
  now: Millis,
): RoutingState {
  if (state.models.get(chain.variant.model)?.isMemoryShared) {
    return state;
  }
  const smoothed = chain.stages.reduce(
    (next, { engine }) => setHealth(next, engine, recordGap(getHealth(next, engine), gap)),
    state,
  );
  return chain.stages.reduce((next, { engine }) => {
    const health = getHealth(next, engine);
    return health.ejectedUntil === null &&
      isOutlier(health, selectPeerHealth(next, engine)) &&
      mayEject(next, engine)
      ? setHealth(next, engine, eject(health, now))
      : next;
  }, smoothed);
}

/** Removes a call's work from its engines. `hadFirstToken` says whether its prompt was prefilled. */
export function recordCallEnd(
  state: RoutingState,
  call: RoutedCall,
  outcome: CallOutcome,
  hadFirstToken: boolean,
  now: Millis,
): RoutingState {
  const kvTokens = -getKvTokens(call);
  const prefillTokens = hadFirstToken ? 0 : -call.promptTokens;
  const change = { calls: -1, kvTokens, prefillTokens };
  const withHopCounts = hadFirstToken ? state : countHopPrompts(state, call.chain, -1);
  const next = changeCallCounts(changeOwnWork(withHopCounts, call.chain, change), call, -1);
  if (outcome.kind === 'answered') {
    return recordAnswered(next, call, outcome, now);
  }
  if (outcome.kind === 'failed' && outcome.engine !== null) {
    return recordEngineFailure(next, outcome.engine, now);
  }
  if (outcome.kind === 'failed' && outcome.isSilent) {
    return suspectDomain(next, call.chain, now);
  }
  return next;
}

/**
 * Avoids a domain whose chain timed out without output. Membership reports a partition only after seconds;
 * until then each request would run into the same timeout.
 */
function suspectDomain(state: RoutingState, chain: Chain, now: Millis): RoutingState {
  const domain = getSuspectableDomain(state, chain);
  return domain === null
    ? state
    : { ...state, suspected: new Map(state.suspected).set(domain, now + state.tuning.doubtTime) };
}

/** A token from a domain ends the suspicion. */
function clearSuspicion(state: RoutingState, chain: Chain): RoutingState {
  const domain = state.suspected.size > 0 ? getSuspectableDomain(state, chain) : null;
  if (domain === null || !state.suspected.has(domain)) {
    return state;
  }
  return {
    ...state,
    suspected: new Map([...state.suspected].filter(([other]) => other !== domain)),
  };
}

/** Ends the suspicion of an engine's domain: the engine was reached, so only this instance's own link had failed. */
export function endSuspicion(state: RoutingState, engine: EngineId): RoutingState {
  const domain = state.engines.get(engine)?.domain;
  return domain !== undefined && state.suspected.has(domain)
    ? { ...state, suspected: new Map([...state.suspected].filter(([other]) => other !== domain)) }
    : state;
}

/** Domain of the chain's first stage, to which this instance connects; null if it is never suspected. */
function getSuspectableDomain(state: RoutingState, chain: Chain): DomainId | null {
  const { domain: own, isOwnDoubted } = state.tuning;
  const domain = state.engines.get(chain.stages[0]?.engine ?? '')?.domain ?? null;
  return own === null || (domain === own && !isOwnDoubted) ? null : domain;
}

function recordAnswered(
  state: RoutingState,
  call: RoutedCall,
  outcome: CallOutcome & { kind: 'answered' },
  now: Millis,
): RoutingState {
  const mix = {
    promptTokens: state.mix.promptTokens * MIX_DECAY + call.promptTokens - (call.cachedTokens ?? 0),
    answerTokens: state.mix.answerTokens * MIX_DECAY + (outcome.tokens ?? call.maxTokens),
  };
  const succeeded = call.chain.stages.reduce<RoutingState>(
    (next, { engine }) =>
      setHealth(next, engine, getHealthAfterAnswer(next, engine, outcome.tokenGapMs, now)),
    { ...state, mix },
  );
  return outcome.tokenGapMs === null
    ? succeeded
    : recordTokenGap(succeeded, call.chain, outcome.tokenGapMs, now);
}

/** An answer counts as a success of its engine, unless it is a probe of an ejected engine that is still slow. */
function getHealthAfterAnswer(
  state: RoutingState,
  engine: EngineId,
  gap: Millis | null,
  now: Millis,
): EngineHealth {
  const health = getHealth(state, engine);
  return gap !== null &&
    health.ejectedUntil !== null &&
    isFailedProbe(health, gap, selectPeerHealth(state, engine), now)
    ? eject(health, now)
    : recordSuccess(health, now);
}

function recordEngineFailure(state: RoutingState, engine: EngineId, now: Millis): RoutingState {
  const health = recordFailure(getHealth(state, engine), mayEject(state, engine), now);
  return setHealth(state, engine, health);
}

/** Other engines of the same pool that hold the same layers, at most `limit` of them. */
function selectPeers(state: RoutingState, engine: EngineId, limit = Infinity): readonly EngineId[] {
  const known = state.loads.get(engine);
  const layers = known?.load.holding?.layers;
  const members = state.pools.get(known?.poolKey ?? '')?.members ?? [];
  const peers: EngineId[] = [];
  for (const { id, holding } of members) {
    if (peers.length >= limit) {
      break;
    }
    const isPeer = holding.layers.first === layers?.first && holding.layers.end === layers.end;
    if (isPeer && id !== engine) {
      peers.push(id);
    }
  }
  return peers;
}

/** Health of a few peers, enough for a median. */
function selectPeerHealth(state: RoutingState, engine: EngineId): readonly EngineHealth[] {
  return selectPeers(state, engine, MAX_PEERS_COMPARED).map((peer) => getHealth(state, peer));
}

/** Whether an engine's group may lose it by ejection. The last engine of a group is never ejected. */
function mayEject(state: RoutingState, engine: EngineId): boolean {
  const group = [engine, ...selectPeers(state, engine)];
  const ejected = group.filter((id) => getHealth(state, id).ejectedUntil !== null).length;
  const allowed = Math.max(1, Math.floor(group.length * MAX_EJECTED_SHARE));
  return group.length > 1 && ejected < allowed;
}

/** Counts a call in the pool of each domain on its chain, and as a cross-domain call in other domains. */
function changeCallCounts(
  state: RoutingState,
  { chain }: RoutedCall,
  change: number,
): RoutingState {
  const { model, version } = chain.variant;
  const poolCalls = new Map(state.poolCalls);
  const crossDomainCounts = new Map(state.crossDomainCalls);
  for (const domain of new Set(
    chain.stages.map(({ engine }) => state.engines.get(engine)?.domain),
  )) {
    if (domain !== undefined) {
      changeCount(poolCalls, getPoolKey(model, version, domain), change);
      if (state.tuning.domain !== null && domain !== state.tuning.domain) {
        changeCount(crossDomainCounts, domain, change);
      }
    }
  }
  return { ...state, poolCalls, crossDomainCalls: crossDomainCounts };
}

function changeCount(counts: Map<string, number>, key: string, change: number): void {
  counts.set(key, Math.max(0, (counts.get(key) ?? 0) + change));
}

function changeOwnWork(state: RoutingState, chain: Chain, change: OwnWork): RoutingState {
  const own = chain.stages.reduce((table, { engine }) => {
    const work = getEntry(table, engine) ?? NO_WORK;
    const next = {
      calls: work.calls + change.calls,
      kvTokens: work.kvTokens + change.kvTokens,
      prefillTokens: work.prefillTokens + change.prefillTokens,
    };
    return withEntry(table, engine, next.calls > 0 ? next : undefined);
  }, state.own);
  return { ...state, own };
}
