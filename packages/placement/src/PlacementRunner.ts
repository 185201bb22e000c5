/**
 * Places the models of one failure domain: holds the lease while this instance has the duty, reads
 * reports, plans, and sends orders. All input and output go through functions that are passed in.
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
  isMovePossible,
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
import type {
  OrderReadinessName,
  PlacementEngine,
  PlacementManifest,
  PlacementMove,
  PlacementPlan,
} from './PlacementTypes.js';
import { OrderReadiness } from './PlacementTypes.js';
import type { WeightBucket, WeightDraw, WeightRates } from './PlacementWeights.js';
import { createWeightBucket, DEFAULT_WEIGHT_RATES, drawWeights } from './PlacementWeights.js';

const TICK_PERIOD: Millis = 1000;
const LEASE_TTL: Millis = 20_000;
/** Time from the release of the lease for which a shutdown waits for its end. */
const LEASE_END_TIME: Millis = 2000;
/** Maximum share of time spent on planning, since requests run on the same thread. */
const PLAN_TIME_SHARE = 0.05;

export interface PlacementRunnerDeps {
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly random: Random;
  readonly platform: StorePort;
  readonly instance: InstanceId;
  /** Whether this instance should place the domain; the lease decides if two instances both should. */
  readonly isOwnDuty: () => boolean;
  readonly getManifest: () => PlacementManifest | null;
  readonly listReports: () => readonly EngineReport[];
  /** Sends an order. The promise settles within a bounded time, with `unknown` if no answer arrives. */
  readonly sendOrder: (engine: EngineId, order: Order) => Promise<OrderAnswer>;
  /**
   * Keeps requests off a move's engine, and says whether its order may go out. Called each tick while nothing else
   * prevents the order; `mayClose` says whether the weight store has a load left for it. Always ready if omitted.
   */
  readonly prepareOrder?: (move: PlacementMove, mayClose: boolean) => OrderReadinessName;
  readonly onDecision: (decision: PlacementDecision) => void;
  readonly settings?: Partial<OrderSettings>;
  readonly weights?: WeightRates;
}

/** Whether this instance is placing the domain, and if not, why. */
export const PlacementPhase = {
  /** Another instance has the duty. */
  Idle: 'idle',
  /** The lease is requested; another instance holds it, or the platform has not answered. */
  Waiting: 'waiting',
  /** The lease is held; engines that ignore fencing numbers get no orders yet. */
  Quiet: 'quiet',
  Placing: 'placing',
  /** The lease was held and could not be renewed; no orders are sent until it is held again. */
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
  /** Moves that wait for capacity, for the weight store, or for an engine's backoff to end. */
  readonly movesLeft: number;
  readonly capacities: ReadonlyMap<ModelId, number>;
}

export interface PlacementRunner {
  getStatus(): PlacementStatus;
  /** Stops sending orders and ends the lease; resolves when it has ended, or two seconds after its first release. */
  stop(): Promise<void>;
}

/** Key of a domain's placement lease in the platform's store. */
export function getPlacementLeaseKey(domain: DomainId): string {
  return `placement/${domain}`;
}

