/**
 * Brings a failure domain's engines to hold what the plan says, while this instance has the duty. An
 * engine is asked for its count of orders first, and an order names that count: one that was delayed on
 * its way, or that an earlier holder sent, then no longer fits and changes nothing.
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
  /** Copies of each layer that a domain may hold where its memory allows; 1 for one chain a domain. */
  readonly mostCopies: number;
  readonly onDecision: (decision: {
    readonly domain: DomainId;
    readonly engine: EngineId;
    readonly range: string;
    readonly outcome: string;
  }) => void;
}

export interface RelayPlacement {
  start(): Unregister;
}

const TICK: Millis = 200;
/** The same while this instance places nothing, as most do: it only has to notice a duty that is new. */
const IDLE_TICK: Millis = 600;
const ORDER_TIMEOUT: Millis = 1000;
/** Time beyond the load itself after which an order without effect is taken for lost. */
const ORDER_PATIENCE: Millis = 4000;
const RETRY_PAUSE: Millis = 600;

interface PendingOrder {
  readonly range: LayerRange;
  readonly until: Millis;
}

/** A service that is a pipeline, with its engines by failure domain. */
interface PlacedService {
  readonly service: RoutedService;
  readonly pipeline: PipelineFacts;
  readonly byDomain: ReadonlyMap<DomainId, readonly BackendEntry[]>;
}

/** What a domain is being brought to. Kept until its engines change, so that orders do not chase reports. */
type DomainGoal = Map<EngineId, LayerRange>;

const NO_GOAL: DomainGoal = new Map();

export function createRelayPlacement(options: RelayPlacementOptions): RelayPlacement {
  const { timers, catalogue, getTable, hasDuty: holds, port, mostCopies } = options;
  const pending = new Map<EngineId, PendingOrder>();
  const paused = new Map<EngineId, Millis>();
  const goals = new Map<string, DomainGoal>();
  const patience = createReplanDelays(timers);

  function getGoal(key: string): DomainGoal {
    const goal: DomainGoal = goals.get(key) ?? new Map<EngineId, LayerRange>();
    goals.set(key, goal);
    return goal;
  }

  async function sendOrder(
    entry: BackendEntry,
    range: LayerRange,
    pipeline: PipelineFacts,
  ): Promise<void> {
    const share = (range.end - range.first) / pipeline.layers;
    const until = timers.now() + pipeline.load * share + ORDER_PATIENCE;
    pending.set(entry.id, { range, until });
    const outcome = await askAndOrder(entry, range);
    if (outcome === 'stale' || outcome === 'refused' || outcome === 'busy') {
      pending.delete(entry.id);
      paused.set(entry.id, timers.now() + RETRY_PAUSE);
    }
    options.onDecision({
      domain: entry.domain,
      engine: entry.id,
      range: `${range.first}-${range.end}`,
      outcome,
    });
  }

  async function askAndOrder(
    entry: BackendEntry,
    range: LayerRange,
  ): Promise<RangeOrderAnswer | 'busy'> {
    const status = await port.readStatus(entry, ORDER_TIMEOUT);
    if (status === null) {
      return 'refused';
    }
    if (isAnotherLife(status, entry)) {
      // The plan was made for layers that ended with the earlier life; the new one's entry is on its way.
      return 'stale';
    }
    if (status.isBusy || !holds(entry.domain)) {
      return 'busy';
    }
    return port.order(entry, range, status.orderCount, ORDER_TIMEOUT);
  }

  function settlePending(): void {
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
    const goal = getGoal(key);
    const ids = new Set(live.map(({ id }) => id));
    [...goal.keys()].filter((id) => !ids.has(id)).forEach((id) => goal.delete(id));
    patience.observe(key, entries);
    replan(placed, domain, goal, live);
    const engines = listRangeEngines(live, pipeline, NO_GOAL);
    live.forEach((entry, i) => {
      const engine = engines[i];
      const wanted = goal.get(entry.id);
      const others = engines.filter((other) => other !== engine);
      const range = engine && wanted ? planStep(engine, wanted, others, pipeline) : null;
      const isWaiting = pending.has(entry.id) || (paused.get(entry.id) ?? 0) > timers.now();
      if (range && !isWaiting) {
        void sendOrder(entry, range, pipeline);
      }
    });
  }

  function replan(
    placed: PlacedService,
    domain: DomainId,
    goal: DomainGoal,
    live: readonly BackendEntry[],
  ): void {
    const { pipeline } = placed;
    const key = getKey(placed.service, domain);
    const engines = listRangeEngines(live, pipeline, goal);
    const isFresh = engines.every(({ held }) => held === null);
    if (isFresh && !patience.isSettled(key)) {
      return;
    }
    const hasGap = findGaps(engines, pipeline).length > 0;
    const mayMend = patience.isGapDue(key, hasGap);
    const plan = planCopies(engines, pipeline, mostCopies, {
      mayReassign: mayMend,
      mayRebuild: mayMend && patience.isLossGraceOver(key) && !isAwaiting(domain),
      mayBalance: patience.isStable(key),
      mayRepartition: !hasGap && mayTune(placed, domain),
    });
    plan?.forEach((range, id) => goal.set(id, range));
  }

  /**
   * Whether engines of a domain were found silent that are still registered. One that crashed is back within some
   * four seconds, most often just after its entry has lapsed, and loads what it held in one; a whole cut ends all
   * answers of the domain and loads for five.
   */
  function isAwaiting(domain: DomainId): boolean {
    return catalogue
      .listObserved()
      .some((entry) => entry.domain === domain && entry.state === LifeState.Leaving);
  }

  /**
   * Whether a whole domain may be cut anew for more room. It serves nothing meanwhile, so one does it at a
   * time, the first that gains by it, and only while all others are whole.
   */
  function mayTune({ service, pipeline, byDomain }: PlacedService, domain: DomainId): boolean {
    if (!patience.isStable(getKey(service, domain))) {
      return false;
    }
    const views = [...byDomain].map(([name, entries]) => {
      const live = entries.filter(({ state }) => state === LifeState.Live);
      const engines = listRangeEngines(live, pipeline, NO_GOAL);
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

  function tick(): boolean {
    settlePending();
    const isPlacing = options.domains.some(holds);
    if (!isPlacing) {
      goals.clear();
      return false;
    }
    for (const placed of listPlaced()) {
      [...placed.byDomain.keys()].forEach((domain) => {
        if (holds(domain)) {
          placeDomain(placed, domain);
        } else {
          // Another holder moves layers meanwhile: our old goals would take its work back.
          goals.delete(getKey(placed.service, domain));
        }
      });
    }
    return true;
  }

  function start(): Unregister {
    let undo = timers.registerTimeout(TICK, function fire() {
      undo = timers.registerTimeout(tick() ? TICK : IDLE_TICK, fire);
    });
    return () => undo();
  }

  return { start };
}

function isAnotherLife({ born }: EngineStatus, entry: BackendEntry): boolean {
  return born !== null && entry.born !== null && born !== entry.born;
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

/** Engines as the planner takes them, with the layers that they are to hold or, without a goal, hold. */
function listRangeEngines(
  entries: readonly BackendEntry[],
  pipeline: PipelineFacts,
  goal: ReadonlyMap<EngineId, LayerRange>,
): readonly RangeEngine[] {
  return entries.map((entry) => ({
    id: entry.id,
    memoryBytes: pipeline.accelerators.get(entry.accelerator ?? '')?.memoryBytes ?? 0,
    held: goal.get(entry.id) ?? entry.layers,
  }));
}
