/**
 * Keeps an instance from hammering a service that does not answer. After several calls in a row
 * without an answer only one probe at a time is let through, at growing, jittered intervals; the
 * first answer of any kind closes the circuit. Pure functions over an immutable state.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';

export interface StoreCircuit {
  /** Calls in a row that had no answer. */
  readonly unanswered: number;
  /** Time of the next probe while the circuit is open. */
  readonly probeAt: Millis;
}

export interface CircuitSettings {
  /** Calls in a row without an answer that open the circuit. */
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

/** Whether calls are being held back. */
export function isCircuitOpen(circuit: StoreCircuit, settings: CircuitSettings): boolean {
  return circuit.unanswered >= settings.openAfter;
}

/** The circuit once a call asks to go out, and how long it must wait; 0 lets it through. */
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
  // The probe moves the time on at once, or all callers of this moment would be let through with it.
  return { circuit: { ...circuit, probeAt: now + getPause(circuit, settings) }, wait: 0 };
}

/** The circuit after a call; `spread` in [0, 1) is its random part of the next pause. */
export function recordAnswer(
  circuit: StoreCircuit,
  settings: CircuitSettings,
  answered: boolean,
  now: Millis,
  spread: number,
): StoreCircuit {
  if (answered) {
    return CLOSED_CIRCUIT;
  }
  const next = { unanswered: circuit.unanswered + 1, probeAt: circuit.probeAt };
  const pause = getPause(next, settings) * (0.5 + spread / 2);
  return { ...next, probeAt: Math.max(circuit.probeAt, now + pause) };
}

function getPause(circuit: StoreCircuit, settings: CircuitSettings): Millis {
  const doublings = Math.max(0, circuit.unanswered - settings.openAfter);
  return Math.min(settings.longestPause, settings.firstPause * 2 ** Math.min(doublings, 16));
}