/** Starts a runner that places the domain whenever this instance has the duty and the lease. */
export function startPlacementRunner(deps: PlacementRunnerDeps): PlacementRunner {
  const { domain, timers } = deps;
  const settings = { ...DEFAULT_ORDER_SETTINGS, ...deps.settings };
  let orders = createOrders(domain, settings);
  let holder: LeaseHolder | null = null;
  /** The last holder that was stopped; it may still be ending its lease. */
  let stoppedHolder: LeaseHolder | null = null;
  let stoppedAt: Millis = 0;
  let hasHeldLease = false;
  let bucket = createWeightBucket(timers.now());
  let plan: PlacementPlan | null = null;
  let planKey = '';
  let nextPlanAt: Millis = 0;
  let isStopped = false;

  function readLease(): { readonly fencing: number } | null {
    const lease = holder?.getLease() ?? null;
    return lease && { fencing: lease.fencing };
  }

  function step(event: OrdersEvent): void {
    const before = orders.lease?.fencing;
    const { state, effects } = stepOrders(orders, event, {
      now: timers.now(),
      lease: readLease(),
    });
    orders = state;
    if (state.lease && state.lease.fencing !== before) {
      hasHeldLease = true;
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
        const draw = drawForMove(bucket, effect);
        bucket = draw.bucket;
        step({ kind: 'weights-answered', engine: effect.engine, isGranted: draw.isGranted });
        break;
      }
      case 'step-down':
        stopLeaseHolder();
        break;
      default:
        deps.onDecision(effect.decision);
    }
  }

  function drawForMove(
    from: WeightBucket,
    move: Pick<PlacementMove, 'bytes' | 'reason'>,
  ): WeightDraw {
    const domains = deps.getManifest()?.domains.length ?? 1;
    return drawWeights(from, deps.weights ?? DEFAULT_WEIGHT_RATES, domains, move, timers.now());
  }

  async function send(engine: EngineId, order: Order): Promise<void> {
    const isCurrentLease = readLease()?.fencing === getOrderFencing(order.number);
    const answer: OrderAnswer = isCurrentLease
      ? await deps.sendOrder(engine, order).catch(() => ({ kind: 'unknown' }) as const)
      : { kind: 'unknown' };
    if (!isStopped) {
      step({ kind: 'answered', engine, number: order.number, answer });
    }
  }

  function startLeaseHolder(): void {
    stoppedHolder?.close();
    holder = createLeaseHolder({
      port: deps.platform,
      timers,
      random: deps.random,
      key: getPlacementLeaseKey(domain),
      holder: deps.instance,
      ttl: LEASE_TTL,
      // An order sent at the last moment can no longer start once the lease has lapsed.
      margin: settings.validFor + settings.transit,
      mayBeHeld: stoppedHolder?.mayHold(),
      onAcquired: () => step({ kind: 'tick' }),
      onLost: () => step({ kind: 'tick' }),
    });
  }

  function stopLeaseHolder(): void {
    if (holder) {
      holder.stop();
      stoppedHolder = holder;
      stoppedAt = timers.now();
      holder = null;
    }
  }

  function tick(): void {
    const isOnDuty = deps.isOwnDuty();
    if (isOnDuty && !holder) {
      startLeaseHolder();
    } else if (!isOnDuty && holder) {
      stopLeaseHolder();
      hasHeldLease = false;
    }
    if (!isOnDuty && !orders.lease) {
      return;
    }
    step({ kind: 'reported', reports: deps.listReports() });
    const manifest = deps.getManifest();
    if (orders.lease && manifest) {
      applyPlan(manifest);
    }
  }

  function applyPlan(manifest: PlacementManifest): void {
    const engines = listPlacementEngines(orders, timers.now());
    const key = createPlanKey(manifest, engines);
    if (!plan || key !== planKey) {
      const startedAt = timers.now();
      // The previous plan's moves are no longer safe: engines that it relied on may be gone.
      if (startedAt < nextPlanAt) {
        return;
      }
      plan = planPlacement({ domain, manifest, engines });
      planKey = key;
      nextPlanAt = timers.now() + (timers.now() - startedAt) / PLAN_TIME_SHARE;
    }
    const unfenced = engines.filter(
      ({ facts }) => !(manifest.getAccelerator(facts.accelerator)?.checksFencing ?? false),
    );
    const unfencedEngines = new Set(unfenced.map(({ facts }) => facts.id));
    step({
      kind: 'planned',
      moves: prepareMoves(plan.moves, unfencedEngines),
      unfencedEngines,
    });
  }

  /**
   * Selects the moves whose engines are ready. An engine that loads something else drops its running requests; they must
   * continue on other engines, or fail if it was the last to hold their version. Requests are kept off an engine only if
   * its order could go out, and fully so only off as many as may load now: the capacity of the others is still needed.
   */
  function prepareMoves(
    moves: readonly PlacementMove[],
    unfencedEngines: ReadonlySet<EngineId>,
  ): readonly PlacementMove[] {
    let left = bucket;
    return moves.filter((move) => {
      const isPossible = isMovePossible(orders, move, unfencedEngines, timers.now());
      if (!isPossible || !drawForMove(bucket, move).isGranted) {
        return false;
      }
      const draw = drawForMove(left, move);
      const readiness = deps.prepareOrder?.(move, draw.isGranted) ?? OrderReadiness.Ready;
      if (readiness !== OrderReadiness.Draining) {
        left = draw.bucket;
      }
      return readiness === OrderReadiness.Ready;
    });
  }

  function getPhase(): PlacementPhaseName {
    if (readLease() && orders.lease) {
      return timers.now() < getQuietUntil(orders) ? PlacementPhase.Quiet : PlacementPhase.Placing;
    }
    if (!holder) {
      return PlacementPhase.Idle;
    }
    return hasHeldLease ? PlacementPhase.Stopped : PlacementPhase.Waiting;
  }

  const cancel = timers.registerInterval(TICK_PERIOD, tick);
  tick();
  return {
    getStatus() {
      const engines = listPlacementEngines(orders, timers.now());
      return {
        domain,
        phase: getPhase(),
        fencing: readLease()?.fencing ?? null,
        manifestRevision: deps.getManifest()?.revision ?? null,
        ordersUnderWay: [...orders.engines.values()].filter(({ order }) => order).length,
        enginesPlannedAround: engines.flatMap(({ facts, isUsable }) =>
          isUsable ? [] : [facts.id],
        ),
        movesLeft: plan ? plan.moves.length + plan.blocked.length : 0,
        capacities: plan?.capacities ?? new Map<ModelId, number>(),
      };
    },
    async stop() {
      isStopped = true;
      cancel();
      stopLeaseHolder();
      const last = stoppedHolder;
      const timeLeft = stoppedAt + LEASE_END_TIME - timers.now();
      const cancelWait = timers.registerTimeout(timeLeft, () => last?.close());
      await last?.waitForEnd();
      cancelWait();
    },
  };
}

/** Encodes all that a plan depends on, except the counts of running requests, which always change. */
function createPlanKey(manifest: PlacementManifest, engines: readonly PlacementEngine[]): string {
  const parts = engines.map(({ facts, holding, expected, isUsable }) => [
    facts,
    holding,
    expected,
    isUsable,
  ]);
  return JSON.stringify([manifest.revision, parts]);
}
