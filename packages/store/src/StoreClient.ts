/**
 * The store client of an instance. It wraps a StorePort with deadlines that hold whatever the adapter
 * does, a rate limit sized from the number of live instances, priorities between uses, and a circuit
 * breaker that keeps the fleet from overloading a service in outage.
 */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import {
  DEFAULT_BUDGET_RATES,
  drawCall,
  FULL_BUDGET,
  type BudgetRates,
  type CallKind,
  type StoreUseName,
} from './StoreBudget.js';
import {
  admitCall,
  CLOSED_CIRCUIT,
  DEFAULT_CIRCUIT_SETTINGS,
  isCircuitOpen,
  recordAnswer,
  type CircuitSettings,
} from './StoreCircuit.js';
import type { CallOptions, StoreOutcome, StorePort } from './StorePort.js';

export interface StoreClientOptions {
  readonly port: StorePort;
  readonly timers: TimerService;
  readonly random: Random;
  /** Number of known live instances, including this one; read at each call. */
  readonly countInstances: () => number;
  /** Share of all claim slots that this instance owns, 0 to 1; defaults to 0. */
  readonly getClaimShare?: () => number;
  readonly rates?: BudgetRates;
  readonly circuit?: CircuitSettings;
}

/**
 * Counts of calls, for metrics. Calls that were not sent are counted as `overBudget` if the local budget
 * was used up, and as `heldBack` if the circuit was open.
 */
export interface StoreClientCounts {
  readonly sent: number;
  readonly done: number;
  readonly refused: number;
  readonly unknown: number;
  readonly overBudget: number;
  readonly heldBack: number;
}

export interface StoreClient {
  /** Returns a port for one use; all uses share the budget and the circuit. */
  forUse(use: StoreUseName): StorePort;
  /** Whether the circuit is open, that is, the service is considered down. */
  isCircuitOpen(): boolean;
  getCounts(): StoreClientCounts;
}

/** A call waits for the budget for at most this share of its timeout. */
const MAX_BUDGET_WAIT_SHARE = 0.5;
/** A long-poll watch times out this long after the service should have answered it. */
const WATCH_GRACE: Millis = 1000;

interface CallRules {
  /** How much later than its timeout a call is given up. */
  readonly grace?: Millis;
  /** Whether the call is sent while the circuit is open. */
  readonly isUrgent?: boolean;
}

type SendCall<T> = (options: CallOptions) => Promise<StoreOutcome<T>>;

/** Creates the client. Nothing is sent until a call is made. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const { port, timers, random, countInstances } = options;
  const rates = options.rates ?? DEFAULT_BUDGET_RATES;
  const circuitSettings = options.circuit ?? DEFAULT_CIRCUIT_SETTINGS;
  let budget = FULL_BUDGET;
  let circuit = CLOSED_CIRCUIT;
  let counts: StoreClientCounts = {
    sent: 0,
    done: 0,
    refused: 0,
    unknown: 0,
    overBudget: 0,
    heldBack: 0,
  };

  function count(name: keyof StoreClientCounts): void {
    counts = { ...counts, [name]: counts[name] + 1 };
  }

  function sleep(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      timers.registerTimeout(delay, resolve);
    });
  }

  /** Waits for the budget and returns 0, or returns the remaining wait once it exceeds `maxWait`. */
  async function waitForBudget(
    kind: CallKind,
    use: StoreUseName,
    maxWait: Millis,
  ): Promise<Millis> {
    const giveUpAt = timers.now() + maxWait;
    for (;;) {
      const shares = { instances: countInstances(), claims: options.getClaimShare?.() ?? 0 };
      const draw = drawCall(budget, rates, shares, kind, use, timers.now());
      budget = draw.budget;
      if (draw.wait === 0 || timers.now() + draw.wait > giveUpAt) {
        return draw.wait;
      }
      await sleep(draw.wait);
    }
  }

  function sendWithDeadline<T>(
    send: SendCall<T>,
    timeout: Millis,
    grace: Millis,
  ): Promise<StoreOutcome<T>> {
    return new Promise((resolve) => {
      const cancel = timers.registerTimeout(timeout + grace, () => resolve({ kind: 'unknown' }));
      const finish = (outcome: StoreOutcome<T>): void => {
        cancel();
        resolve(outcome);
      };
      // If the adapter throws, it is unknown whether the call reached the service.
      send({ timeout }).then(finish, () => finish({ kind: 'unknown' }));
    });
  }

  async function call<T>(
    kind: CallKind,
    use: StoreUseName,
    { timeout }: CallOptions,
    send: SendCall<T>,
    { grace = 0, isUrgent = false }: CallRules = {},
  ): Promise<StoreOutcome<T>> {
    const startedAt = timers.now();
    const asked = admitCall(circuit, circuitSettings, startedAt);
    if (asked.wait > 0 && !isUrgent) {
      count('heldBack');
      return { kind: 'refused', reason: { kind: 'unavailable', retryAfter: asked.wait } };
    }
    circuit = asked.circuit;
    const remainingWait = await waitForBudget(kind, use, timeout * MAX_BUDGET_WAIT_SHARE);
    if (remainingWait > 0) {
      count('overBudget');
      return { kind: 'refused', reason: { kind: 'over-budget', retryAfter: remainingWait } };
    }
    const timeLeft = timeout - (timers.now() - startedAt);
    count('sent');
    const outcome = await sendWithDeadline(send, timeLeft, grace);
    count(outcome.kind);
    circuit = recordAnswer(
      circuit,
      circuitSettings,
      outcome.kind !== 'unknown',
      timers.now(),
      random.nextFloat(),
    );
    return outcome;
  }

  function forUse(use: StoreUseName): StorePort {
    return {
      get: (key, opts) => call('read', use, opts, (o) => port.get(key, o)),
      swap: (key, expected, value, opts) =>
        call('write', use, opts, (o) => port.swap(key, expected, value, o)),
      remove: (key, expected, opts) =>
        call('write', use, opts, (o) => port.remove(key, expected, o)),
      list: (prefix, opts) => call('read', use, opts, (o) => port.list(prefix, o)),
      watch: (key, known, opts) =>
        call('read', use, opts, (o) => port.watch(key, known, o), { grace: WATCH_GRACE }),
      acquireLease: (key, holder, ttl, opts) =>
        call('write', use, opts, (o) => port.acquireLease(key, holder, ttl, o)),
      renewLease: (lease, opts) => call('write', use, opts, (o) => port.renewLease(lease, o)),
      // The process is about to end, and few instances hold leases: the circuit would hold a release back for seconds.
      releaseLease: (lease, opts) =>
        call('write', use, opts, (o) => port.releaseLease(lease, o), { isUrgent: true }),
      listInstances: (opts) => call('read', use, opts, (o) => port.listInstances(o)),
    };
  }

  return {
    forUse,
    isCircuitOpen: () => isCircuitOpen(circuit, circuitSettings),
    getCounts: () => counts,
  };
}
