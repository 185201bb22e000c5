/** Decisions: a log line each, and the latest ones kept for `skylarksail explain`. */
import type { DaemonLogger } from './DaemonLog.js';

/** One decision on a request; the rest of the fields say what was weighed. */
export interface Decision {
  readonly request: string;
  readonly decision: string;
  readonly [field: string]: unknown;
}

/**
 * Decisions that every request that goes well has, logged at level info. All others are logged as
 * warnings, so that they are kept where the reader of the lines is too slow for all.
 */
const ORDINARY: ReadonlySet<string> = new Set([
  'routed',
  'admit',
  'chain-chosen',
  'chain',
  'server',
  'complete',
  'answered',
]);
const KEPT_REQUESTS = 4096;
const KEPT_PER_REQUEST = 64;

export interface DecisionLog {
  record(decision: Decision): void;
  /** Decisions on a request, oldest first; empty if none is remembered. */
  read(request: string): readonly Decision[];
}

export function createDecisionLog(logger: DaemonLogger, wallNow: () => number): DecisionLog {
  const kept = new Map<string, Decision[]>();
  return {
    record(decision) {
      logger[ORDINARY.has(decision.decision) ? 'info' : 'warn'](decision, 'decision');
      const stamped = { ...decision, at: new Date(wallNow()).toISOString() };
      const known = kept.get(decision.request) ?? [];
      if (known.length < KEPT_PER_REQUEST) {
        known.push(stamped);
      }
      kept.set(decision.request, known);
      if (kept.size > KEPT_REQUESTS) {
        kept.delete(kept.keys().next().value as string);
      }
    },
    read: (request) => kept.get(request) ?? [],
  };
}
