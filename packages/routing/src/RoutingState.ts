/** The routing state as one immutable value, and the pure functions that update it. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, Holding, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import { getHealth, getOwnWork, getPoolCalls, setHealth } from './RoutingCalls.js';
import { recordBoot, beginSlowStart } from './RoutingHealth.js';
import type { PoolMember } from './RoutingPools.js';
import { getPoolKey, moveMember } from './RoutingPools.js';
import { createBucketMap } from './RoutingBucketMap.js';
import type { RoutingTuning } from './RoutingTuning.js';
import { DEFAULT_TUNING } from './RoutingTuning.js';
import type { KnownLoad, RoutingState } from './RoutingTypes.js';

export type { CallOutcome, RoutedCall, RoutedModel, RoutingState } from './RoutingTypes.js';
export {
  recordCallEnd,
  recordCallStart,
  recordFirstToken,
  recordTokenGap,
} from './RoutingCalls.js';

/** Weight of the configured workload mix relative to observed calls, in answer tokens. */
const PRIOR_MIX_TOKENS = 1000;
/** An engine whose first report arrives within this time after the first of all is assumed to be no new engine. */
const DISCOVERY_MS = 5000;

export function createRoutingState(tuning: Partial<RoutingTuning> = {}): RoutingState {
  const fullTuning = { ...DEFAULT_TUNING, ...tuning };
  return {
    engines: new Map(),
    models: new Map(),
    loads: new Map(),
    firstLoadAt: null,
    leaving: new Set(),
    silent: new Set(),
    links: [],
    regions: new Map(),
    domains: new Map(),
    suspected: new Map(),
    own: createBucketMap(),
    health: createBucketMap(),
    prefixes: createBucketMap(),
    pools: new Map(),
    plans: new Map(),
    poolCalls: new Map(),
    crossDomainCalls: new Map(),
    hops: new Map(),
    hopPrompts: createBucketMap(),
    rooms: [],
    spills: new Map(),
    refusals: new Map(),
    mix: {
      promptTokens: fullTuning.promptTokensPerToken * PRIOR_MIX_TOKENS,
      answerTokens: PRIOR_MIX_TOKENS,
    },
    tuning: fullTuning,
  };
}

/** Sets the known engines, from the instance list and the manifest. */
export function setEngines(state: RoutingState, facts: readonly EngineFacts[]): RoutingState {
  if (
    facts.length === state.engines.size &&
    facts.every((engine) => state.engines.get(engine.id) === engine)
  ) {
    return state;
  }
  const engines = new Map(facts.map((engine) => [engine.id, engine]));
  let { pools } = state;
  const loads = new Map(state.loads);
  for (const [id, before] of state.engines) {
    const after = engines.get(id);
    if (after !== before) {
      const holding = state.loads.get(id)?.load.holding ?? null;
      pools = moveMember(pools, toMember(before, holding), after ? toMember(after, holding) : null);
    }
    if (!after) {
      loads.delete(id);
    }
  }
  const leaving = new Set([...state.leaving].filter((id) => engines.has(id)));
  return { ...state, engines, pools, loads, leaving };
}

/** Sets models, links, regions and limits from the manifest. */
export function setRoutingFacts(
  state: RoutingState,
  facts: Partial<Pick<RoutingState, 'models' | 'links' | 'regions' | 'tuning'>>,
): RoutingState {
  return { ...state, ...facts };
}

/** Records a load report; a report older than the latest one is ignored. */
export function setLoad(state: RoutingState, seen: SeenEngineLoad): RoutingState {
  return setLoads(state, [seen]);
}

/** Records several load reports for little more than the cost of one: the map of all engines is copied once. */
export function setLoads(state: RoutingState, reports: readonly SeenEngineLoad[]): RoutingState {
  const loads = new Map(state.loads);
  const firstLoadAt = state.firstLoadAt ?? reports[0]?.seenAt ?? null;
  return reports.reduce<RoutingState>((next, seen) => addLoad(next, loads, seen), {
    ...state,
    loads,
    firstLoadAt,
  });
}

/** Adds a report to `loads`, a copy that is not shared yet, and updates pools and health. */
function addLoad(
  state: RoutingState,
  loads: Map<EngineId, KnownLoad>,
  seen: SeenEngineLoad,
): RoutingState {
  const { engine: id, holding, bootId } = seen.load;
  const facts = state.engines.get(id);
  const known = loads.get(id);
  if (!facts || (known && known.seenAt > seen.seenAt)) {
    return state;
  }
  const poolKey = holding && getPoolKey(holding.model, holding.version, facts.domain);
  const ownPoolCalls = getPoolCalls(state, poolKey);
  loads.set(id, { ...seen, own: getOwnWork(state, id), poolKey, ownPoolCalls });
  const before = known?.load.holding ?? null;
  const pools = isSameHolding(before, holding)
    ? state.pools
    : moveMember(state.pools, toMember(facts, before), toMember(facts, holding));
  const withPools = pools === state.pools ? state : { ...state, pools };
  const next = updateBoot(withPools, id, bootId, seen.seenAt);
  return seen.load.state === LifeState.Leaving ? markLeaving(next, id) : next;
}

/** Excludes an engine from new work, on the first signal that it is leaving. */
export function markLeaving(state: RoutingState, engine: EngineId): RoutingState {
  if (state.leaving.has(engine)) {
    return state;
  }
  return { ...state, leaving: new Set(state.leaving).add(engine) };
}

/** Sets whether a domain is reachable. After a partition its cross-domain limit ramps up. */
export function setDomainReach(
  state: RoutingState,
  domain: DomainId,
  reachable: boolean,
  now: Millis,
): RoutingState {
  const known = state.domains.get(domain)?.reachable ?? true;
  if (known === reachable) {
    return state;
  }
  return { ...state, domains: new Map(state.domains).set(domain, { reachable, since: now }) };
}

/** Records the boot id of an engine: a new process is no longer leaving and begins a slow start. */
function updateBoot(state: RoutingState, id: EngineId, bootId: string, now: Millis): RoutingState {
  const before = getHealth(state, id);
  if (before.bootId === bootId) {
    return state;
  }
  const booted = recordBoot(before, bootId, now);
  const isLateJoiner = before.bootId === null && now - (state.firstLoadAt ?? now) > DISCOVERY_MS;
  const next = setHealth(state, id, isLateJoiner ? beginSlowStart(booted, now) : booted);
  if (before.bootId === null || !state.leaving.has(id)) {
    return next;
  }
  return { ...next, leaving: new Set([...state.leaving].filter((other) => other !== id)) };
}

function toMember(facts: EngineFacts, holding: Holding | null): PoolMember | null {
  return holding && { id: facts.id, facts, holding };
}

function isSameHolding(a: Holding | null, b: Holding | null): boolean {
  if (!a || !b) {
    return a === b;
  }
  return (
    a.model === b.model &&
    a.version === b.version &&
    a.duty === b.duty &&
    a.layers.first === b.layers.first &&
    a.layers.end === b.layers.end &&
    a.adapters.join() === b.adapters.join()
  );
}
