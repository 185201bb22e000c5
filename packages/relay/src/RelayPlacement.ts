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
import { findGaps, planRanges } from '@skylarksail/placement/PlacementRanges';
import type { RouteTable } from '@skylarksail/routes/RouteTable';
import type { PipelineFacts, RoutedService } from '@skylarksail/routes/RouteTypes';
import type { Catalogue } from './RelayCatalogue.js';
import type { BackendEntry } from './RelayTypes.js';

/** What an engine says of its orders. */
export interface EngineStatus {
  /** Orders that it has accepted since its start. */
  readonly orderCount: number;
  /** Whether one is being carried out. */
  readonly isBusy: boolean;
}

/** `stale`: another order came first. `refused`: it does not fit. */
export type RangeOrderAnswer = 'accepted' | 'stale' | 'refused' | 'unknown';

/** The orders' way to the engines. */
export interface RangeOrderPort {
  readStatus(entry: BackendEntry, timeout: Millis): Promise<EngineStatus | null>;
  /** Orders an engine to hold `range`, provided that it has accepted `orderCount` orders so far. */
  order(
    entry: BackendEntry,
    range: LayerRange,
    orderCount: number,
    timeout: Millis,
  ): Promise<RangeOrderAnswer>;
}

export interface RelayPlacementOptions {
  readonly timers: TimerService;
  readonly catalogue: Catalogue;
  readonly getTable: () => RouteTable | null;
  readonly holds: (domain: DomainId) => boolean;
  readonly port: RangeOrderPort;
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
/** A domain whose layers are all held waits so long after its last change before it is cut anew. */
const SETTLE_TIME: Millis = 1000;
const ORDER_TIMEOUT: Millis = 1000;
/** Time beyond the load itself after which an order without effect is taken for lost. */
const ORDER_PATIENCE: Millis = 4000;
const RETRY_PAUSE: Millis = 600;

/** Time that a lost engine has to come back, or a new one to come, before all others are cut anew. */
const GAP_PATIENCE: Millis = 1500;

interface PendingOrder {
  readonly range: LayerRange;
  readonly until: Millis;
}

/** What a domain is being brought to. Kept until its engines change, so that orders do not chase reports. */
type DomainGoal = Map<EngineId, LayerRange>;

export function createRelayPlacement(options: RelayPlacementOptions): RelayPlacement {
  const { timers, catalogue, getTable, holds, port } = options;
  const pending = new Map<EngineId, PendingOrder>();
  const paused = new Map<EngineId, Millis>();
  const goals = new Map<string, DomainGoal>();
  /** Since when layers of a domain are missing. */
  const gapSince = new Map<string, Millis>();
  let changedAt = timers.now();
  let known = '';

  function getGoal(key: string): DomainGoal {
    const goal: DomainGoal = goals.get(key) ?? new Map<EngineId, LayerRange>();
    goals.set(key, goal);
    return goal;
  }

  function getGapAge(key: string, hasGap: boolean): Millis {
    const now = timers.now();
    const since = hasGap ? (gapSince.get(key) ?? now) : null;
    if (since === null) {
      gapSince.delete(key);
      return 0;
    }
    gapSince.set(key, since);
    return now - since;
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
    if (status.isBusy || !holds(entry.domain)) {
      return 'busy';
    }
    return port.order(entry, range, status.orderCount, ORDER_TIMEOUT);
  }

  function settlePending(): void {
    for (const [id, { range, until }] of pending) {
      const entry = catalogue.get(id);
      if (entry === null || isSame(entry.layers, range) || timers.now() >= until) {
        pending.delete(id);
      }
    }
  }

  function placeDomain(service: RoutedService, pipeline: PipelineFacts, domain: DomainId): void {
    const entries = catalogue
      .list()
      .filter((entry) => entry.service === service.id && entry.domain === domain)
      .filter((entry) => entry.state === LifeState.Live);
    const key = `${service.id}/${domain}`;
    const goal = getGoal(key);
    const live = new Set(entries.map(({ id }) => id));
    [...goal.keys()].filter((id) => !live.has(id)).forEach((id) => goal.delete(id));
    replan(key, goal, entries, pipeline);
    for (const entry of entries) {
      const range = goal.get(entry.id);
      const isWaiting = pending.has(entry.id) || (paused.get(entry.id) ?? 0) > timers.now();
      if (range && !isSame(entry.layers, range) && !isWaiting) {
        void sendOrder(entry, range, pipeline);
      }
    }
  }

  function replan(
    key: string,
    goal: DomainGoal,
    entries: readonly BackendEntry[],
    pipeline: PipelineFacts,
  ): void {
    const engines: RangeEngine[] = entries.map((entry) => ({
      id: entry.id,
      memoryBytes: pipeline.accelerators.get(entry.accelerator ?? '')?.memoryBytes ?? 0,
      held: goal.get(entry.id) ?? entry.layers,
    }));
    const now = timers.now();
    const isFresh = engines.every(({ held }) => held === null);
    const isSettled = now - changedAt >= SETTLE_TIME;
    if (isFresh && !isSettled) {
      return;
    }
    const hasGap = findGaps(engines, pipeline).length > 0;
    const isGapOld = getGapAge(key, hasGap) >= GAP_PATIENCE;
    const mayCut = isFresh || isGapOld || (isSettled && !hasGap);
    const plan = planRanges(engines, pipeline, mayCut);
    plan?.forEach((range, id) => goal.set(id, range));
  }

  function tick(): void {
    settlePending();
    const entries = catalogue.list();
    const seen = entries.map(({ id, state }) => `${id} ${state}`).join();
    if (seen !== known) {
      known = seen;
      changedAt = timers.now();
    }
    for (const service of getTable()?.config.services ?? []) {
      const { pipeline } = service;
      if (pipeline) {
        const domains = new Set(
          entries.filter((entry) => entry.service === service.id).map((entry) => entry.domain),
        );
        [...domains].filter(holds).forEach((domain) => placeDomain(service, pipeline, domain));
      }
    }
  }

  return { start: () => timers.registerInterval(TICK, tick) };
}

function isSame(a: LayerRange | null, b: LayerRange): boolean {
  return a !== null && a.first === b.first && a.end === b.end;
}
