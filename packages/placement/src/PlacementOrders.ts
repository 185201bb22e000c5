/**
 * Sends the orders that carry out a plan, under a lease. Each step gets the lease as read just before it,
 * and no order is sent on the basis of an earlier read: a holder that was paused until its lease lapsed
 * finds the lease gone in the first step after it resumes.
 */
import type { DomainId, EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type {
  DecisionKindName,
  EngineRecord,
  EngineReport,
  HeldOrderLease,
  LeaseSnapshot,
  OrderSettings,
  OrdersEffect,
  OrdersEvent,
  OrdersState,
  OrdersStep,
  PlacementDecision,
} from './PlacementOrderTypes.js';
import {
  createOrderNumber,
  DecisionKind,
  getOrderFencing,
  ORDERS_PER_LEASE,
} from './PlacementOrderTypes.js';
import type { RecordStep } from './PlacementRecords.js';
import {
  createRecord,
  getHolding,
  isOverwritten,
  isUsable,
  noteAnswer,
  noteReport,
  settleByReport,
} from './PlacementRecords.js';
import type { PlacementEngine, PlacementMove } from './PlacementTypes.js';

/** The current time, and the lease as read at that time. */
export interface OrdersContext {
  readonly now: Millis;
  readonly lease: LeaseSnapshot | null;
}

export function createOrders(domain: DomainId, settings: OrderSettings): OrdersState {
  return {
    domain,
    settings,
    lease: null,
    highestFencing: 0,
    droppedFencing: 0,
    engines: new Map(),
  };
}

/** Applies one event, after updating the state to the current lease. */
export function stepOrders(
  state: OrdersState,
  event: OrdersEvent,
  context: OrdersContext,
): OrdersStep {
  const leased = syncLease({ state, effects: [] }, context);
  switch (event.kind) {
    case 'tick':
      return settleAll(leased, context.now);
    case 'reported':
      return settleAll(applyReports(leased, event.reports, context.now), context.now);
    case 'planned':
      return event.moves.reduce(
        (step, move) => startMove(step, move, event.unfencedEngines, context.now),
        leased,
      );
    case 'weights-answered':
      return handleWeightsAnswer(leased, event.engine, event.isGranted, context.now);
    default:
      return handleOrderAnswer(leased, event, context.now);
  }
}

/**
 * Lists engines as the planner sees them. An engine with a pending move or order serves nothing and is
 * expected to hold the result.
 */
export function listPlacementEngines(
  { engines, settings }: OrdersState,
  now: Millis,
): readonly PlacementEngine[] {
  return [...engines.values()].map((record) => {
    const pending = record.order ?? record.asked;
    const holding = getHolding(record, settings, now);
    return {
      facts: record.facts,
      holding: pending ? null : holding,
      expected: pending ? pending.want : holding,
      isUsable: isUsable(record, settings, now),
      running: record.load.running,
    };
  });
}

/**
 * End of the quiet period in which a new holder sends no orders to engines that ignore fencing numbers:
 * until then the previous holder's last orders may still start there.
 */
export function getQuietUntil({ lease, settings }: OrdersState): Millis {
  return (lease?.gainedAt ?? 0) + settings.validFor + settings.transit;
}

function syncLease(step: OrdersStep, { now, lease: snapshot }: OrdersContext): OrdersStep {
  const { lease, droppedFencing } = step.state;
  const fencing = snapshot && snapshot.fencing > droppedFencing ? snapshot.fencing : null;
  if (fencing === (lease?.fencing ?? null)) {
    return step;
  }
  const engines = mapEngines(step.state, (record) => ({ ...record, asked: null }));
  if (fencing === null) {
    const logged = log(step, DecisionKind.LeaseLost);
    return { ...logged, state: { ...step.state, lease: null, engines } };
  }
  const newLease = { fencing, gainedAt: now, ordersSent: 0 };
  const state = { ...step.state, lease: newLease, engines };
  return log({ ...step, state }, DecisionKind.LeaseGained);
}

function applyReports(step: OrdersStep, reports: readonly EngineReport[], now: Millis): OrdersStep {
  const { settings } = step.state;
  const known = new Map(step.state.engines);
  const decisions: [EngineRecord, DecisionKindName][] = [];
  for (const report of reports) {
    const previous = known.get(report.facts.id);
    const { record, decision } = previous
      ? noteReport(previous, report, settings, now)
      : { record: createRecord(report, now), decision: null };
    known.set(report.facts.id, record);
    if (previous && decision) {
      decisions.push([previous, decision]);
    }
  }
  const highest = Math.max(0, ...reports.map(({ load }) => getOrderFencing(load.orderNumber)));
  const logged = decisions.reduce<OrdersStep>(
    (next, [before, decision]) => log(next, decision, before),
    {
      ...step,
      state: { ...step.state, engines: known },
    },
  );
  return handleSeenFencing(logged, highest);
}

/**
 * Steps down if an engine has a fencing number above that of the lease: the lease has lapsed, and another
 * instance holds a later one. Only a number above all those seen before counts, because the next lease is
 * issued later than any of those. Otherwise an engine with a number that the platform never issued would
 * stop placement in its domain forever.
 */
function handleSeenFencing(step: OrdersStep, fencing: number): OrdersStep {
  const { state } = step;
  if (fencing <= state.highestFencing) {
    return step;
  }
  const next = { ...step, state: { ...state, highestFencing: fencing } };
  return state.lease && fencing > state.lease.fencing ? stepDown(next, state.lease) : next;
}

function stepDown(step: OrdersStep, { fencing }: HeldOrderLease): OrdersStep {
  const state = { ...step.state, lease: null, droppedFencing: fencing };
  const logged = log(step, DecisionKind.SteppedDown);
  return { state, effects: [...logged.effects, { kind: 'step-down' }] };
}

function settleAll(step: OrdersStep, now: Millis): OrdersStep {
  const { settings } = step.state;
  let next = step;
  for (const record of step.state.engines.values()) {
    if (record.order) {
      next = applyRecord(next, record, settleByReport(record, settings, now));
    } else if (isOverwritten(record, settings, now)) {
      const cleared = { ...record, settled: null };
      next = applyRecord(next, record, { record: cleared, decision: DecisionKind.Overwritten });
    } else if (now >= record.reportedAt + settings.loadTimeout) {
      const engines = new Map(next.state.engines);
      engines.delete(record.facts.id);
      next = { ...next, state: { ...next.state, engines } };
    }
  }
  return next;
}

/** Starts a move if its engine may be sent an order now; otherwise a later plan includes it again. */
function startMove(
  step: OrdersStep,
  move: PlacementMove,
  unfencedEngines: ReadonlySet<EngineId>,
  now: Millis,
): OrdersStep {
  const record = step.state.engines.get(move.engine);
  if (!record || !isMovePossible(step.state, move, unfencedEngines, now)) {
    return step;
  }
  if (move.bytes === 0) {
    return sendOrder(step, record, move, now);
  }
  const asked = putRecord(step, { ...record, asked: move });
  const { engine, bytes, reason } = move;
  return {
    ...asked,
    effects: [...asked.effects, { kind: 'ask-weights', engine, bytes, reason }],
  };
}

/** Whether a move's engine may be sent an order now, but for its running requests and the weight store. */
export function isMovePossible(
  state: OrdersState,
  { engine }: PlacementMove,
  unfencedEngines: ReadonlySet<EngineId>,
  now: Millis,
): boolean {
  const { lease } = state;
  const record = state.engines.get(engine);
  const isInQuietPeriod = unfencedEngines.has(engine) && now < getQuietUntil(state);
  return lease !== null && !!record && !isInQuietPeriod && isAvailable(record, lease, now);
}

/** Whether an engine has no order, pending move or backoff, and was reported since the lease began. */
function isAvailable(record: EngineRecord, lease: HeldOrderLease, now: Millis): boolean {
  return (
    !record.order &&
    !record.asked &&
    now >= record.backoffUntil &&
    record.reportedAt >= lease.gainedAt
  );
}

function handleWeightsAnswer(
  step: OrdersStep,
  engine: EngineId,
  isGranted: boolean,
  now: Millis,
): OrdersStep {
  const record = step.state.engines.get(engine);
  // `syncLease` drops the pending move when the lease under which it was planned is gone.
  if (!record?.asked) {
    return step;
  }
  const move = record.asked;
  const cleared = { ...record, asked: null };
  return isGranted ? sendOrder(step, cleared, move, now) : putRecord(step, cleared);
}

function sendOrder(
  step: OrdersStep,
  record: EngineRecord,
  { engine, want, reason }: PlacementMove,
  now: Millis,
): OrdersStep {
  const { lease, settings } = step.state;
  if (!lease) {
    return step;
  }
  if (lease.ordersSent + 1 >= ORDERS_PER_LEASE) {
    return stepDown(step, lease);
  }
  const ordersSent = lease.ordersSent + 1;
  const number = createOrderNumber(lease.fencing, ordersSent);
  const order = { number, want, reason, sentAt: now, isUnknown: false };
  const state = { ...step.state, lease: { ...lease, ordersSent } };
  const sent = { ...record, order };
  const next = log(putRecord({ ...step, state }, sent), DecisionKind.Ordered, sent);
  const effect: OrdersEffect = {
    kind: 'send-order',
    engine,
    order: { number, want, validForMs: settings.validFor },
  };
  return { ...next, effects: [...next.effects, effect] };
}

function handleOrderAnswer(
  step: OrdersStep,
  { engine, number, answer }: Extract<OrdersEvent, { kind: 'answered' }>,
  now: Millis,
): OrdersStep {
  const record = step.state.engines.get(engine);
  if (!record) {
    return step;
  }
  const next = noteAnswer(record, number, answer, step.state.settings, now);
  const applied = applyRecord(step, record, next);
  return answer.kind === 'refused'
    ? handleSeenFencing(applied, getOrderFencing(answer.highest))
    : applied;
}

function applyRecord(step: OrdersStep, before: EngineRecord, after: RecordStep): OrdersStep {
  if (after.record === before) {
    return step;
  }
  const next = putRecord(step, after.record);
  return after.decision ? log(next, after.decision, before) : next;
}

function putRecord(step: OrdersStep, record: EngineRecord): OrdersStep {
  const engines = new Map(step.state.engines).set(record.facts.id, record);
  return { ...step, state: { ...step.state, engines } };
}

function mapEngines(
  { engines }: OrdersState,
  change: (record: EngineRecord) => EngineRecord,
): ReadonlyMap<EngineId, EngineRecord> {
  return new Map([...engines].map(([id, record]) => [id, change(record)]));
}

/** Logs a decision. If it drops the lease or the order, `step` and `record` are those before it. */
function log(step: OrdersStep, kind: DecisionKindName, record?: EngineRecord): OrdersStep {
  const decision: PlacementDecision = {
    domain: step.state.domain,
    kind,
    engine: record?.facts.id ?? null,
    number: record?.order?.number ?? step.state.lease?.fencing ?? null,
    want: record?.order?.want ?? null,
    reason: record?.order?.reason ?? null,
  };
  return { ...step, effects: [...step.effects, { kind: 'log', decision }] };
}
