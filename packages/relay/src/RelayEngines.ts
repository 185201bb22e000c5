/** Keeps routing told of the engines that are registered and of what they hold. */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { DaemonRouting } from '@skylarksail/daemon/DaemonRouting';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts } from '@skylarksail/routes/RouteTypes';
import { getOwnWork } from '@skylarksail/routing/RoutingCalls';
import type { Catalogue } from './RelayCatalogue.js';
import type { ExpectedWork } from './RelayFacts.js';
import { createEngineFacts, createEngineLoad } from './RelayFacts.js';
import type { BackendEntry } from './RelayTypes.js';

export interface RelayEnginesOptions {
  readonly timers: TimerService;
  readonly catalogue: Catalogue;
  readonly routing: DaemonRouting;
  readonly getTable: () => RouteTable | null;
  /** Live instances of the own failure domain, this one included. */
  readonly countOwnInstances: () => number;
}

/** How often the work of others is reckoned anew from our own. */
const REFRESH_PERIOD: Millis = 1000;

/** An engine's facts with what they were made of. */
interface KnownFacts {
  readonly entry: BackendEntry;
  readonly pipeline: PipelineFacts;
  readonly facts: EngineFacts | null;
}

export interface RelayEngines {
  /** Takes in the catalogue and the configuration as they are now. */
  refresh(): void;
  start(): Unregister;
}

export function createRelayEngines(options: RelayEnginesOptions): RelayEngines {
  const { timers, catalogue, routing, getTable, countOwnInstances } = options;

  /**
   * Facts as they were made last, while what they are made of is the same. New ones for engines that have not
   * changed would have routing plan all domains anew each second.
   */
  const known = new Map<EngineId, KnownFacts>();

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
    [...known.keys()].filter((id) => catalogue.get(id) === null).forEach((id) => known.delete(id));
  }

  /** Callers spread over the instances, so the others are reckoned to have as much on it as we do. */
  function expectWork(entry: BackendEntry, kvLayerTokens: number, instances: number): ExpectedWork {
    const own = getOwnWork(routing.getState(), entry.id);
    const layers = entry.layers ? entry.layers.end - entry.layers.first : 0;
    const used = own.kvTokens * instances * layers;
    return {
      running: own.calls * instances,
      kvUsed: kvLayerTokens > 0 ? Math.min(1, used / kvLayerTokens) : 1,
    };
  }

  function refresh(): void {
    const table = getTable();
    const now = timers.now();
    const instances = countOwnInstances();
    const found = catalogue.list().flatMap((entry) => {
      const pipeline = table?.findService(entry.service)?.pipeline;
      const facts = pipeline ? getFacts(entry, pipeline) : null;
      return facts ? [{ entry, facts }] : [];
    });
    if (known.size > found.length) {
      forgetGone();
    }
    routing.setFacts(found.map(({ facts }) => facts));
    routing.setEngineLoads(
      found.map(({ entry, facts }) => ({
        load: createEngineLoad(entry, expectWork(entry, facts.kvLayerTokens, instances)),
        seenAt: now,
      })),
    );
    found
      .filter(({ entry }) => entry.state === LifeState.Leaving)
      .forEach(({ entry }) => routing.setLeaving(entry.id));
  }

  return {
    refresh,
    start: () => timers.registerInterval(REFRESH_PERIOD, refresh),
  };
}
