/** Faults that a stand-in is told to show, each for a while or for a number of times. */
import { z } from 'zod';

/** Body of `POST /faults`. `ms` bounds it in time, `count` in uses; the first to run out ends it. */
export const faultSchema = z.strictObject({
  kind: z.enum([
    'crash',
    'hang',
    'slow',
    'drop-answer',
    'duplicate-frames',
    'reorder-frames',
    'garbage',
    'leaving',
    'crash-on',
    'outage',
    'late-effect',
    'lagging-list',
    'clear',
  ]),
  ms: z.number().positive().optional(),
  count: z.int().positive().optional(),
  /** For `slow`: how many times slower, or the added milliseconds of a platform call. */
  factor: z.number().positive().optional(),
  /** For `crash-on`: text in a prompt that crashes the engine. */
  text: z.string().min(1).optional(),
});

export type Fault = z.output<typeof faultSchema>;
export type FaultKind = Fault['kind'];

interface ActiveFault {
  readonly fault: Fault;
  readonly endsAt: number;
  usesLeft: number;
}

/** The faults of one stand-in. */
export interface FaultInjector {
  set(fault: Fault): void;
  /** The fault if it is on; uses one of its counts. */
  consume(kind: FaultKind): Fault | null;
  isActive(kind: FaultKind): boolean;
  clear(): void;
}

/** Creates a board with no fault on it; `now` gives milliseconds. */
export function createFaultInjector(now: () => number): FaultInjector {
  const active = new Map<FaultKind, ActiveFault>();

  function find(kind: FaultKind): ActiveFault | null {
    const found = active.get(kind);
    if (!found) {
      return null;
    }
    if (found.usesLeft <= 0 || now() >= found.endsAt) {
      active.delete(kind);
      return null;
    }
    return found;
  }

  return {
    set(fault) {
      active.set(fault.kind, {
        fault,
        endsAt: fault.ms === undefined ? Infinity : now() + fault.ms,
        usesLeft: fault.count ?? Infinity,
      });
    },
    consume(kind) {
      const found = find(kind);
      if (!found) {
        return null;
      }
      found.usesLeft -= 1;
      return found.fault;
    },
    isActive: (kind) => find(kind) !== null,
    clear: () => active.clear(),
  };
}
