/**
 * Sends orders to the engines of a failure domain until they hold the planned layers, while this instance has the
 * placement duty. Each order carries the engine's order count, which is queried before. An engine whose count has
 * changed rejects the order, so orders that were delayed or sent by an earlier holder of the duty have no effect.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import { LifeState } from '@skylarksail/core/CoreConstants';
import type {
  DomainId,
  EngineId,
  LayerRange,
  Millis,
  Unregister,
} from '@skylarksail/core/CoreTypes';
import type { RangeEngine } from '@skylarksail/placement/PlacementRanges';
import { hasCopies, planCopies } from '@skylarksail/placement/PlacementCopies';
import { findGaps, planRanges } from '@skylarksail/placement/PlacementRanges';
import { isSameRange, planStep } from '@skylarksail/placement/PlacementSteps';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts, RoutedService } from '@skylarksail/routes/RouteTypes';
import type { Catalogue } from './RelayCatalogue.js';
import { createReplanDelays } from './RelayReplanDelays.js';
import type { EngineStatus, RangeOrderAnswer, RangeOrderPort } from './RelayPorts.js';
import type { BackendEntry } from './RelayTypes.js';

export interface RelayPlacementOptions {
  readonly timers: TimerService;
  readonly catalogue: Catalogue;
  readonly getTable: () => RouteTable | null;
  readonly hasDuty: (domain: DomainId) => boolean;
  /** All failure domains of the deployment. */
  readonly domains: readonly DomainId[];
  readonly port: RangeOrderPort;
  /** Maximum number of copies of each layer that a domain holds where its memory allows; 1 for one chain per domain. */
  readonly mostCopies: number;
  /** Whether requests to a pipeline's model share memory, so that a domain is laid out for the most requests. */
  readonly isMemoryShared: (pipeline: PipelineFacts) => boolean;
  readonly onDecision: (decision: {
    readonly domain: DomainId;
    readonly engine: EngineId;
    readonly range: string;
    readonly outcome: string;
  }) => void;
}

export interface RelayPlacement {
  start(): Unregister;
  /** Number of engines whose orders or pauses are kept; none may stay once its engine is gone. */
  countEngines(): number;
  /** Number of domains of services whose plans and changes are kept; none may stay once its service is gone. */
  countDomains(): number;
}

const TICK_PERIOD: Millis = 200;
/** Period while this instance has no duty, as most instances do; it only has to notice a new duty. */
const IDLE_TICK_PERIOD: Millis = 600;
const ORDER_TIMEOUT: Millis = 1000;
/** Time after the expected end of the load until an order without effect counts as lost. */
const ORDER_GRACE: Millis = 4000;
const RETRY_PAUSE: Millis = 600;

interface PendingOrder {
  readonly range: LayerRange;
  readonly until: Millis;
}

/** A pipeline service with its engines, grouped by failure domain. */
interface PlacedService {
  readonly service: RoutedService;
  readonly pipeline: PipelineFacts;
  readonly byDomain: ReadonlyMap<DomainId, readonly BackendEntry[]>;
}

/**
 * The layers that each engine of a domain should hold. Kept until the domain's engines change, so that reports of
 * partly executed orders do not cause new plans.
 */
type DomainTarget = Map<EngineId, LayerRange>;

const NO_TARGET: DomainTarget = new Map();

/** What a plan was made from. */
interface PlannedInputs {
  readonly pipeline: PipelineFacts;
  /** The engines with their layers, the permitted changes, and what limits the engines. */
  readonly inputs: string;
}

