/**
 * Drains an engine before it is ordered to load other layers. The instance with the placement duty of the domain
 * asks the others to send the engine no new work, and issues the order once neither the engine's report nor any
 * instance has work that runs there. The report alone is not enough: it may be old, and an engine need not count
 * requests that it runs as a later stage; they would break off.
 */
import { z } from 'zod';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, InstanceId, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { createCallTopic, createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { EngineDirectory } from './DaemonEngines.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** A drain expires unless it is renewed, so that it does not outlast a crash of the requesting instance. */
const DRAIN_NOTICE_TTL: Millis = 5000;

/** Longer than a polling period plus the delivery of the report: before that, a running count of 0 may be stale. */
const MIN_DRAIN_TIME: Millis = 2500;

/** After this time the order is issued anyway; answers that still run are continued on other engines. */
const MAX_DRAIN_TIME: Millis = 30_000;

const PEER_TIMEOUT: Millis = 1500;

/** Sent to instances of a release that does not answer the call. */
const DRAIN_TOPIC = createNoticeTopic<DrainRequest>('engine-drain');
/** The reply says how many calls of that instance run at the engine. */
const DRAIN_CALL = createCallTopic<DrainRequest, DrainReply>('engine-drain');
const requestSchema = z.object({ engine: z.string().max(200) });
const replySchema = z.object({ calls: z.int().min(0) });

type DrainRequest = z.output<typeof requestSchema>;
type DrainReply = z.output<typeof replySchema>;

/** A drain that this instance requests. */
interface OwnDrain {
  readonly startedAt: Millis;
  /** Calls at the engine by instance, as last answered; an instance that did not answer has no entry. */
  readonly callsOf: Map<InstanceId, number>;
}

export interface DaemonDrains {
  /** Whether an engine may receive an order now. Each call starts or renews the drain, so call it until true. */
  isReadyForOrder(engine: EngineId): boolean;
  /** Engines that receive no new work while other engines can take it. */
  listDraining(): readonly EngineId[];
  stop: Unregister;
}

export interface DaemonDrainsOptions {
  readonly self: InstanceId;
  readonly timers: TimerService;
  readonly fleet: DaemonFleet;
  readonly directory: EngineDirectory;
  /** Counts the calls of this instance that run at an engine. */
  readonly countCalls: (engine: EngineId) => number;
}

export function createDaemonDrains({
  self,
  timers,
  fleet,
  directory,
  countCalls,
}: DaemonDrainsOptions): DaemonDrains {
  const notedAt = new Map<EngineId, Millis>();
  const ownDrains = new Map<EngineId, OwnDrain>();

  function noteDrain(engine: EngineId): void {
    notedAt.set(engine, timers.now());
  }

  function isDraining(engine: EngineId): boolean {
    return timers.now() - (notedAt.get(engine) ?? -Infinity) < DRAIN_NOTICE_TTL;
  }

  /** Handles the request of another instance; returns the calls that run here. */
  function receiveRequest(payload: unknown): DrainReply {
    const parsed = requestSchema.safeParse(payload);
    if (!parsed.success) {
      return { calls: 0 };
    }
    noteDrain(parsed.data.engine);
    return { calls: countCalls(parsed.data.engine) };
  }

  function listPeers(): readonly InstanceId[] {
    return fleet.listOwnDomain().filter((id) => id !== self);
  }

  async function askPeer(engine: EngineId, drain: OwnDrain, peer: InstanceId): Promise<void> {
    const reply = await fleet.calls.call(peer, DRAIN_CALL, { engine }, PEER_TIMEOUT);
    const parsed = replySchema.safeParse(reply.ok ? reply.value : null);
    if (parsed.success) {
      drain.callsOf.set(peer, parsed.data.calls);
    } else if (!reply.ok && reply.error.kind === 'failed') {
      drain.callsOf.set(peer, 0);
      fleet.calls.notify(peer, DRAIN_TOPIC, { engine });
    } else {
      drain.callsOf.delete(peer);
    }
  }

  function isUnused(engine: EngineId, { callsOf }: OwnDrain): boolean {
    const report = directory.listReports().find(({ facts }) => facts.id === engine);
    return (
      report?.load.running === 0 &&
      countCalls(engine) === 0 &&
      listPeers().every((peer) => callsOf.get(peer) === 0)
    );
  }

  const undo = [
    fleet.calls.registerNotice(DRAIN_TOPIC, receiveRequest),
    fleet.calls.registerHandler(DRAIN_CALL, receiveRequest),
  ];

  return {
    isReadyForOrder(engine) {
      const now = timers.now();
      const known = isDraining(engine) ? ownDrains.get(engine) : undefined;
      const drain = known ?? { startedAt: now, callsOf: new Map<InstanceId, number>() };
      ownDrains.set(engine, drain);
      noteDrain(engine);
      listPeers().forEach((peer) => {
        void askPeer(engine, drain, peer);
      });
      const age = now - drain.startedAt;
      // An engine without layers runs nothing, and orders that restore capacity must not be delayed.
      const isEmpty = directory
        .listReports()
        .some(({ facts, load }) => facts.id === engine && load.holding === null);
      return isEmpty || age >= MAX_DRAIN_TIME || (age >= MIN_DRAIN_TIME && isUnused(engine, drain));
    },
    listDraining: () => [...notedAt.keys()].filter(isDraining),
    stop: () => undo.forEach((stop) => stop()),
  };
}
