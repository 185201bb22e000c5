/** Log of decisions on requests; the latest ones are also kept in memory for `skylarksail explain`. */
import type { DaemonLogger } from './DaemonLog.js';

/** A decision on a request; the other fields are the inputs that it is based on. */
export interface Decision {
  readonly request: string;
  readonly decision: string;
  readonly [field: string]: unknown;
}

/**
 * Decisions that occur in every successful request; they are logged at level info. All others are logged
 * as warnings, so that the log sink drops them last if its reader is too slow.
 */
const ROUTINE_DECISIONS: ReadonlySet<string> = new Set([
  'routed',
  'admit',
  'chain-chosen',
  'chain',
  'server',
  'complete',
  'answered',
]);
const MAX_REQUESTS = 4096;
const MAX_DECISIONS_PER_REQUEST = 64;

export interface DecisionLog {
  record(decision: Decision): void;
  /** Returns the decisions on a request, oldest first; empty if none is kept. */
  read(request: string): readonly Decision[];
}

export function createDecisionLog(logger: DaemonLogger, wallNow: () => number): DecisionLog {
  const decisionsByRequest = new Map<string, Decision[]>();
  return {
    record(decision) {
      logger[ROUTINE_DECISIONS.has(decision.decision) ? 'info' : 'warn'](decision, 'decision');
      const timestamped = { ...decision, at: new Date(wallNow()).toISOString() };
      const known = decisionsByRequest.get(decision.request) ?? [];
      if (known.length < MAX_DECISIONS_PER_REQUEST) {
        known.push(timestamped);
      }
      decisionsByRequest.set(decision.request, known);
      if (decisionsByRequest.size > MAX_REQUESTS) {
        decisionsByRequest.delete(decisionsByRequest.keys().next().value as string);
      }
    },
    read: (request) => decisionsByRequest.get(request) ?? [],
  };
}
