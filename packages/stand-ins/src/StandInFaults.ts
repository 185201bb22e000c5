/** Faults injected into a stand-in, limited by duration, by number of uses, or not at all. */
import { z } from 'zod';

/**
 * Body of `POST /faults`. `ms` limits the fault's duration and `count` its uses; the limit reached first
 * ends it.
 */
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
    'lease-cut',
    'lease-silence',
    'lease-refuse',
    'lease-drop-answer',
    'clear',
  ]),
  ms: z.number().positive().optional(),
  count: z.int().positive().optional(),
  /**
   * For `slow`: multiplier of an engine's or service's time, or milliseconds added to a platform call.
   * For `late-effect` and `lagging-list`: the delay in milliseconds.
   */
  factor: z.number().positive().optional(),
  /** For `crash-on`: a prompt that contains this text crashes the engine. */
  text: z.string().min(1).optional(),
});

export type Fault = z.output<typeof faultSchema>;
export type FaultKind = Fault['kind'];

interface ActiveFault {
  readonly fault: Fault;
  readonly endsAt: number;
  usesLeft: number;
}

/** Active faults of one stand-in. */
export interface FaultInjector {
  set(fault: Fault): void;
  /** Returns the fault if it is active, and counts one use of it. */
  consume(kind: FaultKind): Fault | null;
  isActive(kind: FaultKind): boolean;
  clear(): void;
}

/** Creates an injector without active faults; `now` returns milliseconds. */
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
