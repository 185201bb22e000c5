/** Records of our own calls: what they keep busy, and what they tell of the engines' health. */
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

/** How much of the learned mix remains after one more call. */
const MIX_MEMORY = 0.995;
const PEERS_COMPARED = 24;

/** Work of this instance on an engine. */
export function getOwnWork(state: RoutingState, engine: EngineId): OwnWork {
  return getEntry(state.own, engine) ?? NO_WORK;
}

/** Health of an engine as seen so far. */
export function getHealth(state: RoutingState, engine: EngineId): EngineHealth {
  return getEntry(state.health, engine) ?? NEW_HEALTH;
}

/** Own calls in a pool. */
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

/** Counts a call's work on each engine of its chain. */
/** Tokens that a call is expected to hold in the KV cache. */
export function getKvTokens({
  promptTokens,
  answerTokens,
  maxTokens,
}: Pick<RoutedCall, 'promptTokens' | 'answerTokens' | 'maxTokens'>): number {
  return promptTokens + Math.min(maxTokens, answerTokens ?? maxTokens);
}

export function recordCallStart(state: RoutingState, call: RoutedCall): RoutingState {
  const kvTokens = getKvTokens(call);
  const change = { calls: 1, kvTokens, prefillTokens: call.promptTokens };
  const next = countHopPrompts(state, call.chain, 1);
  return countCall(changeOwnWork(next, call.chain, change), call, 1);
}

/** The first token came: the prompt is prefilled, and its prefixes are cached. */
export function recordFirstToken(
  state: RoutingState,
  call: RoutedCall,
  now: Millis = 0,
): RoutingState {
  const change = { calls: 0, kvTokens: 0, prefillTokens: -call.promptTokens };
  const read = countHopPrompts(clearDoubt(state, call.chain), call.chain, -1);
  const next = changeOwnWork(read, call.chain, change);
  const sightings = call.chain.stages.map(({ engine }) => ({
    engine,
    bootId: getHealth(state, engine).bootId,
    seenAt: now,
  }));
  const prefixes = (call.prefixKeys ?? []).reduce(
    (table, { key }) => addPrefixObservations(table, key, sightings),
    state.prefixes,
  );
  return { ...next, prefixes };
}

/**
 * Takes in the time between tokens of a call so far. To be told of a running call now and then: a slow
 * engine's calls end late, and would otherwise be heard of last.
 */
export function recordTokenGap(
  state: RoutingState,
  chain: Chain,
  gap: Millis,
  now: Millis,
): RoutingState {
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

/** Takes a call's work off its engines. `hadFirstToken` says whether its prompt was prefilled. */
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
  const read = hadFirstToken ? state : countHopPrompts(state, call.chain, -1);
  const next = countCall(changeOwnWork(read, call.chain, change), call, -1);
  if (outcome.kind === 'answered') {
    return recordAnswered(next, call, outcome, now);
  }
  if (outcome.kind === 'failed' && outcome.engine !== null) {
    return recordEngineFailure(next, outcome.engine, now);
  }
  if (outcome.kind === 'failed' && outcome.isSilent) {
    return doubtDomain(next, call.chain, now);
  }
  return next;
}

/**
 * Keeps off a domain from which nothing comes. Membership tells of a cut only after seconds, and
 * until then each request would find out for itself.
 */
function doubtDomain(state: RoutingState, chain: Chain, now: Millis): RoutingState {
  const domain = getDoubtedDomain(state, chain);
  return domain === null
    ? state
    : { ...state, suspected: new Map(state.suspected).set(domain, now + state.tuning.doubtTime) };
}

/** A token from a domain clears it. */
function clearDoubt(state: RoutingState, chain: Chain): RoutingState {
  const domain = state.suspected.size > 0 ? getDoubtedDomain(state, chain) : null;
  if (domain === null || !state.suspected.has(domain)) {
    return state;
  }
  return {
    ...state,
    suspected: new Map([...state.suspected].filter(([other]) => other !== domain)),
  };
}

/** Domain of a chain's first stage, which is where our own connection goes; null if it is never doubted. */
function getDoubtedDomain(state: RoutingState, chain: Chain): DomainId | null {
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
    promptTokens:
      state.mix.promptTokens * MIX_MEMORY + call.promptTokens - (call.cachedTokens ?? 0),
    answerTokens: state.mix.answerTokens * MIX_MEMORY + (outcome.tokens ?? call.maxTokens),
  };
  const succeeded = call.chain.stages.reduce<RoutingState>(
    (next, { engine }) =>
      setHealth(next, engine, judgeAnswer(next, engine, outcome.tokenGapMs, now)),
    { ...state, mix },
  );
  return outcome.tokenGapMs === null
    ? succeeded
    : recordTokenGap(succeeded, call.chain, outcome.tokenGapMs, now);
}

/** An answer clears its engines, but for one that was ejected and is as slow as it was. */
function judgeAnswer(
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

/** Engines of the same pool that hold the same layers, `limit` of them at the most. */
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

/** Health of some peers, enough for a median. */
function selectPeerHealth(state: RoutingState, engine: EngineId): readonly EngineHealth[] {
  return selectPeers(state, engine, PEERS_COMPARED).map((peer) => getHealth(state, peer));
}

/** Whether the group of an engine can bear its ejection. The last of a group is never ejected. */
function mayEject(state: RoutingState, engine: EngineId): boolean {
  const group = [engine, ...selectPeers(state, engine)];
  const ejected = group.filter((id) => getHealth(state, id).ejectedUntil !== null).length;
  const allowed = Math.max(1, Math.floor(group.length * MAX_EJECTED_SHARE));
  return group.length > 1 && ejected < allowed;
}

/** Counts a call in the pool of each domain that its chain passes, and as crossing in those not ours. */
function countCall(state: RoutingState, { chain }: RoutedCall, change: number): RoutingState {
  const { model, version } = chain.variant;
  const poolCalls = new Map(state.poolCalls);
  const crossing = new Map(state.crossDomainCalls);
  for (const domain of new Set(
    chain.stages.map(({ engine }) => state.engines.get(engine)?.domain),
  )) {
    if (domain !== undefined) {
      addCount(poolCalls, getPoolKey(model, version, domain), change);
      if (state.tuning.domain !== null && domain !== state.tuning.domain) {
        addCount(crossing, domain, change);
      }
    }
  }
  return { ...state, poolCalls, crossDomainCalls: crossing };
}

function addCount(counts: Map<string, number>, key: string, change: number): void {
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
