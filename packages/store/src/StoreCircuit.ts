/**
 * Circuit breaker that keeps an instance from overloading a service that does not answer. After several
 * consecutive unanswered calls it lets only single probes through, at growing, jittered intervals; the
 * first answer of any kind closes the circuit. Pure functions over an immutable state.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface StoreCircuit {
  /** Consecutive calls without an answer. */
  readonly unanswered: number;
  /** Earliest time of the next probe while the circuit is open. */
  readonly probeAt: Millis;
}

export interface CircuitSettings {
  /** Number of consecutive unanswered calls that opens the circuit. */
  readonly openAfter: number;
  readonly firstPause: Millis;
  readonly longestPause: Millis;
}

export const DEFAULT_CIRCUIT_SETTINGS: CircuitSettings = {
  openAfter: 4,
  firstPause: 200,
  longestPause: 5000,
};

export const CLOSED_CIRCUIT: StoreCircuit = { unanswered: 0, probeAt: 0 };

/** Whether calls other than probes are rejected. */
export function isCircuitOpen(circuit: StoreCircuit, settings: CircuitSettings): boolean {
  return circuit.unanswered >= settings.openAfter;
}

/** Checks whether a call may be sent. Returns the new circuit and the time to wait; 0 permits the call. */
export function admitCall(
  circuit: StoreCircuit,
  settings: CircuitSettings,
  now: Millis,
): { readonly circuit: StoreCircuit; readonly wait: Millis } {
  if (!isCircuitOpen(circuit, settings)) {
    return { circuit, wait: 0 };
  }
  if (now < circuit.probeAt) {
    return { circuit, wait: circuit.probeAt - now };
  }
  // Sending a probe defers the next one at once; otherwise all concurrent callers would pass with it.
  return { circuit: { ...circuit, probeAt: now + getPause(circuit, settings) }, wait: 0 };
}

/** Returns the circuit after a call; `jitter` in [0, 1) is the random part of the next pause. */
export function recordAnswer(
  circuit: StoreCircuit,
  settings: CircuitSettings,
  answered: boolean,
  now: Millis,
  jitter: number,
): StoreCircuit {
  if (answered) {
    return CLOSED_CIRCUIT;
  }
  const next = { unanswered: circuit.unanswered + 1, probeAt: circuit.probeAt };
  const pause = getPause(next, settings) * (0.5 + jitter / 2);
  return { ...next, probeAt: Math.max(circuit.probeAt, now + pause) };
}

function getPause(circuit: StoreCircuit, settings: CircuitSettings): Millis {
  const doublings = Math.max(0, circuit.unanswered - settings.openAfter);
  return Math.min(settings.longestPause, settings.firstPause * 2 ** Math.min(doublings, 16));
}
