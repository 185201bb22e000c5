/**
 * Drains an engine before it is ordered to load other layers, which would break off the answers that run through it.
 *
 * The instance with the placement duty asks the others to avoid the engine, and how many of their calls run there: the
 * engine's report may be old, and need not count requests that run through a later stage. A count is true for one
 * moment only. So once all counts are 0, it asks all instances to start no call there, and issues the order when each
 * has promised that and still counts none. An instance promises it only once it knows a chain without the engine: it
 * may learn later than the instance that places the layers that others hold the new ones.
 */
import { z } from 'zod';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type {
  DomainId,
  EngineId,
  InstanceId,
  Millis,
  Unregister,
} from '@skylarksail/core/CoreTypes';
import { createCallTopic, createNoticeTopic } from '@skylarksail/membership/MembershipCalls';
import type { OrderReadinessName, PlacementMove } from '@skylarksail/placement/PlacementTypes';
import { MoveReason, OrderReadiness } from '@skylarksail/placement/PlacementTypes';
import type {
  DrainNotes,
  DrainNotesOptions,
  DrainRequest,
  DrainStageName,
} from './DaemonDrainNotes.js';
import { createDrainNotes, drainRequestSchema, DrainStage } from './DaemonDrainNotes.js';
import type { EngineDirectory, KnownReport } from './DaemonEngines.js';
import type { DaemonFleet } from './DaemonFleet.js';

/** A drain that is not continued for this long begins anew. */
const DRAIN_TTL: Millis = 10_000;

/**
 * After this time no new request begins at the engine, and neither a peer that gives no answer nor the engine's report
 * is waited for any longer. Counted calls still are, except by an order that restores a model's capacity.
 */
const MAX_DRAIN_TIME: Millis = 30_000;

/**
 * Maximum age of a promise to start no call. Peers keep it for longer than this and the time that an order takes at the
 * most, 7 s.
 */
const MAX_PROMISE_AGE: Millis = 7000;

/** Period at which a peer without calls is asked again, several times before its part in the drain lapses. */
const RENEWAL_PERIOD: Millis = 4000;

const PEER_TIMEOUT: Millis = 1500;

/** Understood by instances of a release that does not answer the call. */
const DRAIN_TOPIC = createNoticeTopic<{ readonly engine: EngineId }>('engine-drain');
const noticeSchema = z.object({ engine: z.string().max(200) });

/** The reply is null if the instance does not understand the request. */
const DRAIN_CALL = createCallTopic<DrainRequest, DrainReply | null>('engine-drain');
const replySchema = z.object({
  /** Calls of that instance that run at the engine. */
  calls: z.int().min(0),
  /** Whether it agrees to the stage. */
  isAgreed: z.boolean(),
});

type DrainReply = z.output<typeof replySchema>;

/** Another instance that may have calls at the engine. */
interface Peer {
  readonly id: InstanceId;
  /** Whether it is of the engine's domain. */
  readonly isNear: boolean;
}

/** The last answer of a peer. */
interface PeerAnswer {
  readonly calls: number;
  /** Stage to which the peer has agreed. */
  readonly stage: DrainStageName;
  readonly askedAt: Millis;
}

/** A drain that this instance requests. */
interface OwnDrain {
  readonly engine: EngineId;
  readonly startedAt: Millis;
  continuedAt: Millis;
  readonly answers: Map<InstanceId, PeerAnswer>;
  /** When peers were first asked since their last answer. */
  readonly unansweredSince: Map<InstanceId, Millis>;
}

export interface DaemonDrains extends Pick<DrainNotes, 'listDraining' | 'listClosed'> {
  /**
   * Starts or continues the drain of a move's engine, and says whether the move may be ordered now. An engine is closed
   * only if its order can go out soon.
   */
  prepareOrder(
    move: Pick<PlacementMove, 'engine' | 'reason' | 'isForced'>,
    mayClose: boolean,
  ): OrderReadinessName;
  stop: Unregister;
}

