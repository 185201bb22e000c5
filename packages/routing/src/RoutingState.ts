/** All that routing knows, as one immutable value, and the pure functions that update it. */
import type { Chain } from '@skylarksail/core/CoreChain';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { EngineFacts, Holding, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis, ModelId, RegionId } from '@skylarksail/core/CoreTypes';
import type { LinkFacts } from './RoutingLinks.js';
import type { PoolIndex, PoolMember } from './RoutingPools.js';
import { moveMember } from './RoutingPools.js';

/** Work that this instance itself has on an engine. */
export interface OwnWork {
  readonly calls: number;
  /** Tokens that its calls may come to hold in the KV cache. */
  readonly kvTokens: number;
  /** Prompt tokens of calls that have not yet given a first token. */
  readonly prefillTokens: number;
}

/** The latest load report, with our own calls on the engine when it came. */
export interface KnownLoad extends SeenEngineLoad {
  readonly ownCalls: number;
}

/** Facts of a model that routing needs. */
export interface RoutedModel {
  readonly id: ModelId;
  readonly activationBytes: number;
}

/** Facts that come from settings and the manifest. */
export interface RoutingTuning {
  /** Time between tokens that a chain is filled up to. */
  readonly tokenGapMs: Millis;
  /** Prompt tokens to prefill for each generated token, as expected. */
  readonly promptTokensPerToken: number;
  /** Entry instances that share the engines. */
  readonly instanceCount: number;
  /** Share of a domain's capacity that may be lent to other domains. */
  readonly crossDomainShare: number;
}

export interface RoutingState {
  readonly engines: ReadonlyMap<EngineId, EngineFacts>;
  readonly models: ReadonlyMap<ModelId, RoutedModel>;
  readonly loads: ReadonlyMap<EngineId, KnownLoad>;
  readonly leaving: ReadonlySet<EngineId>;
  readonly links: readonly LinkFacts[];
  readonly regions: ReadonlyMap<DomainId, RegionId>;
  readonly own: ReadonlyMap<EngineId, OwnWork>;
  readonly pools: PoolIndex;
  readonly tuning: RoutingTuning;
}

/** A call that runs on a chain, as it was recorded at its start. */
export interface RoutedCall {
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** How a call ended, for the health of its engines. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly firstTokenMs: Millis; readonly tokenGapMs: Millis | null }
  | { readonly kind: 'failed'; readonly engine: EngineId | null }
  | { readonly kind: 'cancelled' };

const DEFAULT_TUNING: RoutingTuning = {
  tokenGapMs: 65,
  promptTokensPerToken: 2,
  instanceCount: 1,
  crossDomainShare: 0.2,
};

const NO_WORK: OwnWork = { calls: 0, kvTokens: 0, prefillTokens: 0 };

export function createRoutingState(tuning: Partial<RoutingTuning> = {}): RoutingState {
  return {
    engines: new Map(),
    models: new Map(),
    loads: new Map(),
    leaving: new Set(),
    links: [],
    regions: new Map(),
    own: new Map(),
    pools: new Map(),
    tuning: { ...DEFAULT_TUNING, ...tuning },
  };
}

/** Sets the engines that exist, from the instance list and the manifest. */
export function setEngines(state: RoutingState, facts: readonly EngineFacts[]): RoutingState {
  const engines = new Map(facts.map((engine) => [engine.id, engine]));
  let { pools } = state;
  const loads = new Map(state.loads);
  for (const [id, before] of state.engines) {
    const after = engines.get(id);
    const holding = state.loads.get(id)?.load.holding ?? null;
    pools = moveMember(pools, toMember(before, holding), after ? toMember(after, holding) : null);
    if (!after) {
      loads.delete(id);
    }
  }
  return { ...state, engines, pools, loads };
}

/** Sets what the manifest says of models, links, regions and limits. */
export function setRoutingFacts(
  state: RoutingState,
  facts: Partial<Pick<RoutingState, 'models' | 'links' | 'regions' | 'tuning'>>,
): RoutingState {
  return { ...state, ...facts };
}

/** Takes in a load report; one older than the known one changes nothing. */
export function setLoad(state: RoutingState, seen: SeenEngineLoad): RoutingState {
  const { engine: id, holding } = seen.load;
  const facts = state.engines.get(id);
  const known = state.loads.get(id);
  if (!facts || (known && known.seenAt > seen.seenAt)) {
    return state;
  }
  const ownCalls = getOwnWork(state, id).calls;
  const loads = new Map(state.loads).set(id, { ...seen, ownCalls });
  const before = known?.load.holding ?? null;
  const pools = isSameHolding(before, holding)
    ? state.pools
    : moveMember(state.pools, toMember(facts, before), toMember(facts, holding));
  const next = { ...state, loads, pools };
  return seen.load.state === LifeState.Leaving ? markLeaving(next, id) : next;
}

/** Gives an engine no new work from now on, by whichever signal came first. */
export function markLeaving(state: RoutingState, engine: EngineId): RoutingState {
  if (state.leaving.has(engine)) {
    return state;
  }
  return { ...state, leaving: new Set(state.leaving).add(engine) };
}

/** Counts a call's work on each engine of its chain. */
export function recordCallStart(state: RoutingState, call: RoutedCall): RoutingState {
  const kvTokens = call.promptTokens + call.maxTokens;
  return changeOwnWork(state, call.chain, { calls: 1, kvTokens, prefillTokens: call.promptTokens });
}

/** The first token came: the prompt is prefilled. */
export function recordFirstToken(state: RoutingState, call: RoutedCall): RoutingState {
  return changeOwnWork(state, call.chain, {
    calls: 0,
    kvTokens: 0,
    prefillTokens: -call.promptTokens,
  });
}

/** Takes a call's work off its engines. `hadFirstToken` says whether its prompt was prefilled. */
export function recordCallEnd(
  state: RoutingState,
  call: RoutedCall,
  outcome: CallOutcome,
  hadFirstToken: boolean,
  _now: Millis,
): RoutingState {
  void outcome;
  const kvTokens = -(call.promptTokens + call.maxTokens);
  const prefillTokens = hadFirstToken ? 0 : -call.promptTokens;
  return changeOwnWork(state, call.chain, { calls: -1, kvTokens, prefillTokens });
}

export function getOwnWork(state: RoutingState, engine: EngineId): OwnWork {
  return state.own.get(engine) ?? NO_WORK;
}

function changeOwnWork(state: RoutingState, chain: Chain, change: OwnWork): RoutingState {
  const own = new Map(state.own);
  for (const { engine } of chain.stages) {
    const work = own.get(engine) ?? NO_WORK;
    own.set(engine, {
      calls: work.calls + change.calls,
      kvTokens: work.kvTokens + change.kvTokens,
      prefillTokens: work.prefillTokens + change.prefillTokens,
    });
  }
  return { ...state, own };
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
