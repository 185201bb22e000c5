/**
 * Places one failure domain: takes the lease while this instance has the duty, reads reports, plans, and
 * sends orders. All input and output are functions that are passed in.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { DomainId, EngineId, InstanceId, Millis, ModelId } from '@skylarksail/core/CoreTypes';
import type { LeaseHolder } from '@skylarksail/store/StoreLeaseHolder';
import { createLeaseHolder } from '@skylarksail/store/StoreLeaseHolder';
import type { StorePort } from '@skylarksail/store/StorePort';
import {
  createOrders,
  getQuietUntil,
  listPlacementEngines,
  stepOrders,
} from './PlacementOrders.js';
import type {
  EngineReport,
  Order,
  OrderAnswer,
  OrderSettings,
  OrdersEffect,
  OrdersEvent,
  PlacementDecision,
} from './PlacementOrderTypes.js';
import { DEFAULT_ORDER_SETTINGS, getOrderFencing } from './PlacementOrderTypes.js';
import { planPlacement } from './PlacementPlan.js';
import type { PlacementEngine, PlacementManifest, PlacementPlan } from './PlacementTypes.js';
import type { WeightRates } from './PlacementWeights.js';
import { createWeightBucket, DEFAULT_WEIGHT_RATES, drawWeights } from './PlacementWeights.js';

const TICK_PERIOD: Millis = 1000;
const LEASE_TTL: Millis = 20_000;
/** Most of the time that planning may take; requests run on the same thread. */
const PLAN_TIME_SHARE = 0.05;

export interface PlacementRunnerDeps {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly platform: StorePort;
  readonly instance: InstanceId;
  /** Whether this instance should place the domain; the lease decides between two that think so. */
  readonly isOwnDuty: () => boolean;
  readonly getManifest: () => PlacementManifest | null;
  readonly listReports: () => readonly EngineReport[];
  /** Sends an order. Never rejects for long: no answer is `unknown`. */
  readonly sendOrder: (engine: EngineId, order: Order) => Promise<OrderAnswer>;
  /** Whether an engine may be given another order now; without it, at once. Asked again each tick. */
  readonly isReadyForOrder?: (engine: EngineId) => boolean;
  readonly onDecision: (decision: PlacementDecision) => void;
  readonly settings?: Partial<OrderSettings>;
  readonly weights?: WeightRates;
}

/** Whether a domain is being placed by this instance, and why not. */
export const PlacementPhase = {
  /** Another instance has the duty. */
  Idle: 'idle',
  /** The lease is asked for; another holds it, or the platform has not answered. */
  Waiting: 'waiting',
  /** The lease is held; engines that ignore numbers get no order yet. */
  Quiet: 'quiet',
  Placing: 'placing',
  /** The lease was held and could not be renewed: no orders until it is held again. */
  Stopped: 'stopped',
} as const;

export type PlacementPhaseName = (typeof PlacementPhase)[keyof typeof PlacementPhase];

export interface PlacementStatus {
  readonly domain: DomainId;
  readonly phase: PlacementPhaseName;
  readonly fencing: number | null;
  readonly manifestRevision: number | null;
  readonly ordersUnderWay: number;
  readonly enginesPlannedAround: readonly EngineId[];
  /** Moves that wait for capacity, for the weight store, or for an engine's pause to end. */
  readonly movesLeft: number;
  readonly capacities: ReadonlyMap<ModelId, number>;
}

export interface PlacementRunner {
  getStatus(): PlacementStatus;
  /** Gives the lease back and sends nothing more. */
  stop(): void;
}

/** Key of a domain's lease in the platform's service. */
export function getPlacementLeaseKey(domain: DomainId): string {
  return `placement/${domain}`;
}

