/** Keeps routing told of the engines that are registered and of what they hold. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { DomainId, EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts } from '@skylarksail/routes/RouteTypes';
import { getOwnWork } from '@skylarksail/routing/RoutingCalls';
import type { Catalogue } from './RelayCatalogue.js';
import type { ExpectedWork } from './RelayFacts.js';
import { createEngineFacts, createEngineLoad } from './RelayFacts.js';
import type { BackendEntry } from './RelayTypes.js';
import type { EngineWork, PeerWork } from './RelayWork.js';

export interface RelayEnginesOptions {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly catalogue: Catalogue;
  readonly routing: DaemonRouting;
  readonly getTable: () => RouteTable | null;
  /** Live instances of the own failure domain, this one included. */
  readonly countOwnInstances: () => number;
  /** Work of the other instances of the own failure domain on an engine; null if it is not known. */
  readonly getOthersWork: (engine: EngineId) => PeerWork | null;
}

/** How often the work on engines is reckoned anew: as often as others' is heard of. */
const REFRESH_PERIOD: Millis = 600;
/** Part of an engine's memory or slots from which on the work of others decides whether there is room. */
const CROWDED = 0.6;
/** Half of the time after which routing takes an engine that it is told nothing of for silent, and less. */
const IDLE_PERIOD: Millis = 2000;

/** An engine's facts with what they were made of. */
interface KnownFacts {
  readonly entry: BackendEntry;
  readonly pipeline: PipelineFacts;
  readonly facts: EngineFacts | null;
}

interface FoundEngine {
  readonly entry: BackendEntry;
  readonly facts: EngineFacts;
}

export interface RelayEngines {
  /** Takes in the catalogue and the configuration as they are now. */
  refresh(): void;
  /** Takes in what the others have running on the own domain's engines. */
  refreshOwnLoads(): void;
  /** Whether an engine of the own domain is near its limit, as far as is known. */
  isCrowded(): boolean;
  /** What this instance has running, engine by engine. */
  readOwnWork(): readonly EngineWork[];
  start(): Unregister;
}

export function createRelayEngines(options: RelayEnginesOptions): RelayEngines {
  const { domain, timers, catalogue, routing, getTable, countOwnInstances } = options;

  /**
   * Facts as they were made last, while what they are made of is the same. New ones for engines that have not
   * changed would have routing plan all domains anew each second.
   */
  const known = new Map<EngineId, KnownFacts>();
  /** When engines without work were last told of, and what their entries said then. */
  const idleSince = new Map<EngineId, { readonly entry: BackendEntry; readonly at: Millis }>();

  function getFacts(entry: BackendEntry, pipeline: PipelineFacts): EngineFacts | null {
    const before = known.get(entry.id);
    if (before?.entry === entry && before.pipeline === pipeline) {
      return before.facts;
    }
    const facts = createEngineFacts(entry, pipeline);
    known.set(entry.id, { entry, pipeline, facts });
    return facts;
  }

  function forgetGone(): void {
    const gone = [...known.keys()].filter((id) => catalogue.get(id) === null);
    gone.forEach((id) => {
      known.delete(id);
      idleSince.delete(id);
    });
  }

  /** What others told of, or, where nobody did, as much for each of them as we have: callers spread over all. */
  function countWork(entry: BackendEntry, instances: number): PeerWork {
    const own = getOwnWork(routing.getState(), entry.id);
    const others = options.getOthersWork(entry.id);
    return others === null
      ? { calls: own.calls * instances, kvTokens: own.kvTokens * instances }
      : { calls: own.calls + others.calls, kvTokens: own.kvTokens + others.kvTokens };
  }

  function expectWork(entry: BackendEntry, kvLayerTokens: number, instances: number): ExpectedWork {
    const { calls, kvTokens } = countWork(entry, instances);
    const layers = entry.layers ? entry.layers.end - entry.layers.first : 0;
    const used = kvTokens * layers;
    return { running: calls, kvUsed: kvLayerTokens > 0 ? Math.min(1, used / kvLayerTokens) : 1 };
  }

  function isCrowded(): boolean {
    const { loads, engines } = routing.getState();
    return catalogue.list().some((entry) => {
      const load = entry.domain === domain ? loads.get(entry.id)?.load : undefined;
      const most = engines.get(entry.id)?.maxBatch ?? Infinity;
      return load !== undefined && (load.kvUsed >= CROWDED || load.running >= CROWDED * most);
    });
  }

  function readOwnWork(): readonly EngineWork[] {
    const state = routing.getState();
    return catalogue
      .list()
      .map(({ id }) => ({ engine: id, ...getOwnWork(state, id) }))
      .filter(({ calls }) => calls > 0)
      .map(({ engine, calls, kvTokens }) => ({ engine, calls, kvTokens }));
  }

  function listFound(): readonly FoundEngine[] {
    const table = getTable();
    return catalogue.list().flatMap((entry) => {
      const pipeline = table?.findService(entry.service)?.pipeline;
      const facts = pipeline ? getFacts(entry, pipeline) : null;
      return facts ? [{ entry, facts }] : [];
    });
  }

  function setLoads(found: readonly FoundEngine[]): void {
    const seenAt = timers.now();
    const instances = countOwnInstances();
    const loads = found.flatMap((engine) => {
      const { entry, facts } = engine;
      const work = expectWork(entry, facts.kvLayerTokens, instances);
      return isNews(entry, work, seenAt) ? [{ load: createEngineLoad(entry, work), seenAt }] : [];
    });
    routing.setEngineLoads(loads);
  }

  /** An engine with no work that had none before is told of seldom: most are so, at most instances. */
  function isNews(entry: BackendEntry, work: ExpectedWork, now: Millis): boolean {
    const before = idleSince.get(entry.id);
    if (work.running > 0) {
      idleSince.delete(entry.id);
      return true;
    }
    if (before?.entry === entry && now - before.at < IDLE_PERIOD) {
      return false;
    }
    idleSince.set(entry.id, { entry, at: now });
    return true;
  }

  function refresh(): void {
    const found = listFound();
    if (known.size > found.length) {
      forgetGone();
    }
    routing.setFacts(found.map(({ facts }) => facts));
    setLoads(found);
    found
      .filter(({ entry }) => entry.state === LifeState.Leaving)
      .forEach(({ entry }) => routing.setLeaving(entry.id));
  }

  return {
    refresh,
    refreshOwnLoads: () => setLoads(listFound().filter(({ entry }) => entry.domain === domain)),
    isCrowded,
    readOwnWork,
    start: () => timers.registerInterval(REFRESH_PERIOD, refresh),
  };
}
