/**
 * Drains an engine before it is ordered to load other layers. The instance with the placement duty of the domain
 * notifies the others, which then send the engine no new work, and issues the order once the engine runs nothing.
 */
import { z } from 'zod';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { EngineDirectory } from './DaemonEngines.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** A drain expires unless it is renewed, so that it does not outlast a crash of the requesting instance. */
const DRAIN_NOTICE_TTL: Millis = 5000;

/** Longer than a polling period plus the delivery of the report: before that, a running count of 0 may be stale. */
const MIN_DRAIN_TIME: Millis = 2500;

/** After this time the order is issued anyway; answers that still run are continued on other engines. */
const MAX_DRAIN_TIME: Millis = 30_000;

const DRAIN_TOPIC = createNoticeTopic<{ readonly engine: EngineId }>('engine-drain');
const noticeSchema = z.object({ engine: z.string().max(200) });

export interface DaemonDrains {
  /** Whether an engine may receive an order now. Each call starts or renews the drain, so call it until true. */
  isReadyForOrder(engine: EngineId): boolean;
  /** Engines that receive no new work while other engines can take it. */
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
  const notedAt = new Map<EngineId, Millis>();
  const startedAt = new Map<EngineId, Millis>();

  function noteDrain(engine: EngineId): void {
    notedAt.set(engine, timers.now());
  }

  function isDraining(engine: EngineId): boolean {
    return timers.now() - (notedAt.get(engine) ?? -Infinity) < DRAIN_NOTICE_TTL;
  }

  const stop = fleet.calls.registerNotice(DRAIN_TOPIC, (payload) => {
    const parsed = noticeSchema.safeParse(payload);
    if (parsed.success) {
      noteDrain(parsed.data.engine);
    }
  });

  return {
    isReadyForOrder(engine) {
      const now = timers.now();
      const start = isDraining(engine) ? (startedAt.get(engine) ?? now) : now;
      startedAt.set(engine, start);
      noteDrain(engine);
      fleet.listOwnDomain().forEach((peer) => fleet.calls.notify(peer, DRAIN_TOPIC, { engine }));
      const status = directory.listReports().find(({ facts }) => facts.id === engine);
      const isIdle = status?.load.running === 0 && now - start >= MIN_DRAIN_TIME;
      // An engine without layers runs nothing, and orders that restore capacity must not be delayed.
      return isIdle || status?.load.holding === null || now - start >= MAX_DRAIN_TIME;
    },
    listDraining: () => [...notedAt.keys()].filter(isDraining),
    stop,
  };
}