/** Starts placing a domain whenever this instance has the duty and the lease. */
export function startPlacementRunner(deps: PlacementRunnerDeps): PlacementRunner {
  const { domain, timers } = deps;
  const settings = { ...DEFAULT_ORDER_SETTINGS, ...deps.settings };
  let orders = createOrders(domain, settings);
  let holder: LeaseHolder | null = null;
  let hasHeld = false;
  let bucket = createWeightBucket(timers.now());
  let plan: PlacementPlan | null = null;
  let planKey = '';
  let nextPlanAt: Millis = 0;
  let isStopped = false;

  function lookAtLease(): { readonly fencing: number } | null {
    const lease = holder?.getLease() ?? null;
    return lease && { fencing: lease.fencing };
  }

  function step(event: OrdersEvent): void {
    const before = orders.lease?.fencing;
    const { state, effects } = stepOrders(orders, event, {
      now: timers.now(),
      lease: lookAtLease(),
    });
    orders = state;
    if (state.lease && state.lease.fencing !== before) {
      hasHeld = true;
      bucket = createWeightBucket(timers.now());
    }
    effects.forEach(runEffect);
  }

  function runEffect(effect: OrdersEffect): void {
    switch (effect.kind) {
      case 'send-order':
        void send(effect.engine, effect.order);
        break;
      case 'ask-weights': {
        const domains = deps.getManifest()?.domains.length ?? 1;
        const rates = deps.weights ?? DEFAULT_WEIGHT_RATES;
        const draw = drawWeights(bucket, rates, domains, effect, timers.now());
        bucket = draw.bucket;
        step({ kind: 'weights-answered', engine: effect.engine, isGranted: draw.isGranted });
        break;
      }
      case 'step-down':
        dropLease();
        break;
      default:
        deps.onDecision(effect.decision);
    }
  }

  async function send(engine: EngineId, order: Order): Promise<void> {
    const isOwn = lookAtLease()?.fencing === getOrderFencing(order.number);
    const answer: OrderAnswer = isOwn
      ? await deps.sendOrder(engine, order).catch(() => ({ kind: 'unknown' }) as const)
      : { kind: 'unknown' };
    if (!isStopped) {
      step({ kind: 'answered', engine, number: order.number, answer });
    }
  }

  function takeLease(): void {
    holder = createLeaseHolder({
      port: deps.platform,
      timers,
      random: deps.random,
      key: getPlacementLeaseKey(domain),
      holder: deps.instance,
      ttl: LEASE_TTL,
      // An order sent at the last moment can no longer start when the lease lapses.
      margin: settings.validFor + settings.transit,
      onAcquired: () => step({ kind: 'tick' }),
      onLost: () => step({ kind: 'tick' }),
    });
  }

  function dropLease(): void {
    holder?.stop();
    holder = null;
  }

  function tick(): void {
    const isDuty = deps.isOwnDuty();
    if (isDuty && !holder) {
      takeLease();
    } else if (!isDuty && holder) {
      dropLease();
      hasHeld = false;
    }
    if (!isDuty && !orders.lease) {
      return;
    }
    step({ kind: 'reported', reports: deps.listReports() });
    const manifest = deps.getManifest();
    if (orders.lease && manifest) {
      followPlan(manifest);
    }
  }

  function followPlan(manifest: PlacementManifest): void {
    const engines = listPlacementEngines(orders, timers.now());
    const key = createPlanKey(manifest, engines);
    if (!plan || key !== planKey) {
      const startedAt = timers.now();
      // An older plan's moves are not safe any more: what it counted on may be gone.
      if (startedAt < nextPlanAt) {
        return;
      }
      plan = planPlacement({ domain, manifest, engines });
      planKey = key;
      nextPlanAt = timers.now() + (timers.now() - startedAt) / PLAN_TIME_SHARE;
    }
    const unchecking = engines.filter(
      ({ facts }) => !(manifest.getAccelerator(facts.accelerator)?.checksFencing ?? false),
    );
    step({
      kind: 'planned',
      // An engine that loads something else drops what runs on it: its answers would go on elsewhere,
      // or nowhere, where it was the last to hold their version.
      moves: plan.moves.filter(({ engine }) => deps.isReadyForOrder?.(engine) ?? true),
      unfencedEngines: new Set(unchecking.map(({ facts }) => facts.id)),
    });
  }

  function getPhase(): PlacementPhaseName {
    if (lookAtLease() && orders.lease) {
      return timers.now() < getQuietUntil(orders) ? PlacementPhase.Quiet : PlacementPhase.Placing;
    }
    if (!holder) {
      return PlacementPhase.Idle;
    }
    return hasHeld ? PlacementPhase.Stopped : PlacementPhase.Waiting;
  }

  const cancel = timers.registerInterval(TICK_PERIOD, tick);
  tick();
  return {
    getStatus() {
      const engines = listPlacementEngines(orders, timers.now());
      return {
        domain,
        phase: getPhase(),
        fencing: lookAtLease()?.fencing ?? null,
        manifestRevision: deps.getManifest()?.revision ?? null,
        ordersUnderWay: [...orders.engines.values()].filter(({ order }) => order).length,
        enginesPlannedAround: engines.flatMap(({ facts, isUsable }) =>
          isUsable ? [] : [facts.id],
        ),
        movesLeft: plan ? plan.moves.length + plan.blocked.length : 0,
        capacities: plan?.capacities ?? new Map<ModelId, number>(),
      };
    },
    stop() {
      isStopped = true;
      cancel();
      dropLease();
    },
  };
}

/** Names all that a plan hangs on, but for the numbers of running requests, which change all the time. */
function createPlanKey(manifest: PlacementManifest, engines: readonly PlacementEngine[]): string {
  const parts = engines.map(({ facts, holding, expected, isUsable }) => [
    facts,
    holding,
    expected,
    isUsable,
  ]);
  return JSON.stringify([manifest.revision, parts]);
}
