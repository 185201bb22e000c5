/**
 * Empties an engine before it is ordered to load something else. The instance that places the domain
 * tells the others to give it no new work, and orders once nothing runs there any more.
 */
import { z } from 'zod';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { EngineDirectory } from './DaemonEngines.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** A drain that is not asked for again ends by itself, so that a dead holder leaves none behind. */
const DRAIN_NOTICE_LIFE: Millis = 5000;

/** Longer than a poll and the way of its report: a count of 0 before that may be out of date. */
const LEAST_DRAIN: Millis = 2500;

/** An answer that runs longer than this is cut off its engine and goes on elsewhere. */
const LONGEST_DRAIN: Millis = 30_000;

const DRAIN_TOPIC = createNoticeTopic<{ readonly engine: EngineId }>('engine-drain');
const noticeSchema = z.object({ engine: z.string().max(200) });

export interface DaemonDrains {
  /** Whether an engine may be ordered now; asks the domain to drain it, and must be called again. */
  isReadyForOrder(engine: EngineId): boolean;
  /** Engines that get no new work while others can take it. */
  listDraining(): readonly EngineId[];
  stop: Unregister;
}

export interface DaemonDrainsOptions {
  readonly timers: TimerService;
  readonly fleet: DaemonFleet;
  readonly directory: EngineDirectory;
}

export function createDaemonDrains({
  timers,
  fleet,
  directory,
}: DaemonDrainsOptions): DaemonDrains {
  const heardAt = new Map<EngineId, Millis>();
  const startedAt = new Map<EngineId, Millis>();

  function hear(engine: EngineId): void {
    heardAt.set(engine, timers.now());
  }

  function isHeard(engine: EngineId): boolean {
    return timers.now() - (heardAt.get(engine) ?? -Infinity) < DRAIN_NOTICE_LIFE;
  }

  const stop = fleet.calls.registerNotice(DRAIN_TOPIC, (payload) => {
    const parsed = noticeSchema.safeParse(payload);
    if (parsed.success) {
      hear(parsed.data.engine);
    }
  });

  return {
    isReadyForOrder(engine) {
      const now = timers.now();
      const start = isHeard(engine) ? (startedAt.get(engine) ?? now) : now;
      startedAt.set(engine, start);
      hear(engine);
      fleet.listOwnDomain().forEach((peer) => fleet.calls.notify(peer, DRAIN_TOPIC, { engine }));
      const status = directory.listReports().find(({ facts }) => facts.id === engine);
      const isIdle = status?.load.running === 0 && now - start >= LEAST_DRAIN;
      // An engine that holds nothing runs nothing, and one that has to restore capacity must not wait.
      return isIdle || status?.load.holding === null || now - start >= LONGEST_DRAIN;
    },
    listDraining: () => [...heardAt.keys()].filter(isHeard),
    stop,
  };
}
