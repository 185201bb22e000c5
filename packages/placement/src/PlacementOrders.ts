/**
 * Sends the orders that bring a plan about, under a lease. Each step is told what a look at the lease
 * said just before it: nothing is ever sent on an older look, so a holder that was paused past its lease
 * finds it gone in the first step after it wakes.
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

/** The time, and what the lease is at that time. */
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

/** Applies one event; the lease is looked at first. */
export function stepOrders(
  state: OrdersState,
  event: OrdersEvent,
  context: OrdersContext,
): OrdersStep {
  const leased = followLease({ state, effects: [] }, context);
  switch (event.kind) {
    case 'tick':
      return settleAll(leased, context.now);
    case 'reported':
      return settleAll(takeReports(leased, event.reports, context.now), context.now);
    case 'planned':
      return event.moves.reduce(
        (step, move) => startMove(step, move, event.unfencedEngines, context.now),
        leased,
      );
    case 'weights-answered':
      return takeGrant(leased, event.engine, event.isGranted, context.now);
    default:
      return takeAnswer(leased, event, context.now);
  }
}

/** Engines as the planner is to see them. What is asked for or ordered is expected and serves nothing. */
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

/** Until when a new holder sends nothing to engines that ignore numbers. */
export function getQuietUntil({ lease, settings }: OrdersState): Millis {
  return (lease?.gainedAt ?? 0) + settings.validFor + settings.transit;
}

function followLease(step: OrdersStep, { now, lease: look }: OrdersContext): OrdersStep {
  const { lease, droppedFencing } = step.state;
  const fencing = look && look.fencing > droppedFencing ? look.fencing : null;
  if (fencing === (lease?.fencing ?? null)) {
    return step;
  }
  const engines = mapEngines(step.state, (record) => ({ ...record, asked: null }));
  if (fencing === null) {
    return log({ ...step, state: { ...step.state, lease: null, engines } }, DecisionKind.LeaseLost);
  }
  const held = { fencing, gainedAt: now, ordersSent: 0 };
  const state = { ...step.state, lease: held, engines };
  return log({ ...step, state }, DecisionKind.LeaseGained);
}

function takeReports(step: OrdersStep, reports: readonly EngineReport[], now: Millis): OrdersStep {
  const { settings } = step.state;
  const known = new Map(step.state.engines);
  const decisions: [EngineRecord, DecisionKindName][] = [];
  for (const report of reports) {
    const before = known.get(report.facts.id);
    const { record, decision } = before
      ? noteReport(before, report, settings, now)
      : { record: createRecord(report, now), decision: null };
    known.set(report.facts.id, record);
    if (decision) {
      decisions.push([record, decision]);
    }
  }
  const highest = Math.max(0, ...reports.map(({ load }) => getOrderFencing(load.orderNumber)));
  const noted = decisions.reduce<OrdersStep>(
    (next, [record, decision]) => log(next, decision, record),
    {
      ...step,
      state: { ...step.state, engines: known },
    },
  );
  return noteFencing(noted, highest);
}

/**
 * Steps down if an engine carries a number above our lease's: it lapsed, and somebody holds the next one.
 * Only a number that is new counts. The lease that is then asked for is newer than whatever was seen, and
 * an engine with a number that the platform never gave would otherwise stop its domain for ever.
 */
function noteFencing(step: OrdersStep, fencing: number): OrdersStep {
  const { state } = step;
  if (fencing <= state.highestFencing) {
    return step;
  }
  const next = { ...step, state: { ...state, highestFencing: fencing } };
  return state.lease && fencing > state.lease.fencing ? stepDown(next, state.lease) : next;
}

function stepDown(step: OrdersStep, { fencing }: HeldOrderLease): OrdersStep {
  const state = { ...step.state, lease: null, droppedFencing: fencing };
  const logged = log({ ...step, state }, DecisionKind.SteppedDown);
  return { ...logged, effects: [...logged.effects, { kind: 'step-down' }] };
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

/** Starts a move if an order may go to its engine now; else it is planned again later. */
function startMove(
  step: OrdersStep,
  move: PlacementMove,
  unchecking: ReadonlySet<EngineId>,
  now: Millis,
): OrdersStep {
  const { state } = step;
  const { lease } = state;
  const record = state.engines.get(move.engine);
  const isQuiet = unchecking.has(move.engine) && now < getQuietUntil(state);
  if (!lease || !record || isQuiet || !isFree(record, lease, now)) {
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

/** Whether an engine has nothing under way and was reported since the lease began. */
function isFree(record: EngineRecord, lease: HeldOrderLease, now: Millis): boolean {
  return (
    !record.order &&
    !record.asked &&
    now >= record.backoffUntil &&
    record.reportedAt >= lease.gainedAt
  );
}

function takeGrant(
  step: OrdersStep,
  engine: EngineId,
  isGranted: boolean,
  now: Millis,
): OrdersStep {
  const record = step.state.engines.get(engine);
  // Without the lease under which it was asked, `followLease` has dropped the move.
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

function takeAnswer(
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
    ? noteFencing(applied, getOrderFencing(answer.highest))
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
