/** Reports the registered engines, the layers that they hold and their load to routing. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts } from '@skylarksail/routes/RouteTypes';
import { getOwnWork } from '@skylarksail/routing/RoutingCalls';
import { getDomainRoom, getRoomShare } from '@skylarksail/routing/RoutingRoom';
import type { Catalogue } from './RelayCatalogue.js';
import type { ExpectedWork } from './RelayFacts.js';
import { createEngineFacts, createEngineLoad, ONLY_VERSION } from './RelayFacts.js';
import type { BackendEntry } from './RelayTypes.js';
import type { EngineWork, PeerWork } from './RelayWork.js';

export interface RelayEnginesOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly catalogue: Catalogue;
  readonly routing: DaemonRouting;
  readonly getTable: () => RouteTable | null;
  /** Number of live instances in this instance's failure domain, including itself. */
  readonly countOwnInstances: () => number;
  /** Work that other instances of this failure domain have on an engine; null if unknown. */
  readonly getOthersWork: (engine: EngineId) => PeerWork | null;
  /** Called before the catalogue and configuration are applied. */
  readonly beforeRefresh?: () => void;
}

/** How often engine loads are recalculated: as often as other instances report their work. */
const REFRESH_PERIOD: Millis = 600;
/**
 * Share of memory or slots in use from which an engine counts as near its limit: whether it has room then depends on
 * the work of other instances.
 */
const CROWDED = 0.6;
/**
 * How often an engine without work is reported: less than half of the time without reports after which routing treats
 * an engine as silent.
 */
const IDLE_REPORT_PERIOD: Millis = 2000;

/**
 * Largest share of an engine's memory that its work may be reported to need, where requests share memory: admission depends
 * on how far the expected need exceeds the memory. The bound keeps an absurd report on one engine from filling the whole domain.
 */
const MAX_KV_USED = 2;

/** An engine's facts, with the inputs from which they were derived. */
interface CachedFacts {
  readonly entry: BackendEntry;
  readonly pipeline: PipelineFacts;
  readonly facts: EngineFacts | null;
}

interface DescribedEngine {
  readonly entry: BackendEntry;
  readonly facts: EngineFacts;
}

export interface RelayEngines {
  /** Applies the current catalogue and configuration. */
  refresh(): void;
  /** Applies the work that other instances have on the engines of this instance's domain. */
  refreshOwnLoads(): void;
  /** Whether any engine of this instance's domain is known to be near its limit. */
  isCrowded(): boolean;
  /** Lists the work of this instance by engine, without engines where it has none. */
  readOwnWork(): readonly EngineWork[];
  start(): Unregister;
}