export interface DaemonDrainsOptions {
  readonly self: InstanceId;
  readonly domain: DomainId;
  readonly timers: TimerService;
  readonly fleet: Pick<DaemonFleet, 'calls' | 'listPresent' | 'listReachableDomains'>;
  readonly directory: Pick<EngineDirectory, 'findReport'>;
  /**
   * Counts the answers of this instance that need an engine: those that run through it at any stage, and those that
   * have begun on its version and are without a chain at the moment.
   */
  readonly countCalls: (engine: EngineId) => number;
  readonly isDispensable: DrainNotesOptions['isDispensable'];
  /** Called once for a drain that takes long, with the instances that it waits for. */
  readonly onLate: (engine: EngineId, waitingFor: readonly InstanceId[]) => void;
}

export function createDaemonDrains(options: DaemonDrainsOptions): DaemonDrains {
  const { self, timers, fleet, directory, countCalls } = options;
  const ownDrains = new Map<EngineId, OwnDrain>();
  const reportedLate = new WeakSet<OwnDrain>();
  const notes = createDrainNotes({
    timers,
    getOrderNumber,
    isDispensable: options.isDispensable,
  });

  function getOrderNumber(engine: EngineId): number | null {
    return directory.findReport(engine)?.status.load.orderNumber ?? null;
  }

  function listPeers(): readonly Peer[] {
    return fleet.listReachableDomains().flatMap((domain) =>
      fleet
        .listPresent(domain)
        .filter((id) => id !== self)
        .map((id) => ({ id, isNear: domain === options.domain })),
    );
  }

  function continueDrain(engine: EngineId): OwnDrain {
    const now = timers.now();
    const known = ownDrains.get(engine);
    if (known && now - known.continuedAt < DRAIN_TTL) {
      known.continuedAt = now;
      return known;
    }
    ownDrains.forEach(({ continuedAt }, id) => {
      if (now - continuedAt >= DRAIN_TTL) {
        ownDrains.delete(id);
      }
    });
    const drain = {
      engine,
      startedAt: now,
      continuedAt: now,
      answers: new Map(),
      unansweredSince: new Map(),
    };
    ownDrains.set(engine, drain);
    return drain;
  }

  function isLate({ startedAt }: OwnDrain): boolean {
    return timers.now() - startedAt >= MAX_DRAIN_TIME;
  }

  /** Whether a peer has not answered for so long that it is no longer waited for. */
  function isSilent({ unansweredSince }: OwnDrain, { id }: Peer): boolean {
    return timers.now() - (unansweredSince.get(id) ?? Infinity) >= MAX_DRAIN_TIME;
  }

  /** Instances of other domains seldom use the engine; they take part when it is closed, and while they have calls. */
  function isInvolved({ id, isNear }: Peer, { answers }: OwnDrain, stage: DrainStageName): boolean {
    return isNear || stage !== DrainStage.Avoided || (answers.get(id)?.calls ?? 0) > 0;
  }

  /** Whether a peer has something new to hear or say; a large domain drains many engines at once. */
  function isDue({ id }: Peer, drain: OwnDrain, stage: DrainStageName): boolean {
    const answer = drain.answers.get(id);
    const isSettled = answer?.calls === 0 && !drain.unansweredSince.has(id);
    const isRecent = timers.now() - (answer?.askedAt ?? -Infinity) < RENEWAL_PERIOD;
    return stage === DrainStage.Closed || answer?.stage !== stage || !isSettled || !isRecent;
  }

  /** Whether the last answers and the report show no work at the engine. Peers that were not asked yet do not count. */
  function isIdle(drain: OwnDrain, report: KnownReport | null): boolean {
    const isReportedIdle =
      report !== null && report.seenAt > drain.startedAt && report.status.load.running === 0;
    const isPeerIdle = (peer: Peer): boolean =>
      drain.answers.get(peer.id)?.calls === 0 ||
      !isInvolved(peer, drain, DrainStage.Avoided) ||
      isSilent(drain, peer);
    return (
      countCalls(drain.engine) === 0 &&
      (isReportedIdle || isLate(drain)) &&
      listPeers().every(isPeerIdle)
    );
  }

  /** Whether every instance has promised to start no call at the engine, and none runs there. */
  function isClosed(drain: OwnDrain): boolean {
    const now = timers.now();
    const hasPromised = (peer: Peer): boolean => {
      const answer = drain.answers.get(peer.id);
      const isPromise = answer?.stage === DrainStage.Closed && answer.calls === 0;
      return isSilent(drain, peer) || (isPromise && now - answer.askedAt <= MAX_PROMISE_AGE);
    };
    return (
      notes.isAt(drain.engine, DrainStage.Closed) &&
      countCalls(drain.engine) === 0 &&
      listPeers().every(hasPromised)
    );
  }

  function chooseStage(
    drain: OwnDrain,
    report: KnownReport | null,
    mayClose: boolean,
  ): DrainStageName {
    if (!mayClose) {
      return DrainStage.Avoided;
    }
    if (isIdle(drain, report)) {
      return DrainStage.Closed;
    }
    return isLate(drain) ? DrainStage.ClosedToNew : DrainStage.Avoided;
  }

  function reportIfLate(drain: OwnDrain): void {
    if (reportedLate.has(drain) || !isLate(drain)) {
      return;
    }
    reportedLate.add(drain);
    const isWaitedFor = ({ id }: Peer): boolean =>
      drain.unansweredSince.has(id) || (drain.answers.get(id)?.calls ?? 0) > 0;
    const own = countCalls(drain.engine) > 0 ? [self] : [];
    const peers = listPeers().filter(isWaitedFor);
    options.onLate(drain.engine, [...own, ...peers.map(({ id }) => id)]);
  }

  async function askPeer(drain: OwnDrain, peer: InstanceId, request: DrainRequest): Promise<void> {
    const askedAt = timers.now();
    const { engine, stage } = request;
    drain.unansweredSince.set(peer, drain.unansweredSince.get(peer) ?? askedAt);
    const reply = await fleet.calls.call(peer, DRAIN_CALL, request, PEER_TIMEOUT);
    const parsed = replySchema.safeParse(reply.ok ? reply.value : null);
    const isOldRelease = !reply.ok && reply.error.kind === 'failed';
    if (isOldRelease) {
      fleet.calls.notify(peer, DRAIN_TOPIC, { engine });
    }
    const answer = isOldRelease ? { calls: 0, isAgreed: true } : parsed.data;
    const isNewest = askedAt >= (drain.answers.get(peer)?.askedAt ?? -Infinity);
    if (answer && isNewest) {
      const agreed = answer.isAgreed ? stage : DrainStage.Avoided;
      drain.answers.set(peer, { calls: answer.calls, stage: agreed, askedAt });
      drain.unansweredSince.delete(peer);
    }
  }

  function askAll(drain: OwnDrain, stage: DrainStageName, isForced: boolean): void {
    const { engine } = drain;
    const mayInterrupt = isForced || isLate(drain);
    const request = { engine, stage, orderNumber: getOrderNumber(engine) ?? 0, mayInterrupt };
    notes.note(request);
    listPeers()
      .filter((peer) => isInvolved(peer, drain, stage) && isDue(peer, drain, stage))
      .forEach(({ id }) => {
        void askPeer(drain, id, request);
      });
  }

  const undo = [
    fleet.calls.registerNotice(DRAIN_TOPIC, (payload) => {
      const parsed = noticeSchema.safeParse(payload);
      if (parsed.success) {
        const { engine } = parsed.data;
        const stage = DrainStage.Avoided;
        notes.note({ engine, stage, orderNumber: Infinity, mayInterrupt: false });
      }
    }),
    fleet.calls.registerHandler(DRAIN_CALL, (payload) => {
      const parsed = drainRequestSchema.safeParse(payload);
      if (!parsed.success) {
        return null;
      }
      const isAgreed = notes.note(parsed.data);
      return { calls: countCalls(parsed.data.engine), isAgreed };
    }),
  ];

  return {
    prepareOrder({ engine, reason, isForced = false }, mayClose) {
      const report = directory.findReport(engine);
      // An engine without layers runs nothing, and orders that restore capacity must not be delayed.
      if (report?.status.load.holding === null) {
        return OrderReadiness.Ready;
      }
      const drain = continueDrain(engine);
      const isOverdue = reason === MoveReason.Restore && isLate(drain);
      if (mayClose && (isOverdue || isClosed(drain))) {
        return OrderReadiness.Ready;
      }
      reportIfLate(drain);
      const stage = chooseStage(drain, report, mayClose);
      askAll(drain, stage, isForced);
      return stage === DrainStage.Closed ? OrderReadiness.Closing : OrderReadiness.Draining;
    },
    listDraining: notes.listDraining,
    listClosed: notes.listClosed,
    stop: () => undo.forEach((stop) => stop()),
  };
}
