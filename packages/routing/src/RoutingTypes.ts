/** Types of the routing state. */
import type { Chain } from '@skylarksail/core/CoreChain';
import type { EngineFacts, SeenEngineLoad } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis, ModelId, RegionId } from '@skylarksail/core/CoreTypes';
import type { DomainReach } from './RoutingDomains.js';
import type { EngineHealth } from './RoutingHealth.js';
import type { HopHealth } from './RoutingHops.js';
import type { LinkFacts } from './RoutingLinks.js';
import type { CapacityPlan } from './RoutingPlanTypes.js';
import type { Pool, PoolIndex } from './RoutingPools.js';
import type { PrefixKey, PrefixTable } from './RoutingPrefixes.js';
import type { BucketMap } from './RoutingBucketMap.js';
import type { DomainRoom } from './RoutingRoom.js';
import type { SpillPlan } from './RoutingSpillover.js';
import type { RoutingTuning } from './RoutingTuning.js';

/** Work that this instance has on an engine. */
export interface OwnWork {
  readonly calls: number;
  /** Tokens that its calls are expected to occupy in the KV cache. */
  readonly kvTokens: number;
  /** Prompt tokens of calls that have not produced a first token yet. */
  readonly prefillTokens: number;
}

/** The latest load report, with the own work on the engine at the time it arrived. */
export interface KnownLoad extends SeenEngineLoad {
  readonly own: OwnWork;
  /** Pool of the engine, or null if it holds no layers. */
  readonly poolKey: string | null;
  /** Own calls in the whole pool at that time. */
  readonly ownPoolCalls: number;
}

/** Properties of a model that routing needs. */
export interface RoutedModel {
  readonly id: ModelId;
  /**
   * Mean number of answer tokens, if known. Answers are mostly far shorter than callers allow: if memory were
   * reserved for the maximum, requests would be refused although engines have room for them.
   */
  readonly usualAnswerTokens?: number;
  /** Mean number of prompt tokens, if known. */
  readonly usualPromptTokens?: number;
  readonly activationBytes: number;
  /** Whether requests share the memory of the model's engines by need; not if omitted. */
  readonly isMemoryShared?: boolean;
}

/** Memory that the requests of one domain hold in another. */
export interface DomainUse {
  readonly domain: DomainId;
  readonly used: number;
}

/** Memory of another domain for running requests of a model, as instances there reported it. */
export interface KnownRoom extends DomainRoom {
  readonly domain: DomainId;
  readonly model: ModelId;
  /** Memory that the requests of that domain hold in other domains. */
  readonly abroad: readonly DomainUse[];
  readonly seenAt: Millis;
  /** Since when reports have arrived again after an interruption; -Infinity without one. */
  readonly since: Millis;
}

/** The plan of a pool, with its inputs. */
export interface PlannedPool {
  readonly pool: Pool;
  readonly links: readonly LinkFacts[];
  /** Ids of the engines that were excluded from it, joined by commas. */
  readonly excluded: string;
  /** Workload mix that it was computed for. */
  readonly promptTokensPerToken: number;
  readonly plan: CapacityPlan;
}

/** Observed workload mix of prompt and answer tokens; older calls decay. */
export interface WorkMix {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

export interface RoutingState {
  readonly engines: ReadonlyMap<EngineId, EngineFacts>;
  readonly models: ReadonlyMap<ModelId, RoutedModel>;
  readonly loads: ReadonlyMap<EngineId, KnownLoad>;
  /** Time of the first load report; an engine that appears much later has joined a running fleet. */
  readonly firstLoadAt: Millis | null;
  readonly leaving: ReadonlySet<EngineId>;
  /** Engines whose reports stopped while their peers' reports continue. */
  readonly silent: ReadonlySet<EngineId>;
  readonly links: readonly LinkFacts[];
  readonly regions: ReadonlyMap<DomainId, RegionId>;
  readonly domains: ReadonlyMap<DomainId, DomainReach>;
  /** Domains where a chain timed out without output, with the time until which they are avoided. */
  readonly suspected: ReadonlyMap<DomainId, Millis>;
  readonly own: BucketMap<OwnWork>;
  readonly health: BucketMap<EngineHealth>;
  readonly prefixes: PrefixTable;
  readonly pools: PoolIndex;
  readonly plans: ReadonlyMap<string, PlannedPool>;
  /** Number of own calls by pool. */
  readonly poolCalls: ReadonlyMap<string, number>;
  /** Number of own calls in other domains. */
  readonly crossDomainCalls: ReadonlyMap<DomainId, number>;
  /** Hops between racks with recent late streams. */
  readonly hops: ReadonlyMap<string, HopHealth>;
  /** Number of own prompts that are crossing each hop between racks. */
  readonly hopPrompts: BucketMap<number>;
  /** Rooms of other domains by their last reports, including expired ones. */
  readonly rooms: readonly KnownRoom[];
  /** Spillover by model, for models whose memory is shared. */
  readonly spills: ReadonlyMap<ModelId, SpillPlan>;
  /** When engines of other domains last refused a call, for models whose memory is shared. */
  readonly refusals: ReadonlyMap<EngineId, Millis>;
  readonly mix: WorkMix;
  readonly tuning: RoutingTuning;
}

/** A call on a chain, as recorded at its start. */
export interface RoutedCall {
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Answer tokens for which memory is reserved, if fewer than `maxTokens`. */
  readonly answerTokens?: number;
  /** Prefixes that the engines will cache. */
  readonly prefixKeys?: readonly PrefixKey[];
  /** Prompt tokens that were expected to be cached. */
  readonly cachedTokens?: number;
}

/** Outcome of a call, for the health of its engines. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly firstTokenMs: Millis;
      readonly tokenGapMs: Millis | null;
      /** Number of answer tokens, if known. */
      readonly tokens?: number;
    }
  /** `isSilent`: the chain timed out without output from any engine, while other calls continued. */
  | { readonly kind: 'failed'; readonly engine: EngineId | null; readonly isSilent?: boolean }
  | { readonly kind: 'cancelled' };