export function createRelayPlacement(options: RelayPlacementOptions): RelayPlacement {
  const { timers, catalogue, getTable, hasDuty: holds, port, mostCopies } = options;
  const pending = new Map<EngineId, PendingOrder>();
  const pausedUntil = new Map<EngineId, Millis>();
  const targets = new Map<string, DomainTarget>();
  const patience = createReplanDelays(timers);
  /** Inputs for which a domain's last plan had no change; planning takes many times as long as comparing inputs. */
  const unchanged = new Map<string, PlannedInputs>();

  function getTarget(key: string): DomainTarget {
    const target: DomainTarget = targets.get(key) ?? new Map<EngineId, LayerRange>();
    targets.set(key, target);
    return target;
  }

  async function sendOrder(
    entry: BackendEntry,
    range: LayerRange,
    pipeline: PipelineFacts,
  ): Promise<void> {
    const share = (range.end - range.first) / pipeline.layers;
    const until = timers.now() + pipeline.load * share + ORDER_GRACE;
    pending.set(entry.id, { range, until });
    const outcome = await checkAndOrder(entry, range);
    if (outcome === 'stale' || outcome === 'refused' || outcome === 'busy') {
      pending.delete(entry.id);
      pausedUntil.set(entry.id, timers.now() + RETRY_PAUSE);
    }
    options.onDecision({
      domain: entry.domain,
      engine: entry.id,
      range: `${range.first}-${range.end}`,
      outcome,
    });
  }

  async function checkAndOrder(
    entry: BackendEntry,
    range: LayerRange,
  ): Promise<RangeOrderAnswer | 'busy'> {
    const status = await port.readStatus(entry, ORDER_TIMEOUT);
    if (status === null) {
      return 'refused';
    }
    if (isOtherIncarnation(status, entry)) {
      // The plan assumes layers that the engine lost in its restart; the entry of the new incarnation follows.
      return 'stale';
    }
    if (status.isBusy || !holds(entry.domain)) {
      return 'busy';
    }
    return port.order(entry, range, status.orderCount, ORDER_TIMEOUT);
  }

  function pruneEngines(): void {
    for (const [id, until] of pausedUntil) {
      if (catalogue.get(id) === null || timers.now() >= until) {
        pausedUntil.delete(id);
      }
    }
    for (const [id, { range, until }] of pending) {
      const entry = catalogue.get(id);
      if (entry === null || isSameRange(entry.layers, range) || timers.now() >= until) {
        pending.delete(id);
      }
    }
  }

  function placeDomain(placed: PlacedService, domain: DomainId): void {
    const { service, pipeline } = placed;
    const key = getKey(service, domain);
    const entries = placed.byDomain.get(domain) ?? [];
    const live = entries.filter(({ state }) => state === LifeState.Live);
    const target = getTarget(key);
    const ids = new Set(live.map(({ id }) => id));
    [...target.keys()].filter((id) => !ids.has(id)).forEach((id) => target.delete(id));
    patience.observe(key, entries);
    replan(placed, domain, target, live);
    const engines = listRangeEngines(live, pipeline, NO_TARGET);
    live.forEach((entry, i) => {
      const engine = engines[i];
      const targetRange = target.get(entry.id);
      const others = engines.filter((other) => other !== engine);
      const range = engine && targetRange ? planStep(engine, targetRange, others, pipeline) : null;
      const isWaiting = pending.has(entry.id) || pausedUntil.has(entry.id);
      if (range && !isWaiting) {
        void sendOrder(entry, range, pipeline);
      }
    });
  }

  function replan(
    placed: PlacedService,
    domain: DomainId,
    target: DomainTarget,
    live: readonly BackendEntry[],
  ): void {
    const { pipeline } = placed;
    const key = getKey(placed.service, domain);
    const engines = listRangeEngines(live, pipeline, target);
    const isUnplaced = engines.every(({ held }) => held === null);
    if (isUnplaced && !patience.isSettled(key)) {
      return;
    }
    const hasGap = findGaps(engines, pipeline).length > 0;
    const mayMend = patience.isGapDue(key, hasGap);
    const permitted = {
      mayReassign: mayMend,
      mayRebuild: mayMend && patience.isLossGraceOver(key) && !isAwaitingReturn(domain),
      mayBalance: patience.isStable(key),
      mayRepartition: !hasGap && mayRecutDomain(placed, domain),
    };
    const isMemoryBound = options.isMemoryShared(pipeline);
    const inputs = describeInputs(engines, { ...permitted, isMemoryBound });
    const before = unchanged.get(key);
    if (before?.pipeline === pipeline && before.inputs === inputs) {
      return;
    }
    const plan = planCopies(engines, { ...pipeline, isMemoryBound }, mostCopies, permitted);
    if (plan === null) {
      unchanged.set(key, { pipeline, inputs });
    }
    plan?.forEach((range, id) => target.set(id, range));
  }

  /**
   * Whether a domain has engines that were observed not to answer and are still registered. A crashed engine usually
   * returns within four seconds, most often just after its entry has lapsed, and loads its former layers in one
   * second. Repartitioning the whole domain breaks off all its answers and loads for five seconds.
   */
  function isAwaitingReturn(domain: DomainId): boolean {
    return catalogue
      .listObserved()
      .some((entry) => entry.domain === domain && entry.state === LifeState.Leaving);
  }

  /**
   * Whether the layers of a whole domain may be repartitioned for more capacity. The domain serves nothing meanwhile,
   * so only one domain does this at a time: the first by name that gains capacity, and only while no other domain
   * lacks a layer.
   */
  function mayRecutDomain(
    { service, pipeline, byDomain }: PlacedService,
    domain: DomainId,
  ): boolean {
    if (!patience.isStable(getKey(service, domain))) {
      return false;
    }
    const views = [...byDomain].map(([name, entries]) => {
      const live = entries.filter(({ state }) => state === LifeState.Live);
      const engines = listRangeEngines(live, pipeline, NO_TARGET);
      return {
        name,
        isWhole: findGaps(engines, pipeline).length === 0,
        gains: !hasCopies(engines) && planRanges(engines, pipeline, true) !== null,
      };
    });
    const others = views.filter(({ name }) => name !== domain);
    return (
      others.length > 0 &&
      others.every(({ isWhole }) => isWhole) &&
      !others.some(({ name, gains }) => gains && name < domain)
    );
  }

  function listPlaced(): readonly PlacedService[] {
    const entries = catalogue.list();
    return (getTable()?.config.services ?? []).flatMap((service) => {
      const { pipeline } = service;
      return pipeline ? [{ service, pipeline, byDomain: groupByDomain(entries, service.id) }] : [];
    });
  }

  /**
   * Drops what is kept of services that are gone, and targets of domains that this instance does not hold: another
   * holder may move layers now, and targets from before would undo its changes. A domain may have no engines when its
   * duty changes hands.
   */
  function pruneDomains(services: readonly PlacedService[]): void {
    patience.keepOnly(listKeys(services, () => true));
    const held = listKeys(services, holds);
    [...targets.keys()].filter((key) => !held.has(key)).forEach((key) => targets.delete(key));
    [...unchanged.keys()].filter((key) => !held.has(key)).forEach((key) => unchanged.delete(key));
  }

  function listKeys(
    services: readonly PlacedService[],
    isIncluded: (domain: DomainId) => boolean,
  ): ReadonlySet<string> {
    return new Set(
      services.flatMap(({ service, byDomain }) =>
        [...options.domains, ...byDomain.keys()]
          .filter(isIncluded)
          .map((domain) => getKey(service, domain)),
      ),
    );
  }

  function tick(): boolean {
    pruneEngines();
    const isPlacing = options.domains.some(holds);
    if (!isPlacing) {
      targets.clear();
      unchanged.clear();
      return false;
    }
    const services = listPlaced();
    pruneDomains(services);
    for (const placed of services) {
      [...placed.byDomain.keys()].filter(holds).forEach((domain) => placeDomain(placed, domain));
    }
    return true;
  }

  function start(): Unregister {
    let cancel = timers.registerTimeout(TICK_PERIOD, function fire() {
      cancel = timers.registerTimeout(tick() ? TICK_PERIOD : IDLE_TICK_PERIOD, fire);
    });
    return () => cancel();
  }

  return {
    start,
    countEngines: () => new Set([...pending.keys(), ...pausedUntil.keys()]).size,
    countDomains: () => Math.max(targets.size, unchanged.size, patience.count()),
  };
}