export function createRelayEngines(options: RelayEnginesOptions): RelayEngines {
  const { domain, timers, catalogue, routing, getTable, countOwnInstances } = options;

  /**
   * Facts by engine, reused while their inputs stay the same. New objects for unchanged engines would make routing
   * plan all domains again every second.
   */
  const known = new Map<EngineId, CachedFacts>();
  /** When each engine without work was last reported, and its entry at that time. */
  const idleReports = new Map<EngineId, { readonly entry: BackendEntry; readonly at: Millis }>();

  function getFacts(entry: BackendEntry, pipeline: PipelineFacts): EngineFacts | null {
    const before = known.get(entry.id);
    if (before?.entry === entry && before.pipeline === pipeline) {
      return before.facts;
    }
    const facts = createEngineFacts(entry, pipeline);
    known.set(entry.id, { entry, pipeline, facts });
    return facts;
  }

  function evictRemovedEngines(): void {
    const gone = [...known.keys()].filter((id) => catalogue.get(id) === null);
    gone.forEach((id) => {
      known.delete(id);
      idleReports.delete(id);
    });
  }

  /**
   * Adds the work that other instances report. Without reports, each other instance is assumed to have as much work as
   * this one, because callers are spread over all instances.
   */
  function countWork(entry: BackendEntry, instances: number): PeerWork {
    const own = getOwnWork(routing.getState(), entry.id);
    const others = options.getOthersWork(entry.id);
    if (others === null) {
      return { calls: own.calls * instances, kvTokens: own.kvTokens * instances };
    }
    const prefillTokens = own.prefillTokens + readPrefillTokens(others);
    return {
      calls: own.calls + others.calls,
      kvTokens: own.kvTokens + others.kvTokens,
      prefillTokens,
    };
  }

  function isMemoryShared({ service }: BackendEntry): boolean {
    return routing.getState().models.get(service)?.isMemoryShared ?? false;
  }

  function estimateWork(
    entry: BackendEntry,
    kvLayerTokens: number,
    instances: number,
  ): ExpectedWork {
    const { calls, kvTokens, prefillTokens } = countWork(entry, instances);
    const layers = entry.layers ? entry.layers.end - entry.layers.first : 0;
    const used = kvTokens * layers;
    const mostUsed = isMemoryShared(entry) ? MAX_KV_USED : 1;
    const kvUsed = kvLayerTokens > 0 ? Math.min(mostUsed, used / kvLayerTokens) : 1;
    return { running: calls, kvUsed, prefillTokens };
  }

  function hasCrowdedEngine(): boolean {
    const { loads, engines } = routing.getState();
    return catalogue.list().some((entry) => {
      if (isMemoryShared(entry)) {
        return false;
      }
      const load = entry.domain === domain ? loads.get(entry.id)?.load : undefined;
      const most = engines.get(entry.id)?.maxBatch ?? Infinity;
      return load !== undefined && (load.kvUsed >= CROWDED || load.running >= CROWDED * most);
    });
  }

  /**
   * Whether the domain is short of memory that requests share. A single full engine is no reason for more reports there: while
   * the others with its layers have memory, the choice of chains avoids it.
   */
  function isDomainCrowded(): boolean {
    const state = routing.getState();
    return [...state.models.values()].some(({ id, isMemoryShared: isShared }) => {
      const layers = getTable()?.findService(id)?.pipeline?.layers;
      const variant = { model: id, version: ONLY_VERSION, adapter: null };
      const room =
        isShared && layers ? getDomainRoom(state, variant, layers, domain, timers.now()) : null;
      return room !== null && getRoomShare(room) >= CROWDED;
    });
  }

  function readOwnWork(): readonly EngineWork[] {
    const state = routing.getState();
    return catalogue
      .list()
      .map(({ id }) => ({ engine: id, ...getOwnWork(state, id) }))
      .filter(({ calls }) => calls > 0)
      .map(({ engine, calls, kvTokens, prefillTokens }) => ({
        engine,
        calls,
        kvTokens,
        prefillTokens,
      }));
  }

  function listDescribedEngines(): readonly DescribedEngine[] {
    const table = getTable();
    return catalogue.list().flatMap((entry) => {
      const pipeline = table?.findService(entry.service)?.pipeline;
      const facts = pipeline ? getFacts(entry, pipeline) : null;
      return facts ? [{ entry, facts }] : [];
    });
  }

  function setLoads(engines: readonly DescribedEngine[]): void {
    const seenAt = timers.now();
    const instances = countOwnInstances();
    const loads = engines.flatMap((engine) => {
      const { entry, facts } = engine;
      const work = estimateWork(entry, facts.kvLayerTokens, instances);
      return shouldReport(entry, work, seenAt)
        ? [{ load: createEngineLoad(entry, work), seenAt }]
        : [];
    });
    routing.setEngineLoads(loads);
  }

  /** Limits reports of engines that stay without work, as most engines do from the view of a single instance. */
  function shouldReport(entry: BackendEntry, work: ExpectedWork, now: Millis): boolean {
    const before = idleReports.get(entry.id);
    if (work.running > 0) {
      idleReports.delete(entry.id);
      return true;
    }
    if (before?.entry === entry && now - before.at < IDLE_REPORT_PERIOD) {
      return false;
    }
    idleReports.set(entry.id, { entry, at: now });
    return true;
  }

  function refresh(): void {
    options.beforeRefresh?.();
    const engines = listDescribedEngines();
    if (known.size > engines.length) {
      evictRemovedEngines();
    }
    routing.setEngineFacts(engines.map(({ facts }) => facts));
    setLoads(engines);
    engines
      .filter(({ entry }) => entry.state === LifeState.Leaving)
      .forEach(({ entry }) => routing.setLeaving(entry.id));
  }

  return {
    refresh,
    refreshOwnLoads: () =>
      setLoads(listDescribedEngines().filter(({ entry }) => entry.domain === domain)),
    isCrowded: () => hasCrowdedEngine() || isDomainCrowded(),
    readOwnWork,
    start: () => timers.registerInterval(REFRESH_PERIOD, refresh),
  };
}

/** Prompt tokens of a report; 0 if it claims more than its calls hold in the KV cache, of which prompts are a part. */
function readPrefillTokens({ kvTokens, prefillTokens = 0 }: PeerWork): number {
  return prefillTokens >= 0 && prefillTokens <= kvTokens ? prefillTokens : 0;
}
