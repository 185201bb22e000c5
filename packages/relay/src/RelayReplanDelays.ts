/** Delays before the layers of a failure domain are replanned after its engines change. */
import { LifeState } from '@skylarksail/core/CoreConstants';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';
import type { BackendEntry } from './RelayTypes.js';

/** At a start or after a network partition, engines register within this time of each other. */
const SETTLE_TIME: Millis = 1000;
/** Time for a lost engine to return, or for a new one to register, before others take over its layers. */
const GAP_GRACE: Millis = 1500;
/**
 * The same if no engine was lost but one announced that it leaves: it does not return, and refuses the requests of its
 * chain from then on. Engines that leave together announce it within a few hundred milliseconds of each other.
 */
const LEAVING_GRACE: Millis = 300;
/** Time after the loss of an engine during which the longer grace period applies. */
const LOSS_MEMORY: Millis = 5000;
/**
 * Time without changes before a domain whose layers are all held is replanned for more capacity. A full replan leaves
 * the domain without a chain while engines load layers, and engines tend to come and go in groups.
 */
const STABLE_TIME: Millis = 8000;

/** State of one domain's engines and the times of their last changes. */
interface DomainHistory {
  readonly states: ReadonlyMap<EngineId, string>;
  readonly changedAt: Millis;
  readonly addedAt: Millis;
  readonly lostAt: Millis;
  /** When an engine was last unregistered, including engines that were leaving or found unresponsive. */
  readonly goneAt: Millis;
  readonly gapSince: Millis | null;
}

/** Replan delays of all domains, each identified by its key. */
export interface ReplanDelays {
  /** Updates the state of a domain's engines. */
  observe(key: string, entries: readonly BackendEntry[]): void;
  /** Whether no engine has come, gone or changed state for `SETTLE_TIME`. */
  isSettled(key: string): boolean;
  /** Whether the grace period for missing layers is over. */
  isGapDue(key: string, hasGap: boolean): boolean;
  /** Whether the grace period for the last unregistered engine to return is over. */
  isLossGraceOver(key: string): boolean;
  /** Whether the domain has been unchanged for long enough to replan it for more capacity. */
  isStable(key: string): boolean;
  /** Drops the state of all other domains. */
  keepOnly(keys: ReadonlySet<string>): void;
  /** Number of domains whose state is kept. */
  count(): number;
}

export function createReplanDelays(timers: TimerService): ReplanDelays {
  const histories = new Map<string, DomainHistory>();

  function getHistory(key: string): DomainHistory {
    const now = timers.now();
    return (
      histories.get(key) ?? {
        states: new Map(),
        changedAt: now,
        addedAt: now,
        lostAt: -Infinity,
        goneAt: -Infinity,
        gapSince: null,
      }
    );
  }

  function isLeavingOnly({ states, lostAt }: DomainHistory): boolean {
    return [...states.values()].includes(LifeState.Leaving) && timers.now() - lostAt >= LOSS_MEMORY;
  }

  return {
    observe(key, entries) {
      const now = timers.now();
      const before = getHistory(key);
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
      histories.set(key, {
        ...before,
        states,
        changedAt: isChanged ? now : before.changedAt,
        addedAt: isAdded ? now : before.addedAt,
        lostAt: isLost ? now : before.lostAt,
        goneAt: isGone ? now : before.goneAt,
      });
    },
    isSettled: (key) => timers.now() - getHistory(key).changedAt >= SETTLE_TIME,
    isGapDue(key, hasGap) {
      const now = timers.now();
      const history = getHistory(key);
      const gapSince = hasGap ? (history.gapSince ?? now) : null;
      histories.set(key, { ...history, gapSince });
      const grace = isLeavingOnly(history) ? LEAVING_GRACE : GAP_GRACE;
      // After a partition entries return one by one; replanning must wait until all of them are back.
      const isRegistering = now - history.addedAt < SETTLE_TIME;
      return gapSince !== null && !isRegistering && now - gapSince >= grace;
    },
    isLossGraceOver: (key) => timers.now() - getHistory(key).goneAt >= GAP_GRACE,
    isStable: (key) => timers.now() - getHistory(key).changedAt >= STABLE_TIME,
    keepOnly: (keys) =>
      [...histories.keys()].filter((key) => !keys.has(key)).forEach((key) => histories.delete(key)),
    count: () => histories.size,
  };
}
