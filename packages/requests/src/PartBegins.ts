/**
 * When answers last began on the parts of prompts, at this instance. A part on which an answer began is not what crashes
 * engines that begin answers on it. Bounded, as callers may name any number of parts.
 */
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { PartName } from './RequestSuspects.js';

export interface PartBegins {
  note(parts: readonly PartName[], now: Millis): void;
  /** Time at which an answer last began on a part; -Infinity if that is long ago. */
  getLast(part: PartName): Millis;
}

const MAX_PARTS = 4096;
/** Time after which a begin shows nothing about a part any more. */
const RETENTION: Millis = 600_000;

export function createPartBegins(): PartBegins {
  /** Oldest first. */
  const begins = new Map<PartName, Millis>();

  function dropOld(now: Millis): void {
    for (const [part, at] of begins) {
      if (begins.size <= MAX_PARTS && now - at <= RETENTION) {
        return;
      }
      begins.delete(part);
    }
  }

  return {
    note(parts, now) {
      for (const part of parts) {
        begins.delete(part);
        begins.set(part, now);
      }
      dropOld(now);
    },
    getLast: (part) => begins.get(part) ?? -Infinity,
  };
}
