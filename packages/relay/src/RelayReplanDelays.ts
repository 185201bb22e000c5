/** How long a failure domain is left as it is before its engines are given other layers. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { BackendEntry } from './RelayTypes.js';

/** At a start, or after a cut, engines register within so short a time after each other. */
const SETTLE_TIME: Millis = 1000;
/** Time that a lost engine has to come back, or a new one to come, before others take its layers. */
const GAP_PATIENCE: Millis = 1500;
/**
 * The same where no engine was lost but one said that it leaves: it does not come back, and its chain is
 * refused from then on. Engines that leave together say so within some hundred milliseconds.
 */
const LEAVING_PATIENCE: Millis = 300;
/** A lost engine is waited for no longer than this after its loss was seen. */
const LOSS_MEMORY: Millis = 5000;
/**
 * A domain whose layers are all held waits so long after its last change before it is cut anew for more
 * room: a whole cut leaves it without a chain for its loads, and engines come and go in series.
 */
const TUNE_TIME: Millis = 8000;

/** What is remembered of one domain's engines. */
interface DomainMemory {
  readonly states: ReadonlyMap<EngineId, string>;
  readonly changedAt: Millis;
  readonly addedAt: Millis;
  readonly lostAt: Millis;
  /** When an engine was last unregistered, also one that had said that it leaves or was found silent. */
  readonly goneAt: Millis;
  readonly gapSince: Millis | null;
}

/** Patience with domains, each by its key. */
export interface ReplanDelays {
  /** Takes in a domain's engines as they are now. */
  observe(key: string, entries: readonly BackendEntry[]): void;
  /** Whether no engine has come or gone for a moment. */
  isSettled(key: string): boolean;
  /** Whether missing layers were waited for long enough. */
  isGapDue(key: string, hasGap: boolean): boolean;
  /** Whether an engine that was unregistered has had its time to come back. */
  isLossGraceOver(key: string): boolean;
  /** Whether nothing has changed for so long that a cut for more room is worth while. */
  isStable(key: string): boolean;
}

export function createReplanDelays(timers: TimerService): ReplanDelays {
  const memories = new Map<string, DomainMemory>();

  function getMemory(key: string): DomainMemory {
    const now = timers.now();
    return (
      memories.get(key) ?? {
        states: new Map(),
        changedAt: now,
        addedAt: now,
        lostAt: -Infinity,
        goneAt: -Infinity,
        gapSince: null,
      }
    );
  }

  function isLeavingOnly({ states, lostAt }: DomainMemory): boolean {
    return [...states.values()].includes(LifeState.Leaving) && timers.now() - lostAt >= LOSS_MEMORY;
  }

  return {
    observe(key, entries) {
      const now = timers.now();
      const before = getMemory(key);
      const states = new Map(entries.map(({ id, state }) => [id, state]));
      const isAdded = [...states.keys()].some((id) => !before.states.has(id));
      const isLost = [...before.states].some(
        ([id, state]) => state === LifeState.Live && !states.has(id),
      );
      const isGone = [...before.states.keys()].some((id) => !states.has(id));
      const isChanged =
        isAdded ||
        states.size !== before.states.size ||
        [...states].some(([id, state]) => before.states.get(id) !== state);
      memories.set(key, {
        ...before,
        states,
        changedAt: isChanged ? now : before.changedAt,
        addedAt: isAdded ? now : before.addedAt,
        lostAt: isLost ? now : before.lostAt,
        goneAt: isGone ? now : before.goneAt,
      });
    },
    isSettled: (key) => timers.now() - getMemory(key).changedAt >= SETTLE_TIME,
    isGapDue(key, hasGap) {
      const now = timers.now();
      const memory = getMemory(key);
      const gapSince = hasGap ? (memory.gapSince ?? now) : null;
      memories.set(key, { ...memory, gapSince });
      const patience = isLeavingOnly(memory) ? LEAVING_PATIENCE : GAP_PATIENCE;
      // Entries that come back one by one after a cut must not be cut anew without the others.
      const isComing = now - memory.addedAt < SETTLE_TIME;
      return gapSince !== null && !isComing && now - gapSince >= patience;
    },
    isLossGraceOver: (key) => timers.now() - getMemory(key).goneAt >= GAP_PATIENCE,
    isStable: (key) => timers.now() - getMemory(key).changedAt >= TUNE_TIME,
  };
}
