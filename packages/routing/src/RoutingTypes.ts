/** The types of routing's state. */
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
import type { RoutingTuning } from './RoutingTuning.js';

/** Work that this instance itself has on an engine. */
export interface OwnWork {
  readonly calls: number;
  /** Tokens that its calls are expected to hold in the KV cache. */
  readonly kvTokens: number;
  /** Prompt tokens of calls that have not yet given a first token. */
  readonly prefillTokens: number;
}

/** The latest load report, with our own work on the engine when it came. */
export interface KnownLoad extends SeenEngineLoad {
  readonly own: OwnWork;
  /** Pool that the engine is in, or null if it holds nothing. */
  readonly poolKey: string | null;
  /** Our own calls in the whole pool at that time. */
  readonly ownPoolCalls: number;
}

/** Facts of a model that routing needs. */
export interface RoutedModel {
  readonly id: ModelId;
  /**
   * Mean tokens of its answers, where they are known. Answers are mostly far shorter than callers allow: with
   * memory reckoned for all of that, requests are turned away by engines that have room for them.
   */
  readonly usualAnswerTokens?: number;
  readonly activationBytes: number;
}

/** The plan of a pool, with what it was made from. */
export interface PlannedPool {
  readonly pool: Pool;
  readonly links: readonly LinkFacts[];
  /** Engines that were not to be used when it was made. */
  readonly excluded: string;
  /** Mix of prompt and answer that it was made for. */
  readonly promptTokensPerToken: number;
  readonly plan: CapacityPlan;
}

/** What calls have shown of the mix of prompt and answer, with older calls fading. */
export interface WorkMix {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

export interface RoutingState {
  readonly engines: ReadonlyMap<EngineId, EngineFacts>;
  readonly models: ReadonlyMap<ModelId, RoutedModel>;
  readonly loads: ReadonlyMap<EngineId, KnownLoad>;
  /** When the first report was made; what appears much later has joined a running fleet. */
  readonly firstLoadAt: Millis | null;
  readonly leaving: ReadonlySet<EngineId>;
  /** Engines whose reports stopped while their peers' go on. */
  readonly silent: ReadonlySet<EngineId>;
  readonly links: readonly LinkFacts[];
  readonly regions: ReadonlyMap<DomainId, RegionId>;
  readonly domains: ReadonlyMap<DomainId, DomainReach>;
  /** Other domains of which nothing came over a whole chain: until when we keep off them. */
  readonly suspected: ReadonlyMap<DomainId, Millis>;
  readonly own: BucketMap<OwnWork>;
  readonly health: BucketMap<EngineHealth>;
  readonly prefixes: PrefixTable;
  readonly pools: PoolIndex;
  readonly plans: ReadonlyMap<string, PlannedPool>;
  /** Own calls by pool. */
  readonly poolCalls: ReadonlyMap<string, number>;
  /** Own calls in other domains. */
  readonly crossDomainCalls: ReadonlyMap<DomainId, number>;
  /** Hops between racks that were late lately, and prompts of ours that cross any hop now. */
  readonly hops: ReadonlyMap<string, HopHealth>;
  readonly hopPrompts: BucketMap<number>;
  readonly mix: WorkMix;
  readonly tuning: RoutingTuning;
}

/** A call that runs on a chain, as it was recorded at its start. */
export interface RoutedCall {
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens of the answer for which memory is reckoned, where fewer than all. */
  readonly answerTokens?: number;
  /** Prefixes that the engines will have cached, and the tokens that were expected to be. */
  readonly prefixKeys?: readonly PrefixKey[];
  readonly cachedTokens?: number;
}

/** How a call ended, for the health of its engines. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly firstTokenMs: Millis;
      readonly tokenGapMs: Millis | null;
      /** Tokens of the answer, if known. */
      readonly tokens?: number;
    }
  /** `isSilent`: nothing came over any engine of the chain, though others went on. */
  | { readonly kind: 'failed'; readonly engine: EngineId | null; readonly isSilent?: boolean }
  | { readonly kind: 'cancelled' };
