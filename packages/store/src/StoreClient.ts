/**
 * The platform as the rest of an instance uses it: the same port, with deadlines that hold whatever
 * the adapter does, a budget sized from the live instance count, priorities between uses, and a
 * circuit that keeps a fleet from hammering a service in outage.
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
  /** Live instances as far as is known, ourselves included; read at each call. */
  readonly countInstances: () => number;
  /** Part of all claim slots that this instance owns, 0 to 1; none if left out. */
  readonly getClaimShare?: () => number;
  readonly rates?: BudgetRates;
  readonly circuit?: CircuitSettings;
}

/** What an instance's calls came to, for metrics. */
export interface StoreClientCounts {
  readonly sent: number;
  readonly done: number;
  readonly refused: number;
  readonly unknown: number;
  readonly overBudget: number;
  readonly heldBack: number;
}

export interface StoreClient {
  /** The port for one use; all uses share the budget and the circuit. */
  forUse(use: StoreUseName): StorePort;
  /** Whether the service is taken to be in outage. */
  isCircuitOpen(): boolean;
  getCounts(): StoreClientCounts;
}

/** A call waits in our own queue for at most this part of its timeout. */
const WAITING_SHARE = 0.5;
/** A long watch is given up this long after the service should have answered it. */
const WATCH_GRACE: Millis = 1000;

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

  /** Waits for the budget; gives the wait that is still needed if it is longer than `patience`. */
  async function waitForBudget(
    kind: CallKind,
    use: StoreUseName,
    patience: Millis,
  ): Promise<Millis> {
    const giveUpAt = timers.now() + patience;
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
      // An adapter that throws cannot tell whether the call arrived.
      send({ timeout }).then(finish, () => finish({ kind: 'unknown' }));
    });
  }

  async function call<T>(
    kind: CallKind,
    use: StoreUseName,
    { timeout }: CallOptions,
    send: SendCall<T>,
    grace: Millis = 0,
  ): Promise<StoreOutcome<T>> {
    const startedAt = timers.now();
    const asked = admitCall(circuit, circuitSettings, startedAt);
    circuit = asked.circuit;
    if (asked.wait > 0) {
      count('heldBack');
      return { kind: 'refused', reason: { kind: 'unavailable', retryAfter: asked.wait } };
    }
    const stillNeeded = await waitForBudget(kind, use, timeout * WAITING_SHARE);
    if (stillNeeded > 0) {
      count('overBudget');
      return { kind: 'refused', reason: { kind: 'over-budget', retryAfter: stillNeeded } };
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
        call('read', use, opts, (o) => port.watch(key, known, o), WATCH_GRACE),
      acquireLease: (key, holder, ttl, opts) =>
        call('write', use, opts, (o) => port.acquireLease(key, holder, ttl, o)),
      renewLease: (lease, opts) => call('write', use, opts, (o) => port.renewLease(lease, o)),
      releaseLease: (lease, opts) => call('write', use, opts, (o) => port.releaseLease(lease, o)),
      listInstances: (opts) => call('read', use, opts, (o) => port.listInstances(o)),
    };
  }

  return {
    forUse,
    isCircuitOpen: () => isCircuitOpen(circuit, circuitSettings),
    getCounts: () => counts,
  };
}