function isOtherIncarnation({ born }: EngineStatus, entry: BackendEntry): boolean {
  return born !== null && entry.born !== null && born !== entry.born;
}

function describeInputs(
  engines: readonly RangeEngine[],
  conditions: Readonly<Record<string, boolean>>,
): string {
  const held = engines.map(
    ({ id, memoryBytes, held: range }) =>
      `${id} ${memoryBytes} ${range ? `${range.first}-${range.end}` : ''}`,
  );
  return [...held, ...Object.values(conditions)].join();
}

function getKey({ id }: RoutedService, domain: DomainId): string {
  return `${id}/${domain}`;
}

function groupByDomain(
  entries: readonly BackendEntry[],
  service: string,
): ReadonlyMap<DomainId, readonly BackendEntry[]> {
  const groups = new Map<DomainId, BackendEntry[]>();
  for (const entry of entries) {
    if (entry.service === service) {
      groups.set(entry.domain, [...(groups.get(entry.domain) ?? []), entry]);
    }
  }
  return groups;
}

/** Converts entries to the planner's form, with an engine's target layers or, without a target, those that it holds. */
function listRangeEngines(
  entries: readonly BackendEntry[],
  pipeline: PipelineFacts,
  target: ReadonlyMap<EngineId, LayerRange>,
): readonly RangeEngine[] {
  return entries.map((entry) => ({
    id: entry.id,
    memoryBytes: pipeline.accelerators.get(entry.accelerator ?? '')?.memoryBytes ?? 0,
    held: target.get(entry.id) ?? entry.layers,
  }));
}
